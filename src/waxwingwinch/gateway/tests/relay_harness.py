"""A request handler with scripted upstreams and a recording caller."""

from collections.abc import Callable
from copy import copy
from typing import Any

from attrs import define, evolve, field

from waxwingwinch._types import (
    Address,
    CustomerId,
    EngineRole,
    InstanceId,
    RegionName,
    UpstreamId,
    ZoneName,
)
from waxwingwinch.gateway._caller_watcher import CallerWatcher
from waxwingwinch.gateway._connections import CallDropped, CancelReason
from waxwingwinch.gateway._crash_evidence import CrashEvidence
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._handler import RequestHandler
from waxwingwinch.gateway._job import RelayContext
from waxwingwinch.gateway._limit_keeper import LimitKeeper
from waxwingwinch.gateway._loads import LoadTracker
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._memory_account import MemoryAccount
from waxwingwinch.gateway._model import (
    CustomerRules,
    EngineTraits,
    GatewayConfiguration,
    RequestKind,
    Route,
    ServiceRules,
    WeightedService,
)
from waxwingwinch.gateway._named_limits import LIMIT_WINDOW_SECONDS, NamedLimits
from waxwingwinch.gateway._outcomes import CallerDisconnected
from waxwingwinch.gateway._permits import PermitBroker
from waxwingwinch.gateway._placement_log import PlacementLog
from waxwingwinch.gateway._prefixes import PrefixIndex
from waxwingwinch.gateway._quota import QuotaTracker
from waxwingwinch.gateway._requests import (
    GatewayRequest,
    Prompt,
    PromptPart,
    ResponseHead,
)
from waxwingwinch.gateway._retry_budget import RetryBudget
from waxwingwinch.gateway._returns import ReturnSchedule
from waxwingwinch.gateway._statements import (
    OnStatements,
    StatementObserver,
    UpstreamStatements,
    ignore_statements,
)
from waxwingwinch.gateway._telemetry import Telemetry
from waxwingwinch.gateway._transport import PrefillOnly
from waxwingwinch.gateway._upstream_calls import MISDIRECTED_STATUS
from waxwingwinch.gateway._upstreams import (
    RegisteredState,
    Upstream,
    UpstreamDirectory,
)
from waxwingwinch.gateway._usage_counts import UsageCounts
from waxwingwinch.gateway.capacity import CapacityTracker
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.http import AnswerMissing, NotSent

ZONE = ZoneName("north")
LOCAL_MEMBER = Member(
    InstanceId("own"), "own-1", ZONE, Address("10.0.0.9", 1), Address("10.0.0.9", 2)
)
ALICE = CustomerRules(CustomerId("alice"), frozenset({"key-a"}))
LLM = ServiceRules("llm", EngineTraits(64, 500_000, 3.0))
SHOP = ServiceRules("shop")
SIGNED = (("X-Stamp", "s"),)
PROMPT = Prompt("m", 17_000, 20, (PromptPart("book", 13_000), PromptPart("own", 4_000)))
SHORT_PROMPT = Prompt("m", 300, 20, (PromptPart("ask", 200), PromptPart("own", 100)))


@define
class ScriptedResponse:
    """
    How an upstream responds to a call.

    :param status: HTTP status of the response.
    :param pieces: Parts of the body; an exception among them is raised.
    :param error: Raised instead of a response.
    :param not_executed: True if the upstream states that it did not execute
        the request.
    :param is_signed: True if the upstream signs the response.
    :param limit_per_second: The limit that the response names, if any.
    :param is_leaving: True if the response says that the upstream leaves.
    :param return_seconds: Time for which the response asks for no request.
    :param delay_seconds: Time until the head of the response.
    :param during: Called with the cancellation during the call.
    :param media_type: Media type of the response, if it states one.
    :param is_framed: False if the body ends with its connection.
    """

    status: int = 200
    pieces: tuple[Any, ...] = (b"whole",)
    error: Exception | None = None
    not_executed: bool = False
    is_signed: bool = True
    limit_per_second: float | None = None
    is_leaving: bool = False
    return_seconds: float | None = None
    delay_seconds: float = 0.0
    during: Callable[[Any], object] | None = None
    media_type: str | None = None
    is_framed: bool = True


@define
class Silence:
    """A part of a script: the upstream sends nothing for a while."""

    seconds: float


@define
class FakeResponse:
    head: ResponseHead
    pieces: list[Any]
    clock: FakeClock
    outcome: list[Any] = field(factory=list)

    def wait(self, timeout_seconds):
        if self.pieces and isinstance(self.pieces[0], Exception):
            raise self.pieces[0]
        if not self.pieces or not isinstance(self.pieces[0], Silence):
            return True
        silence = self.pieces[0]
        waited_seconds = min(silence.seconds, timeout_seconds)
        self.clock.seconds += waited_seconds
        silence.seconds -= waited_seconds
        if silence.seconds > 0:
            return False
        self.pieces.pop(0)
        return self.wait(0.0)

    def read_some(self, timeout_seconds):
        if not self.wait(timeout_seconds):
            raise AnswerMissing("timed out")
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
class FakeCall:
    transport: Any
    upstream: Any
    call: Any
    script: ScriptedResponse
    delay_seconds: float
    sent_seconds: float = 0.0
    is_aborted: bool = False

    def wait(self, timeout_seconds):
        waited_seconds = min(self.delay_seconds, timeout_seconds)
        self.transport.clock.seconds += waited_seconds
        self.delay_seconds -= waited_seconds
        if self.delay_seconds > 0:
            return False
        if self.script.error is not None:
            raise self.script.error
        return True

    def receive(self, timeout_seconds):
        if not self.wait(timeout_seconds):
            raise AnswerMissing("timed out")
        script = self.script
        headers = [("X-From", str(self.upstream.upstream_id))]
        if script.media_type is not None:
            headers.append(("Content-Type", script.media_type))
        head = ResponseHead(
            script.status,
            tuple(headers),
            self.call.request.request_id,
            script.not_executed,
            script.is_signed,
            script.is_framed,
        )
        if script.status != MISDIRECTED_STATUS:
            self.transport.on_statements(
                self.upstream,
                UpstreamStatements(
                    head.is_success,
                    script.limit_per_second,
                    script.is_leaving,
                    script.return_seconds,
                ),
                self.sent_seconds,
            )
        # A copy of an exception would lose its cause.
        pieces = [
            copy(piece) if isinstance(piece, Silence) else piece
            for piece in script.pieces
        ]
        response = FakeResponse(head, pieces, self.transport.clock)
        self.transport.responses.append(response)
        return response

    def wait_unless(self, silent):
        self.transport.wait_beside(silent, self.delay_seconds)

    def wait_beside(self, later, overlap_seconds):
        raise NotImplementedError("calls are raced by FakeTransport")

    def abort(self):
        self.is_aborted = True


@define
class FakeTransport:
    """
    Responds as scripted for the upstream; by default with success.

    Prefill calls without a script return a KV handle.
    """

    clock: FakeClock
    scripts: dict[Any, Any] = field(factory=dict)
    calls: list[Any] = field(factory=list)
    responses: list[Any] = field(factory=list)
    pending: list[Any] = field(factory=list)
    released_handles: list[Any] = field(factory=list)
    unresponsive: set[str] = field(factory=set)
    on_statements: OnStatements = ignore_statements

    def open(
        self, upstream, call, cancellation, now_seconds, wait_seconds, silent=None
    ):
        pending = self.send(upstream, call, cancellation, now_seconds, wait_seconds)
        if silent is not None:
            self.wait_beside(silent, pending.delay_seconds)
        return pending.receive(wait_seconds)

    def send(self, upstream, call, cancellation, now_seconds, wait_seconds):
        self.calls.append((upstream.upstream_id, call))
        script = self._script(upstream, call)
        if script.during is not None:
            script.during(cancellation)
        if isinstance(script.error, NotSent):
            raise script.error
        pending = FakeCall(
            self, upstream, call, script, script.delay_seconds, now_seconds
        )
        self.pending.append(pending)
        return pending

    def wait_beside(self, silent, delay_seconds):
        started_seconds = self.clock.seconds
        try:
            if silent.call.wait(min(delay_seconds, silent.overlap_seconds)):
                raise CallDropped("the earlier response goes on")
        except AnswerMissing:
            return
        if delay_seconds > silent.overlap_seconds:
            raise CallDropped("no response")
        self.clock.seconds = started_seconds

    def _script(self, upstream, call):
        script = self.scripts.get(upstream.upstream_id)
        if isinstance(script, list):
            script = script.pop(0) if script else None
        elif callable(script):
            script = script(upstream, call)
        if script is None and isinstance(call.phase, PrefillOnly):
            script = ScriptedResponse(pieces=(b"handle",))
        return script or ScriptedResponse()

    def read_handle(self, response, timeout_seconds):
        return response.read_all(timeout_seconds).decode()

    def cached_parts(self, upstream):
        if upstream.upstream_id in self.unresponsive:
            raise RESPONSE_LOST
        return (PromptPart(f"held-{upstream.upstream_id}", 1_000),)

    def release_handle(self, upstream, handle):
        self.released_handles.append((upstream.upstream_id, handle))


@define
class RecordingResponder:
    """Records the response that a caller receives."""

    status: int | None = None
    headers: tuple[Any, ...] = ()
    body: bytes = b""
    is_complete: bool = False
    is_aborted: bool = False
    breaks_after: int | None = None
    end_seconds: float = 0.0

    def write_until(self, end_seconds):
        self.end_seconds = end_seconds

    def respond(self, status, headers, body):
        assert self.status is None, "a response has one head"
        self.status, self.headers, self.body = status, headers, body
        self.is_complete = True

    def begin(self, status, headers, body_bytes=None):
        assert self.status is None, "a response has one head"
        self.status, self.headers = status, headers

    def write(self, piece):
        if self.breaks_after is not None and len(self.body) >= self.breaks_after:
            raise CallerDisconnected("gone")
        self.body += piece

    def end(self):
        self.is_complete = True

    def abort(self):
        self.is_aborted = True

    def header(self, name):
        return dict(self.headers).get(name)


def upstream(name, service="shop", role=None, port=80, started_ms=1):
    return Upstream(
        UpstreamId(name),
        started_ms,
        service,
        Address("10.0.0.1", port),
        ZONE,
        RegisteredState.READY,
        6,
        role=role,
    )


class RelayHarness:
    """The request handling of a gateway process without its servers."""

    def __init__(self, retry_slack=54.0, instances=1, make_transport=FakeTransport):
        self.clock = FakeClock()
        self.transport = make_transport(self.clock)
        self.directory = UpstreamDirectory()
        self.loads = LoadTracker()
        self.prefixes = PrefixIndex()
        self.usage = UsageCounts(5.0)
        self.telemetry = Telemetry()
        self.limits = NamedLimits()
        self.crashes = CrashEvidence(InstanceId("own"))
        self.quotas = QuotaTracker("own", 0.0, True, self.clock.seconds)
        self.quotas.set_recorded_peers(frozenset())
        self.budget = RetryBudget(0.2, retry_slack, 10.0)
        self.budget.set_instances(instances)
        self.table = CurrentTable()
        self.members = MemberDirectory(LOCAL_MEMBER)
        started_seconds = self.clock.seconds - LIMIT_WINDOW_SECONDS
        self.keeper = LimitKeeper(self.limits, self.quotas.share, started_seconds)
        for second in range(int(LIMIT_WINDOW_SECONDS) + 1):
            self.keeper.mark_active(started_seconds + second)
        self.permits = PermitBroker(
            self.limits,
            self.keeper,
            self.members,
            self.telemetry,
            lambda: True,
            self.clock,
        )
        observer = StatementObserver(
            self.directory, self.limits, self.telemetry, self.clock
        )
        self.transport.on_statements = observer.observe
        self.memory = MemoryAccount(10**9)
        self.zone_regions: dict[ZoneName, RegionName] = {}
        self.context = context = RelayContext(
            self.clock,
            ZONE,
            self.directory,
            self.loads,
            self.prefixes,
            CapacityTracker(),
            PlacementLog(),
            self.budget,
            self.limits,
            self.permits,
            self.transport,
            self.usage,
            self.telemetry,
            ReturnSchedule(self.directory, self.members),
            self.crashes,
            self.memory,
            self.zone_regions,
        )
        self.handler = RequestHandler(context, self.table, self.quotas, CallerWatcher())
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
        for item in upstreams:
            self.directory.put(item)

    def add_engines(self, prefill=1, decode=2):
        for index in range(prefill):
            self.add(upstream(f"p{index}", "llm", EngineRole.PREFILL, port=100 + index))
        for index in range(decode):
            self.add(upstream(f"d{index}", "llm", EngineRole.DECODE, port=200 + index))

    def send(self, responder=None, **changes):
        responder = responder or RecordingResponder()
        request = GatewayRequest(
            request_id=changes.pop("request_id", "r-1"),
            method="POST",
            target="/x?y",
            path=changes.pop("path", "/x"),
            host="a.example",
            headers=(),
            body=changes.pop("body", b"body"),
            arrived_seconds=self.clock.seconds,
            key=changes.pop("key", "key-a"),
            **changes,
        )
        self.handler.handle(request, responder)
        return responder

    def wait(self, seconds):
        """Let time pass while the process keeps reporting."""
        end_seconds = self.clock.seconds + seconds
        while self.clock.seconds < end_seconds:
            self.clock.seconds = min(self.clock.seconds + 0.2, end_seconds)
            self.keeper.mark_active(self.clock.seconds)
            sends = self.limits.send_reports(self.clock.seconds)
            own = LOCAL_MEMBER
            self.keeper.record_sends(
                own.instance_id, own.incarnation, sends, self.clock.seconds
            )

    def called_upstreams(self):
        return [name for name, _ in self.transport.calls]


def disconnect_caller(cancellation):
    cancellation.cancel(CancelReason.CALLER_GONE)


RESPONSE_LOST = AnswerMissing("reset")
CONNECT_FAILED = NotSent("refused")
