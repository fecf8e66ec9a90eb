"""Plain requests: retries, truncated responses, and truthful refusals."""

import pytest

from waxwingwinch._types import CustomerId, UpstreamId
from waxwingwinch.gateway._model import CustomerRules, RequestKind, WeightedService
from waxwingwinch.gateway._named_limits import NamedLimit
from waxwingwinch.gateway.tests.relay_harness import (
    CONNECT_FAILED,
    RESPONSE_LOST,
    RelayHarness,
    ScriptedResponse,
    disconnect_caller,
    upstream,
)

NON_IDEMPOTENT = RequestKind.NON_IDEMPOTENT


@pytest.fixture
def harness():
    harness = RelayHarness()
    harness.add(upstream("u1"), upstream("u2"))
    return harness


def test_the_response_of_the_upstream_is_forwarded(harness):
    harness.publish()
    response = harness.send()
    assert (response.status, response.body, response.is_complete) == (
        200,
        b"whole",
        True,
    )
    assert response.header("X-From") in ("u1", "u2")
    assert harness.loads.local_loads() == {}


def test_an_idempotent_request_is_retried_at_a_second_upstream(harness):
    harness.publish()
    harness.transport.scripts = {
        "u1": ScriptedResponse(error=RESPONSE_LOST),
        "u2": ScriptedResponse(error=RESPONSE_LOST),
    }
    assert harness.send().status == 502
    assert sorted(harness.called_upstreams()) == ["u1", "u2"]


def test_an_attempt_times_out_while_there_is_time_for_a_retry(harness):
    harness.publish()
    first = ScriptedResponse(delay_seconds=5.0)
    harness.transport.scripts = {"u1": [first]}
    harness.directory.record_failure("u2", harness.clock.seconds)
    assert harness.send().status == 200
    assert harness.clock.seconds < 100.5


@pytest.mark.parametrize("status", [429, 503])
def test_rejections_are_reported_as_not_executed_with_retry_after(harness, status):
    harness.publish(kind=NON_IDEMPOTENT, max_attempts=1)
    rejection = ScriptedResponse(status=status, not_executed=True)
    harness.transport.scripts = {"u1": rejection, "u2": rejection}
    response = harness.send()
    assert response.status == 503
    assert float(response.header("Retry-After")) > 0
    assert len(harness.called_upstreams()) == 1


def test_a_non_idempotent_request_whose_response_is_lost_is_not_retried(harness):
    harness.publish(kind=NON_IDEMPOTENT, max_attempts=2)
    harness.transport.scripts = {
        "u1": ScriptedResponse(error=RESPONSE_LOST),
        "u2": ScriptedResponse(error=RESPONSE_LOST),
    }
    response = harness.send()
    assert response.status == 502
    assert response.header("Retry-After") is None
    assert len(harness.called_upstreams()) == 1


def test_a_non_idempotent_request_that_was_not_sent_is_retried(harness):
    harness.publish(kind=NON_IDEMPOTENT, max_attempts=1)
    harness.transport.scripts = {"u1": ScriptedResponse(error=CONNECT_FAILED)}
    harness.directory.record_failure("u2", harness.clock.seconds)
    assert harness.send().status == 200


def test_a_non_idempotent_request_gets_the_upstreams_error_response(harness):
    harness.publish(kind=NON_IDEMPOTENT, max_attempts=2)
    failure = ScriptedResponse(status=500, pieces=(b"failed",))
    harness.transport.scripts = {"u1": failure, "u2": failure}
    response = harness.send()
    assert (response.status, response.body) == (500, b"failed")
    assert len(harness.called_upstreams()) == 1


def test_an_error_response_to_an_idempotent_request_is_retried(harness):
    harness.publish()
    harness.transport.scripts = {
        "u1": ScriptedResponse(status=500),
        "u2": ScriptedResponse(status=500),
    }
    assert harness.send().status == 500
    assert len(harness.called_upstreams()) == 2


def test_a_success_without_a_signature_is_not_forwarded(harness):
    harness.publish(kind=NON_IDEMPOTENT)
    harness.transport.scripts = {
        "u1": ScriptedResponse(is_signed=False),
        "u2": ScriptedResponse(is_signed=False),
    }
    assert harness.send().status == 502


def test_a_truncated_body_is_not_forwarded(harness):
    harness.publish(kind=NON_IDEMPOTENT)
    truncated = ScriptedResponse(pieces=(b"hal", RESPONSE_LOST))
    harness.transport.scripts = {"u1": truncated, "u2": truncated}
    response = harness.send()
    assert (response.status, response.body) == (502, b"")
    assert harness.transport.responses[0].outcome == ["aborted"]


def test_a_timeout_after_sending_does_not_claim_that_nothing_was_executed(harness):
    harness.publish(kind=NON_IDEMPOTENT)
    slow = ScriptedResponse(delay_seconds=9.0)
    harness.transport.scripts = {"u1": slow, "u2": slow}
    response = harness.send()
    assert response.status == 504
    assert harness.clock.seconds == pytest.approx(101.0, abs=0.1)


def test_nothing_is_sent_after_the_callers_deadline(harness):
    harness.publish()
    response = harness.send(deadline_seconds=harness.clock.seconds)
    assert response.status == 503
    assert harness.called_upstreams() == []


def test_no_further_upstream_is_called_after_a_disconnect(harness):
    harness.publish()
    disconnects = ScriptedResponse(error=RESPONSE_LOST, during=disconnect_caller)
    harness.transport.scripts = {"u1": disconnects, "u2": disconnects}
    response = harness.send()
    assert response.is_aborted
    assert len(harness.called_upstreams()) == 1


def test_a_misdirected_upstream_is_not_called_again(harness):
    harness.publish()
    misdirected = ScriptedResponse(status=421, not_executed=True)
    harness.transport.scripts = {"u1": misdirected}
    harness.directory.record_failure("u2", harness.clock.seconds)
    harness.send()
    harness.directory.record_success("u2")
    harness.send()
    assert harness.called_upstreams().count("u1") == 1


def test_a_request_without_upstreams_is_refused_at_once():
    harness = RelayHarness()
    harness.publish()
    assert harness.send().status == 503


def test_an_empty_retry_budget_ends_the_retries():
    harness = RelayHarness(retry_slack=0.0)
    harness.add(upstream("u1"), upstream("u2"))
    harness.publish()
    harness.transport.scripts = {
        "u1": ScriptedResponse(error=RESPONSE_LOST),
        "u2": ScriptedResponse(error=RESPONSE_LOST),
    }
    harness.send()
    assert len(harness.called_upstreams()) == 1


def test_a_slow_upstream_is_waited_for_without_retry_budget():
    """A service responds slowly after its retry budget was used up."""
    harness = RelayHarness(retry_slack=0.0)
    harness.add(upstream("u1"), upstream("u2"))
    harness.publish()
    slow = ScriptedResponse(delay_seconds=0.8)
    harness.transport.scripts = {"u1": slow, "u2": slow}
    assert harness.send().status == 200
    assert len(harness.called_upstreams()) == 1


def test_a_request_without_a_configuration_is_refused():
    harness = RelayHarness()
    assert harness.send().status == 503


def test_unknown_routes_and_keys_are_refused(harness):
    harness.publish(path_prefix="/only/")
    assert harness.send().status == 404
    harness.publish(path_prefix="/")
    assert harness.send(key="stolen").status == 401
    assert harness.send(key=None).status == 401
    harness.publish(is_public=True)
    assert harness.send(key=None).status == 200


def test_a_removed_key_is_refused_from_the_next_version_on(harness):
    harness.publish()
    assert harness.send().status == 200
    harness.publish(customers=(CustomerRules(CustomerId("alice"), frozenset({"new"})),))
    assert harness.send().status == 401


def test_requests_over_the_quota_are_refused_without_an_upstream_call(harness):
    limited = CustomerRules(CustomerId("a"), frozenset({"key-a"}), 1.0, 1.0)
    harness.publish(customers=(limited,))
    assert harness.send().status == 200
    response = harness.send()
    assert response.status == 429
    assert 0 < float(response.header("Retry-After")) <= 1.0
    assert len(harness.called_upstreams()) == 1


def test_a_rejected_request_is_refunded_to_the_quota(harness):
    limited = CustomerRules(CustomerId("a"), frozenset({"key-a"}), 1.0, 1.0)
    harness.publish(customers=(limited,), kind=NON_IDEMPOTENT, max_attempts=1)
    rejection = ScriptedResponse(status=503, not_executed=True)
    harness.directory.remove("u2")
    harness.transport.scripts = {"u1": [rejection]}
    assert harness.send().status == 503
    assert harness.send().status == 200


def test_an_executed_request_is_counted_for_the_customer(harness):
    harness.publish()
    harness.send()
    (counts,) = harness.usage.windows().values()
    assert counts == {"alice": 1}


def test_a_route_to_a_missing_service_is_refused(harness):
    harness.publish(targets=(WeightedService("missing", 1.0),))
    assert harness.send().status == 503


def test_an_instance_at_its_request_bound_refuses_at_once(harness):
    """More callers send requests to a small instance than it can serve."""
    harness.publish()
    harness.handler._max_concurrent_requests = 1
    second_responses = []
    nested_request = ScriptedResponse(
        during=lambda _: second_responses.append(harness.send(request_id="r-2"))
    )
    harness.transport.scripts = {"u1": nested_request, "u2": nested_request}
    assert harness.send().status == 200
    (refused,) = second_responses
    assert refused.status == 503
    assert float(refused.header("Retry-After")) > 0
    assert len(harness.called_upstreams()) == 1
    counted = b'waxwing_refusals_total{kind="instance_full"} 1.0'
    assert counted in harness.telemetry.text(())
    assert harness.handler.under_way == 0


def test_a_request_beyond_the_limit_of_one_upstream_goes_to_another():
    harness = RelayHarness()
    harness.add(upstream("u1"), upstream("u2"))
    harness.publish()
    harness.transport.scripts["u2"] = ScriptedResponse(limit_per_second=0.5)
    answers = [harness.send()]
    harness.wait(0.2)
    answers += [harness.send() for _ in range(10)]
    assert {answer.status for answer in answers} == {200}
    assert harness.called_upstreams().count("u2") == 1


def test_a_request_beyond_all_limits_is_refused_at_once_with_a_true_return():
    """Guards against holding a request until its deadline."""
    harness = RelayHarness()
    harness.add(upstream("u1"))
    harness.publish()
    harness.transport.scripts["u1"] = ScriptedResponse(limit_per_second=0.5)
    assert [harness.send().status for _ in range(2)] == [200, 200]
    harness.wait(0.2)
    started_seconds = harness.clock.seconds
    refused = harness.send()
    assert refused.status == 503
    assert harness.clock.seconds == started_seconds
    return_seconds = float(refused.header("Retry-After"))
    assert 0 < return_seconds <= 4.0
    harness.wait(return_seconds + 0.01)
    assert harness.send().status == 200
    assert len(harness.transport.calls) == 3


def test_a_repeat_beyond_the_limits_leaves_the_outcome_unknown():
    """A request that may have run is not told that it has not."""
    harness = RelayHarness()
    harness.add(upstream("u1"), upstream("u2"))
    harness.publish(max_attempts=2)
    for name in ("u1", "u2"):
        harness.limits.observe(
            UpstreamId(name), NamedLimit(1, 0.1, harness.clock.seconds), 0.0
        )
    first = ScriptedResponse(error=RESPONSE_LOST, limit_per_second=0.1)
    harness.transport.scripts = {"u1": first, "u2": first}
    assert harness.send().status == 502
    assert harness.send().status == 503


PLAIN_REPLACEMENTS = {
    "rejects": ScriptedResponse(status=503, not_executed=True),
    "unreachable": ScriptedResponse(error=CONNECT_FAILED),
    "breaks": ScriptedResponse(error=RESPONSE_LOST),
    "unsigned": ScriptedResponse(is_signed=False),
    "slower": ScriptedResponse(delay_seconds=0.5, pieces=(b"late",)),
}


# Guards against a 502 or 504 for a request whose sound upstream was silent for
# a moment, if no other upstream answers it.
@pytest.mark.parametrize("name", list(PLAIN_REPLACEMENTS))
def test_a_silent_upstream_is_kept_until_another_has_begun_to_answer(harness, name):
    harness.publish()
    harness.transport.scripts = {
        "u1": [ScriptedResponse(delay_seconds=0.6, pieces=(b"first",))],
        "u2": [PLAIN_REPLACEMENTS[name]],
    }
    harness.directory.record_failure(UpstreamId("u2"), harness.clock.seconds)
    response = harness.send()
    assert (response.status, response.body) == (200, b"first")
    assert harness.called_upstreams() == ["u1", "u2"]
    assert harness.loads.local_loads() == {}


def test_a_silent_upstream_is_given_up_once_another_has_begun_to_answer(harness):
    harness.publish()
    harness.transport.scripts = {
        "u1": [ScriptedResponse(delay_seconds=0.9, pieces=(b"first",))],
        "u2": [ScriptedResponse(delay_seconds=0.1, pieces=(b"second",))],
    }
    harness.directory.record_failure(UpstreamId("u2"), harness.clock.seconds)
    response = harness.send()
    assert (response.status, response.body) == (200, b"second")
    assert harness.transport.pending[0].is_aborted
    assert harness.loads.local_loads() == {}


def test_a_silent_upstream_is_aborted_if_the_caller_disconnects(harness):
    harness.publish()
    harness.transport.scripts = {
        "u1": [ScriptedResponse(delay_seconds=0.9)],
        "u2": [ScriptedResponse(error=RESPONSE_LOST, during=disconnect_caller)],
    }
    harness.directory.record_failure(UpstreamId("u2"), harness.clock.seconds)
    assert harness.send().is_aborted
    assert harness.transport.pending[0].is_aborted
    assert harness.loads.local_loads() == {}


# Guards against a 502 since the silent upstream rejects the request while
# another is about to answer it.
def test_a_silent_upstream_that_rejects_leaves_the_request_to_another(harness):
    harness.publish()
    harness.transport.scripts = {
        "u1": [ScriptedResponse(status=503, not_executed=True, delay_seconds=0.5)],
        "u2": [ScriptedResponse(delay_seconds=0.4, pieces=(b"second",))],
    }
    harness.directory.record_failure(UpstreamId("u2"), harness.clock.seconds)
    response = harness.send()
    assert (response.status, response.body) == (200, b"second")
    assert harness.loads.local_loads() == {}


# Guards against a 502 since the other upstream breaks off within its answer,
# when the silent one has been given up for it.
def test_a_silent_upstream_is_kept_until_another_has_answered_whole(harness):
    harness.publish()
    harness.transport.scripts = {
        "u1": [ScriptedResponse(delay_seconds=0.8, pieces=(b"first",))],
        "u2": [ScriptedResponse(pieces=(b"sec", RESPONSE_LOST))],
    }
    harness.directory.record_failure(UpstreamId("u2"), harness.clock.seconds)
    response = harness.send()
    assert (response.status, response.body) == (200, b"first")
    assert harness.loads.local_loads() == {}
