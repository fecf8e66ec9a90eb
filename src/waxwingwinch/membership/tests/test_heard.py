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
    return decide_freshness(None, table.confirmed_seconds(), 5, 3.0, now_seconds)


def test_heartbeats_that_come_late_do_not_keep_an_instance_fresh():
    # A paused process reads buffered heartbeats when it goes on.
    table = HeartbeatTable()
    for name in PEERS:
        table.note(heartbeat(name), 100.0)
    assert freshness(table, 100.0) is Freshness.STALE


def test_replies_count_from_before_their_request():
    table = HeartbeatTable()
    for name in PEERS[:2]:
        table.confirm(name, 97.0)
    assert freshness(table, 100.0) is Freshness.FRESH
    assert freshness(table, 100.1) is Freshness.STALE


def test_older_reply_does_not_take_back_a_newer_one():
    table = HeartbeatTable()
    for name in PEERS[:2]:
        table.confirm(name, 100.0)
        table.confirm(name, 90.0)
    assert freshness(table, 102.0) is Freshness.FRESH


def test_silent_instance_is_no_longer_alive():
    table = HeartbeatTable()
    table.note(heartbeat("i1"), 100.0)
    assert table.is_alive(InstanceId("i1"), 103.0)
    assert not table.is_alive(InstanceId("i1"), 104.0)


def test_old_heartbeat_does_not_replace_a_newer_one():
    table = HeartbeatTable()
    table.note(heartbeat("i1", sequence=5), 100.0)
    table.note(heartbeat("i1", sequence=4), 101.0)
    heard = table.find(InstanceId("i1"))
    assert heard is not None
    assert heard.heartbeat.sequence == 5


def test_restarted_process_begins_anew():
    table = HeartbeatTable()
    table.note(heartbeat("i1", sequence=500), 100.0)
    table.note(heartbeat("i1", sequence=1), 110.0)
    assert table.is_alive(InstanceId("i1"), 111.0)
