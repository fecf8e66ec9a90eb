"""Reports of one instance, applied by another."""

from typing import Any

from attrs import evolve

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._crash_blame import Incarnation
from waxwingwinch.gateway._crash_observations import Observation
from waxwingwinch.gateway._reports import StateReporter
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.gateway.tests.test_cache_survey import make_state


class IdleDutyWorker:
    """Holds no duty."""

    def held_epoch(self):
        return None


class IgnoringApplier:
    """Ignores that the instances have changed."""

    def share_limits(self):
        """Do nothing."""


def make_reporter(state, clock):
    duty_worker: Any = IdleDutyWorker()
    applier: Any = IgnoringApplier()
    return StateReporter(state, duty_worker, applier, clock)


# Guards against instances that each lose engines of their own to a part.
def test_a_part_blamed_at_one_instance_is_blocked_at_another():
    clock, parts = FakeClock(), ("first", "deadly")
    observer, other = make_state(), make_state()
    now_seconds = clock.seconds
    for number in (1, 2):
        engine = Incarnation(UpstreamId(f"e{number}"), 1)
        seen_seconds = now_seconds + number
        observer.crashes.record_crash(
            Observation(engine, parts, seen_seconds - 0.1, seen_seconds)
        )
    clock.seconds += 3.0
    report = make_reporter(observer, clock).make()
    report = evolve(report, instance_id=InstanceId("other"))
    make_reporter(other, clock).apply(report, clock.seconds)
    assert other.crashes.block(parts, clock.seconds) is not None
