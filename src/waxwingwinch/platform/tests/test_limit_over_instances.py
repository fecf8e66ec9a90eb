"""Limits that upstreams name hold over all instances together."""

import http.client
import signal
import threading
import time
from functools import partial
from itertools import pairwise

import pytest
from attrs import frozen

from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    StoreStandin,
    UpstreamStandin,
    make_configuration,
    stop_all,
    wait_until,
)

#: Time after the first answer that names a limit from which the users' rule
#: holds.
CONTACT_SECONDS = 3.0
#: Span over which the rule counts requests.
SPAN_SECONDS = 4.0
#: What the rule tolerates: this many times the limit, and as many requests.
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5
#: Time for which callers send requests after the last limit was named.
TRAFFIC_SECONDS = 13.0
#: Requests per second of all callers together.
REQUESTS_PER_SECOND = 30.0
#: Limits of the upstreams. The one without a limit is the last choice of the
#: instances, so that the others are considered for each request.
LIMITS_PER_SECOND = (None, 0.4, 1.0)
#: Longest time for which a request that is refused may be held.
REFUSAL_SECONDS = 1.0


@frozen
class Answer:
    """What a caller got."""

    status: int
    retry_after: str | None
    took_seconds: float


class Fleet:
    """Gateway processes, upstreams and callers."""

    def __init__(self, folder, instances):
        self.folder = folder
        self.store = StoreStandin()
        self.store.put("op", "config", make_configuration(1))
        self.upstreams = [UpstreamStandin(f"u{number}") for number in range(3)]
        for upstream in self.upstreams:
            upstream.register(self.store)
        self.stopping = threading.Event()
        self.answers = []
        self.excuses = []
        self.gateways = [self.start_gateway(number) for number in range(instances)]
        self.callers = [
            threading.Thread(target=self.call, args=(number, instances))
            for number in range(instances)
        ]

    def start_gateway(self, number):
        zone = f"zone-{number % 2}"
        return Gateway(self.folder, self.store, f"edge-{number}", zone)

    def restart_gateway(self, number):
        started_seconds = time.monotonic()
        self.gateways[number].stop()
        self.gateways[number] = self.start_gateway(number)
        self.excuse(number, started_seconds)

    def freeze_gateway(self, number, frozen_seconds):
        """Freeze an instance, and thaw it later from another thread."""
        started_seconds = time.monotonic()
        process = self.gateways[number].process
        process.send_signal(signal.SIGSTOP)

        def thaw():
            process.send_signal(signal.SIGCONT)
            self.excuse(number, started_seconds)

        threading.Timer(frozen_seconds, thaw).start()

    def excuse(self, number, started_seconds):
        """Excuse an instance until a contact time after its disturbance."""
        until_seconds = time.monotonic() + CONTACT_SECONDS
        self.excuses.append((f"request-{number}-", started_seconds, until_seconds))

    def is_excused(self, arrival):
        return any(
            arrival.request_id.startswith(prefix)
            and started_seconds <= arrival.at_seconds <= until_seconds
            for prefix, started_seconds, until_seconds in self.excuses
        )

    def stop(self):
        self.stopping.set()
        stop_all(self.callers, self.gateways, self.store, self.upstreams)

    def call(self, number, instances):
        """Send requests to one instance until the test ends."""
        count = 0
        while not self.stopping.wait(instances / REQUESTS_PER_SECOND):
            count += 1
            answer = self.send(number, f"request-{number}-{count}")
            if answer is not None:
                self.answers.append(answer)

    def send(self, number, request_id):
        """Send a request; return None if the instance did not answer."""
        headers = {
            "Host": "shop.example",
            "X-Waxwingwinch-Request-Id": request_id,
            "X-Waxwingwinch-Deadline-Ms": "3000",
            "X-Waxwingwinch-Key": KEY,
        }
        started_seconds = time.monotonic()
        connection = http.client.HTTPConnection(
            HOST, self.gateways[number].front, timeout=3.0
        )
        try:
            connection.request("POST", "/a/x", b"", headers)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()
        took_seconds = time.monotonic() - started_seconds
        retry_after = response.headers["Retry-After"]
        return Answer(response.status, retry_after, took_seconds)

    def run_traffic(self, limits_per_second, during=lambda: None):
        """Let upstreams name the limits; return when the last was named."""
        for number in range(len(self.gateways)):
            assert wait_until(partial(self.send, number, f"first-{number}"))
        for caller in self.callers:
            caller.start()
        time.sleep(2.0)
        self.answers.clear()
        for upstream, limit_per_second in zip(
            self.upstreams, limits_per_second, strict=True
        ):
            upstream.limit_per_second = limit_per_second
        limited_seconds = time.monotonic()
        during()
        while True:
            named_seconds = max(
                upstream.named_seconds or limited_seconds for upstream in self.upstreams
            )
            left_seconds = named_seconds + TRAFFIC_SECONDS - time.monotonic()
            if left_seconds <= 0.0:
                return named_seconds
            time.sleep(left_seconds)


@pytest.fixture
def make_fleet(tmp_path):
    fleets = []

    def make(instances):
        fleets.append(Fleet(tmp_path, instances))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def most_in_a_span(fleet, upstream):
    """Return the most requests in a span that ends when the rule holds."""
    arrivals = sorted(
        arrival.at_seconds
        for arrival in upstream.arrivals
        if not fleet.is_excused(arrival)
    )
    return max(
        (
            sum(end - SPAN_SECONDS < at <= end for at in arrivals)
            for end in arrivals
            if end >= upstream.named_seconds + CONTACT_SECONDS
        ),
        default=0,
    )


def assert_limits_held(fleet):
    for upstream in fleet.upstreams:
        limit = upstream.limit_per_second
        if limit is not None:
            assert upstream.named_seconds is not None
            allowed = TOLERANCE_RATIO * limit * SPAN_SECONDS + TOLERANCE_REQUESTS
            most = most_in_a_span(fleet, upstream)
            assert most <= allowed, f"{upstream.name} names {limit} a second"


# Guards against an upstream that gets as much as before it named its limit.
@pytest.mark.parametrize("instances", [7, 18])
def test_upstreams_get_no_more_requests_than_they_named(make_fleet, instances):
    fleet = make_fleet(instances)
    fleet.run_traffic(LIMITS_PER_SECOND)
    assert_limits_held(fleet)
    # The upstream without a limit has room for all other requests.
    assert {answer.status for answer in fleet.answers} == {200}


# Guards against limits exceeded while instances freeze, end and start.
def test_named_limits_hold_while_instances_freeze_and_restart(make_fleet):
    fleet = make_fleet(7)

    def disturb():
        time.sleep(1.0)
        fleet.freeze_gateway(0, 2.5)
        time.sleep(1.0)
        fleet.restart_gateway(1)
        time.sleep(1.0)
        fleet.restart_gateway(2)
        fleet.restart_gateway(3)
        time.sleep(2.0)
        fleet.restart_gateway(4)

    fleet.run_traffic(LIMITS_PER_SECOND, disturb)
    assert_limits_held(fleet)


# Guards against requests held until their deadline where all have limits.
def test_requests_beyond_all_limits_are_refused_at_once(make_fleet):
    fleet = make_fleet(7)
    named_seconds = fleet.run_traffic([1.0, 2.0, 1.0])
    assert_limits_held(fleet)
    refused = [answer for answer in fleet.answers if answer.status != 200]
    assert {answer.status for answer in refused} == {503}
    assert max(answer.took_seconds for answer in refused) < REFUSAL_SECONDS
    assert all(float(answer.retry_after) > 0 for answer in refused)
    # The upstreams together take several requests in a span.
    arrivals = sorted(
        arrival.at_seconds
        for upstream in fleet.upstreams
        for arrival in upstream.arrivals
        if arrival.at_seconds > named_seconds + CONTACT_SECONDS
    )
    assert max(later - earlier for earlier, later in pairwise(arrivals)) < SPAN_SECONDS
