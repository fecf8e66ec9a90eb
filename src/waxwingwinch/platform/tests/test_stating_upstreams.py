"""What upstreams state in answers binds the instances that relay these."""

import threading
import time

import pytest

from waxwingwinch.platform.tests.stating_fleet import StatingFleet
from waxwingwinch.platform.tests.stating_upstream import instance_of

#: Time after a statement from which the users' rule on leaving holds.
DRAIN_SECONDS = 2.0
#: Time after a refusal from which the users' rule on returning holds.
RETURN_SLACK_SECONDS = 0.5
#: Requests of an instance that may still reach an upstream before its return.
MAX_EARLY_REQUESTS = 2
#: Time for which traffic goes on after the first statement.
TRAFFIC_SECONDS = 6.0
#: Time for which upstreams turn requests away.
AWAY_SECONDS = 5.0
#: Time within which each instance has met each upstream that turns away.
LEARNED_SECONDS = 2.0
#: Ends of the ids of requests whose streams break off.
CUT_IDS = ("17", "57", "97")
#: Longest time for which a request that is refused may be held.
REFUSAL_SECONDS = 1.0


@pytest.fixture
def make_fleet(tmp_path):
    fleets = []

    def make(instances):
        fleets.append(StatingFleet(tmp_path, instances))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def busiest(upstreams, count=1):
    return sorted(upstreams, key=lambda upstream: -len(upstream.arrivals))[:count]


def late_arrivals(fleet, upstream):
    """Return the requests that an instance sent against its statement."""
    return [
        arrival
        for arrival in upstream.arrivals
        for told in [upstream.told_leaving.get(instance_of(arrival.request_id))]
        if told is not None
        and fleet.sent_seconds[arrival.request_id] > told + DRAIN_SECONDS
    ]


def early_arrivals(upstream):
    """Return, by instance, the requests that came before the return."""
    counts: dict[int, int] = {}
    for arrival in upstream.arrivals:
        instance = instance_of(arrival.request_id)
        refused_seconds = upstream.turned_away.get(instance)
        if refused_seconds is None:
            continue
        from_seconds = refused_seconds + RETURN_SLACK_SECONDS
        if from_seconds < arrival.at_seconds < upstream.return_seconds:
            counts[instance] = counts.get(instance, 0) + 1
    return counts


def leave_the_store_alone(fleet):
    pass


def take_the_store_away(fleet):
    fleet.store.is_down = True


def return_the_store(fleet):
    """Let the store come back from a copy in which all upstreams are ready."""
    copy = fleet.store.copy()
    fleet.store.is_down = True

    def come_back():
        fleet.store.restore(copy)
        fleet.store.is_down = False

    threading.Timer(1.5, come_back).start()


STORES = {
    "there": leave_the_store_alone,
    "away": take_the_store_away,
    "returned": return_the_store,
}


# Guards against work for an upstream whose answers have said that it leaves.
@pytest.mark.parametrize(
    ("instances", "store"),
    [(7, "there"), (7, "away"), (7, "returned"), (18, "there")],
)
def test_upstreams_that_say_in_answers_that_they_leave_get_no_work(
    make_fleet, instances, store
):
    fleet = make_fleet(instances)
    for engine in fleet.decoders:
        # Some streams break off, so that they are resumed elsewhere.
        engine.cuts_stream = lambda arrival: (
            arrival.kind == "stream" and arrival.request_id.endswith(CUT_IDS)
        )
    fleet.start()
    leaving = [
        *busiest(fleet.shops, 2),
        *busiest(fleet.prefillers),
        *busiest(fleet.decoders),
    ]
    STORES[store](fleet)
    stated_seconds = time.monotonic()
    for upstream in leaving:
        upstream.is_leaving = True
    time.sleep(TRAFFIC_SECONDS)
    fleet.end_traffic()
    kinds = {
        arrival.kind for upstream in fleet.upstreams for arrival in upstream.arrivals
    }
    assert {"plain", "stream", "prefill", "decode", "resume"} <= kinds
    for upstream in leaving:
        assert upstream.told_leaving
        assert late_arrivals(fleet, upstream) == [], upstream.name
    # The others have room for all requests, and runs under way end whole.
    answers = fleet.answers_since(stated_seconds)
    assert {answer.status for answer in answers} == {200}


# Guards against work for the last of a service's upstreams as they all leave.
def test_callers_are_refused_at_once_when_all_upstreams_leave(make_fleet):
    fleet = make_fleet(7)
    fleet.start()
    for upstream in fleet.shops:
        upstream.is_leaving = True
    time.sleep(TRAFFIC_SECONDS)
    fleet.end_traffic()
    for upstream in fleet.shops:
        assert late_arrivals(fleet, upstream) == [], upstream.name
    told_seconds = max(max(u.told_leaving.values()) for u in fleet.shops)
    last_answers = [
        answer
        for answer in fleet.answers_since(told_seconds + DRAIN_SECONDS)
        if answer.path != "/s/x"
    ]
    assert {answer.status for answer in last_answers} == {503}
    assert max(answer.took_seconds for answer in last_answers) < REFUSAL_SECONDS
    assert all(float(answer.retry_after) > 0 for answer in last_answers)


# Guards against requests at an upstream before the return that it has named.
@pytest.mark.parametrize("instances", [7, 18])
def test_upstreams_get_nothing_before_the_return_that_they_named(make_fleet, instances):
    fleet = make_fleet(instances)
    fleet.start()
    away = [
        *busiest(fleet.shops, 2),
        *busiest(fleet.prefillers),
        *busiest(fleet.decoders),
    ]
    began_seconds = time.monotonic()
    for upstream in away:
        upstream.return_seconds = began_seconds + AWAY_SECONDS
    time.sleep(AWAY_SECONDS + 1.0)
    fleet.end_traffic()
    for upstream in away:
        assert upstream.turned_away
        early = early_arrivals(upstream)
        assert max(early.values(), default=0) <= MAX_EARLY_REQUESTS, upstream.name
    # The others have room for all requests once the instances know.
    answers = fleet.answers_since(began_seconds + LEARNED_SECONDS)
    assert {answer.status for answer in answers} == {200}


# Guards against callers who are told to return before any upstream takes them.
def test_callers_return_with_upstreams_that_are_all_away(make_fleet):
    fleet = make_fleet(7)
    fleet.start()
    began_seconds = time.monotonic()
    end_seconds = began_seconds + AWAY_SECONDS
    for upstream in fleet.shops:
        upstream.return_seconds = end_seconds
    time.sleep(AWAY_SECONDS + 1.5)
    fleet.end_traffic()
    for upstream in fleet.shops:
        early = early_arrivals(upstream)
        assert max(early.values(), default=0) <= MAX_EARLY_REQUESTS, upstream.name
    shop_answers = [
        answer
        for answer in fleet.answers_since(began_seconds + LEARNED_SECONDS)
        if answer.path != "/s/x"
    ]
    refused = [answer for answer in shop_answers if answer.status != 200]
    assert {answer.status for answer in refused} == {503}
    for answer in refused:
        assert answer.took_seconds < REFUSAL_SECONDS
        told_seconds = answer.sent_seconds + float(answer.retry_after)
        assert told_seconds > end_seconds - RETURN_SLACK_SECONDS
    served = [
        answer for answer in shop_answers if answer.sent_seconds > end_seconds + 1.0
    ]
    assert {answer.status for answer in served} == {200}
