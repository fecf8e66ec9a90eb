import pytest
from attrs import evolve
from hypothesis import given, strategies as st

from waxwing_testbed.history import CallEvent, CallKind, CallOutcome
from waxwing_testbed.load import (
    CustomerKey,
    CustomerLimit,
    OptionsInvalid,
    check_load,
    parse_targets,
    percentile,
    summarize,
)
from waxwingwinch._types import Address


def event(number: int, customer_id: str = "cebu", **fields) -> CallEvent:
    whole = CallEvent(
        call_id=str(number),
        request_id=f"r{number}",
        kind=CallKind.CHAT,
        customer_id=customer_id,
        instance="127.0.0.1:1",
        idempotency_key="",
        started_seconds=float(number),
        ended_seconds=number + 0.5,
        status=200,
        outcome=CallOutcome.WHOLE,
        first_token_seconds=0.1 * number,
    )
    return evolve(whole, **fields)


def refusal(number: int, detail: str) -> CallEvent:
    return event(
        number, outcome=CallOutcome.NOT_RUN, detail=detail, first_token_seconds=None
    )


def test_summary_tells_reasons_by_customer():
    events = [
        event(1),
        refusal(2, "over_rate"),
        refusal(3, "over_rate"),
        refusal(4, "no_capacity"),
        event(5, "anna"),
    ]
    anna, cebu = summarize(events)
    assert (anna.customer_id, anna.tries, anna.served) == ("anna", 1, 1)
    assert (cebu.tries, cebu.served) == (4, 1)
    assert [str(one) for one in cebu.shortfalls] == [
        "2 not_run (over_rate)",
        "1 not_run (no_capacity)",
    ]
    assert cebu.first_token_p95_seconds == pytest.approx(0.1)


@given(st.lists(st.floats(0, 100), min_size=1), st.floats(0.01, 1))
def test_percentile_covers_its_share_and_no_smaller_value_does(values, ratio):
    ordered = sorted(values)
    found = percentile(ordered, ratio)
    assert sum(value <= found for value in values) >= ratio * len(values)
    assert sum(value < found for value in values) < ratio * len(values)


def test_percentile_needs_values():
    assert percentile([], 0.5) is None


def test_all_malformed_options_are_found_and_no_key_is_shown():
    with pytest.raises(OptionsInvalid) as caught:
        parse_targets(["nowhere"], ["secret-key"], ["cebu=fast"])
    texts = [str(finding) for finding in caught.value.exceptions]
    assert len(texts) == 3
    assert not any("secret-key" in text for text in texts)


def test_options_are_read():
    targets = parse_targets(["127.0.0.1:80"], ["cebu=a=b"], ["cebu=2,4"])
    assert targets.entries == (Address("127.0.0.1", 80),)
    assert targets.keys == (CustomerKey("cebu", "a=b"),)
    assert targets.limits == (CustomerLimit("cebu", 2.0, 4.0),)


def test_wrong_answers_and_excess_are_violations():
    wrong = event(1, outcome=CallOutcome.WRONG, detail="token 3")
    assert [one.promise for one in check_load([wrong], ())] == ["whole answers"]
    at_once = [event(n, started_seconds=0.0, ended_seconds=0.1) for n in range(5)]
    burst = [evolve(one, first_token_seconds=0.05) for one in at_once]
    assert check_load(burst, [CustomerLimit("cebu", 1.0, 5.0)]) == []
    assert check_load(burst, [CustomerLimit("cebu", 1.0, 3.0)]) != []
