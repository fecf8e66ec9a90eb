"""Permits for requests to upstreams that name a limit."""

import threading
from collections.abc import Callable, Iterable

from attrs import frozen

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway._limit_keeper import LimitKeeper
from waxwingwinch.gateway._limit_log_lines import (
    PermitDecided,
    PermitUnanswered,
)
from waxwingwinch.gateway._limit_messages import PermitReply, PermitRequest
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._named_limits import NamedLimit, NamedLimits
from waxwingwinch.gateway._routes import stable_rank
from waxwingwinch.gateway._telemetry import CounterName, Telemetry
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.cold import ColdBroker, NoColdPermit, OwnCallSkipped
from waxwingwinch.kernel import Clock

#: Longest wait for the keeper of a limit; several round trips between zones.
KEEPER_TIMEOUT_SECONDS = 0.1
#: Time for which a keeper that did not answer is not asked again. Another
#: instance keeps the limit once this one has been silent for a while.
KEEPER_RETRY_SECONDS = 0.5


@frozen
class NoPermit:
    """
    A request may not be sent to an upstream now.

    :param upstream_id: The upstream.
    :param wait_seconds: Time until its limit has room for a request.
    :param return_seconds: Time after which a refused caller should return.
    """

    upstream_id: UpstreamId
    wait_seconds: float
    return_seconds: float


def choose_keeper(upstream: Upstream, instances: Iterable[Member]) -> Member | None:
    """
    Return the instance that keeps an upstream's limit.

    Rendezvous hashing makes all instances with the same view choose the same
    one. Instances in the upstream's availability zone take precedence.

    :param upstream: The upstream.
    :param instances: The instances that accept callers.
    :returns: None if there are no instances.
    """
    return max(
        instances,
        key=lambda member: (
            member.zone == upstream.zone,
            stable_rank(upstream.upstream_id, member.instance_id),
        ),
        default=None,
    )


class PermitBroker:
    """
    Obtains permits for the requests of this process.

    :param limits: The limits that upstreams name.
    :param keeper: Keeps the limits that fall to this process.
    :param members: Directory of all instances.
    :param telemetry: Metrics of the process.
    :param is_ready: Tells whether this process accepts callers.
    :param clock: Source of the present time.
    :param cold: Obtains permits for cold upstreams; None if none are needed.
    """

    def __init__(
        self,
        limits: NamedLimits,
        keeper: LimitKeeper,
        members: MemberDirectory,
        telemetry: Telemetry,
        is_ready: Callable[[], bool],
        clock: Clock,
        cold: ColdBroker | None = None,
    ) -> None:
        #: Asks another instance, given the longest wait in seconds.
        self.ask: Callable[[Member, PermitRequest, float], PermitReply] = _ask_nobody
        self._limits = limits
        self._keeper = keeper
        self._members = members
        self._telemetry = telemetry
        self._is_ready = is_ready
        self._clock = clock
        self._cold = cold
        self._refused_until_seconds: dict[UpstreamId, float] = {}
        self._lock = threading.Lock()

    def is_needed(self, upstream: Upstream) -> bool:
        """
        Tell whether an upstream is known to name a limit.

        :param upstream: The upstream.
        """
        limit = self._limits.get(upstream.upstream_id, upstream.started_ms)
        return limit is not None

    def is_cold(self, upstream: Upstream) -> bool:
        """
        Tell whether requests to an upstream are bounded, as it is cold.

        :param upstream: The upstream.
        """
        return self._cold is not None and self._cold.is_needed(upstream)

    def acquire_cold(self, request_id: str, upstream: Upstream) -> NoPermit | None:
        """
        Obtain a permit for an upstream if it is cold.

        :param request_id: Id of the request.
        :param upstream: The upstream.
        :returns: None if the request may be sent soon.
        """
        if self._cold is None or not self.is_cold(upstream):
            return None
        refusal = self._cold.acquire(request_id, upstream, self.ask)
        if refusal is None:
            return None
        return NoPermit(
            upstream.upstream_id, refusal.wait_seconds, refusal.return_seconds
        )

    def take_cold(self, request_id: str, upstream: Upstream) -> float | None:
        """
        Use the permit of a request that is sent now, if its upstream is cold.

        :param request_id: Id of the request.
        :param upstream: The upstream.
        :returns: Monotonic time by which it has to be sent; None for any time.
        :raises NoColdPermit: If the request must not be sent there.
        """
        if self._cold is None or not self._cold.is_needed(upstream):
            return None
        return self._cold.take(request_id, upstream, self.ask)

    def may_call(self, upstream: Upstream) -> bool:
        """
        Tell whether the gateway itself may call an upstream at once.

        :param upstream: The upstream.
        """
        try:
            self.take_cold(f"own-{upstream.upstream_id}", upstream)
        except NoColdPermit:
            OwnCallSkipped(upstream_id=upstream.upstream_id, call="order").write()
            return False
        return True

    def record_failure(self, upstream: Upstream) -> None:
        """
        Record a failed call: the upstream may have restarted, and be cold.

        :param upstream: The upstream.
        """
        if self._cold is not None:
            self._cold.suspect(upstream)

    def acquire(
        self, request_id: str, upstream: Upstream, is_last: bool
    ) -> NoPermit | None:
        """
        Obtain a permit to send a request to an upstream at once.

        :param request_id: Id of the request.
        :param upstream: The upstream.
        :param is_last: True if the caller is refused without the permit.
        :returns: None if the request may be sent.
        """
        refusal = self.acquire_cold(request_id, upstream)
        if refusal is not None:
            return refusal
        limit = self._limits.get(upstream.upstream_id, upstream.started_ms)
        if limit is None:
            return None
        now_seconds = self._clock.now_seconds()
        with self._lock:
            until_seconds = self._refused_until_seconds.get(upstream.upstream_id, 0.0)
        if now_seconds < until_seconds and not is_last:
            wait_seconds = until_seconds - now_seconds
            return NoPermit(upstream.upstream_id, wait_seconds, wait_seconds)
        return self._ask_keeper(request_id, upstream, limit, is_last, now_seconds)

    def _ask_keeper(
        self,
        request_id: str,
        upstream: Upstream,
        limit: NamedLimit,
        is_last: bool,
        now_seconds: float,
    ) -> NoPermit | None:
        keeper = self._keeper_of(upstream, now_seconds)
        request = PermitRequest(
            upstream.upstream_id,
            upstream.started_ms,
            limit.limit_per_second or 0.0,
            now_seconds - limit.observed_seconds,
            is_last,
        )
        own = self._members.local_member
        try:
            if keeper == own:
                reply = self._keeper.decide(own.instance_id, request, now_seconds)
            else:
                reply = self.ask(keeper, request, KEEPER_TIMEOUT_SECONDS)
        except (PeerUnavailable, MalformedMessage) as error:
            self._telemetry.count(CounterName.LIMIT_PERMITS, "unanswered")
            PermitUnanswered(
                request_id=request_id,
                upstream_id=upstream.upstream_id,
                keeper=keeper.instance_id,
                reason=str(error),
                took_seconds=self._clock.now_seconds() - now_seconds,
            ).write()
            return self._refuse(upstream, KEEPER_RETRY_SECONDS, KEEPER_RETRY_SECONDS)
        self._log_reply(request_id, keeper, request, reply, now_seconds)
        if reply.is_granted:
            return None
        return self._refuse(upstream, reply.wait_seconds, reply.return_seconds)

    def _keeper_of(self, upstream: Upstream, now_seconds: float) -> Member:
        own = self._members.local_member
        instances = list(self._members.ready_others(now_seconds))
        if self._is_ready():
            instances.append(own)
        return choose_keeper(upstream, instances) or own

    def _log_reply(
        self,
        request_id: str,
        keeper: Member,
        request: PermitRequest,
        reply: PermitReply,
        asked_seconds: float,
    ) -> None:
        outcome = "granted" if reply.is_granted else "refused"
        self._telemetry.count(CounterName.LIMIT_PERMITS, outcome)
        PermitDecided(
            request_id=request_id,
            upstream_id=request.upstream_id,
            keeper=keeper.instance_id,
            limit_per_second=request.limit_per_second,
            limit_age_seconds=request.limit_age_seconds,
            is_granted=reply.is_granted,
            counted=reply.counted,
            share=reply.share,
            wait_seconds=reply.wait_seconds,
            return_seconds=reply.return_seconds,
            took_seconds=self._clock.now_seconds() - asked_seconds,
        ).write()

    def _refuse(
        self, upstream: Upstream, wait_seconds: float, return_seconds: float
    ) -> NoPermit:
        now_seconds = self._clock.now_seconds()
        with self._lock:
            self._refused_until_seconds = {
                upstream_id: until_seconds
                for upstream_id, until_seconds in self._refused_until_seconds.items()
                if until_seconds > now_seconds
            }
            self._refused_until_seconds[upstream.upstream_id] = (
                now_seconds + wait_seconds
            )
        return NoPermit(upstream.upstream_id, wait_seconds, return_seconds)


def _ask_nobody(keeper: Member, request: PermitRequest, _: float) -> PermitReply:
    raise PeerUnavailable(
        f"no links yet to ask {keeper.instance_id} about {request.upstream_id}"
    )
