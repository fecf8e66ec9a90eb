"""The recorded history of a soak."""

from collections import defaultdict
from collections.abc import Iterable

from attrs import field, frozen

from waxwing_testbed.soak._bounds import Bounds
from waxwing_testbed.soak._events import (
    Call,
    Cause,
    Disruption,
    Ended,
    Event,
    Published,
    Run,
)


@frozen
class History:
    """
    Events by kind.

    :param bounds: The bounds in force.
    :param calls: Requests of callers.
    :param runs: Work of upstreams by request.
    :param disruptions: What was done to the system.
    :param published: Configurations, the oldest first.
    :param ends: Ends of processes.
    """

    bounds: Bounds
    calls: list[Call] = field(factory=list)
    runs: dict[str, list[Run]] = field(factory=lambda: defaultdict(list))
    disruptions: list[Disruption] = field(factory=list)
    published: list[Published] = field(factory=list)
    ends: list[Ended] = field(factory=list)

    def runs_of(self, call: Call) -> list[Run]:
        """
        Return the work on a request.

        :param call: The request.
        """
        return self.runs.get(call.request_id, [])

    def disturbances(
        self,
        causes: Iterable[Cause],
        start_seconds: float,
        end_seconds: float,
        instance: str = "",
    ) -> list[Disruption]:
        """
        Return what was done during a span.

        :param causes: What counts.
        :param start_seconds: Start of the span.
        :param end_seconds: End of the span.
        :param instance: The instance it was done to; empty for any part.
        """
        return [
            one
            for one in self.disruptions
            if one.cause in causes
            and one.started_seconds <= end_seconds
            and one.ended_seconds >= start_seconds
            and instance in ("", one.target)
        ]

    def is_in_touch(self, instance: str, at_seconds: float) -> bool:
        """
        Tell whether an instance, its links and the store were calm.

        :param instance: The instance.
        :param at_seconds: Until when.
        """
        since_seconds = at_seconds - self.bounds.contact_seconds
        shared = (Cause.STORE, Cause.LINK)
        own = (Cause.START, Cause.TERM, Cause.KILL, Cause.FREEZE)
        return not (
            self.disturbances(shared, since_seconds, at_seconds)
            or self.disturbances(own, since_seconds, at_seconds, instance)
        )

    def versions_between(
        self, start_seconds: float, end_seconds: float
    ) -> list[Published]:
        """
        Return the configurations that may be in force during a span.

        :param start_seconds: Start of the span.
        :param end_seconds: End of the span.
        """
        due_seconds = start_seconds - self.bounds.apply_seconds
        due = [one for one in self.published if one.acknowledged_seconds < due_seconds]
        oldest = max((one.version for one in due), default=0)
        return [
            one
            for one in self.published
            if one.version >= oldest and one.sent_seconds <= end_seconds
        ]


def make_history(bounds: Bounds, events: Iterable[Event]) -> History:
    """
    Sort recorded events by kind.

    :param bounds: The bounds in force.
    :param events: The events in any order.
    """
    history = History(bounds)
    for event in events:
        match event:
            case Call():
                history.calls.append(event)
            case Run():
                history.runs[event.request_id].append(event)
            case Disruption():
                history.disruptions.append(event)
            case Published():
                history.published.append(event)
            case Ended():
                history.ends.append(event)
    history.calls.sort(key=lambda call: call.started_seconds)
    history.published.sort(key=lambda one: one.version)
    return history
