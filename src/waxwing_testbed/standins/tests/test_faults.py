import threading

import pytest

from waxwing_testbed.standins import Fault, Outage
from waxwing_testbed.standins._faults import FaultSwitches
from waxwing_testbed.web import ConnectionDropped, Request, json_reply

REQUEST = Request("POST", "/", {}, "", (), b"")


class Effects:
    def __init__(self):
        self.count = 0

    def run(self, request):
        self.count += 1
        return json_reply({}, 200, (("X-Request-Id", "id"),))


def make(fault, seed=1):
    effects = Effects()
    switches = FaultSwitches(("place",), seed)
    switches.set("place", fault)
    return effects, switches, switches.guard("place", effects.run)


def test_lost_answers_come_after_the_effect_and_are_counted():
    effects, _, guarded = make(Fault(lose_answers_next=2))
    for _ in range(2):
        with pytest.raises(ConnectionDropped):
            guarded(REQUEST)
    assert guarded(REQUEST).status == 200
    assert effects.count == 3


def test_dropped_calls_have_no_effect():
    effects, _, guarded = make(Fault(drop_before_next=1))
    with pytest.raises(ConnectionDropped):
        guarded(REQUEST)
    assert effects.count == 0


def test_answers_lost_at_random_follow_the_seed():
    def lost(seed):
        _, _, guarded = make(Fault(lose_answers_probability=0.5), seed)
        outcomes = []
        for _ in range(20):
            try:
                guarded(REQUEST)
                outcomes.append(False)
            except ConnectionDropped:
                outcomes.append(True)
        return outcomes

    assert lost(1) == lost(1)
    assert 0 < sum(lost(1)) < 20


def test_an_outage_refuses_without_effect_until_it_is_cleared():
    effects, switches, guarded = make(Fault(outage=Outage.REFUSE))
    assert (guarded(REQUEST).status, effects.count) == (503, 0)
    switches.clear()
    assert (guarded(REQUEST).status, effects.count) == (200, 1)


def test_a_held_call_is_dropped_without_effect_when_the_outage_ends():
    effects, switches, guarded = make(Fault(outage=Outage.HANG))
    timer = threading.Timer(0.05, switches.clear)
    timer.start()
    with pytest.raises(ConnectionDropped):
        guarded(REQUEST)
    timer.join()
    assert effects.count == 0


def test_wrong_and_short_answers():
    _, _, guarded = make(Fault(wrong_request_id_next=1, short_body_next=1))
    reply = guarded(REQUEST)
    assert ("X-Request-Id", "not-id") in reply.headers
    assert len(reply.body) < reply.announced_bytes


def test_unknown_operations_are_rejected():
    _, switches, _ = make(Fault())
    with pytest.raises(KeyError):
        switches.set("other", Fault())
