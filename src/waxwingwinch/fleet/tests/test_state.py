"""Tests of the fleet state derived from records."""

from waxwingwinch._types import (
    EngineRole,
    Epoch,
    ModelName,
    UpstreamId,
    UpstreamState,
)
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.fleet import (
    Directive,
    FleetState,
    OrderFate,
    OrderIntent,
    OrderOutcome,
    TermBegun,
)
from waxwingwinch.interfaces import LoadModel, SetRole

E1 = UpstreamId("e1")


def drain(epoch, state=UpstreamState.DRAINING):
    return Directive("fleet-c", Epoch(epoch), E1, state)


def intent(epoch, order_id, duty="fleet-c"):
    action = SetRole(EngineRole.DECODE)
    return OrderIntent.of(duty, Epoch(epoch), order_id, E1, action)


def outcome(epoch, order_id):
    return OrderOutcome("fleet-c", Epoch(epoch), order_id, OrderFate.DONE)


def test_records_of_an_older_term_are_void():
    state = FleetState()
    assert state.apply(drain(5))
    assert state.apply(TermBegun("fleet-c", Epoch(9)))
    assert not state.apply(drain(5, UpstreamState.ACTIVE))
    assert state.is_draining(E1)
    assert not state.apply(intent(5, "late"))


def test_epochs_of_different_duties_are_independent():
    state = FleetState()
    state.apply(TermBegun("buying-c", Epoch(90)))
    assert state.apply(drain(5))


def test_no_second_order_for_an_upstream_with_an_open_order():
    state = FleetState()
    assert state.apply(intent(5, "first"))
    assert not state.apply(intent(5, "second"))
    assert state.apply(intent(9, "first"))
    assert state.apply(outcome(9, "first"))
    assert state.open_intents() == ()
    assert state.apply(intent(9, "second"))


def test_open_order_blocks_orders_of_another_duty():
    state = FleetState()
    assert state.apply(intent(5, "first"))
    assert not state.apply(intent(7, "second", duty="buying-c"))


def test_closed_order_does_not_open_again():
    state = FleetState()
    state.apply(intent(5, "first"))
    state.apply(outcome(5, "first"))
    assert not state.apply(intent(5, "first"))


def test_intent_round_trips_through_the_codec():
    action = LoadModel(ModelName("m"), "2")
    sent = OrderIntent.of("fleet-c", Epoch(1), "o", E1, action)
    decoded = decode_message(encode_message(sent))
    assert decoded == sent
    assert decoded.action == action


def test_upstream_drained_by_one_duty_ignores_directives_of_another():
    state = FleetState()
    assert state.apply(drain(5))
    other = Directive("buying-c", Epoch(7), E1, UpstreamState.ACTIVE)
    assert not state.apply(other)
    assert state.is_draining(E1)
    assert state.apply(drain(5, UpstreamState.ACTIVE))
    assert state.apply(other)
