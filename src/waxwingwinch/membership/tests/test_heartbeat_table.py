from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.contracts import Freshness
from waxwingwinch.membership import Heartbeat, HeartbeatTable, decide_freshness

PEERS = [InstanceId(f"i{number}") for number in range(4)]


def heartbeat(name, sequence=1):
    address = Address("127.0.0.1", 1)
    return Heartbeat(
        InstanceId(name), ZoneName("z"), address, sequence, 0, b"", 0, False, (), ()
    )


def freshness(table, now_seconds):
    return decide_freshness(None, table.synchronized_seconds(), 5, 3.0, now_seconds)


def test_received_heartbeats_do_not_keep_an_instance_fresh():
    # A process that resumes after a pause reads old heartbeats from its socket
    # buffers, so only replies to its own heartbeats prove a recent contact.
    table = HeartbeatTable()
    for name in PEERS:
        table.record_heartbeat(heartbeat(name), 100.0)
    assert freshness(table, 100.0) is Freshness.STALE


def test_confirmation_dates_from_before_the_heartbeat_was_sent():
    table = HeartbeatTable()
    for name in PEERS[:2]:
        table.record_synchronization(name, 97.0)
    assert freshness(table, 100.0) is Freshness.FRESH
    assert freshness(table, 100.1) is Freshness.STALE


def test_older_confirmation_does_not_replace_a_newer_one():
    table = HeartbeatTable()
    for name in PEERS[:2]:
        table.record_synchronization(name, 100.0)
        table.record_synchronization(name, 90.0)
    assert freshness(table, 102.0) is Freshness.FRESH


def test_silent_instance_is_no_longer_alive():
    table = HeartbeatTable()
    table.record_heartbeat(heartbeat("i1"), 100.0)
    assert table.is_alive(InstanceId("i1"), 103.0)
    assert not table.is_alive(InstanceId("i1"), 104.0)


def test_old_heartbeat_does_not_replace_a_newer_one():
    table = HeartbeatTable()
    table.record_heartbeat(heartbeat("i1", sequence=5), 100.0)
    table.record_heartbeat(heartbeat("i1", sequence=4), 101.0)
    received = table.find(InstanceId("i1"))
    assert received is not None
    assert received.heartbeat.sequence == 5


def test_low_sequence_of_a_restarted_process_is_accepted():
    table = HeartbeatTable()
    table.record_heartbeat(heartbeat("i1", sequence=500), 100.0)
    table.record_heartbeat(heartbeat("i1", sequence=1), 110.0)
    assert table.is_alive(InstanceId("i1"), 111.0)
