import threading
from typing import Any

import pytest
from attrs import evolve

from waxwing_testbed.fakes import AppendFault, MemoryLog
from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch._types import CustomerId, InstanceId, ZoneName
from waxwingwinch.configuration import (
    CONFIGURATION_STREAM,
    AddKey,
    Change,
    Configuration,
    ConfigurationChange,
    ConfigurationRequest,
    Customer,
    PutCustomer,
    Refused,
    ReplaceConfiguration,
    SetDefault,
    WithdrawalExchange,
    WithdrawalNotice,
    create_key,
    wrap_change,
)
from waxwingwinch.configuration.service import (
    ConfigurationHandlers,
    ConfigurationService,
    Published,
    SnapshotAppender,
    adopt_from_peers,
)
from waxwingwinch.contracts import Caller, Freshness, KeyRejected, KeyRejection
from waxwingwinch.kernel import SystemClock
from waxwingwinch.peers import PeerIdentity, PeerProgram

WAIT_SECONDS = 20.0
CLOCK = SystemClock()
TAHI = CustomerId("tahi")
PEER = PeerIdentity(InstanceId("p"), PeerProgram.ENTRY, ZoneName("z"), "c")


def change(
    version: int, *changes: Change, change_id: str = "c", reason: str = "test"
) -> ConfigurationChange:
    items = tuple(wrap_change(item) for item in changes)
    return ConfigurationChange(version, "ana", change_id, reason, items)


class LocalPeer:
    """Passes requests directly to the handlers of another service."""

    def __init__(self, service: ConfigurationService) -> None:
        self._handlers = ConfigurationHandlers(service)

    def request(self, body: Any, timeout_seconds: float) -> Any:
        assert isinstance(body, ConfigurationRequest)
        return self._handlers.handle_configuration_request(PEER, body)


@pytest.fixture
def log():
    return MemoryLog()


@pytest.fixture
def start(log):
    services = []

    def start_one(is_up: bool = True) -> ConfigurationService:
        service = ConfigurationService(log, CLOCK, lambda _: Freshness.FRESH)
        services.append(service)
        service.start()
        if is_up:
            assert service.follower.wait_until(service.is_ready, WAIT_SECONDS)
        return service

    yield start_one
    log.is_down = False
    for service in services:
        service.stop()


def test_published_change_is_in_force(start):
    service = start()
    result = service.publish(change(0, SetDefault("drain_seconds", 7.0)), WAIT_SECONDS)
    assert result == Published(1)
    assert service.current().defaults.drain_seconds == 7.0
    assert [entry.version for entry in service.history()] == [1]


def test_an_outcome_is_known_only_once_its_change_is_in_force(start, monkeypatch):
    service = start()
    versions = []
    add = service._outcomes.add

    def add_and_record_version(results):
        versions.append(service._view.configuration.version)
        add(results)

    monkeypatch.setattr(service._outcomes, "add", add_and_record_version)
    service.publish(change(0, SetDefault("drain_seconds", 7.0)), WAIT_SECONDS)
    assert versions == [1]


def test_one_of_two_racing_operators_wins(start):
    services = [start(), start()]
    results: list[Any] = [None, None]

    def publish(index: int) -> None:
        rival = change(0, SetDefault("drain_seconds", index), change_id=str(index))
        results[index] = services[index].publish(rival, WAIT_SECONDS)

    threads = [threading.Thread(target=publish, args=(n,)) for n in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(type(result).__name__ for result in results) == [
        "Published",
        "Refused",
    ]
    assert services[0].publish(
        change(1, SetDefault("drain_seconds", 5.0), change_id="n"), WAIT_SECONDS
    ) == Published(2)


def test_retry_under_the_same_id_gets_the_first_outcome(start):
    first, second = start(), start()
    record = change(0, SetDefault("drain_seconds", 7.0))
    assert first.publish(record, WAIT_SECONDS) == Published(1)
    second.follower.wait_until(lambda: second.current().version == 1, WAIT_SECONDS)
    assert second.publish(record, WAIT_SECONDS) == Published(1)


def test_lost_append_response_publishes_once(start, log):
    service = start()
    log.append_faults = [AppendFault.ANSWER_LOST]
    record = change(0, SetDefault("drain_seconds", 7.0))
    assert service.publish(record, WAIT_SECONDS) == Published(1)
    assert service.current().version == 1


def test_publishing_without_log_reports_no_effect(start, log):
    service = start()
    log.is_down = True
    with pytest.raises(PlatformUnavailable) as caught:
        service.publish(change(0, SetDefault("drain_seconds", 7.0)), 0.3)
    assert not caught.value.may_have_taken_effect


def test_key_authenticates_until_withdrawn(start):
    service = start()
    key = create_key("k1")
    service.publish(
        change(0, PutCustomer(TAHI, 1.0, 1.0), AddKey(TAHI, key.record)), WAIT_SECONDS
    )
    for _ in range(2):
        assert service.authenticate(key.key, 0.0) == Caller(TAHI, "k1")
    assert not service.is_withdrawn("k1")
    service.merge_withdrawals(("k1",))
    rejected = KeyRejected(KeyRejection.WITHDRAWN)
    assert service.authenticate(key.key, 0.0) == rejected
    assert service.is_withdrawn("k1")
    unknown = KeyRejected(KeyRejection.UNKNOWN)
    assert service.authenticate(key.key + "x", 0.0) == unknown


def test_key_marked_as_withdrawn_in_a_document_is_rejected(start):
    service = start()
    key = create_key("k1")
    record = evolve(key.record, withdrawn=True)
    document = Configuration(customers={TAHI: Customer(TAHI, 1.0, 1.0, 1.0, (record,))})
    service.publish(change(0, ReplaceConfiguration(document)), WAIT_SECONDS)
    rejected = KeyRejected(KeyRejection.WITHDRAWN)
    assert service.authenticate(key.key, 0.0) == rejected


def test_late_duplicate_does_not_replace_the_first_outcome(start):
    first, second = start(), start()
    record = change(0, SetDefault("drain_seconds", 7.0))
    assert first.publish(record, WAIT_SECONDS) == Published(1)
    # Another entry received the retry before it read the first append.
    second.submit(record, WAIT_SECONDS).wait()
    second.publish(
        change(1, SetDefault("drain_seconds", 8.0), change_id="d"), WAIT_SECONDS
    )
    for service in (first, second):
        assert service.publish(record, WAIT_SECONDS) == Published(1)


def test_withdrawn_key_name_cannot_be_reused(start):
    service = start()
    service.merge_withdrawals(("k1",))
    record = change(
        0, PutCustomer(TAHI, 1.0, 1.0), AddKey(TAHI, create_key("k1").record)
    )
    result = service.publish(record, WAIT_SECONDS)
    assert isinstance(result, Refused)
    assert "withdrawn for good" in str(result.findings[0])


def test_keys_are_rejected_without_a_state(start, log):
    log.is_down = True
    service = start(is_up=False)
    assert not service.is_ready()
    assert service.freshness(0.0) is Freshness.STALE
    assert service.authenticate("k", 0.0) == KeyRejected(KeyRejection.STALE)
    assert service.snapshot() is None


def test_state_comes_from_a_peer_while_the_log_is_down(start, log):
    old = start()
    old.publish(change(0, SetDefault("drain_seconds", 7.0)), WAIT_SECONDS)
    old.merge_withdrawals(("k1",))
    log.is_down = True
    new = start(is_up=False)
    assert adopt_from_peers(new, [LocalPeer(old)])
    assert new.current() == old.current()
    assert new.withdrawals_digest() == old.withdrawals_digest()
    log.is_down = False
    old.publish(change(1, SetDefault("drain_seconds", 8.0), change_id="2"), 20.0)
    assert new.follower.wait_until(lambda: new.current().version == 2, WAIT_SECONDS)


def test_instance_without_log_takes_a_newer_version_from_a_peer(start):
    ahead, behind = start(), start()
    behind.follower.stop()
    ahead.publish(change(0, SetDefault("drain_seconds", 7.0)), WAIT_SECONDS)
    assert behind.current().version in (0, 1)
    assert adopt_from_peers(behind, [LocalPeer(ahead)])
    assert behind.current() == ahead.current()


def test_new_reader_starts_from_snapshot_after_expiry(start, log):
    old = start()
    old.publish(change(0, SetDefault("drain_seconds", 7.0)), WAIT_SECONDS)
    old.merge_withdrawals(("k1",))
    log.expire(CONFIGURATION_STREAM, 1)
    stuck = start(is_up=False)
    stuck.follower.wait_until(lambda: stuck.follower.next_offset == 1, WAIT_SECONDS)
    assert not stuck.is_ready()
    duty = SnapshotAppender(old)
    assert duty.append_if_due(100.0, interval_seconds=60.0)
    assert not duty.append_if_due(159.0, interval_seconds=60.0)
    assert duty.append_if_due(160.0, interval_seconds=60.0)
    assert stuck.follower.wait_until(stuck.is_ready, WAIT_SECONDS)
    fresh = start()
    for service in (stuck, fresh):
        assert service.current() == old.current()
        assert service.is_withdrawn("k1")


def test_snapshot_is_retried_after_an_outage(start, log):
    service = start()
    duty = SnapshotAppender(service)
    log.is_down = True
    assert not duty.append_if_due(100.0, timeout_seconds=0.2)
    log.is_down = False
    assert duty.append_if_due(101.0)


def test_exchange_gives_each_side_the_missing_withdrawals(start):
    service = start()
    service.merge_withdrawals(("a", "b"))
    handlers = ConfigurationHandlers(service)
    reply = handlers.handle_withdrawal_exchange(PEER, WithdrawalExchange(("b", "c")))
    assert reply == WithdrawalNotice(("a",))
    assert service.withdrawn_key_ids() == {"a", "b", "c"}
