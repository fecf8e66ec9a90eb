"""Fakes of the services that an entry uses, and an entry to test."""

import contextlib
import json
import threading
import time
from collections.abc import Callable, Iterator

import urllib3
from attrs import define, evolve, field, frozen

from waxwingwinch._exceptions import Outcome, UpstreamFailed
from waxwingwinch._types import (
    Address,
    CustomerId,
    EngineRole,
    InstanceId,
    ModelName,
    PriceClass,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    ZoneName,
)
from waxwingwinch.configuration import (
    Configuration,
    Customer,
    Defaults,
    Model,
    Route,
    RouteAccess,
)
from waxwingwinch.contracts import (
    Admitted,
    Caller,
    ClaimHeld,
    ClaimResult,
    Freshness,
    KeyRejected,
    KeyRejection,
    LimitDecision,
    Reason,
    ServiceName,
    StoredAnswer,
    UpstreamView,
    UsageDelta,
)
from waxwingwinch.entry import EntryApplication, EntryOptions, KnownEntry
from waxwingwinch.interfaces import (
    GenerateCall,
    ListedUpstream,
    LoadReport,
    PlainAnswer,
    PlainCall,
    StreamEnd,
    StreamItem,
    StreamPart,
)
from waxwingwinch.kernel import Registry, SystemClock
from waxwingwinch.observability import Metrics

CUSTOMER = CustomerId("tahi-1")
KEY = "key-1"
MODEL = ModelName("assistant")
ZONE = ZoneName("cebu")
HOST = "127.0.0.1"


def listed_upstream(name: str, kind: UpstreamKind, port: int) -> ListedUpstream:
    return ListedUpstream(
        UpstreamId(name),
        kind,
        Address(HOST, port),
        ZONE,
        PriceClass.ON_DEMAND,
        1.0,
        UpstreamState.ACTIVE,
    )


def engine_view(
    name: str, port: int = 1, role: EngineRole = EngineRole.MIXED, **load: object
) -> UpstreamView:
    report = LoadReport(
        UpstreamId(name), 0.0, role, MODEL, (), 0, 0, 0, 0, 100, 10_000.0, 0.02
    )
    return UpstreamView(
        listed_upstream(name, UpstreamKind.ENGINE, port),
        UpstreamState.ACTIVE,
        role,
        MODEL,
        evolve(report, **load),  # type: ignore[arg-type]
    )


def plain_view(name: str, port: int) -> UpstreamView:
    return UpstreamView(
        listed_upstream(name, UpstreamKind.PLAIN, port), UpstreamState.ACTIVE
    )


@define
class FakeConfiguration:
    configuration: Configuration
    withdrawn: set[str] = field(factory=set)
    state: Freshness = Freshness.FRESH

    def current(self) -> Configuration:
        return self.configuration

    def authenticate(self, key: str, now_seconds: float) -> Caller | KeyRejected:
        if key in self.withdrawn:
            return KeyRejected(KeyRejection.WITHDRAWN)
        if key != KEY:
            return KeyRejected(KeyRejection.UNKNOWN)
        return Caller(CUSTOMER, KEY)

    def is_withdrawn(self, key_id: str) -> bool:
        return key_id in self.withdrawn

    def freshness(self, now_seconds: float) -> Freshness:
        return self.state


@define
class FakeLimiter:
    decision: LimitDecision = Admitted()

    def admit(self, customer_id: CustomerId, now_seconds: float) -> LimitDecision:
        return self.decision


@define
class FakeIdempotencyStore:
    result: ClaimResult = ClaimHeld("claim", 1e12)
    answers: list[StoredAnswer] = field(factory=list)
    not_run: int = 0
    unknown: int = 0
    on_claim: Callable[[], None] = lambda: None

    def claim(
        self,
        customer_id: CustomerId,
        key: str,
        fingerprint: str,
        timeout_seconds: float,
        now_seconds: float,
    ) -> ClaimResult:
        self.on_claim()
        return self.result

    def record_answer(self, claim_id: str, answer: StoredAnswer) -> None:
        self.answers.append(answer)

    def record_not_run(self, claim_id: str) -> None:
        self.not_run += 1

    def record_unknown(self, claim_id: str) -> None:
        self.unknown += 1


@define
class FakeFleet:
    engine_views: tuple[UpstreamView, ...] = ()
    plain_views: tuple[UpstreamView, ...] = ()

    def engines(self, model: ModelName) -> tuple[UpstreamView, ...]:
        return self.engine_views

    def plain(self, service: str) -> tuple[UpstreamView, ...]:
        return self.plain_views

    def all(self) -> tuple[UpstreamView, ...]:
        return self.engine_views + self.plain_views

    def fleet_offset(self) -> int:
        return 0


@define
class FakeLedger:
    deltas: list[UsageDelta] = field(factory=list)

    def add(self, delta: UsageDelta, wall_seconds: float) -> None:
        self.deltas.append(delta)


@define
class FakeDecisions:
    reasons: list[Reason] = field(factory=list)

    def add(self, reason: Reason) -> None:
        self.reasons.append(reason)

    def about(self, name: str) -> tuple[Reason, ...]:
        return tuple(r for r in self.reasons if name in (r.subject, *r.related))


@frozen
class EngineBehaviour:
    """
    How the fake engine at one port responds to calls.

    :param refuses: Whether it refuses connections.
    :param breaks_at: Index of the token before which the stream fails.
    :param hangs_at: Index of the token before which the stream stalls.
    :param crashed: Whether it does not respond to load reports.
    """

    refuses: bool = False
    breaks_at: int | None = None
    hangs_at: int | None = None
    crashed: bool = False


class FakeStream:
    def __init__(
        self, call: GenerateCall, behaviour: EngineBehaviour, tokens: int
    ) -> None:
        self.call, self.behaviour, self.tokens = call, behaviour, tokens
        self.closed = threading.Event()

    def __iter__(self) -> Iterator[StreamItem]:
        tokens = 0 if self.call.prefill_only else self.tokens
        for index in range(self.call.resume_from_token, tokens):
            if index == self.behaviour.breaks_at:
                raise UpstreamFailed("connection reset", Outcome.UNKNOWN)
            if index == self.behaviour.hangs_at:
                self.closed.wait(20)
                raise UpstreamFailed("closed", Outcome.UNKNOWN)
            yield StreamPart(index, f"t{index} ")
        yield StreamEnd("stop", len(self.call.prompt.split()), tokens)

    def close(self) -> None:
        self.closed.set()


@define
class FakeEngine:
    tokens: int = 5
    behaviours: dict[int, EngineBehaviour] = field(factory=dict)
    calls: list[tuple[int, GenerateCall]] = field(factory=list)
    streams: list[FakeStream] = field(factory=list)

    def generate(self, address: Address, call: GenerateCall) -> FakeStream:
        behaviour = self.behaviours.get(address.port, EngineBehaviour())
        self.calls.append((address.port, call))
        if behaviour.refuses:
            raise UpstreamFailed("connection refused", Outcome.NOT_RUN)
        stream = FakeStream(call, behaviour, self.tokens)
        self.streams.append(stream)
        return stream

    def load_report(self, address: Address) -> None:
        if self.behaviours.get(address.port, EngineBehaviour()).crashed:
            raise UpstreamFailed("connection refused", Outcome.NOT_RUN)


@define
class FakePlainService:
    failures: dict[int, Outcome] = field(factory=dict)
    calls: list[tuple[int, PlainCall]] = field(factory=list)
    crashed: set[int] = field(factory=set)

    def call(self, address: Address, call: PlainCall) -> PlainAnswer:
        self.calls.append((address.port, call))
        outcome = self.failures.get(address.port)
        if outcome is not None:
            raise UpstreamFailed("broken", outcome)
        return PlainAnswer(201, (("X-Seat", "4"), ("Set-Cookie", "a=b")), b"booked")

    def is_listening(self, address: Address) -> bool:
        return address.port not in self.crashed


ROUTES = (
    Route("/seats", "booking", ("GET",), idempotent=True),
    Route("/book", "booking", ("POST",), idempotent=False),
    Route("/open", "booking", ("GET",), idempotent=True, access=RouteAccess.OPEN),
)


@define
class EntryHarness:
    """A running entry with fake services, serving at a free port."""

    configuration: FakeConfiguration
    limiter: FakeLimiter = field(factory=FakeLimiter)
    store: FakeIdempotencyStore = field(factory=FakeIdempotencyStore)
    fleet: FakeFleet = field(factory=FakeFleet)
    ledger: FakeLedger = field(factory=FakeLedger)
    decisions: FakeDecisions = field(factory=FakeDecisions)
    engine: FakeEngine = field(factory=FakeEngine)
    plain: FakePlainService = field(factory=FakePlainService)
    messages: list[object] = field(factory=list)
    application: EntryApplication = field(init=False)
    base_url: str = ""

    def call(
        self, method: str, path: str, key: str | None = KEY, **arguments: object
    ) -> urllib3.BaseHTTPResponse:
        headers = dict(arguments.pop("headers", {}))  # type: ignore[call-overload]
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        return urllib3.request(
            method,
            self.base_url + path,
            headers=headers,
            retries=False,
            timeout=15,
            **arguments,  # type: ignore[arg-type]
        )

    def complete(self, **fields: object) -> urllib3.BaseHTTPResponse:
        body = {"model": MODEL, "messages": [{"role": "user", "content": "a b"}]}
        preload = not fields.get("stream", False)
        return self.call(
            "POST",
            "/v1/chat/completions",
            body=json.dumps({**body, **fields}),
            preload_content=preload,
        )


@contextlib.contextmanager
def running_entry(
    defaults: Defaults | None = None, options: dict[str, object] | None = None
) -> Iterator[EntryHarness]:
    customer = Customer(CUSTOMER, 10.0, 10.0)
    configuration = Configuration(
        1,
        defaults or Defaults(),
        {CUSTOMER: customer},
        {MODEL: Model(MODEL, "1", ("thread",))},
        ROUTES,
    )
    harness = EntryHarness(FakeConfiguration(configuration))
    harness.fleet.engine_views = (engine_view("e1", 1), engine_view("e2", 2))
    harness.fleet.plain_views = (plain_view("p1", 11), plain_view("p2", 12))
    registry = Registry()
    for name, service in (
        (ServiceName.CLOCK, SystemClock()),
        (ServiceName.CONFIGURATION, harness.configuration),
        (ServiceName.LIMITER, harness.limiter),
        (ServiceName.IDEMPOTENCY, harness.store),
        (ServiceName.FLEET, harness.fleet),
        (ServiceName.USAGE, harness.ledger),
        (ServiceName.DECISIONS, harness.decisions),
        (ServiceName.METRICS, Metrics()),
        (ServiceName.ENGINE, harness.engine),
        (ServiceName.PLAIN_SERVICE, harness.plain),
    ):
        registry.register(name, service)
    instance_id = InstanceId("i1")
    entry = KnownEntry(instance_id, ZONE, Address(HOST, 1))
    harness.application = EntryApplication(
        registry,
        EntryOptions(
            instance_id,
            ZONE,
            Address(HOST, 0),
            server_threads=40,
            **(options or {}),  # type: ignore[arg-type]
        ),
        lambda now_seconds: (entry,),
        lambda customer_id, entries, count: tuple(e.instance_id for e in entries),
        lambda rate, instances: 2,
        harness.messages.append,
    )
    harness.application.start()
    harness.base_url = f"http://{HOST}:{harness.application.port}"
    try:
        yield harness
    finally:
        harness.application.stop()


def eventually(condition: object, timeout_seconds: float = 5.0) -> bool:
    """Wait until a condition is true; return False after the time-out."""
    give_up = time.monotonic() + timeout_seconds
    while time.monotonic() < give_up:
        if condition():  # type: ignore[operator]
            return True
        time.sleep(0.01)
    return False
