"""Parts and requests that crash engines are refused by all instances."""

import http.client
import itertools
import random
import threading
import time

import pytest
from attrs import frozen

from waxwingwinch.platform.tests.crashing_engine import DEADLY_BODY, CrashingEngines
from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    StoreStandin,
    make_configuration,
    wait_until,
)

#: Requests with the part that may reach engines, sent later than the contact
#: time after the fifth crash; from the users' rule.
MAX_LATE_REQUESTS = 3
#: Crashes with a part after which its requests count as late, and of one
#: request.
MAX_PART_CRASHES = 5
MAX_REQUEST_CRASHES = 3
#: The contact time, by number of instances.
CONTACT_SECONDS = {7: 3.0, 18: 4.0}
#: Sound requests that must be served from twice the contact time on, relative
#: to calm times.
MIN_SERVED_RATIO = 0.5
CALM_SECONDS = 3.0
DEADLY_SECONDS = 20.0
ENGINES = 8
SOUND_PER_SECOND = 25.0
DEADLY_PER_SECOND = 0.5
#: Callers repeat a request with the part at this many instances.
DEADLY_ATTEMPTS = 3


@frozen
class Answer:
    """What a caller got; the status is None without a whole answer."""

    at_seconds: float
    status: int | None
    is_complete: bool
    retry_after: str | None


class Fleet:
    """Gateway processes, engines and callers."""

    def __init__(self, folder, instances, seed):
        self.folder = folder
        self.random = random.Random(seed)
        self.store = StoreStandin()
        self.store.put("op", "config", make_configuration(1))
        self.engines = CrashingEngines(self.store, ENGINES)
        self.numbers = itertools.count()
        self.stopping = threading.Event()
        self.threads = []
        self.sound = []
        self.deadly = []
        self.gateways = [self.start_gateway(number) for number in range(instances)]
        for gateway in self.gateways:
            assert wait_until(lambda gateway=gateway: self.is_serving(gateway))

    def start_gateway(self, number):
        zone = f"zone-{number % 2}"
        return Gateway(self.folder, self.store, f"edge-{number}", zone)

    def is_serving(self, gateway):
        return self.send(gateway, "first:1000,warm:10,own:5").is_complete

    def send(self, gateway, parts, body=None):
        sent_seconds = time.monotonic()
        headers = {
            "Host": "shop.example",
            "X-Waxwingwinch-Request-Id": f"request-{next(self.numbers)}",
            "X-Waxwingwinch-Deadline-Ms": "3000",
            "X-Waxwingwinch-Key": KEY,
            "X-Waxwingwinch-Token-Counts": "1105,20",
            "X-Waxwingwinch-Prompt-Prefix": parts,
        }
        connection = http.client.HTTPConnection(HOST, gateway.front, timeout=3.0)
        try:
            # No two requests are alike, unless a body is given.
            sent_body = body or b"%d" % next(self.numbers)
            connection.request("POST", "/s/x", sent_body, headers)
            response = connection.getresponse()
            answer = response.read()
        except (OSError, http.client.HTTPException):
            return Answer(sent_seconds, None, False, None)
        finally:
            connection.close()
        is_complete = response.status == 200 and answer.count(b"id:") == 5
        return Answer(
            sent_seconds, response.status, is_complete, response.headers["Retry-After"]
        )

    def send_sound(self):
        number = next(self.numbers)
        parts = f"first:1000,shared-{number % 7}:100,own-{number}:5"
        self.sound.append(self.send(self.random.choice(self.gateways), parts))

    def send_deadly(self):
        parts = f"first:1000,deadly:95,own-{next(self.numbers)}:10"
        for gateway in self.random.sample(self.gateways, DEADLY_ATTEMPTS):
            self.deadly.append(self.send(gateway, parts))
            if self.deadly[-1].is_complete:
                return

    def send_deadly_request(self):
        parts = "first:1000,shared-3:95,own-3:10"
        for gateway in self.random.sample(self.gateways, DEADLY_ATTEMPTS):
            self.deadly.append(self.send(gateway, parts, DEADLY_BODY))

    def call_periodically(self, send, per_second):
        """Call a function in threads of their own until the test ends."""

        def run():
            while not self.stopping.wait(self.random.expovariate(per_second)):
                thread = threading.Thread(target=send)
                thread.start()
                self.threads.append(thread)

        caller = threading.Thread(target=run)
        caller.start()
        self.threads.append(caller)

    def late_requests(self, contact_seconds, crashes):
        """Return how many deadly requests came later than allowed."""
        last = sorted(self.engines.crashes)[crashes - 1 : crashes]
        return sum(
            is_deadly and at_seconds > last_seconds + contact_seconds
            for last_seconds in last
            for at_seconds, _, is_deadly in self.engines.arrivals
        )

    def served_ratio(self, from_seconds, until_seconds):
        """Return which part of the sound requests was served at once."""
        answers = [
            answer
            for answer in self.sound
            if from_seconds <= answer.at_seconds < until_seconds
        ]
        assert len(answers) >= 20
        return sum(answer.is_complete for answer in answers) / len(answers)

    def stop(self):
        self.stopping.set()
        for thread in list(self.threads):
            thread.join()
        for gateway in self.gateways:
            gateway.stop()
        self.engines.stop()
        self.store.stop()


@pytest.fixture
def make_fleet(tmp_path):
    fleets = []

    def make(instances, seed=1):
        fleets.append(Fleet(tmp_path, instances, seed))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def play_deadly(fleet, send, counted_crashes, contact_seconds):
    """Check late deadly requests and the sound requests beside them."""
    calm_seconds = time.monotonic()
    fleet.call_periodically(fleet.send_sound, SOUND_PER_SECOND)
    time.sleep(CALM_SECONDS)
    deadly_seconds = time.monotonic()
    fleet.call_periodically(send, DEADLY_PER_SECOND)
    time.sleep(DEADLY_SECONDS)
    end_seconds = time.monotonic()
    crashes = sorted(fleet.engines.crashes)
    late = fleet.late_requests(contact_seconds, counted_crashes)
    assert late <= MAX_LATE_REQUESTS, crashes
    last_seconds = crashes[min(counted_crashes, len(crashes)) - 1]
    calm = fleet.served_ratio(calm_seconds, deadly_seconds)
    beside = fleet.served_ratio(last_seconds + 2 * contact_seconds, end_seconds)
    assert beside >= MIN_SERVED_RATIO * calm


# Guards against requests with one part that crash engine after engine, and
# against sound requests refused beside them.
@pytest.mark.parametrize("instances", [7, 18])
def test_a_part_that_crashes_engines_is_refused_everywhere(make_fleet, instances):
    contact_seconds = CONTACT_SECONDS[instances]
    fleet = make_fleet(instances)
    play_deadly(fleet, fleet.send_deadly, MAX_PART_CRASHES, contact_seconds)
    # Refused as not run, with the time to return; never as the caller's fault.
    statuses = {answer.status for answer in fleet.deadly}
    assert statuses <= {502, 503}
    assert all(
        float(answer.retry_after) > 0 for answer in fleet.deadly if answer.status == 503
    )


# Guards against one request that crashes engine after engine wherever it comes
# again, and against sound requests refused beside it.
@pytest.mark.parametrize("instances", [7, 18])
def test_a_request_that_crashes_engines_is_refused_everywhere(make_fleet, instances):
    contact_seconds = CONTACT_SECONDS[instances]
    fleet = make_fleet(instances)
    send = fleet.send_deadly_request
    play_deadly(fleet, send, MAX_REQUEST_CRASHES, contact_seconds)
    assert {answer.status for answer in fleet.deadly} <= {502, 503}


# Guards against sound requests refused since faulty engines cut answers.
def test_engines_that_cut_single_answers_block_no_part(make_fleet):
    fleet = make_fleet(7)
    chance = random.Random(2)
    fleet.engines.cuts_stream = lambda _, number: number == 1 and chance.random() < 0.3
    fleet.call_periodically(fleet.send_sound, SOUND_PER_SECOND)
    time.sleep(8.0)
    statuses = {answer.status for answer in fleet.sound}
    assert 503 not in statuses
    assert sum(answer.is_complete for answer in fleet.sound) > len(fleet.sound) / 2
