"""The calls of a request that the retry budget pays for."""

import pytest
from hypothesis import given, strategies as st

from waxwingwinch.gateway._arrivals import Arrivals

FIRST_CALL = Arrivals().with_call()
FIRST_PREFILL = Arrivals().with_prefill()
PREFILL_AND_DECODE = FIRST_PREFILL.with_call()


def planned(arrivals, is_split):
    return (arrivals.with_prefill() if is_split else arrivals).with_call()


@pytest.mark.parametrize(
    ("arrivals", "direct_cost", "split_cost"),
    [
        (Arrivals(), 0, 0),
        (FIRST_CALL, 1, 1),
        (FIRST_PREFILL, 0, 1),
        (PREFILL_AND_DECODE, 1, 2),
        (FIRST_CALL.with_call().with_payment(1), 1, 1),
    ],
    ids=["none", "call", "prefill", "prefill-decode", "paid-retry"],
)
def test_the_cost_is_the_growth_of_the_extra_calls(arrivals, direct_cost, split_cost):
    assert arrivals.cost(planned(arrivals, False)) == direct_cost
    assert arrivals.cost(planned(arrivals, True)) == split_cost


def test_a_payment_for_a_refused_connection_is_used_by_the_next_call():
    paid = FIRST_CALL.with_payment(1)
    assert paid.cost(planned(paid, False)) == 0


# Guards against calls beyond what was paid, whichever of them failed.
@given(st.lists(st.sampled_from(["direct", "split", "prefill", "refused", "fails"])))
def test_no_more_extra_calls_are_made_than_were_paid(attempts):
    arrivals = Arrivals()
    for attempt in attempts:
        cost = arrivals.cost(planned(arrivals, attempt != "direct"))
        arrivals = arrivals.with_payment(cost)
        match attempt:
            case "direct" | "fails":
                arrivals = arrivals.with_call()
            case "split":
                arrivals = arrivals.with_prefill().with_call()
            case "prefill":
                arrivals = arrivals.with_prefill()
        assert arrivals.extra <= arrivals.paid
