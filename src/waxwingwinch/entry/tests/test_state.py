"""Tests of an entry's memory of work, demand, crashes and prefixes."""

from waxwingwinch._types import CustomerId, InstanceId, ModelName, UpstreamId
from waxwingwinch.contracts import InFlightCount
from waxwingwinch.decisions import SentWork
from waxwingwinch.entry import (
    CrashGuard,
    CrashNotice,
    EntryDemand,
    InFlightTracker,
    PeerWorkTable,
)
from waxwingwinch.entry._crash_guard import NotSuspect, Quarantined, Suspect
from waxwingwinch.entry._customer_work import CustomerWorkTracker
from waxwingwinch.entry._sent_prefixes import SentPrefixes

E1, E2 = UpstreamId("e1"), UpstreamId("e2")
PEER = InstanceId("i2")
CUSTOMER = CustomerId("c")


def test_in_flight_counts():
    work = InFlightTracker()
    first = work.begin(E1, 100, 1.0)
    second = work.begin(E1, 50, 2.0)
    assert work.total(E1) == SentWork(2, 150)
    assert work.sent_since(E1, 1.5) == SentWork(1, 50)
    work.mark_prefilled(second)
    assert work.counts() == (InFlightCount(E1, 2, 100),)
    work.end(first)
    work.end(second)
    work.end(second)
    assert work.counts() == ()


def test_work_of_silent_peers_expires():
    work = PeerWorkTable()
    work.record_report(PEER, (InFlightCount(E1, 2, 30),), 0.0)
    work.record_report(InstanceId("i3"), (InFlightCount(E1, 1, 10),), 3.0)
    assert work.total(E1, 4.0) == SentWork(3, 40)
    assert work.total(E1, 6.0) == SentWork(1, 10)


def test_taking_demand_resets_the_counters():
    demand = EntryDemand(InFlightTracker(), 0.0)
    model = ModelName("m")
    demand.record_arrival(model, 10)
    demand.record_output(model, 4)
    demand.record_refusal(model)
    demand.record_late_request(model)
    (sample,) = demand.take_demand(2.0)
    assert (sample.seconds, sample.requests, sample.prompt_tokens) == (2.0, 1, 10)
    assert (sample.output_tokens, sample.refused, sample.late) == (4, 1, 1)
    assert demand.take_demand(3.0) == ()


def test_crashes_on_two_engines_quarantine():
    notices: list[object] = []
    guard = CrashGuard(InstanceId("i1"), notices.append)
    assert guard.judge("f", 0.0) == NotSuspect()
    guard.record_crash("f", E1, 0.0)
    guard.record_crash("f", E1, 1.0)
    assert guard.judge("f", 1.0) == Suspect(frozenset({E1}))
    guard.apply_notice(CrashNotice(PEER, "f", E2), 2.0)
    assert guard.judge("f", 2.0) == Quarantined(300.0)
    assert guard.judge("f", 302.0) == NotSuspect()
    assert notices == [CrashNotice(InstanceId("i1"), "f", E1)] * 2


def test_total_work_includes_peers_until_their_notice_expires():
    here, there = CustomerWorkTracker(InstanceId("i1")), CustomerWorkTracker(PEER)
    for tracker in (here, there):
        tracker.record_demand(CUSTOMER, 2.0, 500, 0.0)
    there.record_admission(CUSTOMER, 500, 0.0)
    here.record_notice(there.make_notice(0.0), 0.0)
    (work,) = here.total_work({}, 0.0)
    assert work.demanded_tokens_per_second == 200.0
    assert work.admitted_tokens_per_second == 100.0
    (work,) = here.total_work({}, 6.0)
    assert work.admitted_tokens_per_second == 0.0


def test_sent_prefixes_expire():
    sent = SentPrefixes()
    sent.add(E1, ("a", "b"), 0.0)
    sent.add(E1, ("a", "c"), 3.0)
    assert sent.prefixes_at(E1, 4.0) == {"a", "b", "c"}
    assert sent.prefixes_at(E1, 6.0) == {"a", "c"}
    assert sent.prefixes_at(E1, 9.0) == sent.prefixes_at(E2, 9.0) == frozenset()
