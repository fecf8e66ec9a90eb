"""Schedules of planned work and faults, made from a seed alone."""

import enum
import random

from attrs import frozen

#: Upstreams of a soak.
UPSTREAMS = 3
#: Routes that a configuration may add to the fixed ones.
EXTRA_ROUTES = ("extra-0", "extra-1", "extra-2")
#: The first event comes after callers have begun.
FIRST_EVENT_SECONDS = 1.0
#: Nothing begins in the last part of a soak.
CALM_END_SECONDS = 2.0
#: Mean time between two events.
EVENT_INTERVAL_SECONDS = 1.5


class Action(enum.Enum):
    """What is done to a part of the system."""

    #: SIGTERM; the successor starts at the same ports.
    STOP = "stop"
    #: SIGHUP after a change of the settings file.
    RELOAD = "reload"
    RELOAD_TWICE = "reload twice"
    #: The upstream states that it leaves, and is back later.
    LEAVE = "leave"
    #: SIGSTOP, and SIGCONT later.
    FREEZE = "freeze"
    #: SIGKILL; the successor starts at the same ports.
    KILL = "kill"
    #: The store answers 503, answers nothing, or drops its answers.
    STORE_DOWN = "store down"
    STORE_SILENT = "store silent"
    STORE_LOSING = "store losing answers"
    #: An upstream resets its connections, or is silent.
    UPSTREAM_RESET = "upstream reset"
    UPSTREAM_SILENT = "upstream silent"
    #: An upstream sends answers that violate the grammar of HTTP.
    UPSTREAM_MALFORMED = "upstream malformed"
    #: The proxy before the first upstream does.
    LINK_RESET = "link reset"
    LINK_SILENT = "link silent"


_PLANNED = (Action.STOP, Action.RELOAD, Action.RELOAD_TWICE, Action.LEAVE)
#: Once in each schedule that isn't planned work only.
_ADDED = Action.UPSTREAM_MALFORMED
_UNPLANNED = tuple(
    action for action in Action if action not in _PLANNED and action is not _ADDED
)
#: Actions on the store.
STORE_ACTIONS = (Action.STORE_DOWN, Action.STORE_SILENT, Action.STORE_LOSING)
_OF_UPSTREAMS = (Action.LEAVE, Action.UPSTREAM_RESET, Action.UPSTREAM_SILENT, _ADDED)


@frozen
class Disturb:
    """
    Something is done to a part of the system.

    :param at_seconds: When.
    :param action: What.
    :param target: Number of the instance or upstream; 0 for other parts.
    :param seconds: How long it lasts; unused if it takes no time.
    """

    at_seconds: float
    action: Action
    target: int
    seconds: float


@frozen
class Configure:
    """
    A new version of the configuration is published.

    :param at_seconds: When.
    :param timeout_seconds: Timeout of all routes.
    :param idle_seconds: How long a caller's connection may be idle.
    :param extra_routes: Routes beside the fixed ones.
    :param has_extra_key: True if it holds the extra key.
    """

    at_seconds: float
    timeout_seconds: float
    idle_seconds: float
    extra_routes: tuple[str, ...]
    has_extra_key: bool


@frozen
class Schedule:
    """
    What happens in a soak.

    :param grace_seconds: From SIGTERM to SIGKILL.
    :param is_planned: True if all events are planned work.
    :param events: The events in order.
    """

    grace_seconds: float
    is_planned: bool
    events: tuple[Disturb | Configure, ...]


def make_schedule(seed: int, instances: int, seconds: float) -> Schedule:
    """
    Return the schedule of a seed; even seeds hold planned work only.

    :param seed: The seed.
    :param instances: Number of instances.
    :param seconds: Length of the soak.
    """
    source = random.Random(seed)
    grace_seconds = source.choice((4.0, 8.0))
    span_seconds = max(seconds - CALM_END_SECONDS - FIRST_EVENT_SECONDS, 0.0)
    count = max(round(span_seconds / EVENT_INTERVAL_SECONDS), 1)
    times = [span_seconds * number / count for number in range(count)]
    if source.random() < 0.5:
        # Overlapping instead of in series.
        times = sorted(source.uniform(0.0, span_seconds) for _ in range(count))
    is_planned = seed % 2 == 0
    events: list[Disturb | Configure] = []
    for number, after_seconds in enumerate(times):
        at_seconds = FIRST_EVENT_SECONDS + after_seconds
        if not number:
            target = source.randrange(instances)
            events.append(Disturb(at_seconds, Action.STOP, target, 0.0))
        elif not is_planned and source.random() < 0.5:
            events.append(_disturb(source, at_seconds, instances, _UNPLANNED))
        elif source.random() < 0.4:
            events.append(_configure(source, at_seconds))
        else:
            events.append(_disturb(source, at_seconds, instances, _PLANNED))
    if not is_planned:
        # Drawn last, so that the other events of a seed don't depend on it.
        end_seconds = FIRST_EVENT_SECONDS + span_seconds
        at_seconds = source.uniform(events[0].at_seconds, end_seconds)
        events.append(_disturb(source, at_seconds, instances, (_ADDED,)))
        events.sort(key=lambda event: event.at_seconds)
    return Schedule(grace_seconds, is_planned, tuple(events))


def _disturb(
    source: random.Random,
    at_seconds: float,
    instances: int,
    actions: tuple[Action, ...],
) -> Disturb:
    action = source.choice(actions)
    targets = UPSTREAMS if action in _OF_UPSTREAMS else instances
    seconds = 3.0 if action is Action.LEAVE else source.choice((0.5, 1.0, 1.5))
    return Disturb(at_seconds, action, source.randrange(targets), seconds)


def _configure(source: random.Random, at_seconds: float) -> Configure:
    return Configure(
        at_seconds,
        source.choice((5.0, 6.0, 8.0)),
        source.choice((0.4, 1.0, 4.0)),
        tuple(name for name in EXTRA_ROUTES if source.random() < 0.5),
        source.random() < 0.5,
    )
