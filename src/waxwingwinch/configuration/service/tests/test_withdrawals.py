import pytest
from hypothesis import given, strategies as st

from waxwing_testbed.fakes import ManualClock, MemoryLog
from waxwingwinch._types import InstanceId
from waxwingwinch.configuration import (
    ConfigurationChange,
    SetDefault,
    WithdrawalNotice,
    WithdrawnKeys,
    digest_key_ids,
    wrap_change,
)
from waxwingwinch.configuration.service import (
    ConfigurationService,
    Published,
    WithdrawalCoordinator,
    WithdrawalProgress,
    next_progress,
)
from waxwingwinch.contracts import Freshness

SELF = InstanceId("i0")
WAIT_SECONDS = 20.0
FRESHNESS_SECONDS = 3.0


def instance_ids(count: int) -> frozenset[InstanceId]:
    return frozenset(InstanceId(f"i{n}") for n in range(count))


def advance(
    progress: WithdrawalProgress, count: int, is_logged: bool, now_seconds: float
) -> WithdrawalProgress:
    return next_progress(
        progress, instance_ids(count), is_logged, FRESHNESS_SECONDS, now_seconds
    )


NEW = WithdrawalProgress("k", instance_ids(1), 7)


def test_all_confirmations_suffice_without_log():
    assert advance(NEW, 7, False, 0.0).is_accepted


def test_majority_and_log_wait_for_unconfirmed_instances_to_become_stale():
    agreed = advance(NEW, 4, True, 10.0)
    assert not advance(agreed, 4, True, 12.9).is_accepted
    assert advance(agreed, 4, True, 13.0).is_accepted


@pytest.mark.parametrize(("count", "is_logged"), [(6, False), (3, True)])
def test_neither_majority_nor_log_alone_suffices(count, is_logged):
    progress = advance(NEW, count, is_logged, 0.0)
    assert not advance(progress, count, is_logged, 1_000.0).is_accepted


def test_confirmations_of_different_rounds_are_not_added():
    progress = advance(NEW, 3, True, 0.0)
    other = frozenset({SELF, InstanceId("i8"), InstanceId("i9")})
    progress = next_progress(progress, other, True, FRESHNESS_SECONDS, 1.0)
    assert progress.committed_seconds is None


@given(st.lists(st.sets(st.sampled_from("abcdef"))), st.randoms())
def test_merging_is_independent_of_order(sets, random):
    first, second = WithdrawnKeys(), WithdrawnKeys()
    shuffled = list(sets)
    random.shuffle(shuffled)
    for key_ids in sets:
        first.merge(key_ids)
    for key_ids in shuffled:
        second.merge(key_ids)
    assert first.digest == second.digest == digest_key_ids(set().union(*sets))


class FakePeers:
    """Other entries, of which only ``confirming`` confirm notices."""

    def __init__(self) -> None:
        self.confirming = frozenset[InstanceId]()
        self.notices: list[WithdrawalNotice] = []

    def expected_instances(self) -> int:
        return 3

    def broadcast(
        self, notice: WithdrawalNotice, timeout_seconds: float
    ) -> frozenset[InstanceId]:
        self.notices.append(notice)
        return self.confirming


@pytest.fixture
def log():
    return MemoryLog()


@pytest.fixture
def service(log):
    service = ConfigurationService(log, ManualClock(), lambda _: Freshness.FRESH)
    service.start()
    service.follower.wait_until(service.is_ready, WAIT_SECONDS)
    yield service
    log.is_down = False
    service.stop()


def test_withdrawal_is_enforced_locally_at_once_and_accepted_after_agreement(service):
    peers, clock = FakePeers(), ManualClock(0.0)
    coordinator = WithdrawalCoordinator(service, peers, clock, SELF, 0.0)
    coordinator.begin("k", "ana", "lost phone")
    assert service.is_withdrawn("k")
    coordinator.run_round(0.0)
    assert service.follower.wait_until(
        lambda: service.unlogged_withdrawals() == (), WAIT_SECONDS
    )
    peers.confirming = instance_ids(2)
    coordinator.run_round(1.0)
    assert coordinator.progress("k") == WithdrawalProgress(
        "k", instance_ids(2), 3, True, 1.0
    )
    coordinator.run_round(4.0)
    progress = coordinator.progress("k")
    assert progress is not None and progress.is_accepted
    assert len(peers.notices) == 3
    coordinator.run_round(5.0)
    assert len(peers.notices) == 3


def test_withdrawal_is_appended_after_a_log_outage(service, log):
    coordinator = WithdrawalCoordinator(
        service, FakePeers(), ManualClock(0.0), SELF, 0.0
    )
    log.is_down = True
    coordinator.begin("k", "ana", "lost phone")
    coordinator.run_round(0.0)
    assert service.unlogged_withdrawals() == ("k",)
    log.is_down = False
    assert service.follower.wait_until(
        lambda: service.unlogged_withdrawals() == (), WAIT_SECONDS
    )


def test_withdrawal_received_from_a_failed_peer_is_appended_after_the_grace_period(
    service,
):
    coordinator = WithdrawalCoordinator(
        service, FakePeers(), ManualClock(0.0), SELF, 0.0
    )
    service.merge_withdrawals(("k",))
    coordinator.run_round(0.0)
    coordinator.run_round(9.0)
    assert service.unlogged_withdrawals() == ("k",)
    coordinator.run_round(10.0)
    assert service.follower.wait_until(
        lambda: service.unlogged_withdrawals() == (), WAIT_SECONDS
    )


def test_replaced_longer_freshness_bound_delays_acceptance(service):
    set_freshness(service, 0, 30.0)
    peers, clock = FakePeers(), ManualClock(0.0)
    coordinator = WithdrawalCoordinator(service, peers, clock, SELF, 0.0)
    peers.confirming = instance_ids(2)
    coordinator.run_round(0.0)
    set_freshness(service, 1, FRESHNESS_SECONDS)
    coordinator.begin("k", "ana", "lost phone")
    coordinator.run_round(1.0)
    assert service.follower.wait_until(
        lambda: service.unlogged_withdrawals() == (), WAIT_SECONDS
    )
    accepted = []
    for now_seconds in (2.0, 31.0, 32.0, 100.0):
        coordinator.run_round(now_seconds)
        progress = coordinator.progress("k")
        accepted.append(progress is not None and progress.is_accepted)
    assert accepted == [False, False, True, True]


def set_freshness(service: ConfigurationService, version: int, value: float) -> None:
    items = (wrap_change(SetDefault("freshness_seconds", value)),)
    change = ConfigurationChange(version, "ana", f"c{version}", "test", items)
    assert service.publish(change, WAIT_SECONDS) == Published(version + 1)
