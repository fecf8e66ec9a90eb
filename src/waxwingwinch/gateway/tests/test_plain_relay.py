"""Plain requests: once or again, whole or not, and never an untrue word."""

import pytest

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._model import CustomerRules, RequestKind, WeightedService
from waxwingwinch.gateway.tests.relay_world import (
    LOST,
    UNSENT,
    Script,
    World,
    caller_leaves,
    upstream,
)

ONCE = RequestKind.NON_IDEMPOTENT


@pytest.fixture
def world():
    world = World()
    world.add(upstream("u1"), upstream("u2"))
    return world


def test_the_answer_of_the_upstream_is_passed_on(world):
    world.publish()
    answer = world.ask()
    assert (answer.status, answer.body, answer.is_whole) == (200, b"whole", True)
    assert answer.header("X-From") in ("u1", "u2")
    assert world.loads.local_loads() == {}


def test_a_request_that_may_be_repeated_is_sent_to_a_second_upstream(world):
    world.publish()
    world.transport.scripts = {"u1": Script(error=LOST), "u2": Script(error=LOST)}
    assert world.ask().status == 502
    assert sorted(world.called()) == ["u1", "u2"]


def test_a_silent_upstream_is_left_while_there_is_time_for_another(world):
    world.publish()
    first = Script(takes_seconds=5.0)
    world.transport.scripts = {"u1": [first]}
    world.directory.record_failure("u2", world.clock.seconds)
    assert world.ask().status == 200
    assert world.clock.seconds < 100.5


@pytest.mark.parametrize("status", [429, 503])
def test_rejections_are_told_as_not_run_with_a_time_to_come_back(world, status):
    world.publish(kind=ONCE, max_attempts=1)
    rejection = Script(status=status, not_executed=True)
    world.transport.scripts = {"u1": rejection, "u2": rejection}
    answer = world.ask()
    assert answer.status == 503
    assert float(answer.header("Retry-After")) > 0
    assert len(world.called()) == 1


def test_an_unsafe_request_whose_answer_is_lost_is_not_repeated(world):
    world.publish(kind=ONCE, max_attempts=2)
    world.transport.scripts = {"u1": Script(error=LOST), "u2": Script(error=LOST)}
    answer = world.ask()
    assert answer.status == 502
    assert answer.header("Retry-After") is None
    assert len(world.called()) == 1


def test_an_unsafe_request_that_was_not_sent_goes_to_another(world):
    world.publish(kind=ONCE, max_attempts=1)
    world.transport.scripts = {"u1": Script(error=UNSENT)}
    world.directory.record_failure("u2", world.clock.seconds)
    assert world.ask().status == 200


def test_an_unsafe_request_gets_the_upstreams_own_failure(world):
    world.publish(kind=ONCE, max_attempts=2)
    failure = Script(status=500, pieces=(b"failed",))
    world.transport.scripts = {"u1": failure, "u2": failure}
    answer = world.ask()
    assert (answer.status, answer.body) == (500, b"failed")
    assert len(world.called()) == 1


def test_a_failure_is_asked_for_again_where_that_is_allowed(world):
    world.publish()
    world.transport.scripts = {"u1": Script(status=500), "u2": Script(status=500)}
    assert world.ask().status == 500
    assert len(world.called()) == 2


def test_a_success_without_a_signature_is_not_passed_on(world):
    world.publish(kind=ONCE)
    world.transport.scripts = {
        "u1": Script(is_signed=False),
        "u2": Script(is_signed=False),
    }
    assert world.ask().status == 502


def test_a_body_that_is_cut_is_not_passed_on(world):
    world.publish(kind=ONCE)
    cut = Script(pieces=(b"hal", LOST))
    world.transport.scripts = {"u1": cut, "u2": cut}
    answer = world.ask()
    assert (answer.status, answer.body) == (502, b"")
    assert world.transport.answers[0].outcome == ["aborted"]


def test_a_timeout_after_sending_does_not_claim_that_nothing_ran(world):
    world.publish(kind=ONCE)
    slow = Script(takes_seconds=9.0)
    world.transport.scripts = {"u1": slow, "u2": slow}
    answer = world.ask()
    assert answer.status == 504
    assert world.clock.seconds == pytest.approx(101.0, abs=0.1)


def test_nothing_is_sent_after_the_callers_deadline(world):
    world.publish()
    answer = world.ask(deadline_seconds=world.clock.seconds)
    assert answer.status == 503
    assert world.called() == []


def test_a_caller_who_left_costs_no_further_upstream(world):
    world.publish()
    leaves = Script(error=LOST, during=caller_leaves)
    world.transport.scripts = {"u1": leaves, "u2": leaves}
    answer = world.ask()
    assert answer.is_aborted
    assert len(world.called()) == 1


def test_the_address_of_another_upstream_is_not_used_again(world):
    world.publish()
    wrong = Script(status=421, not_executed=True)
    world.transport.scripts = {"u1": wrong}
    world.directory.record_failure("u2", world.clock.seconds)
    world.ask()
    world.directory.record_success("u2")
    world.ask()
    assert world.called().count("u1") == 1


def test_no_upstream_is_told_at_once():
    world = World()
    world.publish()
    assert world.ask().status == 503


def test_an_empty_budget_ends_the_repeats():
    world = World(slack=0.0)
    world.add(upstream("u1"), upstream("u2"))
    world.publish()
    world.transport.scripts = {"u1": Script(error=LOST), "u2": Script(error=LOST)}
    world.ask()
    assert len(world.called()) == 1


def test_a_slow_upstream_is_waited_for_where_no_repeat_is_left():
    """Pattern: a service works slowly after its repeats were used up."""
    world = World(slack=0.0)
    world.add(upstream("u1"), upstream("u2"))
    world.publish()
    slow = Script(takes_seconds=0.8)
    world.transport.scripts = {"u1": slow, "u2": slow}
    assert world.ask().status == 200
    assert len(world.called()) == 1


def test_without_a_configuration_nothing_is_judged():
    world = World()
    assert world.ask().status == 503


def test_unknown_routes_and_keys_are_refused(world):
    world.publish(path_prefix="/only/")
    assert world.ask().status == 404
    world.publish(path_prefix="/")
    assert world.ask(key="stolen").status == 401
    assert world.ask(key=None).status == 401
    world.publish(is_public=True)
    assert world.ask(key=None).status == 200


def test_a_dropped_key_stops_working_with_its_version(world):
    world.publish()
    assert world.ask().status == 200
    world.publish(customers=(CustomerRules(CustomerId("alice"), frozenset({"new"})),))
    assert world.ask().status == 401


def test_requests_over_the_quota_are_refused_and_cost_no_upstream(world):
    limited = CustomerRules(CustomerId("a"), frozenset({"key-a"}), 1.0, 1.0)
    world.publish(customers=(limited,))
    assert world.ask().status == 200
    answer = world.ask()
    assert answer.status == 429
    assert 0 < float(answer.header("Retry-After")) <= 1.0
    assert len(world.called()) == 1


def test_what_did_not_run_is_not_taken_out_of_the_quota(world):
    limited = CustomerRules(CustomerId("a"), frozenset({"key-a"}), 1.0, 1.0)
    world.publish(customers=(limited,), kind=ONCE, max_attempts=1)
    rejection = Script(status=503, not_executed=True)
    world.directory.remove("u2")
    world.transport.scripts = {"u1": [rejection]}
    assert world.ask().status == 503
    assert world.ask().status == 200


def test_what_ran_is_counted_for_the_customer(world):
    world.publish()
    world.ask()
    (counts,) = world.usage.windows().values()
    assert counts == {"alice": 1}


def test_a_service_that_the_configuration_lost_is_refused(world):
    world.publish(targets=(WeightedService("missing", 1.0),))
    assert world.ask().status == 503


def test_an_instance_that_is_full_turns_callers_away_at_once(world):
    """Pattern: more callers at one small instance than it has room for."""
    world.publish()
    world.handler._most_requests = 1
    second = []
    meanwhile = Script(during=lambda _: second.append(world.ask(request_id="r-2")))
    world.transport.scripts = {"u1": meanwhile, "u2": meanwhile}
    assert world.ask().status == 200
    (refused,) = second
    assert refused.status == 503
    assert float(refused.header("Retry-After")) > 0
    assert len(world.called()) == 1
    counted = b'waxwing_refusals_total{kind="instance_full"} 1.0'
    assert counted in world.telemetry.text(())
    assert world.handler.under_way == 0
