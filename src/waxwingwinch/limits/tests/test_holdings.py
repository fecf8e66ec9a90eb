"""Use and expiry of the tokens and floors that an entry holds."""

from attrs import evolve

from waxwingwinch._types import CustomerId, Epoch
from waxwingwinch.limits import (
    CustomerLimit,
    Floor,
    GrantedTokens,
    Holdings,
    ReturnedTokens,
)

CUSTOMER = CustomerId("tahi")
LIMIT = CustomerLimit(20.0, 20.0, 0.5, 100.0, 2.0)
FLOOR = Floor(CUSTOMER, 7, 10.0, 10.0, 20.0, 20.0, 100.0)


def make_grant(tokens, sequence, returned=ReturnedTokens()):  # noqa: B008
    return GrantedTokens(CUSTOMER, tokens, sequence, False, 0.0, returned)


def count_admitted(holdings, now_seconds, limit=LIMIT):
    number = 0
    while holdings.try_consume(limit, now_seconds):
        number += 1
    return number


def with_floor():
    holdings = Holdings(CUSTOMER)
    holdings.apply_floor(FLOOR, LIMIT, 0.0, 1.0)
    return holdings


def test_a_new_floor_starts_empty_and_expires_with_its_term():
    holdings = with_floor()
    assert count_admitted(holdings, 1.0) == 0
    assert count_admitted(holdings, 1.51) == 5
    assert count_admitted(holdings, 100.0) == 0


def test_a_renewal_keeps_the_tokens():
    holdings = with_floor()
    holdings.apply_floor(evolve(FLOOR, offset=9), LIMIT, 1.5, 1.51)
    assert count_admitted(holdings, 1.51) == 5


def test_an_older_or_released_floor_is_never_used_again():
    holdings = with_floor()
    holdings.apply_floor(evolve(FLOOR, offset=6, burst_tokens=99), LIMIT, 2.0, 2.0)
    assert count_admitted(holdings, 50.0) == 10
    holdings.release_floor()
    holdings.apply_floor(FLOOR, LIMIT, 50.0, 50.0)
    assert count_admitted(holdings, 60.0) == 0
    assert holdings.floor_wanted().released_offset == 7


def test_a_lowered_rate_takes_effect_before_the_floor_is_renewed():
    holdings = with_floor()
    low = evolve(LIMIT, rate_per_second=2.0, burst_requests=4.0)
    assert count_admitted(holdings, 50.0, low) == 2
    assert count_admitted(holdings, 51.01, low) == 1


def test_extra_tokens_expire_and_duplicate_grants_are_ignored():
    holdings = Holdings(CUSTOMER)
    holdings.add_extra(make_grant(3, 5), Epoch(1), 2.0)
    holdings.add_extra(make_grant(3, 5), Epoch(1), 2.0)
    holdings.add_extra(make_grant(3, 4), Epoch(1), 2.0)
    assert count_admitted(holdings, 1.0) == 3
    holdings.add_extra(make_grant(3, 6), Epoch(1), 2.0)
    assert count_admitted(holdings, 2.0) == 0


def test_returned_tokens_lower_the_floors_cap_until_confirmed():
    holdings = with_floor()
    holdings.add_extra(make_grant(0, 1), Epoch(1), 2.0)
    report = holdings.prepare_request(LIMIT, 0, 50.0)
    assert report.returned.floor_offset == 7
    assert report.returned.tokens > 4
    assert count_admitted(holdings, 60.0) == int(10 - report.returned.tokens)
    holdings.add_extra(make_grant(0, 2, report.returned), Epoch(1), 62.0)
    # The cap rises again when the bucket is next refilled.
    holdings.floor_wait_seconds(LIMIT, 60.0)
    assert count_admitted(holdings, 80.0) == 10


def test_a_wrong_confirmation_never_enlarges_the_floor():
    holdings = with_floor()
    wrong = ReturnedTokens(floor_offset=7, tokens=50.0)
    holdings.add_extra(make_grant(0, 1, wrong), Epoch(1), 2.0)
    holdings.floor_wait_seconds(LIMIT, 2.0)
    assert count_admitted(holdings, 90.0) == 10


def test_a_floor_remains_usable_without_replies_from_the_grantor():
    holdings = with_floor()
    for number in range(100):
        holdings.prepare_request(LIMIT, 0, 50.0 + 0.25 * number)
    assert count_admitted(holdings, 76.0) == 5
