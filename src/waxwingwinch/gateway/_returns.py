"""When refused callers return to upstreams that are away."""

import threading

from waxwingwinch._types import EngineRole, ZoneName
from waxwingwinch.gateway._members import MemberDirectory
from waxwingwinch.gateway._statement_log_lines import ServiceAway
from waxwingwinch.gateway._upstreams import UpstreamDirectory

#: Time for which a request occupies a slot, as a plain service needs it.
SLOT_SECONDS = 0.4
#: Time over which the returns of refused callers are spread.
MAX_SPREAD_SECONDS = 10.0


class ReturnSchedule:
    """
    Spreads the returns of callers over the slots that become free.

    All upstreams of a service may name the same time of return, and each
    instance has refused callers.

    :param directory: The known upstreams.
    :param members: Directory of all instances.
    """

    def __init__(self, directory: UpstreamDirectory, members: MemberDirectory) -> None:
        self._directory = directory
        self._members = members
        # By service and allowed zones; there are few sets of home regions.
        self._next_seconds: dict[tuple[str, frozenset[ZoneName] | None], float] = {}
        self._lock = threading.Lock()

    def wait_seconds(
        self,
        request_id: str,
        service: str,
        now_seconds: float,
        zones: frozenset[ZoneName] | None = None,
    ) -> float | None:
        """
        Return after which time a refused caller should return.

        :param request_id: Id of the refused request.
        :param service: Name of the service.
        :param now_seconds: Monotonic time.
        :param zones: Availability zones that may get the request; None for
            all.
        :returns: None unless the upstreams that take requests of the service
            are all away.
        """
        if any(
            upstream.role is not EngineRole.PREFILL
            for upstream in self._directory.usable(service, now_seconds, zones=zones)
        ):
            return None
        away = {
            upstream: until_seconds
            for upstream, until_seconds in self._directory.away(
                service, now_seconds, zones
            ).items()
            if upstream.role is not EngineRole.PREFILL
        }
        if not away:
            return None
        earliest_seconds = min(away.values())
        slots = sum(upstream.slots for upstream in away)
        instances = len(self._members.ready_others(now_seconds)) + 1
        return_seconds = self._assign(
            (service, zones), earliest_seconds, SLOT_SECONDS * instances / slots
        )
        ServiceAway(
            request_id=request_id,
            service=service,
            upstreams=len(away),
            slots=slots,
            instances=instances,
            earliest_seconds=earliest_seconds - now_seconds,
            return_seconds=return_seconds - now_seconds,
        ).write()
        return return_seconds - now_seconds

    def _assign(
        self,
        key: tuple[str, frozenset[ZoneName] | None],
        earliest_seconds: float,
        interval_seconds: float,
    ) -> float:
        """Return the monotonic time of the next return."""
        with self._lock:
            assigned_seconds = max(self._next_seconds.get(key, 0.0), earliest_seconds)
            if assigned_seconds > earliest_seconds + MAX_SPREAD_SECONDS:
                assigned_seconds = earliest_seconds
            self._next_seconds[key] = assigned_seconds + interval_seconds
            return assigned_seconds
