"""Directory of the registered upstreams and their observed failures."""

import enum
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import TypeVar

from attrs import evolve, frozen

from waxwingwinch._types import Address, EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway.evacuation import EvacuatedZones

#: Time for which an upstream is ejected after its first failure; doubles with
#: each further failure. Short, since most restarts take a few seconds. Also
#: the time for which an unreachable upstream is reported to peers.
FIRST_EJECTION_SECONDS = 0.5
#: Longest time for which failures eject an upstream.
MAX_EJECTION_SECONDS = 4.0
#: Time after an outage of the store for which an entry that disappeared in it
#: is kept; from the platform's promise of when entries are restored.
LAPSED_GRACE_SECONDS = 2.0
#: Number of upstreams whose last entries and statements are retained after
#: their removal.
MAX_REMOVED = 1_000


Value = TypeVar("Value")


class RegisteredState(enum.Enum):
    """State that an upstream has registered, or stated in an answer."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class Upstream:
    """
    Registry entry of one incarnation of an upstream.

    :param upstream_id: Id of the upstream; the same after a restart.
    :param started_ms: Unix time of its start in milliseconds; 0 if unknown.
    :param service: Name of its service.
    :param address: Address at which it serves requests.
    :param zone: Its availability zone.
    :param state: Whether it takes new work.
    :param slots: Requests that it serves concurrently.
    :param cold_until_seconds: Monotonic time until which it is warming up.
    :param role: Role of an engine; None for a plain upstream.
    :param is_spot: True if the platform may reclaim it.
    :param sequence: Increases with each entry of one incarnation.
    :param is_cold_stated: False if the entry doesn't say whether it is cold.
    """

    upstream_id: UpstreamId
    started_ms: int
    service: str
    address: Address
    zone: ZoneName
    state: RegisteredState
    slots: int
    cold_until_seconds: float = 0.0
    role: EngineRole | None = None
    is_spot: bool = False
    sequence: int = 0
    is_cold_stated: bool = True

    def is_older_than(self, other: "Upstream") -> bool:
        """
        Tell whether an entry was written before another of the same id.

        :param other: The other entry.
        """
        return (self.started_ms, self.sequence) < (other.started_ms, other.sequence)


@frozen
class _FailureStreak:
    """
    Consecutive failures of an upstream.

    :param failures: Number of failures.
    :param ejected_until_seconds: Monotonic time until which it is ejected.
    """

    failures: int
    ejected_until_seconds: float


@frozen
class _Leaving:
    """
    An incarnation of an upstream whose answers say that it leaves.

    :param started_ms: Unix time of the incarnation's start in milliseconds.
    :param is_local: True if an answer to this process was the first to say so.
    """

    started_ms: int
    is_local: bool


@frozen
class _Away:
    """
    An incarnation of an upstream that has turned a request of this process
    away and named the time of its return.

    :param started_ms: Unix time of the incarnation's start in milliseconds.
    :param until_seconds: Monotonic time of the return.
    """

    started_ms: int
    until_seconds: float


@frozen
class OrderedRoleChange:
    """
    An ordered change of an engine's role.

    :param role: Its new role.
    :param until_seconds: Monotonic time at which the engine serves again.
    """

    role: EngineRole
    until_seconds: float


class UpstreamDirectory:
    """
    The registered upstreams; may be used from all threads.

    :param evacuated: Availability zones whose upstreams get no requests.
    """

    def __init__(self, evacuated: EvacuatedZones | None = None) -> None:
        #: Availability zones whose upstreams get no requests.
        self.evacuated = evacuated or EvacuatedZones()
        #: Returns the monotonic time until which an upstream is cold.
        self.cold_until_seconds: Callable[[Upstream], float] = lambda upstream: (
            upstream.cold_until_seconds
        )
        self._upstreams: dict[UpstreamId, Upstream] = {}
        # Last entries of removed upstreams; an older entry may arrive after
        # the removal.
        self._removed: OrderedDict[UpstreamId, Upstream] = OrderedDict()
        self._lapsed: dict[UpstreamId, float] = {}
        self._failure_streaks: dict[UpstreamId, _FailureStreak] = {}
        self._unreachable_seconds: dict[UpstreamId, float] = {}
        self._unresponsive_seconds: dict[UpstreamId, float] = {}
        self._role_changes: dict[UpstreamId, OrderedRoleChange] = {}
        # Retained after a removal; an entry may lapse and return as ready.
        self._leaving: OrderedDict[UpstreamId, _Leaving] = OrderedDict()
        self._away: OrderedDict[UpstreamId, _Away] = OrderedDict()
        self._read_seconds: float | None = None
        self._lock = threading.Lock()

    def record_read(self, now_seconds: float) -> None:
        """
        Record that the entries were read from the store.

        :param now_seconds: Monotonic time of the read.
        """
        self._read_seconds = now_seconds

    def age_seconds(self, now_seconds: float) -> float | None:
        """
        Return the time since the entries were read; None if they never were.

        :param now_seconds: Monotonic time.
        """
        read_seconds = self._read_seconds
        return None if read_seconds is None else now_seconds - read_seconds

    def put(self, upstream: Upstream) -> Upstream | None:
        """
        Add or replace the entry of an upstream.

        An entry that is older than the known entry is ignored.

        :param upstream: The new entry.
        :returns: The entry known before, also if the new entry is ignored;
            None if there was none.
        """
        with self._lock:
            removed = self._removed.get(upstream.upstream_id)
            if removed is not None and not removed.is_older_than(upstream):
                return removed
            known = self._upstreams.get(upstream.upstream_id)
            if known is not None and upstream.is_older_than(known):
                return known
            if known is not None and upstream.started_ms > known.started_ms:
                self._failure_streaks.pop(upstream.upstream_id, None)
            self._upstreams[upstream.upstream_id] = self._as_known(upstream)
            self._lapsed.pop(upstream.upstream_id, None)
            return known

    def _as_known(self, upstream: Upstream) -> Upstream:
        """Return the entry with what is known beyond it."""
        leaving = self._leaving.get(upstream.upstream_id)
        if leaving is not None and leaving.started_ms == upstream.started_ms:
            upstream = evolve(upstream, state=RegisteredState.DRAINING)
        role_change = self._role_changes.get(upstream.upstream_id)
        if role_change is None or role_change.role is upstream.role:
            return upstream
        return evolve(upstream, role=role_change.role)

    def remove(self, upstream_id: UpstreamId) -> None:
        """
        Remove an upstream; its last entry is retained.

        :param upstream_id: Id of the upstream.
        """
        with self._lock:
            removed = self._upstreams.pop(upstream_id, None)
            if removed is not None:
                _retain(self._removed, upstream_id, removed)
            self._lapsed.pop(upstream_id, None)
            self._failure_streaks.pop(upstream_id, None)
            self._unreachable_seconds.pop(upstream_id, None)
            self._unresponsive_seconds.pop(upstream_id, None)
            self._role_changes.pop(upstream_id, None)

    def mark_lapsed(self, upstream_id: UpstreamId, now_seconds: float) -> None:
        """
        Record that an entry disappeared in an outage of the store.

        :param upstream_id: Id of the upstream.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if upstream_id in self._upstreams:
                until_seconds = now_seconds + LAPSED_GRACE_SECONDS
                self._lapsed.setdefault(upstream_id, until_seconds)

    def expire_lapsed(self, now_seconds: float) -> list[UpstreamId]:
        """
        Remove the lapsed entries that were not restored in time.

        :param now_seconds: Monotonic time.
        :returns: Ids of the removed upstreams.
        """
        with self._lock:
            expired = [
                upstream_id
                for upstream_id, until_seconds in self._lapsed.items()
                if until_seconds <= now_seconds
            ]
        for upstream_id in expired:
            self.remove(upstream_id)
        return expired

    def mark_misdirected(self, upstream: Upstream) -> None:
        """
        Record that another upstream answers at an upstream's address.

        The upstream gets no new work until its next entry arrives.

        :param upstream: The entry with the outdated address.
        """
        with self._lock:
            if self._upstreams.get(upstream.upstream_id) == upstream:
                # The upstream is not draining; the state withholds new work.
                draining = evolve(upstream, state=RegisteredState.DRAINING)
                self._upstreams[upstream.upstream_id] = draining

    def record_leaving(
        self, upstream_id: UpstreamId, started_ms: int, is_local: bool
    ) -> bool:
        """
        Record that the answers of an upstream say that it leaves.

        The incarnation gets no new work, whatever its entries say.

        :param upstream_id: Id of the upstream.
        :param started_ms: Unix time of the incarnation's start in
            milliseconds.
        :param is_local: True if an answer to this process says so.
        :returns: False if it was known.
        """
        with self._lock:
            known = self._leaving.get(upstream_id)
            if known is not None and known.started_ms >= started_ms:
                return False
            _retain(self._leaving, upstream_id, _Leaving(started_ms, is_local))
            upstream = self._upstreams.get(upstream_id)
            if upstream is not None:
                self._upstreams[upstream_id] = self._as_known(upstream)
            return True

    def local_leaving(self) -> tuple[tuple[UpstreamId, int], ...]:
        """
        Return the present upstreams that this process was first told to leave.

        :returns: Pairs of the id and the start of the incarnation, as Unix
            time in milliseconds.
        """
        with self._lock:
            return tuple(
                (upstream_id, leaving.started_ms)
                for upstream_id, leaving in self._leaving.items()
                if leaving.is_local and upstream_id in self._upstreams
            )

    def record_away(
        self, upstream_id: UpstreamId, started_ms: int, until_seconds: float
    ) -> None:
        """
        Record until when an upstream wants no request from this process.

        An earlier statement of a later time holds, too.

        :param upstream_id: Id of the upstream.
        :param started_ms: Unix time of the incarnation's start in
            milliseconds.
        :param until_seconds: Monotonic time of its return.
        """
        with self._lock:
            known = self._away.get(upstream_id)
            if known is not None and known.started_ms > started_ms:
                return
            if known is not None and known.started_ms == started_ms:
                until_seconds = max(until_seconds, known.until_seconds)
            _retain(self._away, upstream_id, _Away(started_ms, until_seconds))

    def away(
        self,
        service: str,
        now_seconds: float,
        zones: frozenset[ZoneName] | None = None,
    ) -> dict[Upstream, float]:
        """
        Return the ready upstreams of a service that want no request now.

        :param service: Name of the service.
        :param now_seconds: Monotonic time.
        :param zones: Availability zones to which they are restricted; None for
            all.
        :returns: The monotonic time of the return of each.
        """
        with self._lock:
            return {
                upstream: until_seconds
                for upstream in self._in_zones(zones)
                if upstream.service == service
                and upstream.state is RegisteredState.READY
                and not self.evacuated.contains(upstream.zone)
                and (until_seconds := self._away_until_seconds(upstream)) > now_seconds
            }

    def is_away(self, upstream: Upstream, now_seconds: float) -> bool:
        """
        Tell whether an upstream wants no request from this process now.

        :param upstream: The upstream.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return self._away_until_seconds(upstream) > now_seconds

    def is_cold(self, upstream: Upstream, now_seconds: float) -> bool:
        """
        Tell whether an upstream is cold.

        :param upstream: The upstream.
        :param now_seconds: Monotonic time.
        """
        return self.cold_until_seconds(upstream) > now_seconds

    def _away_until_seconds(self, upstream: Upstream) -> float:
        away = self._away.get(upstream.upstream_id)
        if away is None or away.started_ms != upstream.started_ms:
            return 0.0
        return away.until_seconds

    def record_role_change(
        self, upstream_id: UpstreamId, role: EngineRole, until_seconds: float
    ) -> None:
        """
        Record that an engine was ordered to change its role.

        The engine gets no new work until the change is complete. Its entries
        may still have the previous role.

        :param upstream_id: Id of the engine.
        :param role: Its new role.
        :param until_seconds: Monotonic time at which it serves again.
        """
        with self._lock:
            self._role_changes[upstream_id] = OrderedRoleChange(role, until_seconds)
            known = self._upstreams.get(upstream_id)
            if known is not None:
                self._upstreams[upstream_id] = evolve(known, role=role)

    def role_changes(self, now_seconds: float) -> dict[UpstreamId, OrderedRoleChange]:
        """
        Return the role changes in progress.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return {
                upstream_id: role_change
                for upstream_id, role_change in self._role_changes.items()
                if role_change.until_seconds > now_seconds
            }

    def record_failure(self, upstream_id: UpstreamId, now_seconds: float) -> float:
        """
        Record a failure of an upstream and eject it.

        :param upstream_id: Id of the upstream.
        :param now_seconds: Monotonic time.
        :returns: Duration of the ejection in seconds.
        """
        with self._lock:
            known = self._failure_streaks.get(upstream_id)
            failures = known.failures + 1 if known is not None else 1
            ejection_seconds: float = min(
                FIRST_EJECTION_SECONDS * 2 ** (failures - 1), MAX_EJECTION_SECONDS
            )
            self._failure_streaks[upstream_id] = _FailureStreak(
                failures, now_seconds + ejection_seconds
            )
            return ejection_seconds

    def unreachable(self, now_seconds: float) -> tuple[UpstreamId, ...]:
        """
        Return the upstreams that this process recently failed to reach.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return tuple(
                upstream_id
                for upstream_id, at_seconds in self._unreachable_seconds.items()
                if now_seconds - at_seconds < FIRST_EJECTION_SECONDS
            )

    def was_unreachable(self, upstream_id: UpstreamId, since_seconds: float) -> bool:
        """
        Tell whether this process has failed to reach an upstream lately.

        :param upstream_id: Id of the upstream.
        :param since_seconds: Monotonic time; earlier failures don't count.
        """
        with self._lock:
            at_seconds = self._unreachable_seconds.get(upstream_id)
        return at_seconds is not None and at_seconds >= since_seconds

    def was_unresponsive(self, upstream_id: UpstreamId, since_seconds: float) -> bool:
        """
        Tell whether connecting to an upstream has timed out lately.

        One that refuses a connection is reachable, and may go on with the
        requests that it runs.

        :param upstream_id: Id of the upstream.
        :param since_seconds: Monotonic time; earlier time-outs don't count.
        """
        with self._lock:
            at_seconds = self._unresponsive_seconds.get(upstream_id)
        return at_seconds is not None and at_seconds >= since_seconds

    def record_unresponsive(self, upstream_id: UpstreamId, now_seconds: float) -> float:
        """
        Record that connecting to an upstream timed out, and eject it.

        :param upstream_id: Id of the upstream.
        :param now_seconds: Monotonic time.
        :returns: Duration of the ejection in seconds.
        """
        with self._lock:
            self._unresponsive_seconds[upstream_id] = now_seconds
        return self.record_unreachable(upstream_id, now_seconds)

    def record_unreachable(self, upstream_id: UpstreamId, now_seconds: float) -> float:
        """
        Record that a connection to an upstream failed, and eject it.

        :param upstream_id: Id of the upstream.
        :param now_seconds: Monotonic time.
        :returns: Duration of the ejection in seconds.
        """
        with self._lock:
            self._unreachable_seconds[upstream_id] = now_seconds
        return self.record_failure(upstream_id, now_seconds)

    def record_unreachable_from_peer(
        self, upstream_id: UpstreamId, now_seconds: float
    ) -> None:
        """
        Record that a peer could not reach an upstream.

        The upstream is ejected unless it is ejected already.

        :param upstream_id: Id of the upstream.
        :param now_seconds: Monotonic time.
        """
        self._eject_once(upstream_id, now_seconds)

    def record_silence(self, upstream_id: UpstreamId, now_seconds: float) -> None:
        """
        Record that an upstream is silent, which may pass.

        The upstream is ejected unless it is ejected already.

        :param upstream_id: Id of the upstream.
        :param now_seconds: Monotonic time.
        """
        self._eject_once(upstream_id, now_seconds)

    def _eject_once(self, upstream_id: UpstreamId, now_seconds: float) -> None:
        with self._lock:
            if self._ejected_until_seconds(upstream_id) <= now_seconds:
                self._failure_streaks[upstream_id] = _FailureStreak(
                    1, now_seconds + FIRST_EJECTION_SECONDS
                )

    def record_success(self, upstream_id: UpstreamId) -> None:
        """
        Record that an upstream answered, and end its ejection.

        :param upstream_id: Id of the upstream.
        """
        with self._lock:
            self._failure_streaks.pop(upstream_id, None)

    def get(self, upstream_id: UpstreamId) -> Upstream | None:
        """
        Return the entry of an upstream; None if it is unknown.

        :param upstream_id: Its id.
        """
        with self._lock:
            return self._upstreams.get(upstream_id)

    def ready(
        self,
        upstream_id: UpstreamId,
        now_seconds: float,
        zones: frozenset[ZoneName] | None = None,
    ) -> Upstream | None:
        """
        Return the entry of an upstream; None unless it takes new work.

        In contrast to `usable`, ejections and role changes don't count.

        :param upstream_id: Its id.
        :param now_seconds: Monotonic time.
        :param zones: Availability zones that may get the work; None for all.
        """
        with self._lock:
            upstream = self._upstreams.get(upstream_id)
            if upstream is None or not self._takes_work(upstream, now_seconds):
                return None
            return upstream if zones is None or upstream.zone in zones else None

    def _in_zones(self, zones: frozenset[ZoneName] | None) -> Iterable[Upstream]:
        """Return the upstreams in the given zones; without a cost for all."""
        upstreams = self._upstreams.values()
        if zones is None:
            return upstreams
        return [upstream for upstream in upstreams if upstream.zone in zones]

    def _takes_work(self, upstream: Upstream, now_seconds: float) -> bool:
        """Tell whether an upstream may get new work, as far as it says."""
        return (
            upstream.state is RegisteredState.READY
            and not self.evacuated.contains(upstream.zone)
            and self._away_until_seconds(upstream) <= now_seconds
        )

    def all(self) -> tuple[Upstream, ...]:
        """Return all known upstreams."""
        with self._lock:
            return tuple(self._upstreams.values())

    def for_service(self, service: str) -> tuple[Upstream, ...]:
        """
        Return all known upstreams of a service.

        :param service: Name of the service.
        """
        return tuple(upstream for upstream in self.all() if upstream.service == service)

    def usable(
        self,
        service: str,
        now_seconds: float,
        excluded: frozenset[UpstreamId] = frozenset(),
        zones: frozenset[ZoneName] | None = None,
    ) -> tuple[Upstream, ...]:
        """
        Return the upstreams that can take new work of a service.

        If all upstreams of a role are ejected, those whose ejection ends first
        are returned, since one of them may have recovered. Upstreams that
        leave, are away or are in an evacuated zone are never returned.

        :param service: Name of the service.
        :param now_seconds: Monotonic time.
        :param excluded: Upstreams that must not be returned.
        :param zones: Availability zones that may get the work; None for all.
        """
        by_role: dict[EngineRole | None, list[Upstream]] = {}
        with self._lock:
            for upstream in self._in_zones(zones):
                is_ready = self._takes_work(upstream, now_seconds)
                role_change = self._role_changes.get(upstream.upstream_id)
                is_serving = (
                    role_change is None or role_change.until_seconds <= now_seconds
                )
                is_eligible = is_serving and upstream.upstream_id not in excluded
                if upstream.service == service and is_ready and is_eligible:
                    by_role.setdefault(upstream.role, []).append(upstream)
            return tuple(
                upstream
                for ready in by_role.values()
                for upstream in self._least_ejected(ready, now_seconds)
            )

    def _least_ejected(
        self, ready: list[Upstream], now_seconds: float
    ) -> list[Upstream]:
        ejected_until = [
            self._ejected_until_seconds(candidate.upstream_id) for candidate in ready
        ]
        limit_seconds = max(now_seconds, min(ejected_until))
        return [
            upstream
            for upstream, until_seconds in zip(ready, ejected_until, strict=True)
            if until_seconds <= limit_seconds
        ]

    def _ejected_until_seconds(self, upstream_id: UpstreamId) -> float:
        streak = self._failure_streaks.get(upstream_id)
        return streak.ejected_until_seconds if streak is not None else 0.0


def _retain(
    table: OrderedDict[UpstreamId, Value], upstream_id: UpstreamId, value: Value
) -> None:
    """Put a value into a table that holds the last ones only."""
    table[upstream_id] = value
    table.move_to_end(upstream_id)
    while len(table) > MAX_REMOVED:
        table.popitem(last=False)
