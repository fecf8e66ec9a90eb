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
from waxwingwinch.limits._floor_asker import FloorAsker
from waxwingwinch.limits._holdings import Holdings
from waxwingwinch.limits._messages import ExtraReply, ExtraRequest
from waxwingwinch.limits._terms import CustomerLimit, limits_of

#: Interval of the regular requests to the grantor.
ASK_INTERVAL_SECONDS = 0.25
#: Pause between requests while callers wait.
ASK_PAUSE_SECONDS = 0.02
#: How long one request to the grantor may take.
ASK_TIMEOUT_SECONDS = 0.3
#: Longest wait of a caller for a token.
ADMIT_WAIT_SECONDS = 0.3
#: Age at which an answer says nothing about the customer's demand.
ANSWER_AGE_SECONDS = 1.0


class GrantorLink(Protocol):
    """A link to the grantor, such as a :class:`PeerLink`."""

    def request(self, body: object, timeout_seconds: float) -> Any:
        """Send a request and return the reply."""


@define
class _Entry:
    """
    One customer at this entry.

    :param holdings: What is held for it.
    :param waiting: Callers that wait for a token.
    :param answered: Number of the last request about it that was answered.
    :param answered_seconds: Monotonic time of that answer.
    :param over_rate: What the answer said.
    :param retry_at_seconds: When the answer expects tokens to be there.
    """

    holdings: Holdings
    waiting: int = 0
    answered: int = 0
    answered_seconds: float = -math.inf
    over_rate: bool = False
    retry_at_seconds: float = -math.inf

    def is_over_rate(self, now_seconds: float) -> bool:
        """Tell whether a recent answer said so."""
        age_seconds = now_seconds - self.answered_seconds
        return self.over_rate and age_seconds < ANSWER_AGE_SECONDS

    def is_hopeless(self, now_seconds: float) -> bool:
        """Tell whether a recent answer rules out a token in time."""
        if self.is_over_rate(now_seconds):
            return self.retry_at_seconds > now_seconds
        if now_seconds - self.answered_seconds >= ASK_INTERVAL_SECONDS:
            return False
        return self.retry_at_seconds > now_seconds + ADMIT_WAIT_SECONDS


class Limiter:
    """
    Admits requests from the floor and the short-term tokens held here.

    :param holder: This process.
    :param clock: Source of the present time.
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
        self._entries: dict[CustomerId, _Entry] = {}
        self._limits: dict[CustomerId, CustomerLimit] = {}
        self._limits_of: Configuration | None = None
        self._lock = threading.RLock()
        self._turns = threading.Condition(self._lock)
        self._answers = threading.Condition(self._lock)
        self._asks = 0
        self._failed_ask = 0
        self._is_urgent = False
        self._is_stopping = False
        self._reached_seconds = float("-inf")
        self._floors = FloorAsker(holder, clock, grantor, self)
        self._thread = threading.Thread(
            target=self._run, name="limiter-extras", daemon=True
        )

    def start(self) -> None:
        """Start asking the grantor."""
        self._thread.start()
        self._floors.start()

    def stop(self) -> None:
        """Give the floors back and end the threads."""
        with self._lock:
            self._is_stopping = True
            self._turns.notify_all()
            self._answers.notify_all()
        self._thread.join()
        self._floors.stop()

    def health(self) -> Health:
        """Return ``DEGRADED`` while no grantor answers."""
        age_seconds = self._clock.now_seconds() - self._reached_seconds
        is_reached = age_seconds < 4 * ASK_INTERVAL_SECONDS
        return Health.HEALTHY if is_reached else Health.DEGRADED

    def admit(self, customer_id: CustomerId, now_seconds: float) -> LimitDecision:
        """
        Spend one request of a customer, if there is one.

        :param customer_id: The customer.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            limit = self.limit(customer_id)
            if limit is None:
                return Limited(DEFAULT_RETRY_AFTER_SECONDS, over_rate=True)
            entry = self._entry(customer_id)
            entry.holdings.arrivals.note(now_seconds)
            if entry.holdings.take(limit, now_seconds):
                return Admitted()
            if entry.is_hopeless(now_seconds):
                return self._limited(entry, limit, now_seconds)
            return self._wait_for_token(entry, limit, now_seconds)

    def limit(self, customer_id: CustomerId) -> CustomerLimit | None:
        """
        Return the limits of a customer in force here.

        :param customer_id: The customer.
        """
        configuration = self._configuration()
        if configuration is not self._limits_of:
            self._limits = limits_of(configuration)
            self._limits_of = configuration
        return self._limits.get(customer_id)

    def customers(self) -> list[CustomerId]:
        """Return all configured customers."""
        with self._lock:
            self.limit(CustomerId(""))
            return list(self._limits)

    def with_holdings(
        self, customer_id: CustomerId, change: Callable[[Holdings, CustomerLimit], None]
    ) -> None:
        """
        Run a function on the holdings of a customer, under the lock.

        :param customer_id: The customer; unknown ones are left out.
        :param change: What to run.
        """
        with self._lock:
            limit = self.limit(customer_id)
            if limit is not None:
                change(self._entry(customer_id).holdings, limit)
                self._answers.notify_all()

    def _entry(self, customer_id: CustomerId) -> _Entry:
        entry = self._entries.get(customer_id)
        if entry is None:
            entry = _Entry(Holdings(customer_id))
            self._entries[customer_id] = entry
        return entry

    def _wait_for_token(
        self, entry: _Entry, limit: CustomerLimit, now_seconds: float
    ) -> LimitDecision:
        """Ask the grantor and wait; called with the lock held."""
        deadline_seconds = now_seconds + ADMIT_WAIT_SECONDS
        asks = self._asks
        entry.waiting += 1
        self._is_urgent = True
        self._turns.notify_all()
        try:
            while not self._is_hopeless(entry, asks, now_seconds, deadline_seconds):
                wait_seconds = deadline_seconds - now_seconds
                floor_seconds = entry.holdings.floor_wait_seconds(limit, now_seconds)
                if floor_seconds is not None:
                    wait_seconds = min(wait_seconds, floor_seconds)
                self._answers.wait(wait_seconds)
                now_seconds = self._clock.now_seconds()
                if entry.holdings.take(limit, now_seconds):
                    return Admitted()
        finally:
            entry.waiting -= 1
        return self._limited(entry, limit, now_seconds)

    def _is_hopeless(
        self, entry: _Entry, asks: int, now_seconds: float, deadline_seconds: float
    ) -> bool:
        """Tell whether a caller that came after some asks waits in vain."""
        if now_seconds >= deadline_seconds or self._is_stopping:
            return True
        if self._failed_ask > asks:
            return True
        if entry.answered <= asks:
            return False
        return entry.over_rate or entry.retry_at_seconds > deadline_seconds

    def _limited(
        self, entry: _Entry, limit: CustomerLimit, now_seconds: float
    ) -> Limited:
        waits = [entry.holdings.floor_wait_seconds(limit, now_seconds)]
        if entry.retry_at_seconds > now_seconds:
            waits.append(entry.retry_at_seconds - now_seconds)
        known = [wait for wait in waits if wait is not None]
        retry_after_seconds = min(known, default=DEFAULT_RETRY_AFTER_SECONDS)
        return Limited(retry_after_seconds, entry.is_over_rate(now_seconds))

    def _run(self) -> None:
        while self._wait_for_turn():
            self._ask()

    def _wait_for_turn(self) -> bool:
        with self._lock:
            is_waited_for = any(entry.waiting for entry in self._entries.values())
            pause_seconds = ASK_PAUSE_SECONDS if is_waited_for else ASK_INTERVAL_SECONDS
            self._turns.wait_for(
                lambda: self._is_urgent or self._is_stopping, pause_seconds
            )
            self._is_urgent = False
            return not self._is_stopping

    def _ask(self) -> None:
        """Send one request for all customers and take over the reply."""
        asked_seconds = self._clock.now_seconds()
        with self._lock:
            self._asks += 1
            requests = self._requests(asked_seconds)
        for request in requests:
            reply = self._request(request)
            with self._lock:
                self._take_over(reply, asked_seconds)
                self._answers.notify_all()

    def _requests(self, now_seconds: float) -> list[ExtraRequest]:
        """Return one request for each epoch seen, in practice one."""
        by_epoch: dict[Epoch, list[Any]] = {}
        for customer_id, entry in list(self._entries.items()):
            limit = self.limit(customer_id)
            if limit is None:
                continue
            row = entry.holdings.ask(limit, entry.waiting, now_seconds)
            if row is not None:
                by_epoch.setdefault(entry.holdings.epoch, []).append(row)
        return [
            ExtraRequest(self._holder, epoch, tuple(rows))
            for epoch, rows in by_epoch.items()
        ]

    def _request(self, request: ExtraRequest) -> ExtraReply | None:
        link = self._grantor()
        if link is None:
            return None
        try:
            reply = link.request(request, ASK_TIMEOUT_SECONDS)
        except (PeerUnavailable, MalformedMessage):
            return None
        return reply if isinstance(reply, ExtraReply) else None

    def _take_over(self, reply: ExtraReply | None, asked_seconds: float) -> None:
        if reply is None or reply.epoch is None:
            self._failed_ask = self._asks
            return
        now_seconds = self._clock.now_seconds()
        self._reached_seconds = now_seconds
        for granted in reply.granted:
            entry = self._entry(granted.customer_id)
            expires_seconds = asked_seconds + reply.term_seconds
            entry.holdings.add_extra(granted, reply.epoch, expires_seconds)
            entry.answered = self._asks
            entry.answered_seconds = now_seconds
            entry.over_rate = granted.over_rate and not granted.tokens
            entry.retry_at_seconds = now_seconds + granted.retry_after_seconds
