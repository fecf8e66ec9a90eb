"""Permits of this process for requests to cold upstreams."""

import threading
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._limit_messages import PermitReply, PermitRequest
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._routes import stable_rank
from waxwingwinch.gateway._telemetry import CounterName, Telemetry
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.cold._budgets import PERMIT_SECONDS
from waxwingwinch.gateway.cold._keeper import ColdKeeper
from waxwingwinch.gateway.cold._log_lines import ColdDecided, ColdUnanswered
from waxwingwinch.http import NotSent
from waxwingwinch.kernel import Clock

#: Longest wait for a keeper; several round trips between zones.
KEEPER_TIMEOUT_SECONDS = 0.1
#: Time for which a keeper that did not answer is not asked again.
KEEPER_RETRY_SECONDS = 0.5
#: Limits of the time over which refused callers are told to return: at least
#: the time in which room comes free, at most what callers wait for.
MIN_SPREAD_SECONDS, MAX_SPREAD_SECONDS = 1.0, 10.0

#: Asks another instance, given the longest wait in seconds.
Ask = Callable[[Member, PermitRequest, float], PermitReply]


class NoColdPermit(NotSent):
    """The upstream is cold, and no permit for it was left when sending."""


@frozen
class ColdRefusal:
    """
    A request may not be sent to a cold upstream now.

    :param wait_seconds: Time until there may be room.
    :param return_seconds: Time after which a refused caller should return.
    """

    wait_seconds: float
    return_seconds: float


class ColdBroker:
    """
    Obtains permits for requests of this process to cold upstreams.

    :param keeper: Grants for the upstreams that this instance keeps.
    :param members: Directory of all instances.
    :param telemetry: Metrics of the process.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        keeper: ColdKeeper,
        members: MemberDirectory,
        telemetry: Telemetry,
        clock: Clock,
    ) -> None:
        self._keeper = keeper
        self._members = members
        self._telemetry = telemetry
        self._clock = clock
        self._held: dict[tuple[str, UpstreamId], float] = {}
        self._refused_until_seconds: dict[UpstreamId, float] = {}
        self._silent_until_seconds: dict[InstanceId, float] = {}
        self._lock = threading.Lock()

    def is_needed(self, upstream: Upstream) -> bool:
        """
        Tell whether a request to an upstream needs a permit.

        :param upstream: The upstream.
        """
        if not self._keeper.periods.rate(upstream):
            # Each choice asks for all upstreams of a service, most of which
            # have no limit.
            return False
        now_seconds = self._clock.now_seconds()
        self._keeper.notice_suspension(now_seconds)
        return self._keeper.periods.is_limited(upstream, now_seconds)

    def suspect(self, upstream: Upstream) -> None:
        """
        Record a failed call, after which an upstream may have restarted.

        :param upstream: The upstream.
        """
        self._keeper.periods.suspect(upstream, self._clock.now_seconds())

    def acquire(
        self, request_id: str, upstream: Upstream, ask: Ask
    ) -> ColdRefusal | None:
        """
        Obtain a permit to send a request soon, unless it is held already.

        :param request_id: Id of the request.
        :param upstream: The upstream.
        :param ask: Asks another instance.
        :returns: None if the request may be sent.
        """
        now_seconds = self._clock.now_seconds()
        key = (request_id, upstream.upstream_id)
        with self._lock:
            if self._held.get(key, 0.0) > now_seconds:
                return None
            until_seconds = self._refused_until_seconds.get(upstream.upstream_id, 0.0)
        if until_seconds > now_seconds:
            return self._refusal(request_id, upstream, until_seconds - now_seconds)
        reply = self._ask_keepers(request_id, upstream, ask)
        with self._lock:
            if reply is not None and reply.is_granted:
                # The keeper granted after it was asked.
                self._discard_old(now_seconds)
                self._held[key] = now_seconds + PERMIT_SECONDS
                return None
            wait_seconds = KEEPER_RETRY_SECONDS if reply is None else reply.wait_seconds
            self._refused_until_seconds[upstream.upstream_id] = (
                self._clock.now_seconds() + wait_seconds
            )
        return self._refusal(request_id, upstream, wait_seconds)

    def take(self, request_id: str, upstream: Upstream, ask: Ask) -> float:
        """
        Use the permit of a request that is sent now; obtain one if needed.

        :param request_id: Id of the request.
        :param upstream: The upstream.
        :param ask: Asks another instance.
        :returns: Monotonic time by which the request has to be sent.
        :raises NoColdPermit: If it must not be sent.
        """
        refusal = self.acquire(request_id, upstream, ask)
        if refusal is not None:
            raise NoColdPermit(
                f"{upstream.upstream_id} is cold, has room in"
                f" {refusal.wait_seconds:.2f} s"
            )
        with self._lock:
            until_seconds = self._held.pop((request_id, upstream.upstream_id), 0.0)
        if until_seconds <= self._clock.now_seconds():
            # The process was suspended or slow since it asked.
            raise NoColdPermit(f"the permit for {upstream.upstream_id} has expired")
        self._telemetry.count(CounterName.COLD_SENDS, upstream.service)
        return until_seconds

    def _ask_keepers(
        self, request_id: str, upstream: Upstream, ask: Ask
    ) -> PermitReply | None:
        """Ask the first keeper, and a reserve keeper if it can't decide."""
        keepers = self._keeper.keepers(upstream)
        if keepers is None:
            self._telemetry.count(CounterName.COLD_PERMITS, "no_members")
            return None
        now_seconds = self._clock.now_seconds()
        own = self._members.local_member
        present = {
            member.instance_id for member in self._members.ready_others(now_seconds)
        }
        with self._lock:
            present -= {
                instance_id
                for instance_id, until_seconds in self._silent_until_seconds.items()
                if until_seconds > now_seconds
            }
        present.add(own.instance_id)
        reply = None
        if keepers.primary.instance_id in present:
            reply = self._ask_one(request_id, upstream, keepers.primary, ask, False)
            if reply is not None and reply.share > 0.0:
                return reply
        reserve = [
            member for member in keepers.reserve if member.instance_id in present
        ]
        if not reserve:
            return reply
        # The requests are spread over the reserve keepers. One that is a
        # reserve keeper itself asks nobody.
        chosen = max(
            reserve,
            key=lambda member: (
                member.instance_id == own.instance_id,
                stable_rank(request_id, member.instance_id),
            ),
        )
        return self._ask_one(request_id, upstream, chosen, ask, True)

    def _ask_one(
        self,
        request_id: str,
        upstream: Upstream,
        keeper: Member,
        ask: Ask,
        is_reserve: bool,
    ) -> PermitReply | None:
        """Ask a keeper; return None if it did not answer."""
        asked_seconds = self._clock.now_seconds()
        cold_seconds = self._keeper.periods.until_seconds(upstream) - asked_seconds
        request = PermitRequest(
            upstream.upstream_id,
            upstream.started_ms,
            0.0,
            0.0,
            is_last=False,
            cold_seconds=max(cold_seconds, PERMIT_SECONDS),
        )
        try:
            if keeper.instance_id == self._members.local_member.instance_id:
                reply = self._keeper.decide(request, asked_seconds)
            else:
                reply = ask(keeper, request, KEEPER_TIMEOUT_SECONDS)
        except (PeerUnavailable, MalformedMessage) as error:
            now_seconds = self._clock.now_seconds()
            with self._lock:
                self._silent_until_seconds[keeper.instance_id] = (
                    now_seconds + KEEPER_RETRY_SECONDS
                )
            self._telemetry.count(CounterName.COLD_PERMITS, "unanswered")
            ColdUnanswered(
                request_id=request_id,
                upstream_id=upstream.upstream_id,
                keeper=keeper.instance_id,
                reason=str(error),
                took_seconds=now_seconds - asked_seconds,
            ).write()
            return None
        outcome = "granted" if reply.is_granted else "refused"
        self._telemetry.count(CounterName.COLD_PERMITS, outcome)
        ColdDecided(
            request_id=request_id,
            upstream_id=upstream.upstream_id,
            keeper=keeper.instance_id,
            is_reserve=is_reserve,
            is_granted=reply.is_granted,
            counted=reply.counted,
            budget=reply.share,
            cold_seconds=cold_seconds,
            wait_seconds=reply.wait_seconds,
            took_seconds=self._clock.now_seconds() - asked_seconds,
        ).write()
        return reply

    def _refusal(
        self, request_id: str, upstream: Upstream, wait_seconds: float
    ) -> ColdRefusal:
        now_seconds = self._clock.now_seconds()
        cold_seconds = self._keeper.periods.until_seconds(upstream) - now_seconds
        spread_seconds = min(max(cold_seconds, MIN_SPREAD_SECONDS), MAX_SPREAD_SECONDS)
        offset = stable_rank(request_id, upstream.upstream_id)
        return ColdRefusal(wait_seconds, wait_seconds + offset * spread_seconds)

    def _discard_old(self, now_seconds: float) -> None:
        """Delete expired permits, and refusals that are over."""
        self._held = {
            key: until_seconds
            for key, until_seconds in self._held.items()
            if until_seconds > now_seconds
        }
        self._refused_until_seconds = {
            upstream_id: until_seconds
            for upstream_id, until_seconds in self._refused_until_seconds.items()
            if until_seconds > now_seconds
        }
