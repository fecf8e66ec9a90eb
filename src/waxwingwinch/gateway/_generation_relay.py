"""Relaying the streamed response of a generation, and resuming it."""

from attrs import define, field

from waxwingwinch.gateway._connections import Cancelled
from waxwingwinch.gateway._crash_evidence import PartBlock
from waxwingwinch.gateway._engine_choice import EngineChooser
from waxwingwinch.gateway._event_stream import EventSplitter, EventTooLarge
from waxwingwinch.gateway._generation_attempts import (
    AttemptObserver,
    GenerationAttempt,
    shared_part_ids,
)
from waxwingwinch.gateway._job import (
    Job,
    Progress,
    RelayContext,
    raise_if_caller_disconnected,
)
from waxwingwinch.gateway._loads import TrackedRequest
from waxwingwinch.gateway._outcomes import (
    CallerDisconnected,
    RefusalReason,
    RequestEnded,
    Responder,
)
from waxwingwinch.gateway._permits import AttemptPermits, NoPermit
from waxwingwinch.gateway._placement import (
    Placement,
    RunDirectly,
    RunSplit,
)
from waxwingwinch.gateway._plain_relay import (
    final_refusal,
    may_attempt,
    record_failure,
    record_rejection,
)
from waxwingwinch.gateway._prefill import (
    PrefilledCache,
    PrefillFailed,
    PrefillRelay,
)
from waxwingwinch.gateway._request_log_lines import (
    FirstEvent,
    StreamAborted,
)
from waxwingwinch.gateway._requests import Prompt, ResponseHead
from waxwingwinch.gateway._telemetry import CounterName
from waxwingwinch.gateway._transport import (
    DecodeFromCache,
    FullExecution,
    UpstreamResponse,
)
from waxwingwinch.gateway._upstream_calls import open_call
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.http import AnswerMissing, NotSent

#: Time without data after which a stream is resumed at another engine, if its
#: route allows it; callers time out after twice that.
STALL_TIMEOUT_SECONDS = 1.0


class _Interrupted(Exception):
    """The stream broke; another engine may resume it if the route allows."""


@define(eq=False)
class _Stream:
    """
    State of a response while it is relayed.

    :param job: The request.
    :param responder: Writes the response to the caller.
    :param progress: The attempts so far.
    :param splitter: Splits the stream into events.
    :param has_begun: True once the response head was sent to the caller.
    :param expected_seconds: Estimated time to the first event.
    :param placement_name: Class name of the last placement, for the log.
    """

    job: Job
    responder: Responder
    progress: Progress = field(factory=Progress)
    splitter: EventSplitter = field(factory=EventSplitter)
    has_begun: bool = False
    expected_seconds: float = 0.0
    placement_name: str = ""


class GenerationRelay:
    """
    Relays requests that ask an engine for a generation.

    :param context: Dependencies shared by the relays of the process.
    """

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self._engine_chooser = EngineChooser(context)
        self._prefill_relay = PrefillRelay(context)
        self._attempts = AttemptObserver(context)

    def serve(self, job: Job, prompt: Prompt, responder: Responder) -> None:
        """
        Relay a request and stream its response to the caller.

        :param job: The request.
        :param prompt: Its prompt.
        :param responder: Writes the response.
        :raises RequestEnded: If there is no response to forward.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        stream = _Stream(job, responder)
        while True:
            now_seconds = self._context.clock.now_seconds()
            block = self._attempts.block(job, stream.progress.sends, now_seconds)
            if block is not None:
                self._end_blocked(stream, block, now_seconds)
                return
            permits = AttemptPermits(self._context.permits, job.request.request_id)
            placement = self._engine_chooser.choose(
                job, prompt, stream.progress, permits, now_seconds
            )
            if placement is None or isinstance(placement, NoPermit):
                self._end_without_engine(stream, now_seconds, placement)
                return
            stream.expected_seconds = placement.expected_seconds
            stream.placement_name = type(placement).__name__
            if self._run(stream, prompt, placement, permits):
                return

    def _end_blocked(
        self, stream: _Stream, block: PartBlock, now_seconds: float
    ) -> None:
        """End a request with a part that crashes engines."""
        if stream.has_begun or stream.progress.may_have_run:
            self._end_without_engine(stream, now_seconds, None)
            return
        raise RequestEnded(
            503, RefusalReason.CRASHES_ENGINES, block.until_seconds - now_seconds
        )

    def _end_without_engine(
        self, stream: _Stream, now_seconds: float, no_permit: NoPermit | None
    ) -> None:
        if not stream.has_begun:
            raise final_refusal(stream.job, stream.progress, now_seconds, no_permit)
        StreamAborted(
            request_id=stream.job.request.request_id,
            sends=stream.progress.sends,
            events=stream.splitter.event_count,
        ).write()
        stream.responder.abort()

    def _run(
        self,
        stream: _Stream,
        prompt: Prompt,
        placement: Placement,
        permits: AttemptPermits,
    ) -> bool:
        """Execute a placement; return whether a complete response was sent."""
        match placement:
            case RunDirectly(engine_id, work_tokens):
                engine = self._context.directory.ready(engine_id)
                cache = None
                if engine is not None:
                    self._engine_chooser.record_prompt(
                        stream.job, prompt, engine_id, work_tokens
                    )
            case RunSplit(decode_id=decode_id):
                cache = self._prefill(stream, prompt, placement)
                if cache is None:
                    return False
                work_tokens = 0
                engine = self._engine_chooser.decode_engine(
                    stream.job, prompt, stream.progress, permits, decode_id
                )
                if engine is None:
                    self._prefill_relay.release(cache)
                else:
                    self._engine_chooser.record_prefix(
                        stream.job, prompt, engine.upstream_id
                    )
        if engine is None:
            return False
        tracked_request = self._context.loads.begin(engine.upstream_id, work_tokens)
        try:
            return self._generate(stream, engine, cache, tracked_request)
        finally:
            tracked_request.end()

    def _prefill(
        self, stream: _Stream, prompt: Prompt, placement: RunSplit
    ) -> PrefilledCache | None:
        """Have the prompt prefilled; return None if no engine did."""
        prefill_engine = self._context.directory.ready(placement.prefill_id)
        if prefill_engine is None:
            return None
        self._engine_chooser.record_prompt(
            stream.job, prompt, prefill_engine.upstream_id, placement.read_tokens
        )
        match self._prefill_relay.prefill(
            stream.job, stream.progress, prefill_engine, placement
        ):
            case PrefilledCache() as cache:
                return cache
            case PrefillFailed(progress):
                stream.progress = progress
                return None

    def _generate(
        self,
        stream: _Stream,
        engine: Upstream,
        cache: PrefilledCache | None,
        tracked_request: TrackedRequest,
    ) -> bool:
        job = stream.job
        phase = (
            FullExecution()
            if cache is None
            else DecodeFromCache(cache.engine.address, cache.handle)
        )
        now_seconds = self._context.clock.now_seconds()
        if cache is not None and self._context.crashes.block(
            shared_part_ids(job), now_seconds
        ):
            # A part was blamed while the prompt was prefilled.
            self._prefill_relay.release(cache)
            return False
        attempt = self._attempts.begin(job, engine)
        try:
            response = open_call(
                self._context,
                job,
                engine,
                job.call(phase, stream.splitter.last_event_id),
                now_seconds,
                job.end_seconds - now_seconds,
            )
        except NotSent as error:
            record_failure(self._context, job, engine, error)
            if cache is not None:
                self._prefill_relay.release(cache)
            stream.progress = stream.progress.with_connect_failure(engine.upstream_id)
            return False
        except (AnswerMissing, Cancelled) as error:
            raise_if_caller_disconnected(job, error)
            record_failure(self._context, job, engine, error)
            self._attempts.failed(attempt, error)
            stream.progress = stream.progress.with_possible_execution(
                engine.upstream_id
            )
            return False
        if response.head.not_executed:
            self._finish_rejected(stream, engine, response)
            return False
        stream.progress = stream.progress.with_possible_execution(engine.upstream_id)
        try:
            return self._relay(stream, response, tracked_request, attempt)
        except _Interrupted as error:
            response.abort()
            raise_if_caller_disconnected(job, error)
            record_failure(self._context, job, engine, error)
            self._attempts.failed(attempt, error)
            stream.splitter.drop_partial_event()
            return False
        except CallerDisconnected:
            response.abort()
            raise

    def _finish_rejected(
        self, stream: _Stream, engine: Upstream, response: UpstreamResponse
    ) -> None:
        record_rejection(self._context, stream.job, engine, response.head)
        stream.progress = stream.progress.with_rejection(engine.upstream_id)
        try:
            now_seconds = self._context.clock.now_seconds()
            response.read_all(stream.job.end_seconds - now_seconds)
            response.finish()
        except AnswerMissing as error:
            response.abort()
            raise_if_caller_disconnected(stream.job, error)

    def _relay(
        self,
        stream: _Stream,
        response: UpstreamResponse,
        tracked_request: TrackedRequest,
        attempt: GenerationAttempt,
    ) -> bool:
        """Forward a response; return False if it was dropped for a retry."""
        head = response.head
        if stream.has_begun and not head.is_success:
            raise _Interrupted(f"resuming the stream failed with status {head.status}")
        if not head.is_success:
            return self._relay_error_response(stream, response)
        if not head.is_signed:
            raise _Interrupted(
                "the upstream sent a success response without a signature"
            )
        self._attempts.answered(attempt)
        is_first = True
        first_event = stream.splitter.event_count
        while piece := self._read(stream, response):
            events = self._split(stream, piece)
            if not events:
                continue
            self._attempts.progressed(
                attempt, stream.splitter.event_count - first_event
            )
            if is_first:
                is_first = False
                tracked_request.mark_prefilled()
                self._context.usage.record_start(
                    stream.job.customer_id, self._context.clock.wall_seconds()
                )
                self._log_first_event(stream)
            self._begin(stream, head)
            stream.responder.write(events)
        if stream.splitter.has_partial_event:
            raise _Interrupted("the stream ended within an incomplete event")
        self._attempts.succeeded(attempt)
        self._begin(stream, head)
        stream.responder.end()
        response.finish()
        return True

    def _log_first_event(self, stream: _Stream) -> None:
        arrived_seconds = stream.job.request.arrived_seconds
        # A stream counts as resumed if this is not the first attempt and more
        # than one event has arrived in all attempts.
        if stream.progress.sends > 1 and stream.splitter.event_count > 1:
            self._context.telemetry.count(
                CounterName.RESUMED_STREAMS, stream.job.route.name
            )
        else:
            self._context.telemetry.record_answer(
                stream.job.customer_id,
                stream.job.route.name,
                self._context.clock.now_seconds() - arrived_seconds,
                stream.job.route.target_seconds,
            )
        FirstEvent(
            request_id=stream.job.request.request_id,
            route=stream.job.route.name,
            sends=stream.progress.sends,
            took_seconds=self._context.clock.now_seconds() - arrived_seconds,
            expected_seconds=stream.expected_seconds,
            placement=stream.placement_name,
        ).write()

    def _relay_error_response(
        self, stream: _Stream, response: UpstreamResponse
    ) -> bool:
        job = stream.job
        try:
            now_seconds = self._context.clock.now_seconds()
            body = response.read_all(job.end_seconds - now_seconds)
        except AnswerMissing as error:
            raise _Interrupted(str(error)) from error
        response.finish()
        if may_attempt(job, stream.progress, self._context.clock.now_seconds()):
            # The response is dropped, as another attempt is allowed.
            return False
        stream.responder.respond(response.head.status, response.head.headers, body)
        return True

    def _begin(self, stream: _Stream, head: ResponseHead) -> None:
        if not stream.has_begun:
            stream.has_begun = True
            stream.responder.begin(head.status, head.headers)

    def _read(self, stream: _Stream, response: UpstreamResponse) -> bytes:
        job = stream.job
        remaining_seconds = job.end_seconds - self._context.clock.now_seconds()
        may_resume = job.route.is_retryable and stream.has_begun
        if may_resume and stream.progress.sends < job.route.max_attempts:
            remaining_seconds = min(remaining_seconds, STALL_TIMEOUT_SECONDS)
        try:
            return response.read_some(remaining_seconds)
        except AnswerMissing as error:
            raise _Interrupted(str(error)) from error

    def _split(self, stream: _Stream, piece: bytes) -> bytes:
        try:
            return stream.splitter.feed(piece)
        except EventTooLarge as error:
            raise _Interrupted(str(error)) from error
