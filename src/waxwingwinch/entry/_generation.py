"""Running a generation, with resumption on another engine after a failure."""

import time
from collections.abc import Generator, Iterator
from contextlib import closing

import eliot
from attrs import evolve, frozen

from waxwingwinch._exceptions import Outcome, UpstreamFailed
from waxwingwinch._types import Address, CustomerId, UpstreamId
from waxwingwinch.contracts import DecisionKind, Freshness, UpstreamView
from waxwingwinch.decisions import FewestInFlight, NoEngine, RetryRefused, Routed
from waxwingwinch.entry._bodies import CompletionRequest
from waxwingwinch.entry._callers import RequestMonitor
from waxwingwinch.entry._crash_guard import (
    NotSuspect,
    Quarantined,
    logged_fingerprint,
)
from waxwingwinch.entry._errors import ErrorCode, RequestFailed, quarantined
from waxwingwinch.entry._router import EngineRouter, Generation
from waxwingwinch.entry._services import EntryServices
from waxwingwinch.entry._stream_watcher import CHECK_SECONDS, WatchedStream
from waxwingwinch.entry._upstream_reader import FirstItemTimeout, UpstreamReader
from waxwingwinch.interfaces import GenerateCall, StreamEnd, StreamItem, StreamPart

#: Time without a first token after which an engine counts as stalled; the
#: larger of this and FIRST_TOKEN_STALL_FACTOR times the estimate applies.
FIRST_TOKEN_STALL_SECONDS = 5.0
FIRST_TOKEN_STALL_FACTOR = 3.0
#: Pause between the two checks of whether an engine is down.
CRASH_RECHECK_SECONDS = 0.15
#: Retry-After if no engine could be reached.
UNREACHED_RETRY_AFTER_SECONDS = 1.0
#: Shorter times to the first token, estimated or observed, count as this long
#: in their ratio, so that differences between them have no effect.
MIN_COMPARED_LATENCY_SECONDS = 0.1


@frozen
class GenerationJob:
    """
    A generation to run.

    :param completion: The validated request body.
    :param customer_id: The customer of the request.
    :param generation: Properties of the generation for routing.
    :param fingerprint: Fingerprint of the request, equal for its retries.
    :param priority: Priority of the generation at the engine.
    """

    completion: CompletionRequest
    customer_id: CustomerId
    generation: Generation
    fingerprint: str
    priority: int


class _EngineFailed(Exception):
    """
    A call to an engine failed.

    :param view: The engine.
    :param error: The failure of the call.
    """

    def __init__(self, view: UpstreamView, error: UpstreamFailed) -> None:
        super().__init__(str(error))
        self.view = view
        self.error = error


class GenerationRun:
    """
    Runs a generation and resumes it on another engine if a call fails.

    A generation is deterministic for its request id and prompt. Another
    engine can therefore resume at the next token that the caller needs and
    continue the same output.

    :param services: Shared services of the entry.
    :param router: Chooses engines.
    :param watch: Detects a passed deadline, a withdrawn key or a disconnected
        caller.
    :param job: The generation.
    """

    def __init__(
        self,
        services: EntryServices,
        router: EngineRouter,
        watch: RequestMonitor,
        job: GenerationJob,
    ) -> None:
        self._services = services
        self._router = router
        self._watch = watch
        self._job = job
        self._attempts = 0
        self._tokens_before_attempt = 0
        self._excluded: frozenset[UpstreamId] = frozenset()
        self._may_have_run = False
        #: Number of tokens received so far.
        self.received_tokens = 0

    @property
    def outcome(self) -> Outcome:
        """Whether the request may have run so far."""
        return Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN

    def items(self, choice: Routed) -> Generator[StreamItem, None, None]:
        """
        Yield all tokens of the generation and its end.

        :param choice: Engines of the first attempt.
        :raises RequestFailed: If the generation can't be completed.
        :raises CallerDisconnected: If the caller has disconnected.
        """
        while True:
            self._attempts += 1
            self._tokens_before_attempt = self.received_tokens
            try:
                yield from self._attempt(choice)
                return
            except _EngineFailed as failure:
                choice = self._handle_failure(failure)

    def _attempt(self, choice: Routed) -> Iterator[StreamItem]:
        kv_source = None
        if choice.prefill_engine is not None:
            kv_source = self._prefill(choice.prefill_engine, choice)
        yield from self._generate(choice, kv_source)

    def _prefill(self, view: UpstreamView, choice: Routed) -> Address:
        call = evolve(self._make_call(None), prefill_only=True)
        with closing(self._call_engine(view, call, choice)) as items:
            for _ in items:
                pass
        return view.listed.address

    def _generate(
        self, choice: Routed, kv_source: Address | None
    ) -> Iterator[StreamItem]:
        call = self._make_call(kv_source)
        with closing(self._call_engine(choice.engine, call, choice)) as items:
            for item in items:
                self._record_item(item, choice.engine)
                yield item

    def _record_item(self, item: StreamItem, view: UpstreamView) -> None:
        match item:
            case StreamPart():
                self.received_tokens += 1
            case StreamEnd() if item.output_tokens != self.received_tokens:
                reason = (
                    f"the engine reported {item.output_tokens} output tokens,"
                    f" {self.received_tokens} were received"
                )
                raise _EngineFailed(view, UpstreamFailed(reason, Outcome.UNKNOWN))
            case StreamEnd():
                self._services.crash_guard.record_success(self._job.fingerprint)

    def _call_engine(
        self, view: UpstreamView, call: GenerateCall, choice: Routed
    ) -> Generator[StreamItem, None, None]:
        """Yield the items of an engine call, tracked as in flight."""
        clock = self._services.clock
        prefill_tokens = 0 if call.kv_source else self._job.completion.prompt_tokens
        sent_seconds = clock.now_seconds()
        upstream_id = view.upstream_id
        in_flight_request = self._services.in_flight.begin(
            upstream_id, prefill_tokens, sent_seconds
        )
        if prefill_tokens:
            self._router.record_prompt(upstream_id, self._job.generation, sent_seconds)
        address = view.listed.address
        reader = UpstreamReader(self._services.engine, address, call, clock)
        watched = WatchedStream(reader, lambda: self._watch.check(self.outcome))
        may_have_run_before, self._may_have_run = self._may_have_run, True
        try:
            item = self._wait_for_first_item(reader, choice)
            first_token_seconds = clock.now_seconds() - sent_seconds
            self._services.in_flight.mark_prefilled(in_flight_request)
            self._services.stream_watcher.add(watched)
            while not isinstance(item, StreamEnd):
                yield item
                item = reader.next_item()
            self._record_success(view, first_token_seconds, choice)
            yield item
        except UpstreamFailed as error:
            if error.outcome is Outcome.NOT_RUN:
                self._may_have_run = may_have_run_before
            raise _EngineFailed(view, error) from error
        finally:
            self._services.stream_watcher.remove(watched)
            reader.cancel()
            self._services.in_flight.end(in_flight_request)

    def _wait_for_first_item(
        self, reader: UpstreamReader, choice: Routed
    ) -> StreamItem:
        clock = self._services.clock
        started_seconds = clock.now_seconds()
        stall_seconds = max(
            FIRST_TOKEN_STALL_SECONDS,
            FIRST_TOKEN_STALL_FACTOR * choice.first_token_seconds,
        )
        while True:
            try:
                return reader.first_item(CHECK_SECONDS)
            except FirstItemTimeout:
                self._watch.check(self.outcome)
            waited_seconds = clock.now_seconds() - started_seconds
            if waited_seconds > stall_seconds:
                reason = (
                    f"no first token after {waited_seconds:.1f} s, expected within"
                    f" {stall_seconds:.1f} s"
                )
                raise UpstreamFailed(reason, Outcome.UNKNOWN)

    def _record_success(
        self, view: UpstreamView, first_token_seconds: float, choice: Routed
    ) -> None:
        estimated_seconds = max(
            choice.first_token_seconds, MIN_COMPARED_LATENCY_SECONDS
        )
        latency_ratio = (
            max(first_token_seconds, MIN_COMPARED_LATENCY_SECONDS) / estimated_seconds
        )
        self._router.record_success(
            view, latency_ratio, self._services.clock.now_seconds()
        )

    def _make_call(self, kv_source: Address | None) -> GenerateCall:
        completion = self._job.completion
        now_seconds = self._services.clock.now_seconds()
        remaining_seconds = max(0.1, self._watch.deadline_seconds - now_seconds)
        return GenerateCall(
            request_id=self._job.generation.request_id,
            model=completion.model,
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            adapter=completion.adapter,
            priority=self._job.priority,
            resume_from_token=self.received_tokens,
            kv_source=kv_source,
            idle_timeout_seconds=remaining_seconds,
        )

    def _handle_failure(self, failure: _EngineFailed) -> Routed:
        """Record a failed call and return the engines of the next attempt."""
        error, upstream_id = failure.error, failure.view.upstream_id
        now_seconds = self._services.clock.now_seconds()
        self._router.record_failure(upstream_id, error, now_seconds)
        is_uncounted_attempt = self._is_uncounted_attempt(upstream_id, error)
        self._excluded |= {upstream_id}
        if error.outcome is not Outcome.NOT_RUN:
            self._record_crash_if_down(failure, now_seconds)
        self._watch.check(self.outcome)
        policy = self._job.generation.routing.policy
        clock = self._services.clock
        match self._services.crash_guard.judge_settled(self._job.fingerprint, clock):
            case Quarantined(retry_after_seconds):
                raise quarantined(retry_after_seconds, self.outcome)
            case NotSuspect():
                pass
            case _:
                policy = FewestInFlight()
        now_seconds = clock.now_seconds()
        if self._services.configuration.freshness(now_seconds) is Freshness.STALE:
            raise self._failure(f"{error}; not retried since this instance is stale")
        if is_uncounted_attempt:
            self._attempts -= 1
        else:
            self._spend_retry(error, now_seconds)
        routing = evolve(
            self._job.generation.routing,
            excluded=self._excluded,
            resuming=self.received_tokens > 0,
            policy=policy,
        )
        return self._reroute(evolve(self._job.generation, routing=routing), error)

    def _spend_retry(self, error: UpstreamFailed, now_seconds: float) -> None:
        decision = self._router.request_retry(
            self._attempts, self._watch.deadline_seconds, now_seconds
        )
        if isinstance(decision, RetryRefused):
            raise self._failure(f"{error}; {decision.reason}")

    def _is_uncounted_attempt(
        self, upstream_id: UpstreamId, error: UpstreamFailed
    ) -> bool:
        """
        Return whether a failed attempt is neither counted nor taken from the
        retry budget.

        If several engines go down at once, a started stream would exhaust
        its attempts and be cut off. A resumption may therefore try each
        engine once without spending the retry budget, provided that the
        engine did not run the request.
        """
        is_resumption = self.received_tokens > 0
        is_first = upstream_id not in self._excluded
        return is_resumption and is_first and error.outcome is Outcome.NOT_RUN

    def _reroute(self, generation: Generation, error: UpstreamFailed) -> Routed:
        now_seconds = self._services.clock.now_seconds()
        choice = self._router.choose(generation, now_seconds)
        if isinstance(choice, NoEngine):
            # Without another engine, engines that failed are used again.
            routing = evolve(generation.routing, excluded=frozenset())
            choice = self._router.choose(
                evolve(generation, routing=routing), now_seconds
            )
        if isinstance(choice, NoEngine):
            raise self._failure(f"{error}; {choice.reason}")
        text = (
            f"after {self.received_tokens} tokens: {error}; rerouted: {choice.reason}"
        )
        request_id = generation.request_id
        self._services.explain(
            DecisionKind.RETRIED, request_id, text, self._job.customer_id
        )
        return choice

    def _record_crash_if_down(self, failure: _EngineFailed, now_seconds: float) -> None:
        upstream_id = failure.view.upstream_id
        had_progress = self.received_tokens > self._tokens_before_attempt
        is_down = self._is_down(failure.view)
        eliot.log_message(
            "crash:checked",
            request_id=self._job.generation.request_id,
            fingerprint=logged_fingerprint(self._job.fingerprint),
            upstream_id=upstream_id,
            is_down=is_down,
            had_progress=had_progress,
            reason=str(failure.error),
            took_seconds=self._services.clock.now_seconds() - now_seconds,
        )
        if is_down:
            self._services.crash_guard.record_crash(
                self._job.fingerprint, upstream_id, now_seconds, had_progress
            )

    def _is_down(self, view: UpstreamView) -> bool:
        """Check twice; a crashing engine may briefly accept connections."""
        for pause_seconds in (0.0, CRASH_RECHECK_SECONDS):
            time.sleep(pause_seconds)
            try:
                self._services.engine.load_report(view.listed.address)
            except UpstreamFailed:
                return True
        return False

    def _failure(self, reason: str) -> RequestFailed:
        status, retry_after_seconds = 502, None
        if self.outcome is Outcome.NOT_RUN:
            status, retry_after_seconds = 503, UNREACHED_RETRY_AFTER_SECONDS
        request_id = self._job.generation.request_id
        self._services.explain(DecisionKind.REFUSED, request_id, reason)
        return RequestFailed(
            status,
            ErrorCode.UPSTREAM_FAILED,
            f"no engine completed the generation in {self._attempts} counted attempts",
            self.outcome,
            retry_after_seconds,
        )
