"""The gateway's duty when the store returns from an older copy."""

import random

import pytest

from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch._types import CustomerId, InstanceId
from waxwingwinch.gateway._duty_lease import (
    CLAIM_MARGIN_SECONDS,
    DutyLease,
    DutyNotHeld,
)
from waxwingwinch.gateway._usage_reporter import UsageReporter
from waxwingwinch.gateway._usage_table import UsageTable
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeStore

LEASE_SECONDS = 3.0
WAIT_SECONDS = LEASE_SECONDS + CLAIM_MARGIN_SECONDS + 0.1
WINDOW_SECONDS = 5.0
ALICE = CustomerId("alice")


class Duties:
    """Instances that compete for the duty, and a store that returns."""

    def __init__(self):
        self.store, self.clock = FakeStore(), FakeClock()
        self.first, self.second = self.make("first"), self.make("second")

    def make(self, name):
        return DutyLease(self.store, InstanceId(name), LEASE_SECONDS, self.clock)

    def wait(self, seconds):
        self.clock.seconds += seconds

    def claim(self, duty):
        duty.read(0.0)
        return duty.try_claim()

    def claim_after_wait(self, duty):
        self.claim(duty)
        self.wait(WAIT_SECONDS)
        return self.claim(duty)


@pytest.fixture
def duties():
    return Duties()


# Guards against a fencing token that two holders use.
def test_fencing_tokens_rise_over_a_return(duties):
    empty = duties.store.copy()
    assert duties.claim(duties.first)
    for _ in range(3):
        duties.wait(1.5)
        duties.first.renew()
    token = duties.first.require_epoch()
    duties.store.restore(empty)
    duties.wait(LEASE_SECONDS)
    assert duties.claim_after_wait(duties.second)
    assert duties.second.require_epoch() > token


# Guards against two holders, one by a lease of the lost part.
def test_a_lost_lease_is_waited_out(duties):
    empty = duties.store.copy()
    duties.claim(duties.first)
    duties.store.restore(empty)
    assert not duties.claim(duties.second)
    duties.wait(LEASE_SECONDS - 0.1)
    assert not duties.claim(duties.second)
    assert duties.first.held_epoch() is None
    duties.wait(CLAIM_MARGIN_SECONDS + 0.2)
    assert duties.claim(duties.second)


# Guards against a process that claims a duty whose lease it can't know.
def test_a_process_that_starts_after_a_return_waits(duties):
    empty = duties.store.copy()
    duties.claim(duties.first)
    duties.store.restore(empty)
    started = duties.make("started")
    assert not duties.claim(started)
    duties.wait(WAIT_SECONDS)
    assert duties.claim(started)


# Guards against seconds without a holder after each return.
def test_the_holder_claims_again_at_once(duties):
    duties.claim(duties.first)
    copy = duties.store.copy()
    duties.first.fix_window(7, {ALICE: 3})
    token = duties.first.require_epoch()
    duties.store.restore(copy)
    duties.wait(1.2)
    duties.first.renew()
    with pytest.raises(DutyNotHeld):
        duties.first.require_epoch()
    assert duties.claim(duties.first)
    assert duties.first.require_epoch() > token
    assert not duties.claim(duties.second)


# Guards against a lease that was renewed in a history that is lost.
def test_a_holder_whose_lease_ended_waits_like_the_others(duties):
    duties.claim(duties.first)
    copy = duties.store.copy()
    duties.wait(LEASE_SECONDS)
    duties.store.restore(copy)
    assert not duties.claim(duties.first)
    duties.wait(WAIT_SECONDS)
    assert duties.claim(duties.first)


# Guards against claims of before a return that are carried out after it.
def test_a_late_claim_of_an_earlier_history_counts_for_nothing(duties):
    copy = duties.store.copy()
    duties.store.next_append = "late"
    assert not duties.claim(duties.second)
    assert duties.claim(duties.first)
    duties.store.restore(copy)
    assert duties.store.apply_delayed() == 1
    duties.second.read(0.0)
    assert duties.second.held_epoch() is None
    assert duties.claim(duties.first)
    assert duties.second.held_epoch() is None
    duties.second.read(0.0)
    assert duties.second.held_epoch() is None


# Guards against a renewal that is carried out in a newer history.
def test_a_renewal_in_a_newer_history_extends_no_lease(duties):
    duties.claim(duties.first)
    copy = duties.store.copy()
    duties.wait(1.5)
    duties.store.restore(copy)
    duties.first.renew()
    assert duties.first.held_epoch() is None


# Guards against an append on condition of an empty ledger, before and after.
def test_a_claim_that_fills_an_empty_ledger_of_a_newer_history_is_void(duties):
    duties.first.read(0.0)
    duties.store.restore(duties.store.copy())
    assert not duties.first.try_claim()
    assert duties.first.held_epoch() is None


# Guards against two sets of counts for one window.
def test_counts_that_were_final_stay_final_for_their_holder(duties):
    duties.claim(duties.first)
    copy = duties.store.copy()
    duties.first.fix_window(7, {ALICE: 3})
    duties.store.restore(copy)
    duties.wait(1.2)
    duties.first.renew()
    assert duties.claim(duties.first)
    assert duties.first.fix_window(7, {ALICE: 5})
    assert duties.first.state.fixed_counts[7] == {ALICE: 3}


# Guards against counts that were replaced before the return.
def test_late_counts_of_an_earlier_history_are_ignored(duties):
    duties.claim(duties.first)
    copy = duties.store.copy()
    duties.store.next_append = "late"
    assert not duties.first.fix_window(7, {ALICE: 3})
    duties.store.restore(copy)
    assert duties.store.apply_delayed() == 1
    duties.second.read(0.0)
    assert duties.second.state.fixed_counts == {}


def make_reporter(duties, duty, reports, total):
    usage = UsageTable()
    # Unused rows keep the windows known.
    usage.merge("i-1", dict.fromkeys(range(200_000, 200_100), {ALICE: total}))
    return UsageReporter(
        duty,
        lambda window, counts, _: reports.append((window, dict(counts))),
        usage,
        lambda: 2,
        WINDOW_SECONDS,
        duties.clock,
    )


# Guards against a second report of a window with other counts, by an instance
# that doesn't know the counts that were fixed in the lost part.
def test_another_holder_leaves_windows_of_the_lost_part_out(duties):
    reports: list[tuple[int, dict[CustomerId, int]]] = []
    first = make_reporter(duties, duties.first, reports, 3)
    second = make_reporter(duties, duties.second, reports, 5)
    duties.claim(duties.first)
    duties.second.read(0.0)
    copy = duties.store.copy()
    for _ in range(8):
        duties.wait(1.0)
        duties.first.renew()
        first.report_usage()
    assert reports
    returned_seconds = duties.clock.wall_seconds()
    duties.store.restore(copy)
    assert duties.claim_after_wait(duties.second)
    for _ in range(10):
        second.report_usage()
        duties.wait(1.0)
        duties.second.renew()
    by_window: dict[int, list[dict[CustomerId, int]]] = {}
    for window, counts in reports:
        by_window.setdefault(window, []).append(counts)
    assert all(len(counts) == 1 for counts in by_window.values())
    assert max(by_window) * WINDOW_SECONDS > returned_seconds


class RandomDuties(Duties):
    """Random calls, outages and returns; checks who acts with which token."""

    def __init__(self, seed):
        super().__init__()
        self.random = random.Random(seed)
        self.all = [self.first, self.second, self.make("third")]
        self.copies = [(0.0, self.store.copy())]
        self.user_by_token = {}
        self.newest = (0, 0)

    def step(self):
        self.wait(self.random.uniform(0.05, 0.4))
        self.copies.append((self.clock.seconds, self.store.copy()))
        if self.random.random() < 0.02:
            ages = [entry for entry in self.copies if entry[0] > self.clock.seconds - 9]
            self.store.restore(self.random.choice(ages)[1])
        if self.random.random() < 0.05:
            self.store.apply_delayed()
        self.store.is_down = self.random.random() < 0.1
        if self.random.random() < 0.2:
            self.store.next_append = self.random.choice(["lost", "late"])
        number = self.random.randrange(3)
        if self.random.random() < 0.02:
            self.all[number] = self.make(f"restarted-{self.clock.seconds}")
        self.act(self.all[number])
        self.store.next_append = None

    def act(self, duty):
        try:
            if duty.held_epoch() is None:
                duty.step_down("expired")
                self.claim(duty)
            elif self.random.random() < 0.03:
                duty.release()
            else:
                duty.renew()
                duty.fix_window(int(self.clock.seconds // WINDOW_SECONDS), {})
        except (DutyNotHeld, PlatformUnavailable):
            return
        finally:
            self.check()

    def check(self):
        holders = [duty for duty in self.all if duty.held_epoch() is not None]
        assert len(holders) <= 1
        for duty in holders:
            token = duty.require_epoch()
            assert self.user_by_token.setdefault(token, id(duty)) == id(duty)
            assert token == max(self.user_by_token)


# Guards against two holders, and tokens used twice, over many returns.
@pytest.mark.parametrize("seed", range(40))
def test_one_holder_acts_at_a_time_over_random_returns(seed):
    duties = RandomDuties(seed)
    for _ in range(1_500):
        duties.step()
    assert len(duties.user_by_token) > 3
