"""Single rules on which the bound rests."""

from attrs import evolve

from waxwingwinch._types import CustomerId, Epoch, InstanceId, ProcessId
from waxwingwinch.limits import (
    CustomerLimit,
    CustomerTokens,
    ExtraRequest,
    FloorWanted,
    Grantor,
    KeepFloor,
    PostponeFloor,
    RecordFloor,
    RefuseFloor,
    ReturnedTokens,
    TokenBucket,
)
from waxwingwinch.streams import AppliedRecord, RecordId

CUSTOMER = CustomerId("tahi")
LIMIT = CustomerLimit(10.0, 10.0, 0.5, 100.0, 2.0)
ONE, TWO = (ProcessId(InstanceId(name), "start") for name in "ab")
HOMES = (ONE.instance_id, TWO.instance_id)


def apply(grantor, offset, record, now_seconds):
    applied = AppliedRecord(offset, RecordId("w", offset), record, now_seconds)
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


def test_a_grantor_between_doesnt_shorten_the_wait():
    grantor = Grantor(0.0)
    long = evolve(LIMIT, extra_term_seconds=8.0)
    first = Grantor(0.0).begin(Epoch(1), {CUSTOMER: long}, 0.0)
    second = Grantor(0.0).begin(Epoch(2), {CUSTOMER: LIMIT}, 0.0)
    apply(grantor, 0, first, 0.0)
    apply(grantor, 1, second, 1.0)
    apply(grantor, 2, grantor.begin(Epoch(3), {CUSTOMER: LIMIT}, 2.0), 2.0)
    assert ask(grantor, 8.9).tokens == 0


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
    assert isinstance(grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0), RecordFloor)
    # Half of 5 are reserved, the level can't exceed the rest.
    assert ask(grantor, 50.0).tokens == 7


def test_a_floor_is_kept_only_from_its_decision_on():
    grantor = granting()
    decision = grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0)
    apply(grantor, 1, decision.granted, 9.0)
    grantor.settle_floor(decision.granted, 1, 3.0, 9.0)
    kept = grantor.decide_floor(CUSTOMER, ONE, HOMES, 11.0)
    assert isinstance(kept, KeepFloor)
    assert kept.term_seconds == 92.0


def test_a_floor_whose_record_was_given_up_is_recorded_anew():
    grantor = granting()
    given_up = grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0).granted
    grantor.settle_floor(given_up, None, 3.0, 5.0)
    again = grantor.decide_floor(CUSTOMER, ONE, HOMES, 6.0).granted
    apply(grantor, 1, again, 6.0)
    grantor.settle_floor(again, 1, 6.0, 6.0)
    # The first record turns up late; others may have read it sooner.
    apply(grantor, 2, given_up, 9.0)
    decision = grantor.decide_floor(CUSTOMER, ONE, HOMES, 10.0)
    assert isinstance(decision, RecordFloor)


def test_a_floor_of_an_earlier_grantor_is_recorded_anew():
    grantor = granting()
    granted = grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0).granted
    later = Grantor(0.0)
    apply(later, 1, granted, 3.0)
    apply(later, 2, later.begin(Epoch(2), {CUSTOMER: LIMIT}, 3.5), 3.5)
    assert isinstance(later.decide_floor(CUSTOMER, ONE, HOMES, 4.0), RecordFloor)


def test_a_floor_record_of_an_earlier_epoch_is_void():
    granted = granting().decide_floor(CUSTOMER, ONE, HOMES, 3.0).granted
    later = granting(epoch=2)
    apply(later, 1, granted, 3.0)
    assert later.floors.newest(CUSTOMER, ONE) is None


def test_a_lower_floor_counts_as_the_old_one_until_confirmed():
    grantor = granting()
    old = grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0).granted
    apply(grantor, 1, old, 3.0)
    grantor.settle_floor(old, 1, 3.0, 3.0)
    grantor.configure({CUSTOMER: evolve(LIMIT, rate_per_second=4.0)}, 4.0)
    new = grantor.decide_floor(CUSTOMER, ONE, HOMES, 4.0).granted
    apply(grantor, 2, new, 4.0)
    grantor.settle_floor(new, 2, 4.0, 4.0)
    assert grantor.floors.shares(CUSTOMER)[ONE].rate_per_second == 2.5
    grantor.confirm_floor(ONE, FloorWanted(CUSTOMER, 2, -1), 5.0)
    assert grantor.floors.shares(CUSTOMER)[ONE].rate_per_second == 1.0


def test_floors_together_keep_to_their_fraction():
    grantor = granting()
    one = grantor.decide_floor(CUSTOMER, ONE, HOMES[:1], 3.0).granted
    apply(grantor, 1, one, 3.0)
    assert one.rate_per_second == 5.0
    assert isinstance(grantor.decide_floor(CUSTOMER, TWO, HOMES, 3.0), RefuseFloor)


def test_returned_tokens_count_once():
    grantor = granting()
    granted = grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0).granted
    apply(grantor, 1, granted, 3.0)
    grantor.settle_floor(granted, 1, 3.0, 3.0)
    last = ask(grantor, 3.0)
    assert last.tokens == 7
    returned = ReturnedTokens(floor_offset=1, tokens=1.0)
    row = CustomerTokens(CUSTOMER, 9, 0, last.sequence, 0.0, returned)
    stale = evolve(row, returned=evolve(returned, floor_offset=0, tokens=5.0))
    # Half a token was left, and one came back.
    assert [tokens_for(grantor, each) for each in (stale, row, row)] == [0, 1, 0]


def tokens_for(grantor, row):
    request = ExtraRequest(ONE, grantor.epoch, (row,))
    return grantor.grant(request, 3.0).granted[0].tokens


def test_a_floor_waits_until_outstanding_tokens_leave_room():
    grantor = granting()
    assert ask(grantor, 4.0, holder=TWO).tokens == 10
    decision = grantor.decide_floor(CUSTOMER, ONE, HOMES, 4.5)
    assert isinstance(decision, PostponeFloor)
    assert isinstance(grantor.decide_floor(CUSTOMER, ONE, HOMES, 6.1), RecordFloor)


def test_a_new_floor_waits_until_tokens_of_an_earlier_grantor_lapsed():
    grantor = granting()
    decision = grantor.decide_floor(CUSTOMER, ONE, HOMES, 1.0)
    assert isinstance(decision, PostponeFloor)


def test_room_is_kept_for_a_floor_only_for_a_while():
    grantor = granting()
    grantor.decide_floor(CUSTOMER, ONE, HOMES, 1.0)
    assert ask(grantor, 5.0).tokens == 7
    assert ask(grantor, 20.0).tokens == 10
