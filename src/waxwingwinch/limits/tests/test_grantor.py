"""Rules of the grantor that keep admissions within rate and burst."""

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


def granting_grantor(now_seconds=0.0, epoch=1):
    grantor = Grantor(0.0)
    begin_record = grantor.begin(Epoch(epoch), {CUSTOMER: LIMIT}, now_seconds)
    apply(grantor, 0, begin_record, now_seconds)
    return grantor


def request_tokens(grantor, now_seconds, wanted=100, held=0, received=0, holder=ONE):
    report = CustomerTokens(CUSTOMER, wanted, held, received, 0.0, ReturnedTokens())
    request = ExtraRequest(holder, grantor.epoch, (report,))
    (granted,) = grantor.grant(request, now_seconds).granted
    return granted


def test_a_bucket_gains_nothing_from_a_raised_cap():
    bucket = TokenBucket(1.0, 5.0, 5.0, 0.0).resized(1.0, 50.0)
    assert bucket.level_tokens == 5.0
    assert bucket.refilled(-1.0) == bucket


def test_a_new_grantor_grants_nothing_for_one_term():
    grantor = granting_grantor()
    assert request_tokens(grantor, 2.0).tokens == 0
    # After the term the bucket fills at the rate, starting empty.
    assert request_tokens(grantor, 2.52).tokens == 5


def test_a_new_grantor_waits_for_the_longer_term_of_its_predecessor():
    grantor = Grantor(0.0)
    long = evolve(LIMIT, extra_term_seconds=8.0)
    earlier = Grantor(0.0).begin(Epoch(1), {CUSTOMER: long}, 0.0)
    apply(grantor, 0, earlier, 0.0)
    apply(grantor, 1, grantor.begin(Epoch(2), {CUSTOMER: LIMIT}, 1.0), 1.0)
    assert request_tokens(grantor, 8.9).tokens == 0
    assert request_tokens(grantor, 10.0).tokens > 0


def test_an_intermediate_grantor_does_not_shorten_the_wait():
    grantor = Grantor(0.0)
    long = evolve(LIMIT, extra_term_seconds=8.0)
    first = Grantor(0.0).begin(Epoch(1), {CUSTOMER: long}, 0.0)
    second = Grantor(0.0).begin(Epoch(2), {CUSTOMER: LIMIT}, 0.0)
    apply(grantor, 0, first, 0.0)
    apply(grantor, 1, second, 1.0)
    apply(grantor, 2, grantor.begin(Epoch(3), {CUSTOMER: LIMIT}, 2.0), 2.0)
    assert request_tokens(grantor, 8.9).tokens == 0


def test_capacity_of_expired_tokens_refills_only_after_their_expiry():
    grantor = granting_grantor()
    assert request_tokens(grantor, 4.0).tokens == 10
    # The whole burst is outstanding until 6.003 s, so the bucket holds one
    # token 0.1 s later.
    assert request_tokens(grantor, 6.11).tokens == 1


def test_late_report_never_reconciles_later_grants():
    grantor = granting_grantor()
    first = request_tokens(grantor, 2.53)
    second = request_tokens(grantor, 2.84, received=first.sequence)
    assert (first.tokens, second.tokens) == (5, 3)
    assert request_tokens(grantor, 3.2, received=first.sequence).tokens == 3
    # 3 + 3 tokens may still be unused, which leaves 4 of the burst.
    assert request_tokens(grantor, 4.4, received=first.sequence).tokens == 4


def test_floors_with_pending_records_count():
    grantor = granting_grantor()
    assert isinstance(grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0), RecordFloor)
    # 2.5 tokens, half of the floors' 5, are reserved for the pending floor;
    # the bucket's level can't exceed the other 7.5.
    assert request_tokens(grantor, 50.0).tokens == 7


def test_the_term_of_a_kept_floor_counts_from_its_decision():
    grantor = granting_grantor()
    decision = grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0)
    apply(grantor, 1, decision.granted, 9.0)
    grantor.complete_floor_record(decision.granted, 1, 3.0, 9.0)
    kept = grantor.decide_floor(CUSTOMER, ONE, HOMES, 11.0)
    assert isinstance(kept, KeepFloor)
    assert kept.remaining_seconds == 92.0


def test_a_floor_whose_record_was_abandoned_is_recorded_again():
    grantor = granting_grantor()
    abandoned = grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0).granted
    grantor.complete_floor_record(abandoned, None, 3.0, 5.0)
    second = grantor.decide_floor(CUSTOMER, ONE, HOMES, 6.0).granted
    apply(grantor, 1, second, 6.0)
    grantor.complete_floor_record(second, 1, 6.0, 6.0)
    # The first record appears late; other processes may have read it earlier.
    apply(grantor, 2, abandoned, 9.0)
    decision = grantor.decide_floor(CUSTOMER, ONE, HOMES, 10.0)
    assert isinstance(decision, RecordFloor)


def test_a_floor_of_an_earlier_grantor_is_recorded_again():
    grantor = granting_grantor()
    granted = grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0).granted
    later = Grantor(0.0)
    apply(later, 1, granted, 3.0)
    apply(later, 2, later.begin(Epoch(2), {CUSTOMER: LIMIT}, 3.5), 3.5)
    assert isinstance(later.decide_floor(CUSTOMER, ONE, HOMES, 4.0), RecordFloor)


def test_a_floor_record_of_an_earlier_epoch_is_void():
    granted = granting_grantor().decide_floor(CUSTOMER, ONE, HOMES, 3.0).granted
    later = granting_grantor(epoch=2)
    apply(later, 1, granted, 3.0)
    assert later.floors.newest(CUSTOMER, ONE) is None


def test_a_lowered_floor_counts_in_full_until_the_holder_confirms_it():
    grantor = granting_grantor()
    old = grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0).granted
    apply(grantor, 1, old, 3.0)
    grantor.complete_floor_record(old, 1, 3.0, 3.0)
    grantor.configure({CUSTOMER: evolve(LIMIT, rate_per_second=4.0)}, 4.0)
    new = grantor.decide_floor(CUSTOMER, ONE, HOMES, 4.0).granted
    apply(grantor, 2, new, 4.0)
    grantor.complete_floor_record(new, 2, 4.0, 4.0)
    assert grantor.floors.shares(CUSTOMER)[ONE].rate_per_second == 2.5
    grantor.confirm_floor(ONE, FloorWanted(CUSTOMER, 2, -1), 5.0)
    assert grantor.floors.shares(CUSTOMER)[ONE].rate_per_second == 1.0


def test_all_floors_together_stay_within_the_floor_fraction():
    grantor = granting_grantor()
    one = grantor.decide_floor(CUSTOMER, ONE, HOMES[:1], 3.0).granted
    apply(grantor, 1, one, 3.0)
    assert one.rate_per_second == 5.0
    assert isinstance(grantor.decide_floor(CUSTOMER, TWO, HOMES, 3.0), RefuseFloor)


def test_returned_tokens_are_credited_once():
    grantor = granting_grantor()
    granted = grantor.decide_floor(CUSTOMER, ONE, HOMES, 3.0).granted
    apply(grantor, 1, granted, 3.0)
    grantor.complete_floor_record(granted, 1, 3.0, 3.0)
    last = request_tokens(grantor, 3.0)
    assert last.tokens == 7
    returned = ReturnedTokens(floor_offset=1, tokens=1.0)
    report = CustomerTokens(CUSTOMER, 9, 0, last.sequence, 0.0, returned)
    stale = evolve(report, returned=evolve(returned, floor_offset=0, tokens=5.0))
    # The bucket held half a token, and one token was returned.
    assert [tokens_for(grantor, each) for each in (stale, report, report)] == [0, 1, 0]


def tokens_for(grantor, report):
    request = ExtraRequest(ONE, grantor.epoch, (report,))
    return grantor.grant(request, 3.0).granted[0].tokens


def test_a_floor_is_postponed_until_outstanding_tokens_leave_capacity():
    grantor = granting_grantor()
    assert request_tokens(grantor, 4.0, holder=TWO).tokens == 10
    decision = grantor.decide_floor(CUSTOMER, ONE, HOMES, 4.5)
    assert isinstance(decision, PostponeFloor)
    assert isinstance(grantor.decide_floor(CUSTOMER, ONE, HOMES, 6.1), RecordFloor)


def test_a_floor_is_postponed_until_tokens_of_an_earlier_grantor_expire():
    grantor = granting_grantor()
    decision = grantor.decide_floor(CUSTOMER, ONE, HOMES, 1.0)
    assert isinstance(decision, PostponeFloor)


def test_the_reservation_for_a_postponed_floor_expires():
    grantor = granting_grantor()
    grantor.decide_floor(CUSTOMER, ONE, HOMES, 1.0)
    assert request_tokens(grantor, 5.0).tokens == 7
    assert request_tokens(grantor, 20.0).tokens == 10
