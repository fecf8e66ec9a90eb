"""Records of an instance that the store has lost."""

import threading
import time

import pytest
from attrs import evolve

from waxwingwinch._types import InstanceId
from waxwingwinch.codec import encode_message
from waxwingwinch.gateway import _joining
from waxwingwinch.gateway._joining import (
    MEMBERS_TOPIC,
    SECRET_KEY,
    SECRET_TOPIC,
    OwnRecords,
    ensure_shared_secret,
    publish_member,
    withdraw_member,
)
from waxwingwinch.gateway._record_applier import RecordApplier
from waxwingwinch.gateway._store import KeyedRecord
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeStore
from waxwingwinch.gateway.tests.relay_harness import LOCAL_MEMBER


class OwnRecordsHarness:
    def __init__(self, monkeypatch):
        monkeypatch.setattr(_joining, "REWRITE_PAUSE_SECONDS", 0.01)
        monkeypatch.setattr(_joining, "RETRY_PAUSE_SECONDS", 0.01)
        self.store, self.stopping = FakeStore(), threading.Event()
        self.secret = ensure_shared_secret(self.store)
        self.added: list[str] = []
        publish_member(self.store, LOCAL_MEMBER)
        self.records = OwnRecords(
            self.store, LOCAL_MEMBER, self.secret, self.added.append, self.stopping
        )

    def newest(self, topic):
        records = self.store.snapshot(topic).records
        return {record.key: record.value for record in records}

    def wait_for(self, condition):
        end_seconds = time.monotonic() + 5.0
        while not condition() and time.monotonic() < end_seconds:
            time.sleep(0.005)
        assert condition()


@pytest.fixture
def own(monkeypatch):
    return OwnRecordsHarness(monkeypatch)


# Guards against an instance of which nobody knows after a return.
def test_a_lost_member_record_is_written_again(own):
    own.store.restore({})
    own.store.is_down = True
    own.records.member_lost()
    own.store.is_down = False
    own.wait_for(lambda: LOCAL_MEMBER.instance_id in own.newest(MEMBERS_TOPIC))


def test_a_stopping_instance_writes_no_record(own):
    own.store.restore({})
    own.stopping.set()
    own.records.member_lost()
    time.sleep(0.05)
    assert own.newest(MEMBERS_TOPIC) == {}


# Guards against instances with two secrets, which don't talk to one another.
def test_a_lost_secret_is_written_again(own):
    own.store.restore({})
    own.records.store_returned()
    own.wait_for(lambda: own.newest(SECRET_TOPIC) == {SECRET_KEY: own.secret.encode()})
    assert own.added == []


def test_the_secret_of_another_instance_is_accepted_as_well(own):
    own.store.restore({})
    other = ensure_shared_secret(own.store)
    own.records.store_returned()
    own.wait_for(lambda: own.added == [other])


# Guards against a removal of before a return that is carried out after it.
def test_a_late_withdrawal_after_a_return_is_noticed(own):
    applier, _ = make_applier()
    lost = threading.Event()
    applier.on_member_lost = lost.set
    copy = own.store.copy()
    own.store.next_append = "late"
    withdraw_member(own.store, LOCAL_MEMBER.instance_id, 1)
    own.store.restore(copy)
    assert own.store.apply_delayed() == 1
    applier.apply_member(KeyedRecord(LOCAL_MEMBER.instance_id, None, 1))
    assert lost.is_set()


class FakeState:
    """The parts of the process state that member records change."""

    def __init__(self):
        self.local_member = LOCAL_MEMBER
        self.removed: list[str] = []
        self.members = self
        self.known: dict[str, object] = {}

    def put(self, member):
        self.known[member.instance_id] = member

    def remove(self, instance_id):
        self.removed.append(instance_id)

    def retain_only(self, keys):
        self.removed += sorted(self.known.keys() - keys)


def make_applier():
    state = FakeState()
    return RecordApplier(state, None, FakeClock()), state  # type: ignore[arg-type]


# Guards against instances that are forgotten until they write their records
# again.
def test_instances_that_an_older_copy_lacks_are_kept():
    applier, state = make_applier()
    events: list[str] = []
    applier.on_member_lost = lambda: events.append("member")
    applier.on_store_returned = lambda: events.append("returned")
    other = evolve(LOCAL_MEMBER, instance_id=InstanceId("other"), incarnation="other-1")
    applier.apply_member(KeyedRecord("other", encode_message(other), 0))
    applier.return_members(frozenset())
    assert state.removed == []
    assert events == ["member", "returned"]
    applier.retain_members(frozenset({LOCAL_MEMBER.instance_id}))
    assert state.removed == ["other"]
    assert events == ["member", "returned"]


# Guards against an older incarnation of this instance that is back.
def test_an_older_record_of_this_instance_is_replaced():
    applier, state = make_applier()
    events: list[str] = []
    applier.on_member_lost = lambda: events.append("member")
    older = evolve(LOCAL_MEMBER, incarnation="own-0")
    applier.apply_member(
        KeyedRecord(LOCAL_MEMBER.instance_id, encode_message(older), 0)
    )
    assert events == ["member"]
    assert state.known == {}
    applier.apply_member(
        KeyedRecord(LOCAL_MEMBER.instance_id, encode_message(LOCAL_MEMBER), 1)
    )
    assert events == ["member"]
