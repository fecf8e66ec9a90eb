"""The registry entries of upstreams, with what is known beyond them."""

from collections import OrderedDict

from attrs import evolve

from waxwingwinch._types import EngineRole, UpstreamId
from waxwingwinch.gateway.upstreams._entry import RegisteredState, Upstream
from waxwingwinch.gateway.upstreams._failures import FailureTracker
from waxwingwinch.gateway.upstreams._retention import retain
from waxwingwinch.gateway.upstreams._role_changes import (
    OrderedRoleChange,
    RoleChangeTable,
)
from waxwingwinch.gateway.upstreams._statements import StatementTable

#: Time after an outage of the store for which an entry that disappeared in it
#: is kept; from the platform's promise of when entries are restored.
LAPSED_GRACE_SECONDS = 2.0


class EntryTable(FailureTracker):
    """The registered upstreams; may be used from all threads."""

    def __init__(self) -> None:
        super().__init__()
        self._upstreams: dict[UpstreamId, Upstream] = {}
        # Last entries of removed upstreams; an older entry may arrive after
        # the removal.
        self._removed: OrderedDict[UpstreamId, Upstream] = OrderedDict()
        self._lapsed: dict[UpstreamId, float] = {}
        self._role_changes = RoleChangeTable()
        self._statements = StatementTable()
        self._read_seconds: float | None = None

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
                self._end_streak(upstream.upstream_id)
            self._upstreams[upstream.upstream_id] = self._as_known(upstream)
            self._lapsed.pop(upstream.upstream_id, None)
            return known

    def _as_known(self, upstream: Upstream) -> Upstream:
        """Return the entry with what is known beyond it."""
        return self._role_changes.apply(self._statements.apply(upstream))

    def remove(self, upstream_id: UpstreamId) -> None:
        """
        Remove an upstream; its last entry is retained.

        :param upstream_id: Id of the upstream.
        """
        with self._lock:
            removed = self._upstreams.pop(upstream_id, None)
            if removed is not None:
                retain(self._removed, upstream_id, removed)
            self._lapsed.pop(upstream_id, None)
            self._forget_failures(upstream_id)
            self._role_changes.forget(upstream_id)

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
            if not self._statements.record_leaving(upstream_id, started_ms, is_local):
                return False
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
                (upstream_id, started_ms)
                for upstream_id, started_ms in self._statements.local_leaving()
                if upstream_id in self._upstreams
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
            self._statements.record_away(upstream_id, started_ms, until_seconds)

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
            change = OrderedRoleChange(role, until_seconds)
            self._role_changes.record(upstream_id, change)
            known = self._upstreams.get(upstream_id)
            if known is not None:
                self._upstreams[upstream_id] = evolve(known, role=role)

    def role_changes(self, now_seconds: float) -> dict[UpstreamId, OrderedRoleChange]:
        """
        Return the role changes in progress.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return self._role_changes.in_progress(now_seconds)
