"""One holder at a time, through lost answers, pauses and outages."""

import pytest

from waxwingwinch._types import CustomerId, InstanceId
from waxwingwinch.codec import encode_message
from waxwingwinch.gateway._duty import (
    CHALLENGE_MARGIN_SECONDS,
    LEDGER_TOPIC,
    NotHolding,
    StewardDuty,
)
from waxwingwinch.gateway._ledger import DutyClaim
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeStore

LEASE_SECONDS = 3.0


class Standing:
    """Two instances that stand for the duty."""

    def __init__(self):
        self.store = FakeStore()
        self.clock = FakeClock()
        self.first = self.make("first")
        self.second = self.make("second")

    def make(self, name):
        return StewardDuty(self.store, InstanceId(name), LEASE_SECONDS, self.clock)

    def wait(self, seconds):
        self.clock.seconds += seconds

    def take(self, duty):
        duty.read(0.0)
        return duty.challenge()


@pytest.fixture
def standing():
    return Standing()


def test_the_first_claim_wins(standing):
    standing.first.read(0.0)
    standing.second.read(0.0)
    assert standing.first.challenge()
    assert not standing.second.challenge()
    assert standing.first.held_epoch() == 0
    assert standing.second.held_epoch() is None


def test_a_renewed_lease_is_not_taken_over(standing):
    standing.take(standing.first)
    for _ in range(8):
        standing.wait(LEASE_SECONDS / 2)
        standing.first.renew()
        assert not standing.take(standing.second)
    assert standing.first.held_epoch() == 0


def test_a_silent_holder_is_replaced_with_a_higher_fence(standing):
    standing.take(standing.first)
    standing.second.read(0.0)
    standing.wait(LEASE_SECONDS)
    assert not standing.take(standing.second)
    standing.wait(CHALLENGE_MARGIN_SECONDS + 0.1)
    assert standing.take(standing.second)
    assert standing.second.held_epoch() > 0
    assert standing.first.held_epoch() is None


def test_a_paused_holder_does_not_act_when_it_wakes(standing):
    standing.take(standing.first)
    standing.wait(LEASE_SECONDS)
    with pytest.raises(NotHolding):
        standing.first.check()
    with pytest.raises(NotHolding):
        standing.first.renew()


def test_the_lease_counts_from_before_the_renewal_was_sent(standing):
    standing.take(standing.first)
    standing.wait(1.5)
    standing.store.before_append = lambda: standing.wait(1.0)
    standing.first.renew()
    standing.wait(LEASE_SECONDS - 1.0)
    assert standing.first.held_epoch() is None


@pytest.mark.parametrize("fate", ["lost", "late"])
def test_an_unanswered_claim_is_not_taken_as_won(standing, fate):
    standing.store.next_append = fate
    assert not standing.take(standing.first)
    standing.store.carry_out_late()
    assert standing.first.held_epoch() is None
    assert not standing.take(standing.second)
    standing.wait(LEASE_SECONDS + CHALLENGE_MARGIN_SECONDS + 0.1)
    assert standing.take(standing.second)


@pytest.mark.parametrize("fate", ["lost", "late"])
def test_an_unanswered_claim_counts_once_it_is_read_back(standing, fate):
    standing.store.next_append = fate
    assert not standing.take(standing.first)
    standing.wait(1.0)
    standing.store.carry_out_late()
    standing.first.read(0.0)
    assert standing.first.held_epoch() == 0
    standing.wait(LEASE_SECONDS - 1.0)
    assert standing.first.held_epoch() is None


def test_a_late_claim_is_void_after_another(standing):
    standing.store.next_append = "late"
    assert not standing.take(standing.first)
    assert standing.take(standing.second)
    assert standing.store.carry_out_late() == 0
    assert standing.second.held_epoch() == 0


def test_a_lost_renewal_does_not_end_the_duty(standing):
    standing.take(standing.first)
    standing.wait(1.1)
    standing.store.next_append = "lost"
    standing.first.renew()
    standing.wait(0.3)
    standing.first.renew()
    standing.wait(0.3)
    standing.first.renew()
    standing.wait(LEASE_SECONDS / 2)
    assert standing.first.held_epoch() == 0


def test_figures_of_a_window_are_fixed_once(standing):
    alice = CustomerId("alice")
    standing.take(standing.first)
    assert standing.first.fix_window(7, {alice: 3})
    assert standing.first.fix_window(7, {alice: 5})
    assert standing.first.state.fixed[7] == {alice: 3}
    standing.wait(LEASE_SECONDS + CHALLENGE_MARGIN_SECONDS + 0.1)
    standing.second.read(0.0)
    standing.wait(LEASE_SECONDS + CHALLENGE_MARGIN_SECONDS + 0.1)
    assert standing.take(standing.second)
    assert standing.second.fix_window(7, {alice: 9})
    assert standing.second.state.fixed[7] == {alice: 3}


@pytest.mark.parametrize("fate", ["lost", "late"])
def test_unanswered_figures_are_not_reported_before_they_are_read_back(standing, fate):
    alice = CustomerId("alice")
    standing.take(standing.first)
    standing.store.next_append = fate
    assert not standing.first.fix_window(7, {alice: 3})
    effects = standing.store.carry_out_late()
    assert effects == (1 if fate == "late" else 0)
    assert standing.first.fix_window(7, {alice: 4})
    assert standing.first.state.fixed[7] == {alice: 3}


def test_a_released_duty_can_be_taken_at_once(standing):
    standing.take(standing.first)
    standing.first.release()
    assert standing.take(standing.second)


def test_an_outage_ends_the_duty_but_not_the_order(standing):
    standing.take(standing.first)
    standing.store.is_down = True
    for _ in range(4):
        standing.wait(1.0)
        try:
            standing.first.renew()
        except NotHolding:
            break
    assert standing.first.held_epoch() is None
    standing.store.is_down = False
    assert not standing.take(standing.second)
    standing.wait(LEASE_SECONDS + CHALLENGE_MARGIN_SECONDS + 0.1)
    assert standing.take(standing.second)


def test_malformed_records_are_passed_by(standing):
    standing.store.append(LEDGER_TOPIC, [b"junk"])
    claim = encode_message(DutyClaim(InstanceId("other"), "n"))
    standing.store.append(LEDGER_TOPIC, [claim])
    assert not standing.take(standing.first)
    assert standing.first.state.epoch == 1


def test_a_trimmed_ledger_keeps_its_order(standing):
    standing.take(standing.first)
    standing.store.first_offsets[LEDGER_TOPIC] = 1
    newcomer = standing.make("newcomer")
    newcomer.read(0.0)
    assert newcomer.state.end_offset == 1
