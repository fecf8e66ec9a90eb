"""Reports of one instance, applied by another."""

from typing import Any

from attrs import evolve

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._change_log import ChangeSetBuilder
from waxwingwinch.gateway._crash_observations import Observation
from waxwingwinch.gateway._crash_suspects import Incarnation
from waxwingwinch.gateway._report_messages import LeavingUpstream
from waxwingwinch.gateway._report_table import ReceivedReport
from waxwingwinch.gateway._reports import StateReporter
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.gateway.tests.relay_harness import upstream
from waxwingwinch.gateway.tests.test_cache_survey import make_state


class IdleDutyWorker:
    """Holds no duty."""

    def held_epoch(self):
        return None

    def relinquished_epoch(self):
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


# Guards against an upstream that has to tell each instance that it leaves.
def test_what_one_instance_is_told_binds_the_others():
    clock, leaving = FakeClock(), upstream("u1")
    told, other = make_state(), make_state()
    for state in (told, other):
        state.directory.put(leaving)
    told.directory.record_leaving(leaving.upstream_id, 1, is_local=True)
    report = make_reporter(told, clock).make()
    assert report.leaving == (LeavingUpstream(leaving.upstream_id, 1),)
    receiver = make_reporter(other, clock)
    receiver.apply(evolve(report, instance_id=InstanceId("other")), clock.seconds)
    assert other.directory.usable("shop", clock.seconds) == ()
    assert receiver.make().leaving == ()


# Guards against a delta or a passed-on report that drops what is leaving.
def test_leaving_upstreams_are_sent_once_and_kept():
    clock, leaving = FakeClock(), upstream("u1")
    state = make_state()
    state.directory.put(leaving)
    reporter, log_builder = make_reporter(state, clock), ChangeSetBuilder()

    def build():
        report = reporter.make()
        received = ReceivedReport(report, clock.seconds)
        return log_builder.build([received], clock.seconds)

    build()
    assert build().reports == ()
    state.directory.record_leaving(leaving.upstream_id, 1, is_local=True)
    (changed,) = build().reports
    assert [item.upstream_id for item in changed.report.leaving] == ["u1"]
    assert build().reports == ()


# Guards against a fleet in which each instance learns and reports by itself.
def test_one_of_many_instances_tells_all_the_others():
    clock, leaving = FakeClock(), upstream("u1")
    reporters = []
    for number in range(195):
        state = make_state()
        state.directory.put(leaving)
        reporters.append((InstanceId(f"i{number}"), state, make_reporter(state, clock)))
    _, first, teller = reporters[0]
    first.directory.record_leaving(leaving.upstream_id, 1, is_local=True)
    told = evolve(teller.make(), instance_id=InstanceId("i0"))
    for _, state, reporter in reporters[1:]:
        reporter.apply(told, clock.seconds)
        # An answer that was under way says the same a moment later.
        state.directory.record_leaving(leaving.upstream_id, 1, is_local=True)
    for name, state, reporter in reporters:
        assert state.directory.usable("shop", clock.seconds) == ()
        assert bool(reporter.make().leaving) is (name == "i0")
