"""The record of an instance goes with its planned stop."""

from waxwingwinch._types import InstanceId
from waxwingwinch.gateway._joining import MEMBERS_TOPIC, withdraw_member
from waxwingwinch.gateway.tests.fakes import FakeStore

OWN = InstanceId("own")


def keys(store):
    return {record.key for record in store.snapshot(MEMBERS_TOPIC).records}


def test_a_record_is_withdrawn_although_others_have_written_meanwhile():
    """Pattern: many instances are stopped and started in turn."""
    store = FakeStore()
    store.put(MEMBERS_TOPIC, OWN, b"own")
    known_offset = 1
    store.put(MEMBERS_TOPIC, "other", b"other")
    withdraw_member(store, OWN, known_offset)
    assert keys(store) == {"other"}


def test_a_withdrawal_that_is_carried_out_late_leaves_a_later_start_alone():
    store = FakeStore()
    store.put(MEMBERS_TOPIC, OWN, b"first start")
    store.next_append = "late"
    withdraw_member(store, OWN, 1)
    store.put(MEMBERS_TOPIC, OWN, b"second start")
    assert store.apply_delayed() == 0
    assert keys(store) == {OWN}
