"""Gateway processes and callers before upstreams that state how they are."""

import http.client
import itertools
import threading
import time

from attrs import frozen

from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    StoreStandin,
    make_configuration,
    stop_all,
    wait_until,
)
from waxwingwinch.platform.tests.stating_upstream import EVENTS, StatingUpstream

#: Requests per second of all callers together.
REQUESTS_PER_SECOND = 90.0
#: Callers of an instance, so that slow requests don't hold up the others.
CALLERS_PER_INSTANCE = 4
#: Time in which callers send before upstreams state anything.
CALM_SECONDS = 2.0
#: Pays for all streams that break off and for all requests turned away.
RETRY_SETTINGS = "bounds.retrySlack=500\n"
#: Upstreams of the plain service.
SHOPS = 4
#: Engines by role. Prefill engines have room for all prompts while one of them
#: takes none.
PREFILLERS, DECODERS = 4, 3
LONG_PROMPT = ("15000,20", "book-{0}:12000,own-{0}:3000")
SHORT_PROMPT = ("300,20", "ask-{0}:200,own-{0}:100")
#: Kinds of requests: path, and the prompt, if any.
PLAIN, ONCE = ("/a/x", None), ("/u/x", None)
LONG, SHORT = ("/s/x", LONG_PROMPT), ("/s/x", SHORT_PROMPT)
#: Few prompts are long, since engines take as long for them as real ones.
KINDS = (PLAIN, ONCE, SHORT, PLAIN, LONG, ONCE, SHORT)


@frozen
class Answer:
    """What a caller got; the status is None without a whole answer."""

    instance: int
    path: str
    sent_seconds: float
    took_seconds: float
    status: int | None
    retry_after: str | None


def configuration():
    """Return a configuration of a plain service and of engines."""
    version = make_configuration(1)
    for route in version["routes"]:
        if route["routeKind"] == "streaming":
            route |= {
                "service": "llm",
                "resumable": True,
                "attempts": 3,
                # Admission must not refuse prompts that wait for others.
                "sloMs": 3000,
            }
    engine = {"slots": 64, "kvCapacity": 500_000}
    version["services"].append({"name": "llm", "maxConns": 100, "engine": engine})
    return version


class StatingFleet:
    """
    Gateway processes, upstreams and callers on kept connections.

    :param folder: Folder of settings and logs.
    :param instances: Number of gateway processes.
    """

    def __init__(self, folder, instances):
        self.store = StoreStandin()
        self.store.put("op", "config", configuration())
        self.shops = [StatingUpstream(f"u{n}", "shop") for n in range(SHOPS)]
        self.prefillers = [
            StatingUpstream(f"p{n}", "llm", "prefill") for n in range(PREFILLERS)
        ]
        self.decoders = [
            StatingUpstream(f"d{n}", "llm", "decode") for n in range(DECODERS)
        ]
        self.upstreams = [*self.shops, *self.prefillers, *self.decoders]
        for upstream in self.upstreams:
            upstream.register(self.store)
        self.numbers = itertools.count()
        self.stopping = threading.Event()
        self.answers = []
        self.sent_seconds = {}
        self.gateways = [
            Gateway(
                folder,
                self.store,
                f"edge-{number}",
                f"zone-{number % 2}",
                RETRY_SETTINGS,
            )
            for number in range(instances)
        ]
        self.callers = [
            threading.Thread(target=self.call, args=(number % instances, number))
            for number in range(CALLERS_PER_INSTANCE * instances)
        ]

    def start(self):
        """Start the callers once each kind of request is served."""
        for number in range(len(self.gateways)):
            for path, prompt in KINDS:
                assert wait_until(
                    lambda number=number, path=path, prompt=prompt: (
                        self.send_once(number, path, prompt).status == 200
                    )
                )
        for caller in self.callers:
            caller.start()
            # Callers that all send at once would make upstreams seem slow.
            time.sleep(1.0 / REQUESTS_PER_SECOND)
        time.sleep(CALM_SECONDS)

    def stop(self):
        self.stopping.set()
        stop_all(self.callers, self.gateways, self.store, self.upstreams)

    def end_traffic(self):
        """Stop the callers, and wait for their last answers."""
        self.stopping.set()
        for caller in self.callers:
            caller.join()

    def call(self, number, first_kind):
        """
        Send requests of all kinds by turns to one instance.

        :param number: The instance.
        :param first_kind: Index of the first kind; others than those of other
            callers spread the long prompts.
        """
        connection = self.connect(number)
        pause_seconds = len(self.callers) / REQUESTS_PER_SECOND
        for path, prompt in itertools.islice(itertools.cycle(KINDS), first_kind, None):
            if self.stopping.wait(pause_seconds):
                break
            self.answers.append(self.send(connection, number, path, prompt))
        connection.close()

    def connect(self, number):
        return http.client.HTTPConnection(
            HOST, self.gateways[number].front, timeout=3.0
        )

    def send_once(self, number, path, prompt):
        connection = self.connect(number)
        try:
            return self.send(connection, number, path, prompt)
        finally:
            connection.close()

    def send(self, connection, number, path, prompt):
        count = next(self.numbers)
        request_id = f"request-{number}-{count}"
        headers = {
            "Host": "shop.example",
            "X-Waxwingwinch-Request-Id": request_id,
            "X-Waxwingwinch-Deadline-Ms": "3000",
            "X-Waxwingwinch-Key": KEY,
        }
        if prompt is not None:
            counts, parts = prompt
            headers["X-Waxwingwinch-Token-Counts"] = counts
            headers["X-Waxwingwinch-Prompt-Prefix"] = parts.format(count)
        sent_seconds = time.monotonic()
        self.sent_seconds[request_id] = sent_seconds
        status = retry_after = None
        try:
            connection.request("POST", path, b"%d" % count, headers)
            response = connection.getresponse()
            body = response.read()
            retry_after = response.headers["Retry-After"]
            is_whole = (
                prompt is None or response.status != 200 or body.count(b"id:") == EVENTS
            )
            status = response.status if is_whole else None
        except (OSError, http.client.HTTPException):
            connection.close()
        took_seconds = time.monotonic() - sent_seconds
        return Answer(number, path, sent_seconds, took_seconds, status, retry_after)

    def answers_since(self, since_seconds):
        """Return the answers to requests sent since a time."""
        return [
            answer for answer in self.answers if answer.sent_seconds >= since_seconds
        ]
