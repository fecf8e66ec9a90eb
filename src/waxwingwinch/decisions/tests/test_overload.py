"""Tests of admission, retries and ejection."""

import pytest
from attrs import evolve
from hypothesis import given, strategies as st

from waxwingwinch._types import CustomerId, UpstreamId
from waxwingwinch.decisions import (
    AdmissionRequest,
    Admit,
    CustomerWork,
    EjectionCause,
    EngineRecord,
    RetryAllowed,
    RetryBudget,
    RetryRefused,
    Shed,
    Wait,
    after_admission,
    after_demand,
    after_failure,
    after_request,
    after_success,
    decayed,
    decide_admission,
    decide_retry,
    eject_slow,
    max_min_shares,
    traffic_share,
    usable_engines,
)

RATES = st.floats(0, 1e6)


def work(name: str, demanded: float, admitted: float, weight: float = 1.0):
    return CustomerWork(CustomerId(name), weight, demanded, admitted, 0.0)


def asks(name: str, queue: float, deadline: float = 60.0, **fields: int):
    return AdmissionRequest(
        CustomerId(name), queue, queue + 0.1, 0.4, deadline, 0.0, **fields
    )


@given(
    st.lists(st.tuples(RATES, st.floats(0.1, 10)), min_size=1, max_size=8),
    RATES,
)
def test_shares_are_max_min(rows, capacity):
    works = [work(f"c{n}", demand, 0, w) for n, (demand, w) in enumerate(rows)]
    shares = max_min_shares(works, capacity)
    total = sum(w.demanded_tokens_per_second for w in works)
    assert sum(shares.values()) == pytest.approx(min(total, capacity))
    level = max(shares[w.customer_id] / w.weight for w in works)
    for w in works:
        given_rate = shares[w.customer_id]
        assert given_rate <= w.demanded_tokens_per_second
        satisfied = given_rate == pytest.approx(w.demanded_tokens_per_second)
        assert satisfied or given_rate / w.weight == pytest.approx(level)


def test_only_the_customer_beyond_its_share_is_refused():
    works = (work("noisy", 900, 500), work("quiet", 100, 100))
    # The whole demand of the quiet customer was admitted, and yet the queue
    # exceeds the threshold.
    shed = decide_admission(asks("noisy", 1.0), works, 0.0)
    assert isinstance(shed, Shed)
    assert 1.0 <= shed.retry_after_seconds <= 30.0
    assert isinstance(decide_admission(asks("quiet", 0.4), works, 0.0), Admit)
    assert isinstance(decide_admission(asks("quiet", 1.0), works, 0.0), Wait)


def test_equal_customers_are_not_refused_for_a_short_queue():
    works = (work("a", 300, 300), work("b", 300, 300), work("alone", 0, 0))
    assert isinstance(decide_admission(asks("a", 0.4), works, 0.0), Admit)
    assert isinstance(decide_admission(asks("b", 0.4), works, 0.0), Admit)


def test_all_requests_are_admitted_without_overload():
    works = (work("noisy", 900, 500), work("quiet", 300, 100))
    noisy = decide_admission(asks("noisy", 0.1), works, 0.0)
    quiet = decide_admission(asks("quiet", 0.1), works, 0.0)
    assert isinstance(noisy, Admit) and isinstance(quiet, Admit)
    assert noisy.priority < quiet.priority


def test_waits_only_while_the_deadline_and_bounds_allow():
    works = (work("quiet", 100, 100),)
    waits = decide_admission(asks("quiet", 5.0), works, 0.0)
    assert waits == Wait(2.0)
    assert isinstance(decide_admission(asks("quiet", 5.0), works, 2.0), Shed)
    full = asks("quiet", 5.0, waiting_requests=64)
    assert isinstance(decide_admission(full, works, 0.0), Shed)
    hopeless = asks("quiet", 5.0, deadline=4.0)
    assert isinstance(decide_admission(hopeless, works, 0.0), Shed)


@given(st.lists(st.tuples(st.integers(1, 10_000), st.floats(0, 3)), max_size=20))
def test_recent_work_is_bounded_by_the_requested_work(steps):
    now, asked, present = 0.0, 0, work("a", 0, 0)
    for tokens, pause in steps:
        now += pause
        asked += tokens
        present = after_admission(after_demand(present, tokens, now), tokens, now)
    assert present.demanded_tokens_per_second <= asked / 5.0 + 1e-6
    later = decayed(present, now + 100.0)
    assert later.demanded_tokens_per_second < 1e-6 + asked * 1e-6


def test_retry_budget():
    budget = RetryBudget(1.0)
    allowed = decide_retry(budget, 1, 10.0, 0.0)
    assert isinstance(allowed, RetryAllowed)
    assert isinstance(decide_retry(allowed.budget, 1, 10.0, 0.0), RetryRefused)
    refilled = allowed.budget
    for _ in range(11):
        refilled = after_request(refilled, 0.1)
    assert isinstance(decide_retry(refilled, 1, 10.0, 0.0), RetryAllowed)
    assert isinstance(decide_retry(refilled, 4, 10.0, 0.0), RetryRefused)
    assert isinstance(decide_retry(refilled, 1, 10.0, 9.99), RetryRefused)


def failed(record: EngineRecord, times: int, cause: EjectionCause) -> EngineRecord:
    for _ in range(times):
        record = after_failure(record, cause, 0.0)
    return record


def test_failures_eject_and_the_share_returns_gradually():
    record = failed(EngineRecord(), 2, EjectionCause.FAILURES)
    assert traffic_share(record, 0.0) == 1.0
    record = failed(record, 1, EjectionCause.FAILURES)
    shares = [traffic_share(record, now) for now in (0.0, 4.9, 5.0, 15.0, 25.0)]
    assert shares == [0.0, 0.0, 0.05, pytest.approx(0.525), 1.0]
    again = failed(record, 3, EjectionCause.FAILURES)
    assert traffic_share(again, 9.9) == 0.0 < traffic_share(again, 10.1)
    assert after_success(again, 1.0, 60.0).consecutive_ejections == 0


def test_engine_ejected_for_refusals_returns_at_full_share():
    record = failed(EngineRecord(), 3, EjectionCause.REFUSALS)
    assert (traffic_share(record, 1.9), traffic_share(record, 2.0)) == (0.0, 1.0)


def test_slow_engine_is_ejected():
    names = [UpstreamId(name) for name in "abc"]
    records = dict.fromkeys(names, EngineRecord(samples=20))
    records[names[2]] = EngineRecord(samples=20, latency_ratio=4.0)
    after_ejection = eject_slow(records, 0.0)
    assert [traffic_share(after_ejection[name], 0.0) for name in names] == [
        1.0,
        1.0,
        0.0,
    ]
    all_slow = dict.fromkeys(names, EngineRecord(samples=20, latency_ratio=4.0))
    assert eject_slow(all_slow, 0.0) == all_slow


@given(
    st.lists(st.one_of(st.none(), st.floats(-100, 100)), min_size=1, max_size=9),
    st.floats(0, 1, exclude_max=True),
)
def test_some_engine_is_always_usable(ends, draw):
    records = {
        UpstreamId(f"e{n}"): evolve(EngineRecord(), ejected_until_seconds=end)
        for n, end in enumerate(ends)
    }
    usable = usable_engines(records, draw, 0.0)
    assert usable
    assert all(
        name in usable for name, r in records.items() if traffic_share(r, 0.0) == 1.0
    )
