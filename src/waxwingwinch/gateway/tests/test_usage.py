"""Usage counts each request in the window in which it started."""

from attrs import define

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._usage_counts import WINDOWS_RETAINED, UsageCounts
from waxwingwinch.gateway._usage_table import UsageTable
from waxwingwinch.kernel import SteadyWallClock

ALICE = CustomerId("alice")
WINDOW_SECONDS = 5.0


@define
class SteppableClock:
    seconds: float = 1_000.0
    step_seconds: float = 0.0

    def now_seconds(self) -> float:
        return self.seconds

    def wall_seconds(self) -> float:
        return 1_700_000_000.0 + self.seconds + self.step_seconds


def test_a_step_of_the_wall_clock_is_not_followed():
    base = SteppableClock()
    clock = SteadyWallClock(base)
    true_seconds = base.wall_seconds()
    base.step_seconds = 2.0
    assert clock.wall_seconds() == true_seconds
    base.seconds += 5.0
    assert clock.wall_seconds() == true_seconds + 5.0
    base.step_seconds = 0.0
    assert clock.wall_seconds() == true_seconds + 5.0


def test_small_and_persistent_corrections_are_followed():
    base = SteppableClock()
    clock = SteadyWallClock(base)
    base.step_seconds = 0.05
    assert clock.wall_seconds() == base.wall_seconds()
    base.step_seconds = -3.0
    clock.wall_seconds()
    base.seconds += 61.0
    assert clock.wall_seconds() == base.wall_seconds()


def test_requests_count_in_the_window_in_which_they_started():
    counts = UsageCounts(WINDOW_SECONDS)
    counts.record_start(ALICE, 4.9)
    counts.record_start(ALICE, 5.0)
    counts.record_start(ALICE, 9.9)
    counts.record_start(None, 9.9)
    assert counts.windows() == {0: {ALICE: 1}, 1: {ALICE: 2}}


def test_old_windows_are_dropped():
    counts = UsageCounts(WINDOW_SECONDS)
    counts.record_start(ALICE, 0.0)
    counts.record_start(ALICE, WINDOW_SECONDS * (WINDOWS_RETAINED + 1))
    assert list(counts.windows()) == [WINDOWS_RETAINED + 1]


def test_old_counts_of_stopped_instances_are_dropped():
    table = UsageTable()
    table.merge("ended", {1: {ALICE: 3}})
    table.merge("running", {WINDOWS_RETAINED + 2: {ALICE: 1}})
    assert table.total(1) == {}
    assert table.total(WINDOWS_RETAINED + 2) == {ALICE: 1}


def test_recent_counts_of_stopped_instances_are_retained():
    table = UsageTable()
    assert table.is_empty()
    table.merge("first-start", {7: {ALICE: 3}})
    table.merge("first-start", {7: {ALICE: 5}})
    table.merge("second-start", {7: {ALICE: 2}, 8: {ALICE: 1}})
    assert table.total(7) == {ALICE: 7}
    assert not table.is_empty()
