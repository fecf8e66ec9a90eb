"""Tests of the checks over journals and of the seeded schedules."""

import pytest

from waxwing_testbed.history import CallEvent, CallKind, CallOutcome
from waxwing_testbed.scenario import FaultKind, plan_faults
from waxwing_testbed.scenario._request_checks import check_customers, check_payments
from waxwing_testbed.standins import Execution


def execution(path, request_id="r1", customer_id="wide"):
    return Execution(1.0, "POST", path, request_id, "", 1, customer_id)


def call(request_id, customer_id):
    return CallEvent(
        "c1",
        request_id,
        CallKind.PAYMENT,
        customer_id,
        "i1",
        "",
        0.0,
        1.0,
        200,
        CallOutcome.WHOLE,
    )


def test_a_payment_that_ran_twice_is_found():
    once = [execution("/shop/payments?payment=a"), execution("/shop/status")]
    assert check_payments(once) == []
    assert len(check_payments([*once, *once])) == 1


@pytest.mark.parametrize(
    ("path", "customer_id", "count"),
    [
        ("/shop/payments", "wide", 0),
        ("/shop/payments", "other", 1),
        ("/shop/payments", "", 1),
        ("/shop/catalogue", "", 0),
    ],
)
def test_a_run_for_another_customer_is_found(path, customer_id, count):
    run = execution(path, customer_id=customer_id)
    assert len(check_customers([call("r1", "wide")], [run])) == count


def test_schedules_follow_their_seed_and_have_every_fault():
    assert plan_faults(3) == plan_faults(3)
    assert plan_faults(3) != plan_faults(4)
    assert {fault.kind for fault in plan_faults(3)} == set(FaultKind)
