"""Single rules on which the bound rests."""

from attrs import evolve

from waxwingwinch._types import CustomerId, Epoch, InstanceId
from waxwingwinch.limits import (
    CustomerLimit,
    CustomerTokens,
    ExtraRequest,
    FloorWanted,
    Grantor,
    Holder,
    KeepFloor,
    RecordFloor,
    RefuseFloor,
    ReturnedTokens,
    TokenBucket,
)
from waxwingwinch.streams import Applied, RecordId

CUSTOMER = CustomerId("tahi")
LIMIT = CustomerLimit(10.0, 10.0, 0.5, 100.0, 2.0)
ONE, TWO = (Holder(InstanceId(name), "start") for name in "ab")
HOMES = (ONE.instance_id, TWO.instance_id)


def apply(grantor, offset, record, now_seconds):
    applied = Applied(offset, RecordId("w", offset), record, now_seconds)
    grantor.apply(applied)


def granting(now_seconds=0.0, epoch=1):
    grantor = Grantor(0.0)
    began = grantor.begin(Epoch(epoch), {CUSTOMER: LIMIT}, now_seconds)
    apply(grantor, 0, began, now_seconds)
    return grantor


def ask(grantor, now_seconds, wanted=100, held=0, received=0, holder=ONE):
    row = CustomerTokens(CUSTOMER, wanted, held, received, 0.0, ReturnedTokens())
    request = ExtraRequest(holder, grantor.epoch, (row,))
    (granted,) = grantor.grant(request, now_seconds).granted
    return granted


def test_a_bucket_gains_nothing_from_a_raised_cap():
    bucket = TokenBucket(1.0, 5.0, 5.0, 0.0).resized(1.0, 50.0)
    assert bucket.level_tokens == 5.0
    assert bucket.refilled(-1.0) == bucket


def test_a_new_grantor_grants_nothing_for_one_term():
    grantor = granting()
    assert ask(grantor, 2.0).tokens == 0
    # After the term it fills at the rate, from nothing.
    assert ask(grantor, 2.52).tokens == 5


def test_a_new_grantor_waits_for_the_longer_term_of_the_one_before():
    grantor = Grantor(0.0)
    long = evolve(LIMIT, extra_term_seconds=8.0)
    earlier = Grantor(0.0).begin(Epoch(1), {CUSTOMER: long}, 0.0)
    apply(grantor, 0, earlier, 0.0)
    apply(grantor, 1, grantor.begin(Epoch(2), {CUSTOMER: LIMIT}, 1.0), 1.0)
    assert ask(grantor, 8.9).tokens == 0
    assert ask(grantor, 10.0).tokens > 0


def test_lapsed_tokens_leave_room_that_fills_only_afterwards():
    grantor = granting()
    assert ask(grantor, 4.0).tokens == 10
    # All is outstanding until 6.003, so 0.1 s later there is one token.
    assert ask(grantor, 6.11).tokens == 1


def test_a_late_statement_never_settles_later_grants():
    grantor = granting()
    first = ask(grantor, 2.53)
    second = ask(grantor, 2.84, received=first.sequence)
    assert (first.tokens, second.tokens) == (5, 3)
    assert ask(grantor, 3.2, received=first.sequence).tokens == 3
    # 3 + 3 may be unused by now, which leaves room for 4 of the burst.
    assert ask(grantor, 4.4, received=first.sequence).tokens == 4


def test_floors_on_their_way_to_the_log_count():
    grantor = granting()
    assert isinstance(grantor.decide_floor(CUSTOMER, ONE, HOMES, 1.0), RecordFloor)
    # Half of 5 are reserved, the level can't exceed the rest.
    assert ask(grantor, 50.0).tokens == 7


def test_a_floor_is_kept_only_from_its_decision_on():
    grantor = granting()
    decision = grantor.decide_floor(CUSTOMER, ONE, HOMES, 1.0)
    apply(grantor, 1, decision.granted, 9.0)
    grantor.settle_floor(decision.granted, 1, 1.0, 9.0)
    kept = grantor.decide_floor(CUSTOMER, ONE, HOMES, 11.0)
    assert isinstance(kept, KeepFloor)
    assert kept.term_seconds == 90.0


def test_a_floor_of_an_earlier_grantor_is_recorded_anew():
    grantor = granting()
    granted = grantor.decide_floor(CUSTOMER, ONE, HOMES, 1.0).granted
    later = Grantor(0.0)
    apply(later, 1, granted, 1.0)
    apply(later, 2, later.begin(Epoch(2), {CUSTOMER: LIMIT}, 2.0), 2.0)
    assert isinstance(later.decide_floor(CUSTOMER, ONE, HOMES, 3.0), RecordFloor)


def test_a_floor_record_of_an_earlier_epoch_is_void():
    granted = granting().decide_floor(CUSTOMER, ONE, HOMES, 1.0).granted
    later = granting(epoch=2)
    apply(later, 1, granted, 2.0)
    assert later.floors.newest(CUSTOMER, ONE) is None


def test_a_lower_floor_counts_as_the_old_one_until_confirmed():
    grantor = granting()
    old = grantor.decide_floor(CUSTOMER, ONE, HOMES, 1.0).granted
    apply(grantor, 1, old, 1.0)
    grantor.settle_floor(old, 1, 1.0, 1.0)
    grantor.configure({CUSTOMER: evolve(LIMIT, rate_per_second=4.0)}, 2.0)
    new = grantor.decide_floor(CUSTOMER, ONE, HOMES, 2.0).granted
    apply(grantor, 2, new, 2.0)
    grantor.settle_floor(new, 2, 2.0, 2.0)
    assert grantor.floors.shares(CUSTOMER)[ONE].rate_per_second == 2.5
    grantor.confirm_floor(ONE, FloorWanted(CUSTOMER, 2, -1), 3.0)
    assert grantor.floors.shares(CUSTOMER)[ONE].rate_per_second == 1.0


def test_floors_together_keep_to_their_fraction():
    grantor = granting()
    one = grantor.decide_floor(CUSTOMER, ONE, HOMES[:1], 1.0).granted
    apply(grantor, 1, one, 1.0)
    assert one.rate_per_second == 5.0
    assert isinstance(grantor.decide_floor(CUSTOMER, TWO, HOMES, 1.0), RefuseFloor)


def test_returned_tokens_count_once():
    grantor = granting()
    granted = grantor.decide_floor(CUSTOMER, ONE, HOMES, 1.0).granted
    apply(grantor, 1, granted, 1.0)
    grantor.settle_floor(granted, 1, 1.0, 1.0)
    while ask(grantor, 2.003).tokens:
        pass
    returned = ReturnedTokens(floor_offset=1, tokens=1.0)
    row = CustomerTokens(CUSTOMER, 9, 0, 0, 0.0, returned)
    request = ExtraRequest(ONE, grantor.epoch, (row,))
    granted_tokens = [grantor.grant(request, 2.003).granted[0].tokens for _ in range(3)]
    assert granted_tokens == [1, 0, 0]
    stale = evolve(row, returned=evolve(returned, floor_offset=0, tokens=5.0))
    request = ExtraRequest(ONE, grantor.epoch, (stale,))
    assert grantor.grant(request, 2.003).granted[0].tokens == 0
