"""Tests of the checks of received orders."""

from attrs import evolve

from waxwing_testbed.history import (
    LoggedIntent,
    LoggedOutcome,
    OrderArrival,
    check_effects_by_epoch,
    check_epochs_of_orders,
    check_one_open_order,
    check_order_names,
)

FIRST = OrderArrival("engine-1", "a", 1, "prefill", True, 0.0)
SECOND = OrderArrival("engine-1", "b", 2, "decode", True, 1.0)


def test_an_old_epoch_after_a_newer_is_found():
    assert check_epochs_of_orders([SECOND, FIRST])
    assert not check_epochs_of_orders([FIRST, SECOND])


def test_an_old_epoch_without_effect_is_found_by_the_strict_check_only():
    late = evolve(FIRST, is_run=False)
    assert check_epochs_of_orders([FIRST, SECOND, late])
    assert not check_effects_by_epoch([FIRST, SECOND, late])


def test_a_name_with_two_contents_is_found():
    assert check_order_names([FIRST, evolve(FIRST, content="decode", is_run=False)])


def test_a_name_that_ran_twice_is_found():
    assert check_order_names([FIRST, FIRST])
    assert not check_order_names([FIRST, evolve(FIRST, is_run=False)])


def test_an_order_over_an_open_one_is_found():
    closed = (LoggedIntent("a"), LoggedOutcome("a"), LoggedIntent("b"))
    opened = (LoggedIntent("a"), LoggedIntent("b"), LoggedOutcome("a"))
    assert not check_one_open_order([FIRST, SECOND], closed)
    assert check_one_open_order([FIRST, SECOND], opened)


def test_an_order_without_intent_is_found():
    assert check_one_open_order([FIRST], [])
