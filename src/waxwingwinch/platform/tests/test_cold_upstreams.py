"""Gateway processes before an upstream that turns cold, with real requests."""

import json
import threading
import time
from functools import partial

import pytest

from waxwingwinch.gateway.cold.tests.cold_fleet import BOUND
from waxwingwinch.platform.tests.standin import (
    Gateway,
    make_configuration,
    wait_until,
)
from waxwingwinch.platform.tests.test_limit_over_instances import REFUSAL_SECONDS, Fleet

INSTANCES = 5
#: Time from joining until an instance has read all member records and grants.
START_SECONDS = 8.0
COLD_SECONDS = 10.0


class ColdFleet(Fleet):
    """Gateway processes whose service names a rate for cold upstreams."""

    def __init__(self, folder):
        super().__init__(folder, INSTANCES)
        configuration = make_configuration(2)
        service = configuration["services"][0]
        service |= {"coldStartS": 3.0, "coldPerS": 7.3}
        self.store.put("op", "config", configuration)
        for number in range(INSTANCES):
            assert wait_until(partial(self.logged, number, "gateway:joined"))
        time.sleep(START_SECONDS)

    def start_gateway(self, number):
        return Gateway(
            self.folder,
            self.store,
            f"edge-{number}",
            f"zone-{number % 2}",
            "bounds.coldOvershoot=1.5\nbounds.coldSlack=5\n",
        )

    def logged(self, number, name):
        text = (self.folder / f"edge-{number}.log").read_text()
        lines = [line for line in text.splitlines() if f'"{name}"' in line]
        return [json.loads(line) for line in lines]

    def all_know_seconds(self):
        offset_seconds = time.time() - time.monotonic()
        learned = [self.logged(number, "cold:learned") for number in range(INSTANCES)]
        assert [len(lines) for lines in learned] == [3] * INSTANCES
        return max(line["timestamp"] for lines in learned for line in lines) - (
            offset_seconds
        )

    def send_traffic(self):
        self.callers = [
            threading.Thread(target=self.call, args=(number, 2))
            for number in range(INSTANCES)
        ]
        for caller in self.callers:
            caller.start()
        time.sleep(1.0)

    def keep_cold(self, seconds):
        """Let all upstreams say that they are cold, until the time is up."""
        end_seconds = time.monotonic() + seconds
        while (left_seconds := end_seconds - time.monotonic()) > 0:
            for upstream in self.upstreams:
                upstream.cold_ms = int(left_seconds * 1_000) + 1
                upstream.register(self.store)
            time.sleep(min(0.5, left_seconds))


@pytest.fixture
def fleet(tmp_path):
    fleet = ColdFleet(tmp_path)
    yield fleet
    fleet.stop()


def most_in_a_second(upstream, since_seconds, until_seconds):
    arrivals = sorted(
        arrival.at_seconds
        for arrival in upstream.arrivals
        if since_seconds <= arrival.at_seconds <= until_seconds
    )
    return max(
        (sum(end - 1.0 < at <= end for at in arrivals) for end in arrivals), default=0
    )


# Guards against cold upstreams that get more from all processes together than
# they survive, and against callers that wait for one of them.
def test_cold_upstreams_get_few_requests_and_the_others_are_refused(fleet):
    fleet.send_traffic()
    assert {answer.status for answer in fleet.answers} == {200}
    fleet.keep_cold(COLD_SECONDS)
    until_seconds = time.monotonic() - 0.2
    known_seconds = fleet.all_know_seconds()
    most = [
        most_in_a_second(upstream, known_seconds, until_seconds)
        for upstream in fleet.upstreams
    ]
    assert max(most) <= BOUND
    assert min(most) > 3
    refused = [answer for answer in fleet.answers if answer.status != 200]
    assert {answer.status for answer in refused} == {503}
    assert max(answer.took_seconds for answer in refused) < REFUSAL_SECONDS
    assert all(float(answer.retry_after) > 0 for answer in refused)
