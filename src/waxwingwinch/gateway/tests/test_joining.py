"""Tests of the removal of the member record at a planned stop."""

from waxwingwinch._types import InstanceId
from waxwingwinch.gateway._joining import MEMBERS_TOPIC, withdraw_member
from waxwingwinch.gateway.tests.fakes import FakeStore

OWN = InstanceId("own")


def keys(store):
    return {record.key for record in store.snapshot(MEMBERS_TOPIC).records}


def test_a_record_is_withdrawn_despite_concurrent_writes():
    """Guards against failed removals in a rolling restart."""
    store = FakeStore()
    store.put(MEMBERS_TOPIC, OWN, b"own")
    known_offset = 1
    store.put(MEMBERS_TOPIC, "other", b"other")
    withdraw_member(store, OWN, known_offset)
    assert keys(store) == {"other"}


def test_a_delayed_withdrawal_does_not_affect_a_later_incarnation():
    store = FakeStore()
    store.put(MEMBERS_TOPIC, OWN, b"first start")
    store.next_append = "late"
    withdraw_member(store, OWN, 1)
    store.put(MEMBERS_TOPIC, OWN, b"second start")
    assert store.apply_delayed() == 0
    assert keys(store) == {OWN}
