"""Directory of the upstreams that can take new work."""

from collections.abc import Callable, Iterable

from waxwingwinch._types import EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway.evacuation import EvacuatedZones
from waxwingwinch.gateway.upstreams._entries import EntryTable
from waxwingwinch.gateway.upstreams._entry import RegisteredState, Upstream


class UpstreamDirectory(EntryTable):
    """
    The registered upstreams; may be used from all threads.

    :param evacuated: Availability zones whose upstreams get no requests.
    """

    def __init__(self, evacuated: EvacuatedZones | None = None) -> None:
        super().__init__()
        #: Availability zones whose upstreams get no requests.
        self.evacuated = evacuated or EvacuatedZones()
        #: Returns the monotonic time until which an upstream is cold.
        self.cold_until_seconds: Callable[[Upstream], float] = lambda upstream: (
            upstream.cold_until_seconds
        )

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

    def is_cold(self, upstream: Upstream, now_seconds: float) -> bool:
        """
        Tell whether an upstream is cold.

        :param upstream: The upstream.
        :param now_seconds: Monotonic time.
        """
        return self.cold_until_seconds(upstream) > now_seconds

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
            and self._statements.away_until_seconds(upstream) <= now_seconds
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
            changing = self._role_changes.in_progress(now_seconds)
            for upstream in self._in_zones(zones):
                is_ready = self._takes_work(upstream, now_seconds)
                is_serving = upstream.upstream_id not in changing
                is_eligible = is_serving and upstream.upstream_id not in excluded
                if upstream.service == service and is_ready and is_eligible:
                    by_role.setdefault(upstream.role, []).append(upstream)
            return tuple(
                upstream
                for ready in by_role.values()
                for upstream in self._least_ejected(ready, now_seconds)
            )

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
                and (until_seconds := self._statements.away_until_seconds(upstream))
                > now_seconds
            }

    def is_away(self, upstream: Upstream, now_seconds: float) -> bool:
        """
        Tell whether an upstream wants no request from this process now.

        :param upstream: The upstream.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return self._statements.away_until_seconds(upstream) > now_seconds
