"""Retries of several instances while engines crash, in simulated time."""

from collections import defaultdict
from random import Random

import pytest
from attrs import define, field, frozen

from waxwingwinch.gateway._transport import PrefillOnly
from waxwingwinch.gateway.tests.relay_harness import (
    CONNECT_FAILED,
    PROMPT,
    RESPONSE_LOST,
    FakeTransport,
    RelayHarness,
    ScriptedResponse,
)
from waxwingwinch.http import NotSent

INSTANCES = 7
REQUESTS = 900
REQUESTS_PER_SECOND = 30.0
#: The rule: in each window, an arrival beyond the first of its request for
#: each five requests, and this many more.
WINDOW_SECONDS = 10.0
RETRY_RATIO = 0.2
RETRY_SLACK = 54.0
EVENT = ScriptedResponse(pieces=(b"id: 1\ndata: x\n\n",))


@frozen
class Arrival:
    """A call that reached an engine."""

    at_seconds: float
    request_id: str
    is_accepted_prefill: bool


@define
class CrashingTransport(FakeTransport):
    """Engines that generate crash, refuse connections or reject calls."""

    random: Random = field(factory=lambda: Random(1))
    arrivals: list[Arrival] = field(factory=list)

    def open(
        self, upstream, call, cancellation, now_seconds, wait_seconds, silent=None
    ):
        is_prefill, is_accepted = isinstance(call.phase, PrefillOnly), False
        is_arrived = True
        try:
            response = super().open(
                upstream, call, cancellation, now_seconds, wait_seconds, silent
            )
            is_accepted = not response.head.not_executed
            return response
        except NotSent:
            is_arrived = False
            raise
        finally:
            if is_arrived:
                self.arrivals.append(
                    Arrival(
                        self.clock.seconds,
                        call.request.request_id,
                        is_prefill and is_accepted,
                    )
                )

    def _script(self, upstream, call):
        if isinstance(call.phase, PrefillOnly):
            return ScriptedResponse(pieces=(b"handle",))
        refused = ScriptedResponse(error=CONNECT_FAILED)
        crashed = ScriptedResponse(error=RESPONSE_LOST)
        rejected = ScriptedResponse(status=503, not_executed=True)
        return self.random.choices(
            [refused, crashed, rejected, EVENT], weights=[6, 1, 1, 2]
        )[0]


def extra_arrivals(arrivals):
    """Return the times of the arrivals beyond the free ones of a request."""
    by_request = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at_seconds):
        by_request[arrival.request_id].append(arrival)
    extra = []
    for calls in by_request.values():
        prefills = [call for call in calls if call.is_accepted_prefill]
        if prefills:
            calls.remove(prefills[0])
        extra += [call.at_seconds for call in calls[1:]]
    return extra


# Guards against prefills that nobody paid for, repeated while the engines that
# generate were down.
@pytest.mark.parametrize("seed", range(3))
def test_arrivals_stay_within_the_budget_while_engines_crash(seed):
    instances = []
    for number in range(INSTANCES):
        harness = RelayHarness(RETRY_SLACK, INSTANCES, CrashingTransport)
        harness.transport.random = Random(f"{seed}/{number}")
        harness.add_engines(prefill=3, decode=6)
        harness.publish_stream()
        instances.append(harness)
    started_seconds = instances[0].clock.seconds
    requests = []
    for number in range(REQUESTS):
        harness = instances[number % INSTANCES]
        at_seconds = started_seconds + number / REQUESTS_PER_SECOND
        harness.clock.seconds = max(harness.clock.seconds, at_seconds)
        requests.append(at_seconds)
        harness.send(prompt=PROMPT, request_id=f"r-{number}")
    extra = extra_arrivals(
        arrival for harness in instances for arrival in harness.transport.arrivals
    )
    assert extra
    for start in extra:
        end = start + WINDOW_SECONDS
        counted = sum(start <= at < end for at in extra)
        requested = sum(start <= at < end for at in requests)
        assert counted <= RETRY_RATIO * requested + RETRY_SLACK
