"""Relaying the streamed response of a generation, and resuming it."""

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway._answer_log_lines import AnswerNotHeld
from waxwingwinch.gateway._answer_passing import AnswerPasser, respond_whole
from waxwingwinch.gateway._answer_start import read_start
from waxwingwinch.gateway._attempt_permits import AttemptPermits
from waxwingwinch.gateway._attempts import (
    Attempt,
    AttemptObserver,
    suspect_part_ids,
)
from waxwingwinch.gateway._connections import CallDropped, Cancelled
from waxwingwinch.gateway._crash_evidence import PartBlock
from waxwingwinch.gateway._engine_choice import EngineChooser
from waxwingwinch.gateway._event_stream import (
    EventOutOfOrder,
    EventSplitter,
    EventTooLarge,
)
from waxwingwinch.gateway._job import (
    Job,
    RelayContext,
    raise_if_cancelled,
)
from waxwingwinch.gateway._loads import TrackedRequest
from waxwingwinch.gateway._memory_account import MemoryExhausted
from waxwingwinch.gateway._outcomes import (
    RefusalReason,
    RequestEnded,
    Responder,
)
from waxwingwinch.gateway._permits import NoPermit
from waxwingwinch.gateway._placement import (
    FIRST_EVENT_SECONDS,
    Placement,
    RunDirectly,
    RunSplit,
    engine_work_seconds,
)
from waxwingwinch.gateway._plain_exchange import CompleteResponse, OpenAnswer
from waxwingwinch.gateway._plain_relay import (
    blocked_refusal,
    final_refusal,
    may_attempt,
)
from waxwingwinch.gateway._prefill import (
    PrefilledCache,
    PrefillFailed,
    PrefillRelay,
)
from waxwingwinch.gateway._request_log_lines import (
    FirstEvent,
    SilentUpstreamKept,
    StreamAborted,
    StreamSilent,
)
from waxwingwinch.gateway._requests import Prompt, ResponseHead
from waxwingwinch.gateway._stream_state import StreamAttempt, StreamState
from waxwingwinch.gateway._telemetry import CounterName
from waxwingwinch.gateway._transport import (
    DecodeFromCache,
    FullExecution,
    SilentCall,
    UpstreamResponse,
)
from waxwingwinch.gateway._upstream_calls import (
    MISDIRECTED_STATUS,
    open_call,
    record_failure,
    record_rejection,
    record_status,
    silence_error,
)
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.capacity import StreamMeter
from waxwingwinch.http import AnswerMissing, ConnectionBroken, NotSent

#: Time without data after which another engine is asked to resume a stream, if
#: its route allows it; callers time out after twice that.
STALL_TIMEOUT_SECONDS = 1.0
#: Longest time for which a silent engine and its replacement run a stream at
#: once; below the time that the platform tolerates.
OVERLAP_SECONDS = 0.3


class _Interrupted(Exception):
    """The stream broke; another engine may resume it if the route allows."""


class _EngineSilent(Exception):
    """The stream is open, but its engine has sent nothing for a while."""


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
        self._passer = AnswerPasser(context)

    def serve(self, job: Job, prompt: Prompt, responder: Responder) -> None:
        """
        Relay a request and stream its response to the caller.

        :param job: The request.
        :param prompt: Its prompt.
        :param responder: Writes the response.
        :raises RequestEnded: If there is no response to forward.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        stream = StreamState(job, responder)
        try:
            while not self._serve_once(stream, prompt):
                pass
        finally:
            stream.drop_silent()

    def _serve_once(self, stream: StreamState, prompt: Prompt) -> bool:
        """Choose an engine and execute; return whether the response ended."""
        job = stream.job
        now_seconds = self._context.clock.now_seconds()
        block = self._attempts.block(job, stream.progress.sends, now_seconds)
        if block is not None:
            return self._end_blocked(stream, block, now_seconds)
        permits = AttemptPermits(self._context.permits, job.request.request_id)
        placement, stream.progress = self._engine_chooser.choose(
            job, prompt, stream.progress, permits, now_seconds
        )
        if placement is None or isinstance(placement, NoPermit):
            reason = self._why_no_engine(stream, now_seconds, placement)
            if stream.silent is not None:
                return self._keep_silent(stream, stream.silent, reason)
            self._end_without_engine(stream, now_seconds, placement, reason)
            return True
        stream.expected_seconds = placement.expected_seconds
        stream.placement_name = type(placement).__name__
        try:
            return self._run(stream, prompt, placement, permits)
        except CallDropped as dropped:
            if stream.silent is None:
                raise
            return self._keep_silent(stream, stream.silent, str(dropped))

    def _keep_silent(
        self, stream: StreamState, silent: StreamAttempt, reason: str
    ) -> bool:
        """Go on with the engine that was silent."""
        SilentUpstreamKept(
            request_id=stream.job.request.request_id,
            upstream_id=silent.engine.upstream_id,
            reason=reason,
        ).write()
        stream.silent = None
        return self._relay_attempt(stream, silent)

    def _end_blocked(
        self, stream: StreamState, block: PartBlock, now_seconds: float
    ) -> bool:
        """End a request with a blamed part, unless an engine still runs it."""
        reason = f"part {block.part_id} crashes engines"
        if stream.silent is not None:
            return self._keep_silent(stream, stream.silent, reason)
        if stream.has_begun:
            self._end_without_engine(stream, now_seconds, None, reason)
            return True
        raise blocked_refusal(
            self._context, stream.job, stream.progress, block, now_seconds
        )

    def _end_without_engine(
        self,
        stream: StreamState,
        now_seconds: float,
        no_permit: NoPermit | None,
        reason: str,
    ) -> None:
        if not stream.has_begun:
            raise final_refusal(
                self._context, stream.job, stream.progress, now_seconds, no_permit
            )
        StreamAborted(
            request_id=stream.job.request.request_id,
            sends=stream.progress.sends,
            events=stream.splitter.event_count,
            reason=reason,
        ).write()
        stream.responder.abort()

    def _why_no_engine(
        self, stream: StreamState, now_seconds: float, no_permit: NoPermit | None
    ) -> str:
        """Return why no engine was chosen, for the log."""
        job = stream.job
        if no_permit is not None:
            return f"the limit of {no_permit.upstream_id} has no room"
        if not may_attempt(job, stream.progress, now_seconds):
            return "no further attempt is allowed"
        if not self._context.budget.has_retry(job.service.name, now_seconds):
            return f"the retry budget of {job.service.name} is used up"
        return f"no other engine of {job.service.name} is usable"

    def _run(
        self,
        stream: StreamState,
        prompt: Prompt,
        placement: Placement,
        permits: AttemptPermits,
    ) -> bool:
        """Execute a placement; return whether a complete response was sent."""
        match placement:
            case RunDirectly(engine_id, work_tokens, waiting_tokens=waiting_tokens):
                engine = self._context.directory.ready(
                    engine_id,
                    self._context.clock.now_seconds(),
                    stream.job.homes.zones(),
                )
                if engine is None:
                    return False
                self._engine_chooser.record_prompt(
                    stream.job, prompt, engine_id, work_tokens
                )
                return self._execute(stream, engine, None, work_tokens, waiting_tokens)
            case RunSplit(decode_id=decode_id):
                cache = self._prefill(stream, prompt, placement)
                if cache is None:
                    return False
                return self._decode(stream, prompt, cache, decode_id, permits)

    def _decode(
        self,
        stream: StreamState,
        prompt: Prompt,
        cache: PrefilledCache,
        decode_id: UpstreamId,
        permits: AttemptPermits,
    ) -> bool:
        """
        Offer a KV cache to engines until one has fetched it.

        A cache that is left is released; return whether a complete response
        was sent.
        """
        stream.unfetched_cache = cache
        while self._prefill_relay.is_available(stream.job, cache):
            engine, stream.progress = self._engine_chooser.decode_engine(
                stream.job, prompt, stream.progress, permits, decode_id
            )
            if engine is None:
                break
            self._engine_chooser.record_prefix(stream.job, prompt, engine.upstream_id)
            if self._execute(stream, engine, cache, 0):
                return True
            if stream.unfetched_cache is None:
                return False
        self._release_unfetched(stream)
        return False

    def _execute(
        self,
        stream: StreamState,
        engine: Upstream,
        cache: PrefilledCache | None,
        work_tokens: int,
        waiting_tokens: int = 0,
    ) -> bool:
        tracked_request = self._context.loads.begin(engine.upstream_id, work_tokens)
        try:
            attempt = self._open(stream, engine, cache, tracked_request, waiting_tokens)
        except BaseException:
            tracked_request.end()
            raise
        if attempt is None:
            tracked_request.end()
            return False
        return self._relay_attempt(stream, attempt)

    def _prefill(
        self, stream: StreamState, prompt: Prompt, placement: RunSplit
    ) -> PrefilledCache | None:
        """Have the prompt prefilled; return None if no engine did."""
        prefill_engine = self._context.directory.ready(
            placement.prefill_id,
            self._context.clock.now_seconds(),
            stream.job.homes.zones(),
        )
        if prefill_engine is None:
            return None
        self._engine_chooser.record_prompt(
            stream.job, prompt, prefill_engine.upstream_id, placement.read_tokens
        )
        try:
            outcome = self._prefill_relay.prefill(
                stream.job,
                stream.progress,
                prefill_engine,
                placement,
                stream.silent_response,
            )
        except CallDropped:
            stream.progress = stream.progress.with_failed_prefill(
                prefill_engine.upstream_id
            )
            raise
        match outcome:
            case PrefilledCache() as cache:
                stream.progress = stream.progress.with_prefill()
                return cache
            case PrefillFailed(progress):
                stream.progress = progress
                return None

    def _open(
        self,
        stream: StreamState,
        engine: Upstream,
        cache: PrefilledCache | None,
        tracked_request: TrackedRequest,
        waiting_tokens: int,
    ) -> StreamAttempt | None:
        """Open the response of an engine; return None if it gave none."""
        job = stream.job
        phase = (
            FullExecution()
            if cache is None
            else DecodeFromCache(cache.engine.address, cache.handle)
        )
        now_seconds = self._context.clock.now_seconds()
        if cache is not None and self._context.crashes.block(
            suspect_part_ids(job), now_seconds
        ):
            # A part was blamed while the prompt was prefilled.
            self._release_unfetched(stream)
            return None
        last_event_id = stream.splitter.last_event_id
        self._give_up_unresponsive(stream, now_seconds)
        stream.overlap_end_seconds = now_seconds + OVERLAP_SECONDS
        observed = self._attempts.begin(job, engine, last_event_id)
        meter = self._meter(
            engine, observed, tracked_request.waiting_tokens, waiting_tokens
        )
        try:
            response = open_call(
                self._context,
                job,
                engine,
                job.call(phase, last_event_id),
                now_seconds,
                job.end_seconds - now_seconds,
                self._silent_call(stream, now_seconds),
            )
        except NotSent as error:
            record_failure(self._context, job, engine, error)
            stream.progress = stream.progress.with_connect_failure(engine.upstream_id)
            return None
        except CallDropped:
            stream.unfetched_cache = None
            stream.progress = stream.progress.with_possible_execution(
                engine.upstream_id
            )
            raise
        except (AnswerMissing, Cancelled) as error:
            stream.unfetched_cache = None
            raise_if_cancelled(job, error)
            record_failure(self._context, job, engine, error)
            meter.failed(self._context.clock.now_seconds())
            self._attempts.failed(observed, error)
            stream.progress = stream.progress.with_possible_execution(
                engine.upstream_id
            )
            return None
        if response.head.not_executed:
            self._attempts.rejected(observed, response.head)
            self._finish_rejected(stream, engine, response)
            return None
        stream.unfetched_cache = None
        stream.progress = stream.progress.with_possible_execution(engine.upstream_id)
        return StreamAttempt(
            engine,
            response,
            tracked_request,
            observed,
            meter,
            stream.splitter.event_count,
        )

    def _meter(
        self,
        engine: Upstream,
        observed: Attempt,
        work_tokens: int,
        waiting_tokens: int,
    ) -> StreamMeter:
        """Return the meter of an attempt that is about to be sent."""
        if not work_tokens or observed.is_resumption:
            return StreamMeter(self._context.capacity, engine, observed.sent_seconds)
        return StreamMeter(
            self._context.capacity,
            engine,
            observed.sent_seconds,
            engine_work_seconds(engine.role, work_tokens) + FIRST_EVENT_SECONDS,
            engine_work_seconds(engine.role, waiting_tokens),
        )

    def _silent_call(
        self, stream: StreamState, now_seconds: float
    ) -> SilentCall | None:
        """Return the call that stays open while another engine is asked."""
        silent = stream.silent
        if silent is None:
            return None
        overlap_seconds = max(stream.overlap_end_seconds - now_seconds, 0.0)
        return SilentCall(silent.response, overlap_seconds)

    def _give_up_unresponsive(self, stream: StreamState, now_seconds: float) -> None:
        """Cancel the silent attempt if its engine has probably failed."""
        silent = stream.silent
        if silent is not None and self._context.directory.was_unresponsive(
            silent.engine.upstream_id, now_seconds - STALL_TIMEOUT_SECONDS
        ):
            self._give_up_silent(stream, "silent, and not to be connected to")

    def _relay_attempt(self, stream: StreamState, attempt: StreamAttempt) -> bool:
        """Forward a response; return whether a complete response was sent."""
        job, response = stream.job, attempt.response
        try:
            return self._relay(stream, attempt)
        except _EngineSilent:
            now_seconds = self._context.clock.now_seconds()
            self._context.directory.record_silence(
                attempt.engine.upstream_id, now_seconds
            )
            stream.silent = attempt
            return False
        except _Interrupted as error:
            response.abort()
            raise_if_cancelled(job, error)
            record_failure(self._context, job, attempt.engine, error)
            attempt.meter.failed(self._context.clock.now_seconds())
            self._attempts.failed(attempt.observed, error)
            if stream.silent is None:
                stream.splitter.drop_partial_event()
            return False
        except BaseException:
            # Whatever ends the relay, the engine must not work on.
            response.abort()
            raise
        finally:
            if stream.silent is not attempt:
                attempt.tracked_request.end()

    def _finish_rejected(
        self, stream: StreamState, engine: Upstream, response: UpstreamResponse
    ) -> None:
        record_rejection(self._context, stream.job, engine, response.head)
        stream.progress = stream.progress.with_rejection(engine.upstream_id)
        try:
            now_seconds = self._context.clock.now_seconds()
            response.read_all(stream.job.end_seconds - now_seconds)
            response.finish()
        except AnswerMissing as error:
            response.abort()
            raise_if_cancelled(stream.job, error)
        if response.head.status != MISDIRECTED_STATUS:
            # The engine may have lacked the cache rather than the room.
            self._release_unfetched(stream)

    def _release_unfetched(self, stream: StreamState) -> None:
        """Release the KV cache that no engine has fetched, if any."""
        cache, stream.unfetched_cache = stream.unfetched_cache, None
        if cache is not None:
            self._prefill_relay.release(stream.job, cache)

    def _relay(self, stream: StreamState, attempt: StreamAttempt) -> bool:
        """Forward a response; return False if it was dropped for a retry."""
        response = attempt.response
        head = response.head
        if stream.head is not None:
            _check_resumption(stream.head, head)
        if not head.is_success:
            return self._relay_error_response(stream, attempt)
        if not head.is_signed:
            raise _Interrupted(
                "the upstream sent a success response without a signature"
            )
        self._attempts.answered(attempt.observed)
        if stream.silent is not None:
            self._forward(stream, attempt, self._take_over(stream, attempt))
        while piece := self._read(stream, attempt):
            self._forward(stream, attempt, _split(stream, stream.splitter, piece))
            stream.hold(stream.splitter.partial_bytes)
        _check_end(stream.splitter, attempt)
        if head.is_framed:
            # Without framing, a crash between two events looks like the end.
            self._attempts.succeeded(attempt.observed)
        self._context.capacity.observe_success(
            attempt.engine, self._context.clock.now_seconds()
        )
        self._begin(stream, head)
        stream.responder.end()
        response.finish()
        return True

    def _forward(
        self, stream: StreamState, attempt: StreamAttempt, events: bytes
    ) -> None:
        """Write complete events to the caller, if there are any."""
        if not events:
            return
        event_count = stream.splitter.event_count - attempt.first_event
        self._attempts.progressed(attempt.observed, event_count)
        before_seconds = self._context.clock.now_seconds()
        if attempt.meter.is_due(event_count):
            attempt.meter.progressed(event_count, before_seconds)
        if not attempt.has_events:
            attempt.has_events = True
            attempt.tracked_request.mark_prefilled()
            self._context.usage.record_start(
                stream.job.customer_id, self._context.clock.wall_seconds()
            )
            self._log_first_event(stream)
        self._begin(stream, attempt.response.head)
        stream.responder.write(events)
        attempt.meter.wrote(self._context.clock.now_seconds() - before_seconds)

    def _take_over(self, stream: StreamState, attempt: StreamAttempt) -> bytes:
        """Return the first events of a response that replaces a silent one."""
        splitter, events = stream.splitter.resumed(), b""
        try:
            while not events:
                now_seconds = self._context.clock.now_seconds()
                remaining_seconds = stream.overlap_end_seconds - now_seconds
                if not attempt.response.wait(max(remaining_seconds, 0.0)):
                    raise CallDropped("no event while both engines may work")
                piece = attempt.response.read_some(max(remaining_seconds, 0.001))
                if not piece:
                    break
                events = _split(stream, splitter, piece)
        except AnswerMissing as error:
            raise _Interrupted(str(error)) from error
        if not events:
            _check_end(splitter, attempt)
        self._give_up_silent(stream, "silent until another engine had begun to answer")
        stream.splitter = splitter
        return events

    def _give_up_silent(self, stream: StreamState, reason: str) -> None:
        """Cancel the silent attempt in favour of another engine."""
        silent = stream.silent
        if silent is None:
            return
        error = silence_error(silent.response, reason)
        stream.drop_silent()
        record_failure(self._context, stream.job, silent.engine, error)
        self._attempts.failed(silent.observed, error)

    def _log_first_event(self, stream: StreamState) -> None:
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
        self, stream: StreamState, attempt: StreamAttempt
    ) -> bool:
        job, response, clock = stream.job, attempt.response, self._context.clock
        try:
            start = read_start(job, response, clock)
        except AnswerMissing as error:
            raise _Interrupted(str(error)) from error
        if start.is_whole:
            response.finish()
        record_status(self._context, attempt.engine, response.head)
        if may_attempt(job, stream.progress, clock.now_seconds()):
            # The response is dropped, as another attempt is allowed.
            if not start.is_whole:
                response.abort()
            return False
        if start.is_whole:
            whole = CompleteResponse(response.head, start.data)
            respond_whole(job, whole, stream.responder)
        else:
            answer = OpenAnswer(
                attempt.observed, attempt.tracked_request, response, start.data
            )
            self._passer.pass_on(job, answer, stream.responder)
        return True

    def _begin(self, stream: StreamState, head: ResponseHead) -> None:
        if not stream.has_begun:
            stream.head = head
            stream.responder.begin(head.status, head.headers)

    def _read(self, stream: StreamState, attempt: StreamAttempt) -> bytes:
        job, response = stream.job, attempt.response
        end_seconds = job.cut_seconds if stream.has_begun else job.end_seconds
        remaining_seconds = end_seconds - self._context.clock.now_seconds()
        may_resume = (
            job.route.is_retryable
            and stream.has_begun
            and stream.progress.sends < job.route.max_attempts
            and remaining_seconds > STALL_TIMEOUT_SECONDS
        )
        try:
            if may_resume and not response.wait(STALL_TIMEOUT_SECONDS):
                StreamSilent(
                    request_id=job.request.request_id,
                    upstream_id=attempt.engine.upstream_id,
                    events=stream.splitter.event_count,
                    silent_seconds=STALL_TIMEOUT_SECONDS,
                ).write()
                raise _EngineSilent
            remaining_seconds = end_seconds - self._context.clock.now_seconds()
            return response.read_some(remaining_seconds)
        except AnswerMissing as error:
            raise _Interrupted(str(error)) from error


def _split(stream: StreamState, splitter: EventSplitter, piece: bytes) -> bytes:
    """Return the events that a piece completes; reserve what is held."""
    try:
        events = splitter.feed(piece)
    except (EventTooLarge, EventOutOfOrder) as error:
        raise _Interrupted(str(error)) from error
    held_bytes = len(events) + splitter.partial_bytes
    if splitter is not stream.splitter:
        held_bytes += stream.splitter.partial_bytes
    try:
        stream.hold(held_bytes)
    except MemoryExhausted as error:
        AnswerNotHeld(
            request_id=stream.job.request.request_id,
            held_bytes=held_bytes,
            requested_bytes=error.requested_bytes,
            free_bytes=error.free_bytes,
        ).write()
        raise RequestEnded(502, RefusalReason.OUTCOME_UNKNOWN) from error
    return events


def _check_resumption(first: ResponseHead, head: ResponseHead) -> None:
    """Raise if a response can't go on a stream that another one began."""
    if not head.is_success:
        raise _Interrupted(f"resuming the stream failed with status {head.status}")
    if head.media_type != first.media_type:
        raise _Interrupted(
            f"resuming the stream of {first.media_type} brought {head.media_type}"
        )


def _check_end(splitter: EventSplitter, attempt: StreamAttempt) -> None:
    """Raise if the body of a response ended before its stream."""
    if splitter.has_partial_event:
        reason = "the stream ended within an incomplete event"
    elif not attempt.has_events and not attempt.response.head.is_framed:
        reason = "the stream ended with its connection before an event"
    else:
        return
    cause = None if attempt.response.head.is_framed else ConnectionBroken(reason)
    raise _Interrupted(reason) from cause
