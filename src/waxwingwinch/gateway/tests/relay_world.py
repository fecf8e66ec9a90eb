"""A relay with scripted upstreams and a caller that records its answer."""

from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from waxwingwinch._types import Address, CustomerId, EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._connections import CancelReason
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._handler import RequestHandler
from waxwingwinch.gateway._job import RelayTools
from waxwingwinch.gateway._loads import LoadTracker
from waxwingwinch.gateway._model import (
    CustomerRules,
    EngineTraits,
    GatewayConfiguration,
    RequestKind,
    Route,
    ServiceRules,
    WeightedService,
)
from waxwingwinch.gateway._outcomes import CallerDisconnected
from waxwingwinch.gateway._placement_log import PlacementLog
from waxwingwinch.gateway._prefixes import PrefixIndex
from waxwingwinch.gateway._quota import QuotaTracker
from waxwingwinch.gateway._requests import (
    AnswerHead,
    GatewayRequest,
    Prompt,
    PromptPart,
)
from waxwingwinch.gateway._retry_budget import RetryBudget
from waxwingwinch.gateway._slowdowns import SlowdownTracker
from waxwingwinch.gateway._telemetry import Telemetry
from waxwingwinch.gateway._transport import ReadPrompt
from waxwingwinch.gateway._upstreams import (
    RegisteredState,
    Upstream,
    UpstreamDirectory,
)
from waxwingwinch.gateway._usage_counts import UsageCounts
from waxwingwinch.gateway._watcher import CallerWatcher
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.http import AnswerMissing, NotSent

ZONE = ZoneName("north")
ALICE = CustomerRules(CustomerId("alice"), frozenset({"key-a"}))
LLM = ServiceRules("llm", EngineTraits(64, 500_000, 3.0))
SHOP = ServiceRules("shop")
SIGNED = (("X-Stamp", "s"),)
PROMPT = Prompt("m", 17_000, 20, (PromptPart("book", 13_000), PromptPart("own", 4_000)))
SHORT_PROMPT = Prompt("m", 300, 20, (PromptPart("ask", 200), PromptPart("own", 100)))


@define
class Script:
    """
    What an upstream does with a call.

    :param status: Of its answer.
    :param pieces: Of its body; an exception ends it there.
    :param error: Raised instead of an answer.
    :param not_executed: True if it says that it did not run the request.
    :param is_signed: True if it signs the answer.
    :param takes_seconds: Time until the head of the answer.
    :param during: Called while it works.
    """

    status: int = 200
    pieces: tuple[Any, ...] = (b"whole",)
    error: Exception | None = None
    not_executed: bool = False
    is_signed: bool = True
    takes_seconds: float = 0.0
    during: Callable[[Any], object] | None = None


@define
class FakeAnswer:
    head: AnswerHead
    pieces: list[Any]
    outcome: list[Any] = field(factory=list)

    def read_some(self, timeout_seconds):
        if not self.pieces:
            return b""
        piece = self.pieces.pop(0)
        if isinstance(piece, Exception):
            raise piece
        return piece

    def read_all(self, timeout_seconds):
        body = b""
        while piece := self.read_some(timeout_seconds):
            body += piece
        return body

    def finish(self):
        self.outcome.append("finished")

    def abort(self):
        self.outcome.append("aborted")


@define
class FakeTransport:
    """Plays scripts: by upstream, by phase, else one for all."""

    clock: FakeClock
    scripts: dict[Any, Any] = field(factory=dict)
    calls: list[Any] = field(factory=list)
    answers: list[Any] = field(factory=list)
    dropped: list[Any] = field(factory=list)
    silent: set[str] = field(factory=set)

    def open(self, upstream, call, cancellation, now_seconds, wait_seconds):
        self.calls.append((upstream.upstream_id, call))
        script = self._script(upstream, call)
        if script.during is not None:
            script.during(cancellation)
        self.clock.seconds += min(script.takes_seconds, wait_seconds)
        if script.error is not None:
            raise script.error
        if script.takes_seconds > wait_seconds:
            raise AnswerMissing("timed out")
        head = AnswerHead(
            script.status,
            (("X-From", upstream.upstream_id),),
            call.request.request_id,
            script.not_executed,
            script.is_signed,
        )
        answer = FakeAnswer(head, list(script.pieces))
        self.answers.append(answer)
        return answer

    def _script(self, upstream, call):
        script = self.scripts.get(upstream.upstream_id)
        if isinstance(script, list):
            script = script.pop(0) if script else None
        if script is None and isinstance(call.phase, ReadPrompt):
            script = Script(pieces=(b"handle",))
        return script or Script()

    def read_handle(self, answer, timeout_seconds):
        return answer.read_all(timeout_seconds).decode()

    def held_parts(self, upstream):
        if upstream.upstream_id in self.silent:
            raise LOST
        return (PromptPart(f"held-{upstream.upstream_id}", 1_000),)

    def drop_handle(self, upstream, handle):
        self.dropped.append((upstream.upstream_id, handle))


@define
class RecordingResponder:
    """What a caller got."""

    status: int | None = None
    headers: tuple[Any, ...] = ()
    body: bytes = b""
    is_whole: bool = False
    is_aborted: bool = False
    breaks_after: int | None = None

    def respond(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body
        self.is_whole = True

    def begin(self, status, headers):
        self.status, self.headers = status, headers

    def write(self, piece):
        if self.breaks_after is not None and len(self.body) >= self.breaks_after:
            raise CallerDisconnected("gone")
        self.body += piece

    def end(self):
        self.is_whole = True

    def abort(self):
        self.is_aborted = True

    def header(self, name):
        return dict(self.headers).get(name)


def upstream(name, service="shop", role=None, port=80):
    return Upstream(
        UpstreamId(name),
        1,
        service,
        Address("10.0.0.1", port),
        ZONE,
        RegisteredState.READY,
        6,
        role=role,
    )


class World:
    """One process of the gateway without its servers."""

    def __init__(self, slack=54.0):
        self.clock = FakeClock()
        self.transport = FakeTransport(self.clock)
        self.directory = UpstreamDirectory()
        self.loads = LoadTracker()
        self.prefixes = PrefixIndex()
        self.usage = UsageCounts(5.0)
        self.telemetry = Telemetry()
        self.quotas = QuotaTracker("own", 0.0, True, self.clock.seconds)
        self.quotas.set_recorded_peers(frozenset())
        budget = RetryBudget(0.2, slack, 10.0)
        budget.set_instances(1)
        self.table = CurrentTable()
        tools = RelayTools(
            self.clock,
            ZONE,
            self.directory,
            self.loads,
            self.prefixes,
            SlowdownTracker(),
            PlacementLog(),
            budget,
            self.transport,
            self.usage,
            self.telemetry,
        )
        self.handler = RequestHandler(tools, self.table, self.quotas, CallerWatcher())
        self.version = 0
        self.route = Route(
            "r",
            "a.example",
            "/",
            RequestKind.IDEMPOTENT,
            1.0,
            0.1,
            0,
            (WeightedService("shop", 1.0),),
            2,
        )

    def publish(self, customers=(ALICE,), **route_changes):
        self.version += 1
        self.route = evolve(self.route, **route_changes)
        self.table.publish(
            GatewayConfiguration(
                self.version,
                (self.route,),
                {"llm": LLM, "shop": SHOP},
                tuple(customers),
            )
        )

    def publish_stream(self, is_resumable=True, max_attempts=2):
        self.publish(
            kind=RequestKind.STREAMING,
            targets=(WeightedService("llm", 1.0),),
            is_resumable=is_resumable,
            max_attempts=max_attempts,
            timeout_seconds=6.0,
            target_seconds=0.6,
        )

    def add(self, *upstreams):
        for one in upstreams:
            self.directory.put(one)

    def add_engines(self, prefill=1, decode=2):
        for index in range(prefill):
            self.add(upstream(f"p{index}", "llm", EngineRole.PREFILL, port=100 + index))
        for index in range(decode):
            self.add(upstream(f"d{index}", "llm", EngineRole.DECODE, port=200 + index))

    def ask(self, responder=None, **changes):
        responder = responder or RecordingResponder()
        request = GatewayRequest(
            request_id=changes.pop("request_id", "r-1"),
            method="POST",
            target="/x?y",
            path=changes.pop("path", "/x"),
            host="a.example",
            headers=(),
            body=b"body",
            arrived_seconds=self.clock.seconds,
            key=changes.pop("key", "key-a"),
            **changes,
        )
        self.handler.handle(request, responder)
        return responder

    def called(self):
        return [name for name, _ in self.transport.calls]


def caller_leaves(cancellation):
    cancellation.cancel(CancelReason.CALLER_GONE)


LOST = AnswerMissing("reset")
UNSENT = NotSent("refused")
