"""Relaying a generation: streaming, resuming, ending."""

from attrs import define, field

from waxwingwinch.gateway._connections import Cancelled
from waxwingwinch.gateway._engine_choice import EngineChooser
from waxwingwinch.gateway._events import EventSplitter, EventTooLong
from waxwingwinch.gateway._job import Job, Progress, RelayTools, raise_if_caller_left
from waxwingwinch.gateway._loads import WorkTicket
from waxwingwinch.gateway._outcomes import (
    CallerLost,
    Responder,
)
from waxwingwinch.gateway._placement import (
    Placement,
    RunDirectly,
    RunSplit,
)
from waxwingwinch.gateway._plain_relay import (
    give_up,
    may_try,
    note_failure,
    note_rejection,
)
from waxwingwinch.gateway._prompt_reader import (
    PromptNotRead,
    PromptReader,
    WaitingCache,
)
from waxwingwinch.gateway._request_lines import (
    FirstEvent,
    StreamBrokenOff,
)
from waxwingwinch.gateway._requests import AnswerHead, Prompt
from waxwingwinch.gateway._telemetry import CounterName
from waxwingwinch.gateway._transport import (
    Run,
    RunFromCache,
    UpstreamAnswer,
)
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.http import AnswerMissing, NotSent

#: Silence within a stream after which it goes on elsewhere if its kind
#: allows; callers give up after twice that.
STALL_SECONDS = 1.0


class _Interrupted(Exception):
    """The stream broke; it may go on elsewhere if its kind allows."""


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
        self._engines = EngineChooser(tools)
        self._reader = PromptReader(tools)

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
            placement = self._engines.choose(job, prompt, stream.progress, now_seconds)
            if placement is None:
                self._end_unserved(stream, now_seconds)
                return
            stream.expected_seconds = placement.expected_seconds
            stream.placement = type(placement).__name__
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

    def _run(self, stream: _Stream, prompt: Prompt, placement: Placement) -> bool:
        """Send the request as placed; return whether it was answered."""
        match placement:
            case RunDirectly(engine_id, read_tokens):
                engine = self._tools.directory.ready(engine_id)
                cache = None
                if engine is not None:
                    self._engines.note_prompt(
                        stream.job, prompt, engine_id, read_tokens
                    )
            case RunSplit(decode_id=decode_id):
                cache = self._read_prompt(stream, prompt, placement)
                if cache is None:
                    return False
                read_tokens = 0
                engine = self._engines.decoder(
                    stream.job, prompt, stream.progress, decode_id
                )
                if engine is None:
                    self._reader.drop(cache)
                else:
                    self._engines.note_prefix(stream.job, prompt, engine.upstream_id)
        if engine is None:
            return False
        ticket = self._tools.loads.begin(engine.upstream_id, read_tokens)
        try:
            return self._generate(stream, engine, cache, ticket)
        finally:
            ticket.end()

    def _read_prompt(
        self, stream: _Stream, prompt: Prompt, placement: RunSplit
    ) -> WaitingCache | None:
        """Have the prompt read; return None if another engine has to."""
        reader = self._tools.directory.ready(placement.prefill_id)
        if reader is None:
            return None
        self._engines.note_prompt(
            stream.job, prompt, reader.upstream_id, placement.read_tokens
        )
        match self._reader.read(stream.job, stream.progress, reader, placement):
            case WaitingCache() as cache:
                return cache
            case PromptNotRead(progress):
                stream.progress = progress
                return None

    def _generate(
        self,
        stream: _Stream,
        engine: Upstream,
        cache: WaitingCache | None,
        ticket: WorkTicket,
    ) -> bool:
        job = stream.job
        phase = (
            Run() if cache is None else RunFromCache(cache.engine.address, cache.handle)
        )
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
            if cache is not None:
                self._reader.drop(cache)
            stream.progress = stream.progress.not_sent(engine.upstream_id)
            return False
        except (AnswerMissing, Cancelled) as error:
            raise_if_caller_left(job, error)
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
            raise_if_caller_left(job, error)
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
            raise_if_caller_left(stream.job, error)

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
                self._tools.usage.record_start(
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
            self._tools.telemetry.record_answer(
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
