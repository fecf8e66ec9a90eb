"""Relaying a generation: placement, prompt reading, streaming, resuming."""

from attrs import define, field, frozen

from waxwingwinch._types import EngineRole, UpstreamId
from waxwingwinch.adapters import AnswerMissing, NotSent
from waxwingwinch.gateway._admission import Admit, Refuse, admit_generation
from waxwingwinch.gateway._connections import Cancelled
from waxwingwinch.gateway._events import EventSplitter, EventTooLong
from waxwingwinch.gateway._job import Job, Progress, RelayTools
from waxwingwinch.gateway._loads import NO_LOAD, WorkTicket
from waxwingwinch.gateway._outcomes import (
    CallerLost,
    RefusalReason,
    RequestEnded,
    Responder,
)
from waxwingwinch.gateway._placement import (
    FIRST_EVENT_SECONDS,
    EngineOption,
    Placement,
    PromptSize,
    RunDirectly,
    RunSplit,
    place_prompt,
    work_seconds,
)
from waxwingwinch.gateway._plain_relay import (
    give_up,
    may_try,
    note_failure,
    note_rejection,
)
from waxwingwinch.gateway._request_lines import (
    AdmissionRefused,
    FirstEvent,
    PromptRead,
    RequestPlaced,
    StreamBrokenOff,
)
from waxwingwinch.gateway._requests import AnswerHead, Prompt
from waxwingwinch.gateway._telemetry import CounterName
from waxwingwinch.gateway._transport import (
    Phase,
    ReadPrompt,
    Run,
    RunFromCache,
    UpstreamAnswer,
)
from waxwingwinch.gateway._upstreams import Upstream

#: How long a prompt may take to be read, relative to the estimate.
READ_PATIENCE_RATIO = 3.0
#: What is added to it; several times the time of one reading step.
READ_PATIENCE_SECONDS = 0.5


#: Silence within a stream after which it goes on elsewhere if its kind
#: allows; callers give up after twice that.
STALL_SECONDS = 1.0


class _Interrupted(Exception):
    """The stream broke; it may go on elsewhere if its kind allows."""


@frozen
class _Handle:
    """
    A KV cache that waits to be fetched.

    :param engine: The engine that read the prompt.
    :param name: Names it there.
    """

    engine: Upstream
    name: str


@define(eq=False)
class _Stream:
    """
    One answer while it is relayed.

    :param job: The request.
    :param responder: Writes the answer.
    :param progress: What was tried.
    :param splitter: Cuts the stream into events.
    :param has_begun: True once the caller got the head of the answer.
    :param expected_seconds: Estimated time to the first event.
    :param placement: How the request was placed last.
    """

    job: Job
    responder: Responder
    progress: Progress = field(factory=Progress)
    splitter: EventSplitter = field(factory=EventSplitter)
    has_begun: bool = False
    expected_seconds: float = 0.0
    placement: str = ""


class GenerationRelay:
    """
    Relays requests that ask an engine for a generation.

    :param tools: What the relays of the process share.
    """

    def __init__(self, tools: RelayTools) -> None:
        self._tools = tools

    def serve(self, job: Job, prompt: Prompt, responder: Responder) -> None:
        """
        Get an answer and write it as it comes.

        :param job: The request.
        :param prompt: What it announces.
        :param responder: Writes the answer.
        :raises RequestEnded: If there is none to pass on.
        :raises CallerLost: If the caller has gone.
        """
        stream = _Stream(job, responder)
        while True:
            now_seconds = self._tools.clock.now_seconds()
            placement = self._place(stream, prompt, now_seconds)
            if placement is None:
                self._end_unserved(stream, now_seconds)
                return
            if self._run(stream, prompt, placement):
                return

    def _end_unserved(self, stream: _Stream, now_seconds: float) -> None:
        if not stream.has_begun:
            raise give_up(stream.job, stream.progress, now_seconds)
        StreamBrokenOff(
            request_id=stream.job.request.request_id,
            sends=stream.progress.sends,
            events=stream.splitter.events,
        ).write()
        stream.responder.abort()

    def _place(
        self, stream: _Stream, prompt: Prompt, now_seconds: float
    ) -> Placement | None:
        job, progress = stream.job, stream.progress
        if not may_try(job, progress, now_seconds):
            return None
        options = self._options(job, prompt, progress, now_seconds)
        placement = place_prompt(_size(job, prompt), options, self._tools.zone)
        if placement is None:
            return None
        if progress.is_repeat:
            budget = self._tools.budget
            if not budget.spend(job.service.name, now_seconds):
                return None
            self._tools.telemetry.count(CounterName.REPEATS, job.service.name)
        elif not progress.connect_failures:
            self._admit(job, placement, len(options), now_seconds)
        stream.expected_seconds = placement.expected_seconds
        stream.placement = type(placement).__name__
        self._tools.telemetry.count(CounterName.PLACEMENTS, stream.placement)
        RequestPlaced(
            request_id=job.request.request_id,
            route=job.route.name,
            entries_age_seconds=self._tools.directory.age_seconds(now_seconds),
            prompt_tokens=prompt.input_tokens,
            placement=repr(placement),
            engines=len(options),
        ).write()
        return placement

    def _admit(
        self, job: Job, placement: Placement, engines: int, now_seconds: float
    ) -> None:
        left_seconds = job.end_seconds - now_seconds
        decision = admit_generation(
            placement.expected_seconds,
            placement.own_seconds,
            job.route.target_seconds,
            left_seconds,
        )
        match decision:
            case Admit():
                return
            case Refuse(retry_after_seconds):
                AdmissionRefused(
                    request_id=job.request.request_id,
                    route=job.route.name,
                    expected_seconds=placement.expected_seconds,
                    own_seconds=placement.own_seconds,
                    target_seconds=job.route.target_seconds,
                    left_seconds=left_seconds,
                    engines=engines,
                ).write()
                raise RequestEnded(503, RefusalReason.OVERLOADED, retry_after_seconds)

    def _options(
        self, job: Job, prompt: Prompt, progress: Progress, now_seconds: float
    ) -> list[EngineOption]:
        totals = self._tools.loads.totals(now_seconds)
        return [
            EngineOption(
                upstream.upstream_id,
                upstream.role or EngineRole.MIXED,
                upstream.zone,
                totals.get(upstream.upstream_id, NO_LOAD),
                self._tools.prefixes.cached_tokens(upstream.upstream_id, prompt.parts),
                self._tools.paces.pace(upstream.upstream_id),
            )
            for upstream in self._tools.directory.usable(
                job.service.name, now_seconds, progress.excluded
            )
        ]

    def _run(self, stream: _Stream, prompt: Prompt, placement: Placement) -> bool:
        """Send the request as placed; return whether it was answered."""
        match placement:
            case RunDirectly(engine_id, read_tokens):
                engine = self._tools.directory.ready(engine_id)
                phase: Phase = Run()
                self._count_prompt(engine_id, prompt, read_tokens)
            case RunSplit(prefill_id, decode_id, read_tokens, expected_seconds):
                reader = self._tools.directory.ready(prefill_id)
                if reader is None:
                    return False
                self._count_prompt(prefill_id, prompt, read_tokens)
                handle = self._read_prompt(
                    stream, prompt, reader, read_tokens, expected_seconds
                )
                if handle is None:
                    return False
                phase = RunFromCache(handle.engine.address, handle.name)
                read_tokens = 0
                engine = self._decoder(stream, prompt, decode_id)
        if engine is None:
            self._drop_handle(phase, stream.job)
            return False
        ticket = self._tools.loads.begin(engine.upstream_id, read_tokens)
        self._note_prefix(engine, prompt, stream.job)
        try:
            return self._generate(stream, engine, phase, ticket)
        finally:
            ticket.end()

    def _count_prompt(
        self, engine_id: UpstreamId, prompt: Prompt, read_tokens: int
    ) -> None:
        cached_tokens = max(prompt.input_tokens - read_tokens, 0)
        self._tools.telemetry.prompt_given(engine_id, read_tokens, cached_tokens)

    def _decoder(
        self, stream: _Stream, prompt: Prompt, decode_id: UpstreamId
    ) -> Upstream | None:
        """Return the chosen engine, or another if it has left meanwhile."""
        chosen = self._tools.directory.ready(decode_id)
        if chosen is not None:
            return chosen
        now_seconds = self._tools.clock.now_seconds()
        options = self._options(stream.job, prompt, stream.progress, now_seconds)
        decoders = [one for one in options if one.role is not EngineRole.PREFILL]
        size = _size(stream.job, prompt)
        placement = place_prompt(size, decoders, self._tools.zone)
        if not isinstance(placement, RunDirectly):
            return None
        return self._tools.directory.ready(placement.upstream_id)

    def _note_prefix(self, engine: Upstream, prompt: Prompt, job: Job) -> None:
        traits = job.service.engine
        if traits is not None:
            shared = prompt.parts[:-1] or prompt.parts
            self._tools.prefixes.used(
                engine.upstream_id, shared, traits.kv_capacity_tokens
            )
            self._tools.placements.add(engine.upstream_id, shared)

    def _read_prompt(
        self,
        stream: _Stream,
        prompt: Prompt,
        reader: Upstream,
        read_tokens: int,
        expected_seconds: float,
    ) -> _Handle | None:
        """Have the prompt read; return None if another engine has to."""
        job = stream.job
        now_seconds = self._tools.clock.now_seconds()
        wait_seconds = min(
            job.end_seconds - now_seconds,
            expected_seconds * READ_PATIENCE_RATIO + READ_PATIENCE_SECONDS,
        )
        totals = self._tools.loads.totals(now_seconds)
        queue_tokens = totals.get(reader.upstream_id, NO_LOAD).waiting_tokens
        ticket = self._tools.loads.begin(reader.upstream_id, read_tokens)
        self._note_prefix(reader, prompt, job)
        try:
            answer = self._tools.transport.open(
                reader,
                job.call(ReadPrompt()),
                job.cancellation,
                now_seconds,
                wait_seconds,
            )
            if answer.head.not_executed:
                answer.read_all(wait_seconds)
                answer.finish()
                note_rejection(self._tools, job, reader, answer.head)
                stream.progress = stream.progress.not_read(reader.upstream_id)
                return None
            name = self._tools.transport.read_handle(answer, wait_seconds)
            self._tools.directory.succeeded(reader.upstream_id)
            took_seconds = self._tools.clock.now_seconds() - now_seconds
            self._tools.paces.observe(
                reader.upstream_id,
                work_seconds(read_tokens + queue_tokens),
                took_seconds - FIRST_EVENT_SECONDS,
            )
            PromptRead(
                request_id=job.request.request_id,
                upstream_id=reader.upstream_id,
                read_work=read_tokens,
                waiting_work=queue_tokens,
                took_seconds=took_seconds,
                pace=self._tools.paces.pace(reader.upstream_id),
            ).write()
            return _Handle(reader, name)
        except NotSent as error:
            note_failure(self._tools, job, reader, error)
            stream.progress = stream.progress.not_sent(reader.upstream_id)
            return None
        except (AnswerMissing, Cancelled) as error:
            self._raise_if_cancelled(job, error)
            note_failure(self._tools, job, reader, error)
            stream.progress = stream.progress.not_read(reader.upstream_id)
            return None
        finally:
            ticket.end()

    def _generate(
        self, stream: _Stream, engine: Upstream, phase: Phase, ticket: WorkTicket
    ) -> bool:
        job = stream.job
        now_seconds = self._tools.clock.now_seconds()
        try:
            answer = self._tools.transport.open(
                engine,
                job.call(phase, stream.splitter.last_event_id),
                job.cancellation,
                now_seconds,
                job.end_seconds - now_seconds,
            )
        except NotSent as error:
            note_failure(self._tools, job, engine, error)
            self._drop_handle(phase, job)
            stream.progress = stream.progress.not_sent(engine.upstream_id)
            return False
        except (AnswerMissing, Cancelled) as error:
            self._raise_if_cancelled(job, error)
            note_failure(self._tools, job, engine, error)
            stream.progress = stream.progress.ran(engine.upstream_id)
            return False
        if answer.head.not_executed:
            self._finish_rejected(stream, engine, answer)
            return False
        stream.progress = stream.progress.ran(engine.upstream_id)
        try:
            return self._relay(stream, answer, ticket)
        except _Interrupted as error:
            answer.abort()
            self._raise_if_cancelled(job, error)
            note_failure(self._tools, job, engine, error)
            stream.splitter.drop_partial_event()
            return False
        except CallerLost:
            answer.abort()
            raise

    def _finish_rejected(
        self, stream: _Stream, engine: Upstream, answer: UpstreamAnswer
    ) -> None:
        note_rejection(self._tools, stream.job, engine, answer.head)
        stream.progress = stream.progress.rejected(engine.upstream_id)
        try:
            now_seconds = self._tools.clock.now_seconds()
            answer.read_all(stream.job.end_seconds - now_seconds)
            answer.finish()
        except AnswerMissing as error:
            answer.abort()
            self._raise_if_cancelled(stream.job, error)

    def _relay(
        self, stream: _Stream, answer: UpstreamAnswer, ticket: WorkTicket
    ) -> bool:
        """Pass an answer on; return whether it was passed on whole."""
        head = answer.head
        if stream.has_begun and not head.is_success:
            raise _Interrupted(f"resuming was answered with status {head.status}")
        if not head.is_success:
            return self._relay_failure(stream, answer)
        if not head.is_signed:
            raise _Interrupted("the upstream did not sign a success")
        is_first = True
        while piece := self._read(stream, answer):
            events = self._split(stream, piece)
            if not events:
                continue
            if is_first:
                is_first = False
                ticket.prompt_read()
                self._tools.usage.began(
                    stream.job.customer_id, self._tools.clock.wall_seconds()
                )
                self._log_first_event(stream)
            self._begin(stream, head)
            stream.responder.write(events)
        if stream.splitter.has_partial_event:
            raise _Interrupted("the stream ended inside an event")
        self._begin(stream, head)
        stream.responder.end()
        answer.finish()
        return True

    def _log_first_event(self, stream: _Stream) -> None:
        arrived_seconds = stream.job.request.arrived_seconds
        if stream.progress.sends > 1 and stream.splitter.events > 1:
            self._tools.telemetry.count(
                CounterName.RESUMED_STREAMS, stream.job.route.name
            )
        else:
            self._tools.telemetry.answered(
                stream.job.customer_id,
                stream.job.route.name,
                self._tools.clock.now_seconds() - arrived_seconds,
                stream.job.route.target_seconds,
            )
        FirstEvent(
            request_id=stream.job.request.request_id,
            route=stream.job.route.name,
            sends=stream.progress.sends,
            took_seconds=self._tools.clock.now_seconds() - arrived_seconds,
            expected_seconds=stream.expected_seconds,
            placement=stream.placement,
        ).write()

    def _relay_failure(self, stream: _Stream, answer: UpstreamAnswer) -> bool:
        job = stream.job
        try:
            now_seconds = self._tools.clock.now_seconds()
            body = answer.read_all(job.end_seconds - now_seconds)
        except AnswerMissing as error:
            raise _Interrupted(str(error)) from error
        answer.finish()
        if may_try(job, stream.progress, self._tools.clock.now_seconds()):
            return False
        stream.responder.respond(answer.head.status, answer.head.headers, body)
        return True

    def _begin(self, stream: _Stream, head: AnswerHead) -> None:
        if not stream.has_begun:
            stream.has_begun = True
            stream.responder.begin(head.status, head.headers)

    def _read(self, stream: _Stream, answer: UpstreamAnswer) -> bytes:
        job = stream.job
        left_seconds = job.end_seconds - self._tools.clock.now_seconds()
        may_resume = job.route.is_repeatable and stream.has_begun
        if may_resume and stream.progress.sends < job.route.max_attempts:
            left_seconds = min(left_seconds, STALL_SECONDS)
        try:
            return answer.read_some(left_seconds)
        except AnswerMissing as error:
            raise _Interrupted(str(error)) from error

    def _split(self, stream: _Stream, piece: bytes) -> bytes:
        try:
            return stream.splitter.feed(piece)
        except EventTooLong as error:
            raise _Interrupted(str(error)) from error

    def _drop_handle(self, phase: Phase, job: Job) -> None:
        if not isinstance(phase, RunFromCache):
            return
        for upstream in self._tools.directory.all():
            if upstream.address == phase.source:
                self._tools.transport.drop_handle(upstream, phase.handle)
                return

    @staticmethod
    def _raise_if_cancelled(job: Job, error: Exception) -> None:
        if job.cancellation.reason is not None:
            raise CallerLost(str(error)) from error


def _size(job: Job, prompt: Prompt) -> PromptSize:
    return PromptSize(prompt.input_tokens, prompt.shared_id, job.route.target_seconds)
