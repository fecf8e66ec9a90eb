"""Plain requests: once or again, whole or not, and never an untrue word."""

import pytest

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._model import CustomerRules, RequestKind, WeightedService
from waxwingwinch.gateway.tests.relay_harness import (
    CONNECT_FAILED,
    RESPONSE_LOST,
    RelayHarness,
    ScriptedResponse,
    caller_leaves,
    upstream,
)

NON_IDEMPOTENT = RequestKind.NON_IDEMPOTENT


@pytest.fixture
def harness():
    harness = RelayHarness()
    harness.add(upstream("u1"), upstream("u2"))
    return harness


def test_the_answer_of_the_upstream_is_passed_on(harness):
    harness.publish()
    response = harness.ask()
    assert (response.status, response.body, response.is_complete) == (
        200,
        b"whole",
        True,
    )
    assert response.header("X-From") in ("u1", "u2")
    assert harness.loads.own() == {}


def test_a_request_that_may_be_repeated_is_sent_to_a_second_upstream(harness):
    harness.publish()
    harness.transport.scripts = {
        "u1": ScriptedResponse(error=RESPONSE_LOST),
        "u2": ScriptedResponse(error=RESPONSE_LOST),
    }
    assert harness.ask().status == 502
    assert sorted(harness.called()) == ["u1", "u2"]


def test_a_silent_upstream_is_left_while_there_is_time_for_another(harness):
    harness.publish()
    first = ScriptedResponse(takes_seconds=5.0)
    harness.transport.scripts = {"u1": [first]}
    harness.directory.failed("u2", harness.clock.seconds)
    assert harness.ask().status == 200
    assert harness.clock.seconds < 100.5


@pytest.mark.parametrize("status", [429, 503])
def test_rejections_are_told_as_not_run_with_a_time_to_come_back(harness, status):
    harness.publish(kind=NON_IDEMPOTENT, max_attempts=1)
    rejection = ScriptedResponse(status=status, not_executed=True)
    harness.transport.scripts = {"u1": rejection, "u2": rejection}
    response = harness.ask()
    assert response.status == 503
    assert float(response.header("Retry-After")) > 0
    assert len(harness.called()) == 1


def test_an_unsafe_request_whose_answer_is_lost_is_not_repeated(harness):
    harness.publish(kind=NON_IDEMPOTENT, max_attempts=2)
    harness.transport.scripts = {
        "u1": ScriptedResponse(error=RESPONSE_LOST),
        "u2": ScriptedResponse(error=RESPONSE_LOST),
    }
    response = harness.ask()
    assert response.status == 502
    assert response.header("Retry-After") is None
    assert len(harness.called()) == 1


def test_an_unsafe_request_that_was_not_sent_goes_to_another(harness):
    harness.publish(kind=NON_IDEMPOTENT, max_attempts=1)
    harness.transport.scripts = {"u1": ScriptedResponse(error=CONNECT_FAILED)}
    harness.directory.failed("u2", harness.clock.seconds)
    assert harness.ask().status == 200


def test_an_unsafe_request_gets_the_upstreams_own_failure(harness):
    harness.publish(kind=NON_IDEMPOTENT, max_attempts=2)
    failure = ScriptedResponse(status=500, pieces=(b"failed",))
    harness.transport.scripts = {"u1": failure, "u2": failure}
    response = harness.ask()
    assert (response.status, response.body) == (500, b"failed")
    assert len(harness.called()) == 1


def test_a_failure_is_asked_for_again_where_that_is_allowed(harness):
    harness.publish()
    harness.transport.scripts = {
        "u1": ScriptedResponse(status=500),
        "u2": ScriptedResponse(status=500),
    }
    assert harness.ask().status == 500
    assert len(harness.called()) == 2


def test_a_success_without_a_signature_is_not_passed_on(harness):
    harness.publish(kind=NON_IDEMPOTENT)
    harness.transport.scripts = {
        "u1": ScriptedResponse(is_signed=False),
        "u2": ScriptedResponse(is_signed=False),
    }
    assert harness.ask().status == 502


def test_a_body_that_is_cut_is_not_passed_on(harness):
    harness.publish(kind=NON_IDEMPOTENT)
    cut = ScriptedResponse(pieces=(b"hal", RESPONSE_LOST))
    harness.transport.scripts = {"u1": cut, "u2": cut}
    response = harness.ask()
    assert (response.status, response.body) == (502, b"")
    assert harness.transport.answers[0].outcome == ["aborted"]


def test_a_timeout_after_sending_does_not_claim_that_nothing_ran(harness):
    harness.publish(kind=NON_IDEMPOTENT)
    slow = ScriptedResponse(takes_seconds=9.0)
    harness.transport.scripts = {"u1": slow, "u2": slow}
    response = harness.ask()
    assert response.status == 504
    assert harness.clock.seconds == pytest.approx(101.0, abs=0.1)


def test_nothing_is_sent_after_the_callers_deadline(harness):
    harness.publish()
    response = harness.ask(deadline_seconds=harness.clock.seconds)
    assert response.status == 503
    assert harness.called() == []


def test_a_caller_who_left_costs_no_further_upstream(harness):
    harness.publish()
    leaves = ScriptedResponse(error=RESPONSE_LOST, during=caller_leaves)
    harness.transport.scripts = {"u1": leaves, "u2": leaves}
    response = harness.ask()
    assert response.is_aborted
    assert len(harness.called()) == 1


def test_the_address_of_another_upstream_is_not_used_again(harness):
    harness.publish()
    wrong = ScriptedResponse(status=421, not_executed=True)
    harness.transport.scripts = {"u1": wrong}
    harness.directory.failed("u2", harness.clock.seconds)
    harness.ask()
    harness.directory.succeeded("u2")
    harness.ask()
    assert harness.called().count("u1") == 1


def test_no_upstream_is_told_at_once():
    harness = RelayHarness()
    harness.publish()
    assert harness.ask().status == 503


def test_an_empty_budget_ends_the_repeats():
    harness = RelayHarness(retry_slack=0.0)
    harness.add(upstream("u1"), upstream("u2"))
    harness.publish()
    harness.transport.scripts = {
        "u1": ScriptedResponse(error=RESPONSE_LOST),
        "u2": ScriptedResponse(error=RESPONSE_LOST),
    }
    harness.ask()
    assert len(harness.called()) == 1


def test_a_slow_upstream_is_waited_for_where_no_repeat_is_left():
    """Pattern: a service works slowly after its repeats were used up."""
    harness = RelayHarness(retry_slack=0.0)
    harness.add(upstream("u1"), upstream("u2"))
    harness.publish()
    slow = ScriptedResponse(takes_seconds=0.8)
    harness.transport.scripts = {"u1": slow, "u2": slow}
    assert harness.ask().status == 200
    assert len(harness.called()) == 1


def test_without_a_configuration_nothing_is_judged():
    harness = RelayHarness()
    assert harness.ask().status == 503


def test_unknown_routes_and_keys_are_refused(harness):
    harness.publish(path_prefix="/only/")
    assert harness.ask().status == 404
    harness.publish(path_prefix="/")
    assert harness.ask(key="stolen").status == 401
    assert harness.ask(key=None).status == 401
    harness.publish(is_public=True)
    assert harness.ask(key=None).status == 200


def test_a_dropped_key_stops_working_with_its_version(harness):
    harness.publish()
    assert harness.ask().status == 200
    harness.publish(customers=(CustomerRules(CustomerId("alice"), frozenset({"new"})),))
    assert harness.ask().status == 401


def test_requests_over_the_quota_are_refused_and_cost_no_upstream(harness):
    limited = CustomerRules(CustomerId("a"), frozenset({"key-a"}), 1.0, 1.0)
    harness.publish(customers=(limited,))
    assert harness.ask().status == 200
    response = harness.ask()
    assert response.status == 429
    assert 0 < float(response.header("Retry-After")) <= 1.0
    assert len(harness.called()) == 1


def test_what_did_not_run_is_not_taken_out_of_the_quota(harness):
    limited = CustomerRules(CustomerId("a"), frozenset({"key-a"}), 1.0, 1.0)
    harness.publish(customers=(limited,), kind=NON_IDEMPOTENT, max_attempts=1)
    rejection = ScriptedResponse(status=503, not_executed=True)
    harness.directory.remove("u2")
    harness.transport.scripts = {"u1": [rejection]}
    assert harness.ask().status == 503
    assert harness.ask().status == 200


def test_what_ran_is_counted_for_the_customer(harness):
    harness.publish()
    harness.ask()
    (counts,) = harness.usage.windows().values()
    assert counts == {"alice": 1}


def test_a_service_that_the_configuration_lost_is_refused(harness):
    harness.publish(targets=(WeightedService("missing", 1.0),))
    assert harness.ask().status == 503


def test_an_instance_that_is_full_turns_callers_away_at_once(harness):
    """Pattern: more callers at one small instance than it has room for."""
    harness.publish()
    harness.handler._max_concurrent_requests = 1
    second = []
    meanwhile = ScriptedResponse(
        during=lambda _: second.append(harness.ask(request_id="r-2"))
    )
    harness.transport.scripts = {"u1": meanwhile, "u2": meanwhile}
    assert harness.ask().status == 200
    (refused,) = second
    assert refused.status == 503
    assert float(refused.header("Retry-After")) > 0
    assert len(harness.called()) == 1
    counted = b'waxwing_refusals_total{kind="instance_full"} 1.0'
    assert counted in harness.telemetry.text(())
    assert harness.handler.under_way == 0
