"""The rate limiter of an entry."""

import math
import threading
from collections.abc import Callable
from typing import Any, Protocol

from attrs import define

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import CustomerId, Epoch, ProcessId
from waxwingwinch.configuration import Configuration
from waxwingwinch.contracts import Admitted, LimitDecision, Limited
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.limits._account import DEFAULT_RETRY_AFTER_SECONDS
from waxwingwinch.limits._customer_limits import CustomerLimit, limits_of
from waxwingwinch.limits._floor_requester import FloorRequester
from waxwingwinch.limits._holdings import Holdings
from waxwingwinch.limits._messages import ExtraReply, ExtraRequest

#: Interval between rounds of requests to the grantor.
REQUEST_INTERVAL_SECONDS = 0.25
#: Interval between rounds while callers wait for a token.
URGENT_REQUEST_INTERVAL_SECONDS = 0.02
#: Time limit of one request to the grantor.
REQUEST_TIMEOUT_SECONDS = 0.3
#: Time limit of a caller's wait for a token.
ADMIT_TIMEOUT_SECONDS = 0.3
#: Age from which a reply no longer indicates that a customer is over its rate.
MAX_REPLY_AGE_SECONDS = 1.0


class GrantorLink(Protocol):
    """A link to the grantor, such as a :class:`PeerLink`."""

    def request(self, body: object, timeout_seconds: float) -> Any:
        """Send a request and return the reply."""


@define
class _CustomerState:
    """
    State of one customer at this entry.

    :param holdings: Floor and extra tokens held for the customer.
    :param waiting: Number of callers that wait for a token.
    :param answered_round: Number of the last round of requests in which the
        grantor's reply covered the customer.
    :param reply_seconds: Monotonic time of that reply.
    :param is_refused_over_rate: True if that reply reported the customer over
        its rate and granted no tokens.
    :param retry_at_seconds: Monotonic time at which, by that reply, tokens
        may be available.
    """

    holdings: Holdings
    waiting: int = 0
    answered_round: int = 0
    reply_seconds: float = -math.inf
    is_refused_over_rate: bool = False
    retry_at_seconds: float = -math.inf

    def is_over_rate(self, now_seconds: float) -> bool:
        """Return whether a recent reply set ``is_refused_over_rate``."""
        age_seconds = now_seconds - self.reply_seconds
        return self.is_refused_over_rate and age_seconds < MAX_REPLY_AGE_SECONDS

    def is_wait_futile(self, now_seconds: float) -> bool:
        """Return whether a recent reply rules out a token in time."""
        if self.is_over_rate(now_seconds):
            return self.retry_at_seconds > now_seconds
        if now_seconds - self.reply_seconds >= REQUEST_INTERVAL_SECONDS:
            return False
        return self.retry_at_seconds > now_seconds + ADMIT_TIMEOUT_SECONDS


class Limiter:
    """
    Admits requests from the floors and extra tokens of this entry.

    :param holder: This entry process.
    :param clock: Source of the current time.
    :param configuration: Returns the configuration in force.
    :param grantor: Returns the link to the grantor, None if it isn't known.
    """

    def __init__(
        self,
        holder: ProcessId,
        clock: Clock,
        configuration: Callable[[], Configuration],
        grantor: Callable[[], GrantorLink | None],
    ) -> None:
        self._holder = holder
        self._clock = clock
        self._configuration = configuration
        self._grantor = grantor
        self._customer_states: dict[CustomerId, _CustomerState] = {}
        self._limits: dict[CustomerId, CustomerLimit] = {}
        self._limits_configuration: Configuration | None = None
        self._lock = threading.RLock()
        self._round_requested = threading.Condition(self._lock)
        self._holdings_changed = threading.Condition(self._lock)
        self._started_rounds = 0
        self._last_failed_round = 0
        self._is_urgent = False
        self._is_stopping = False
        self._last_reply_seconds = float("-inf")
        self._floors = FloorRequester(holder, clock, grantor, self)
        self._thread = threading.Thread(
            target=self._run, name="limiter-extras", daemon=True
        )

    def start(self) -> None:
        """Start the threads that send requests to the grantor."""
        self._thread.start()
        self._floors.start()

    def stop(self) -> None:
        """Stop the threads and release the floors."""
        with self._lock:
            self._is_stopping = True
            self._round_requested.notify_all()
            self._holdings_changed.notify_all()
        self._thread.join()
        self._floors.stop()

    def health(self) -> Health:
        """
        Return ``DEGRADED`` if no grantor has replied recently.

        This is also the case while there is nothing to request.
        """
        age_seconds = self._clock.now_seconds() - self._last_reply_seconds
        has_recent_reply = age_seconds < 4 * REQUEST_INTERVAL_SECONDS
        return Health.HEALTHY if has_recent_reply else Health.DEGRADED

    def admit(self, customer_id: CustomerId, now_seconds: float) -> LimitDecision:
        """
        Admit one request of a customer if a token is available in time.

        Waits up to ``ADMIT_TIMEOUT_SECONDS`` for a token unless a recent reply
        of the grantor rules that out.

        :param customer_id: The customer.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            limit = self.limit(customer_id)
            if limit is None:
                return Limited(DEFAULT_RETRY_AFTER_SECONDS, over_rate=True)
            state = self._customer_state(customer_id)
            state.holdings.arrival_rate.record_arrival(now_seconds)
            if state.holdings.try_consume(limit, now_seconds):
                return Admitted()
            if state.is_wait_futile(now_seconds):
                return self._limited(state, limit, now_seconds)
            return self._wait_for_token(state, limit, now_seconds)

    def limit(self, customer_id: CustomerId) -> CustomerLimit | None:
        """
        Return a customer's limits in force at this entry.

        :param customer_id: The customer.
        :returns: None if the customer isn't configured.
        """
        configuration = self._configuration()
        if configuration is not self._limits_configuration:
            self._limits = limits_of(configuration)
            self._limits_configuration = configuration
        return self._limits.get(customer_id)

    def customers(self) -> list[CustomerId]:
        """Return all configured customers."""
        with self._lock:
            # Updates self._limits if the configuration has changed.
            self.limit(CustomerId(""))
            return list(self._limits)

    def with_holdings(
        self, customer_id: CustomerId, change: Callable[[Holdings, CustomerLimit], None]
    ) -> None:
        """
        Call a function with a customer's holdings, under the lock.

        :param customer_id: The customer; nothing is called if it isn't
            configured.
        :param change: The function to call.
        """
        with self._lock:
            limit = self.limit(customer_id)
            if limit is not None:
                change(self._customer_state(customer_id).holdings, limit)
                self._holdings_changed.notify_all()

    def _customer_state(self, customer_id: CustomerId) -> _CustomerState:
        state = self._customer_states.get(customer_id)
        if state is None:
            state = _CustomerState(Holdings(customer_id))
            self._customer_states[customer_id] = state
        return state

    def _wait_for_token(
        self, state: _CustomerState, limit: CustomerLimit, now_seconds: float
    ) -> LimitDecision:
        """
        Trigger a request to the grantor and wait for a token.

        Called with the lock held.
        """
        deadline_seconds = now_seconds + ADMIT_TIMEOUT_SECONDS
        started_rounds = self._started_rounds
        state.waiting += 1
        self._is_urgent = True
        self._round_requested.notify_all()
        try:
            while not self._should_stop_waiting(
                state, started_rounds, now_seconds, deadline_seconds
            ):
                wait_seconds = deadline_seconds - now_seconds
                floor_seconds = state.holdings.floor_wait_seconds(limit, now_seconds)
                if floor_seconds is not None:
                    wait_seconds = min(wait_seconds, floor_seconds)
                self._holdings_changed.wait(wait_seconds)
                now_seconds = self._clock.now_seconds()
                if state.holdings.try_consume(limit, now_seconds):
                    return Admitted()
        finally:
            state.waiting -= 1
        return self._limited(state, limit, now_seconds)

    def _should_stop_waiting(
        self,
        state: _CustomerState,
        started_rounds: int,
        now_seconds: float,
        deadline_seconds: float,
    ) -> bool:
        """
        Return whether a waiting caller must stop waiting.

        This is so at its deadline, on shutdown, after a failed round, or if a
        reply rules out a token in time. Only rounds started after the caller
        began to wait count.
        """
        if now_seconds >= deadline_seconds or self._is_stopping:
            return True
        if self._last_failed_round > started_rounds:
            return True
        if state.answered_round <= started_rounds:
            return False
        return state.is_refused_over_rate or state.retry_at_seconds > deadline_seconds

    def _limited(
        self, state: _CustomerState, limit: CustomerLimit, now_seconds: float
    ) -> Limited:
        waits = [state.holdings.floor_wait_seconds(limit, now_seconds)]
        if state.retry_at_seconds > now_seconds:
            waits.append(state.retry_at_seconds - now_seconds)
        finite_waits = [wait for wait in waits if wait is not None]
        retry_after_seconds = min(finite_waits, default=DEFAULT_RETRY_AFTER_SECONDS)
        return Limited(retry_after_seconds, state.is_over_rate(now_seconds))

    def _run(self) -> None:
        while self._wait_for_next_round():
            self._run_round()

    def _wait_for_next_round(self) -> bool:
        with self._lock:
            has_waiting_callers = any(
                state.waiting for state in self._customer_states.values()
            )
            pause_seconds = (
                URGENT_REQUEST_INTERVAL_SECONDS
                if has_waiting_callers
                else REQUEST_INTERVAL_SECONDS
            )
            self._round_requested.wait_for(
                lambda: self._is_urgent or self._is_stopping, pause_seconds
            )
            self._is_urgent = False
            return not self._is_stopping

    def _run_round(self) -> None:
        """Send the requests for all customers and apply the replies."""
        requested_seconds = self._clock.now_seconds()
        with self._lock:
            self._started_rounds += 1
            requests = self._build_requests(requested_seconds)
        for request in requests:
            reply = self._send_request(request)
            with self._lock:
                self._apply_reply(reply, requested_seconds)
                self._holdings_changed.notify_all()

    def _build_requests(self, now_seconds: float) -> list[ExtraRequest]:
        """Return one request per epoch; usually all share one epoch."""
        by_epoch: dict[Epoch, list[Any]] = {}
        for customer_id, state in list(self._customer_states.items()):
            limit = self.limit(customer_id)
            if limit is None:
                continue
            report = state.holdings.prepare_request(limit, state.waiting, now_seconds)
            if report is not None:
                by_epoch.setdefault(state.holdings.epoch, []).append(report)
        return [
            ExtraRequest(self._holder, epoch, tuple(reports))
            for epoch, reports in by_epoch.items()
        ]

    def _send_request(self, request: ExtraRequest) -> ExtraReply | None:
        link = self._grantor()
        if link is None:
            return None
        try:
            reply = link.request(request, REQUEST_TIMEOUT_SECONDS)
        except (PeerUnavailable, MalformedMessage):
            return None
        return reply if isinstance(reply, ExtraReply) else None

    def _apply_reply(self, reply: ExtraReply | None, requested_seconds: float) -> None:
        if reply is None or reply.epoch is None:
            self._last_failed_round = self._started_rounds
            return
        now_seconds = self._clock.now_seconds()
        self._last_reply_seconds = now_seconds
        for granted in reply.granted:
            state = self._customer_state(granted.customer_id)
            expires_seconds = requested_seconds + reply.term_seconds
            state.holdings.add_extra(granted, reply.epoch, expires_seconds)
            state.answered_round = self._started_rounds
            state.reply_seconds = now_seconds
            state.is_refused_over_rate = granted.over_rate and not granted.tokens
            state.retry_at_seconds = now_seconds + granted.retry_after_seconds
