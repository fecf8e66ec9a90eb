"""At most one instance holds the duty despite lost responses and outages."""

import pytest

from waxwingwinch._types import CustomerId, InstanceId
from waxwingwinch.codec import encode_message
from waxwingwinch.gateway._duty_lease import (
    CALL_IN_FLIGHT_SECONDS,
    CLAIM_MARGIN_SECONDS,
    LEDGER_TOPIC,
    DutyLease,
    DutyNotHeld,
)
from waxwingwinch.gateway._ledger import DutyClaim
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeStore

LEASE_SECONDS = 3.0


class TwoInstances:
    """Two instances that compete for the duty."""

    is_fencing_checked = True

    def __init__(self):
        self.store = FakeStore()
        self.clock = FakeClock()
        self.first = self.make("first")
        self.second = self.make("second")

    def make(self, name):
        return DutyLease(
            self.store,
            InstanceId(name),
            LEASE_SECONDS,
            self.clock,
            is_fencing_checked=self.is_fencing_checked,
        )

    def wait(self, seconds):
        self.clock.seconds += seconds

    def read_and_claim(self, duty):
        duty.read(0.0)
        return duty.try_claim()


@pytest.fixture
def instances():
    return TwoInstances()


def test_the_first_claim_wins(instances):
    instances.first.read(0.0)
    instances.second.read(0.0)
    assert instances.first.try_claim()
    assert not instances.second.try_claim()
    assert instances.first.held_epoch() == 0
    assert instances.second.held_epoch() is None


def test_a_renewed_lease_cannot_be_claimed(instances):
    instances.read_and_claim(instances.first)
    for _ in range(8):
        instances.wait(LEASE_SECONDS / 2)
        instances.first.renew()
        assert not instances.read_and_claim(instances.second)
    assert instances.first.held_epoch() == 0


def test_an_expired_lease_is_claimed_with_a_higher_fencing_token(instances):
    instances.read_and_claim(instances.first)
    instances.second.read(0.0)
    instances.wait(LEASE_SECONDS)
    assert not instances.read_and_claim(instances.second)
    instances.wait(CLAIM_MARGIN_SECONDS + 0.1)
    assert instances.read_and_claim(instances.second)
    assert instances.second.held_epoch() > 0
    assert instances.first.held_epoch() is None


def test_a_paused_holder_does_not_act_after_its_lease_expired(instances):
    instances.read_and_claim(instances.first)
    instances.wait(LEASE_SECONDS)
    with pytest.raises(DutyNotHeld):
        instances.first.require_epoch()
    with pytest.raises(DutyNotHeld):
        instances.first.renew()


def test_the_lease_starts_before_the_renewal_is_sent(instances):
    instances.read_and_claim(instances.first)
    instances.wait(1.5)
    instances.store.before_append = lambda: instances.wait(1.0)
    instances.first.renew()
    instances.wait(LEASE_SECONDS - 1.0)
    assert instances.first.held_epoch() is None


@pytest.mark.parametrize("fate", ["lost", "late"])
def test_an_unacknowledged_claim_does_not_count_as_held(instances, fate):
    instances.store.next_append = fate
    assert not instances.read_and_claim(instances.first)
    instances.store.apply_delayed()
    assert instances.first.held_epoch() is None
    assert not instances.read_and_claim(instances.second)
    instances.wait(LEASE_SECONDS + CLAIM_MARGIN_SECONDS + 0.1)
    assert instances.read_and_claim(instances.second)


@pytest.mark.parametrize("fate", ["lost", "late"])
def test_an_unacknowledged_claim_counts_once_read_back(instances, fate):
    instances.store.next_append = fate
    assert not instances.read_and_claim(instances.first)
    instances.wait(1.0)
    instances.store.apply_delayed()
    instances.first.read(0.0)
    assert instances.first.held_epoch() == 0
    instances.wait(LEASE_SECONDS - 1.0)
    assert instances.first.held_epoch() is None


def test_a_delayed_claim_fails_after_another_claim(instances):
    instances.store.next_append = "late"
    assert not instances.read_and_claim(instances.first)
    assert instances.read_and_claim(instances.second)
    assert instances.store.apply_delayed() == 0
    assert instances.second.held_epoch() == 0


def test_a_lost_renewal_response_does_not_end_the_duty(instances):
    instances.read_and_claim(instances.first)
    instances.wait(1.1)
    instances.store.next_append = "lost"
    instances.first.renew()
    instances.wait(0.3)
    instances.first.renew()
    instances.wait(0.3)
    instances.first.renew()
    instances.wait(LEASE_SECONDS / 2)
    assert instances.first.held_epoch() == 0


def test_counts_of_a_window_are_fixed_once(instances):
    alice = CustomerId("alice")
    instances.read_and_claim(instances.first)
    assert instances.first.fix_window(7, {alice: 3})
    assert instances.first.fix_window(7, {alice: 5})
    assert instances.first.state.fixed_counts[7] == {alice: 3}
    instances.wait(LEASE_SECONDS + CLAIM_MARGIN_SECONDS + 0.1)
    instances.second.read(0.0)
    instances.wait(LEASE_SECONDS + CLAIM_MARGIN_SECONDS + 0.1)
    assert instances.read_and_claim(instances.second)
    assert instances.second.fix_window(7, {alice: 9})
    assert instances.second.state.fixed_counts[7] == {alice: 3}


@pytest.mark.parametrize("fate", ["lost", "late"])
def test_unacknowledged_counts_are_not_reported_before_they_are_read_back(
    instances, fate
):
    alice = CustomerId("alice")
    instances.read_and_claim(instances.first)
    instances.store.next_append = fate
    assert not instances.first.fix_window(7, {alice: 3})
    applied_count = instances.store.apply_delayed()
    assert applied_count == (1 if fate == "late" else 0)
    assert instances.first.fix_window(7, {alice: 4})
    assert instances.first.state.fixed_counts[7] == {alice: 3}


def test_a_released_duty_can_be_claimed_immediately(instances):
    instances.read_and_claim(instances.first)
    instances.first.release()
    assert instances.read_and_claim(instances.second)


def test_an_outage_ends_the_duty_until_the_lease_expires(instances):
    instances.read_and_claim(instances.first)
    instances.store.is_down = True
    for _ in range(4):
        instances.wait(1.0)
        try:
            instances.first.renew()
        except DutyNotHeld:
            break
    assert instances.first.held_epoch() is None
    instances.store.is_down = False
    assert not instances.read_and_claim(instances.second)
    instances.wait(LEASE_SECONDS + CLAIM_MARGIN_SECONDS + 0.1)
    assert instances.read_and_claim(instances.second)


def test_malformed_records_are_skipped(instances):
    instances.store.append(LEDGER_TOPIC, [b"junk"])
    claim = encode_message(DutyClaim(InstanceId("other"), "n"))
    instances.store.append(LEDGER_TOPIC, [claim])
    assert not instances.read_and_claim(instances.first)
    assert instances.first.state.epoch == 1


def test_reading_starts_at_the_first_offset_of_a_trimmed_ledger(instances):
    instances.read_and_claim(instances.first)
    instances.store.first_offsets[LEDGER_TOPIC] = 1
    newcomer = instances.make("newcomer")
    newcomer.read(0.0)
    assert newcomer.state.end_offset == 1


class UnfencedInstances(TwoInstances):
    """Instances whose receivers take calls with outdated fencing tokens."""

    is_fencing_checked = False


@pytest.fixture
def unfenced():
    return UnfencedInstances()


# Guards against a call of the former holder, sent at the end of its lease,
# that arrives after the first call of its successor.
def test_a_successor_outlasts_the_calls_of_the_former_holder(unfenced):
    unfenced.read_and_claim(unfenced.first)
    while unfenced.first.held_epoch() is not None:
        last_call_seconds = unfenced.clock.seconds
        unfenced.wait(0.01)
    while not unfenced.read_and_claim(unfenced.second):
        unfenced.wait(0.01)
    assert unfenced.clock.seconds > last_call_seconds + CALL_IN_FLIGHT_SECONDS


# Guards against an instance that is frozen with the duty, and its successor.
def test_a_holder_that_was_frozen_does_not_call_again(unfenced):
    unfenced.read_and_claim(unfenced.first)
    unfenced.wait(LEASE_SECONDS + CLAIM_MARGIN_SECONDS + CALL_IN_FLIGHT_SECONDS + 0.1)
    assert not unfenced.read_and_claim(unfenced.second)
    unfenced.wait(LEASE_SECONDS + CLAIM_MARGIN_SECONDS + CALL_IN_FLIGHT_SECONDS + 0.1)
    assert unfenced.read_and_claim(unfenced.second)
    with pytest.raises(DutyNotHeld):
        unfenced.first.require_epoch()


def hand_over(instances, former, successor):
    former.release()
    assert instances.read_and_claim(successor)


# Guards against holders that act in turns, A, B, A, during planned stops.
@pytest.mark.parametrize("is_restarted", [False, True])
def test_a_former_holder_does_not_return_within_a_lease(unfenced, is_restarted):
    unfenced.read_and_claim(unfenced.first)
    hand_over(unfenced, unfenced.first, unfenced.second)
    unfenced.second.release()
    first = unfenced.make("first") if is_restarted else unfenced.first
    assert not unfenced.read_and_claim(first)
    unfenced.wait(LEASE_SECONDS)
    assert not unfenced.read_and_claim(first)
    third = unfenced.make("third")
    assert unfenced.read_and_claim(third)
    third.release()
    unfenced.wait(CLAIM_MARGIN_SECONDS + CALL_IN_FLIGHT_SECONDS + 0.1)
    assert unfenced.read_and_claim(first)


def test_a_former_holder_returns_at_once_where_fencing_is_checked(instances):
    instances.read_and_claim(instances.first)
    hand_over(instances, instances.first, instances.second)
    hand_over(instances, instances.second, instances.first)


# Guards against a release beside a call without a response, which may be
# carried out after one of the next holder.
def test_a_call_without_a_response_is_outlasted_after_a_release(unfenced):
    unfenced.read_and_claim(unfenced.first)
    unfenced.first.record_unanswered_call()
    unfenced.first.release()
    assert unfenced.first.held_epoch() is None
    assert not unfenced.read_and_claim(unfenced.second)


# Guards against a lease that is counted by a clock that steps.
def test_a_step_of_the_wall_clock_does_not_move_a_lease(unfenced):
    unfenced.read_and_claim(unfenced.first)
    for step_seconds in (-3_600.0, 3_600.0):
        unfenced.clock.wall_offset_seconds += step_seconds
        assert unfenced.first.held_epoch() is not None
        assert not unfenced.read_and_claim(unfenced.second)


# Guards against two holders after a renewal whose response was lost.
@pytest.mark.parametrize("fate", ["lost", "late"])
def test_a_renewal_without_a_response_does_not_make_two_holders(unfenced, fate):
    unfenced.read_and_claim(unfenced.first)
    unfenced.wait(LEASE_SECONDS / 2)
    unfenced.store.next_append = fate
    unfenced.first.renew()
    for _ in range(100):
        unfenced.wait(0.1)
        if unfenced.read_and_claim(unfenced.second):
            break
    assert unfenced.second.held_epoch() is not None
    assert unfenced.first.held_epoch() is None


# Guards against a usage window that is reported late: an instance that first
# reads the ledger after the holder was cut off from the store waits a whole
# lease, though the holder says that it acts no more.
@pytest.mark.parametrize("kind", [TwoInstances, UnfencedInstances])
def test_a_relinquished_lease_is_not_waited_for(kind):
    instances = kind()
    instances.read_and_claim(instances.first)
    epoch = instances.first.held_epoch()
    instances.wait(LEASE_SECONDS)
    assert instances.first.held_epoch() is None
    instances.first.step_down("its lease has expired")
    assert instances.first.relinquished_epoch == epoch
    assert not instances.read_and_claim(instances.second)
    assert instances.second.record_relinquished(epoch)
    assert not instances.second.record_relinquished(epoch)
    if not instances.second._is_fencing_checked:
        assert not instances.second.try_claim()
        instances.wait(CALL_IN_FLIGHT_SECONDS + 0.1)
    assert instances.second.try_claim()


# Guards against a lease that returns after its holder has said that it acts
# no more, by a renewal that is read back.
def test_a_relinquished_lease_does_not_return(instances):
    instances.read_and_claim(instances.first)
    instances.wait(LEASE_SECONDS / 2)
    instances.store.next_append = "lost"
    instances.first.renew()
    instances.first.step_down("the store does not answer")
    instances.first.read(0.0)
    assert instances.first.held_epoch() is None


# Guards against the report of an earlier epoch that ends a later one.
def test_an_earlier_epoch_ends_no_later_lease(instances):
    instances.read_and_claim(instances.first)
    earlier = instances.first.held_epoch()
    instances.first.release()
    assert instances.read_and_claim(instances.first)
    instances.second.record_relinquished(earlier)
    assert not instances.read_and_claim(instances.second)
