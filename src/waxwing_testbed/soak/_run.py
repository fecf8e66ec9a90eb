"""Playing a schedule beside callers."""

import pathlib
import threading
import time

from attrs import frozen

from waxwing_testbed.soak._bounds import Bounds
from waxwing_testbed.soak._callers import Caller
from waxwing_testbed.soak._cases import Case
from waxwing_testbed.soak._checks import check_all
from waxwing_testbed.soak._fleet import SoakFleet
from waxwing_testbed.soak._history import History, make_history
from waxwing_testbed.soak._recorder import Recorder
from waxwing_testbed.soak._requests import DEADLINE_SECONDS
from waxwing_testbed.soak._schedule import Configure, Disturb, Schedule

#: How much longer callers keep a directory's answer than it says; the last
#: one as if it could obtain no new answer.
_TTL_FACTORS = (1.0, 3.0, 20.0)
_LAG_INTERVAL_SECONDS = 0.01
#: How long callers may take for their last requests.
_JOIN_SECONDS = 2 * DEADLINE_SECONDS


class InstancesNotReady(Exception):
    """The instances did not become ready; nothing was played."""


@frozen
class SoakResult:
    """
    What came of a soak.

    :param history: What was recorded.
    :param cases: The broken rules.
    :param lags: How long threads of callers and stand-ins may have waited for
        one another, by the time at which that ended.
    """

    history: History
    cases: list[Case]
    lags: dict[float, float]

    def lag_seconds(self, start_seconds: float, end_seconds: float) -> float:
        """
        Return the longest lag that ended in a span.

        :param start_seconds: Start of the span.
        :param end_seconds: End of the span.
        """
        found = [
            lag_seconds
            for at_seconds, lag_seconds in self.lags.items()
            if start_seconds <= at_seconds <= end_seconds
        ]
        return max(found, default=0.0)


def run_soak(
    schedule: Schedule,
    seed: int,
    instances: int,
    callers: int,
    seconds: float,
    folder: pathlib.Path,
) -> SoakResult:
    """
    Play a schedule with real processes and check what was seen.

    :param schedule: What happens.
    :param seed: Seed of the callers.
    :param instances: Number of instances.
    :param callers: Number of callers.
    :param seconds: Length of the soak.
    :param folder: Where settings and logs are kept.
    :raises InstancesNotReady: If the instances don't start.
    """
    recorder = Recorder()
    bounds = Bounds(grace_seconds=schedule.grace_seconds)
    fleet = SoakFleet(folder, instances, bounds, recorder)
    try:
        if not fleet.wait_until_ready():
            raise InstancesNotReady
        lags = _play(schedule, seed, callers, seconds, fleet, recorder)
    finally:
        recorder.stopping.set()
        fleet.stop()
    history = make_history(bounds, recorder.events)
    return SoakResult(history, check_all(history), lags)


def _play(
    schedule: Schedule,
    seed: int,
    callers: int,
    seconds: float,
    fleet: SoakFleet,
    recorder: Recorder,
) -> dict[float, float]:
    """Run callers and events; return the lags."""
    start_seconds = recorder.now()
    ports = [instance.ports for instance in fleet.instances]
    made = [
        Caller(
            f"c{number}",
            seed,
            _TTL_FACTORS[number % len(_TTL_FACTORS)],
            ports,
            recorder,
        )
        for number in range(callers)
    ]
    prober = Caller("probe", seed, 1.0, ports, recorder)
    threads = [threading.Thread(target=one.run, daemon=True) for one in made]
    threads.append(threading.Thread(target=prober.run_probes, daemon=True))
    threads += [
        threading.Thread(
            target=_apply_later,
            args=(fleet, event, start_seconds + event.at_seconds, recorder),
            daemon=True,
        )
        for event in schedule.events
    ]
    for thread in threads:
        thread.start()
    end_seconds = start_seconds + seconds
    lags: dict[float, float] = {}
    while any(thread.is_alive() for thread in threads):
        before_seconds = recorder.now()
        if before_seconds >= end_seconds:
            recorder.stopping.set()
        if before_seconds >= end_seconds + _JOIN_SECONDS:
            break
        time.sleep(_LAG_INTERVAL_SECONDS)
        now_seconds = recorder.now()
        lags[now_seconds] = now_seconds - before_seconds - _LAG_INTERVAL_SECONDS
    return lags


def _apply_later(
    fleet: SoakFleet,
    event: Disturb | Configure,
    at_seconds: float,
    recorder: Recorder,
) -> None:
    if not recorder.stopping.wait(max(at_seconds - recorder.now(), 0.0)):
        fleet.apply(event)
