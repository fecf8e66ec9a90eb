"""Running one generation to its end, on one engine after another."""

import time
from collections.abc import Generator, Iterator
from contextlib import closing

from attrs import evolve, frozen

from waxwingwinch._exceptions import Outcome, UpstreamFailed
from waxwingwinch._types import Address, CustomerId, UpstreamId
from waxwingwinch.contracts import DecisionKind, Freshness, UpstreamView
from waxwingwinch.decisions import FewestOthers, NoEngine, RetryRefused, Routed
from waxwingwinch.entry._bodies import CompletionRequest
from waxwingwinch.entry._callers import RequestMonitor
from waxwingwinch.entry._crash_guard import NotSuspect, Quarantined
from waxwingwinch.entry._errors import ErrorCode, RequestFailed, quarantined
from waxwingwinch.entry._router import EngineRouter, Generation
from waxwingwinch.entry._services import EntryServices
from waxwingwinch.entry._stream_watcher import CHECK_SECONDS, WatchedStream
from waxwingwinch.entry._upstream_reader import NothingYet, UpstreamReader
from waxwingwinch.interfaces import GenerateCall, StreamEnd, StreamItem, StreamPart

#: Longest wait for the first token, and at least this multiple of the
#: estimate.
FIRST_TOKEN_STALL_SECONDS = 5.0
FIRST_TOKEN_STALL_FACTOR = 3.0
#: Pause between two looks whether an engine crashed.
CRASH_SECOND_LOOK_SECONDS = 0.15
#: When callers come back if no engine could be reached.
UNREACHED_RETRY_AFTER_SECONDS = 1.0
#: Estimates of the first token below this are not judged.
LATENESS_FLOOR_SECONDS = 0.1


@frozen
class GenerationJob:
    """
    One generation to run.

    :param completion: What the caller asked for.
    :param customer_id: Its customer.
    :param generation: The generation as routing sees it.
    :param fingerprint: Name that a repeated request shares.
    :param priority: Its priority at the engine.
    """

    completion: CompletionRequest
    customer_id: CustomerId
    generation: Generation
    fingerprint: str
    priority: int


class _EngineFailed(Exception):
    """
    One engine failed.

    :param view: The engine.
    :param error: What was seen.
    """

    def __init__(self, view: UpstreamView, error: UpstreamFailed) -> None:
        super().__init__(str(error))
        self.view = view
        self.error = error


class GenerationRun:
    """
    Runs a generation and resumes it where it broke.

    A generation is deterministic in request id and prompt, so an engine that
    resumes at the token that the caller needs next continues the same answer.

    :param services: The services of the entry.
    :param router: Chooses engines.
    :param watch: Tells when the request has lost its purpose.
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
        self._tries = 0
        self._tokens_before_try = 0
        self._excluded: frozenset[UpstreamId] = frozenset()
        self._may_have_run = False
        #: Tokens handed out so far.
        self.received_tokens = 0

    @property
    def outcome(self) -> Outcome:
        """What is known of the execution so far."""
        return Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN

    def items(self, choice: Routed) -> Generator[StreamItem, None, None]:
        """
        Yield the tokens and the end of one whole answer.

        :param choice: Where to begin.
        :raises RequestFailed: If the answer can't be completed.
        :raises CallerDisconnected: If nobody waits for it.
        """
        while True:
            self._tries += 1
            self._tokens_before_try = self.received_tokens
            try:
                yield from self._attempt(choice)
                return
            except _EngineFailed as failure:
                choice = self._after_failure(failure)

    def _attempt(self, choice: Routed) -> Iterator[StreamItem]:
        kv_source = None
        if choice.prefill_engine is not None:
            kv_source = self._prefill(choice.prefill_engine, choice)
        yield from self._generate(choice, kv_source)

    def _prefill(self, view: UpstreamView, choice: Routed) -> Address:
        call = evolve(self._call(None), prefill_only=True)
        with closing(self._read(view, call, choice)) as items:
            for _ in items:
                pass
        return view.listed.address

    def _generate(
        self, choice: Routed, kv_source: Address | None
    ) -> Iterator[StreamItem]:
        call = self._call(kv_source)
        with closing(self._read(choice.engine, call, choice)) as items:
            for item in items:
                self._count(item, choice.engine)
                yield item

    def _count(self, item: StreamItem, view: UpstreamView) -> None:
        match item:
            case StreamPart():
                self.received_tokens += 1
            case StreamEnd() if item.output_tokens != self.received_tokens:
                reason = f"the engine counted {item.output_tokens} tokens"
                raise _EngineFailed(view, UpstreamFailed(reason, Outcome.UNKNOWN))
            case StreamEnd():
                self._services.crash_guard.succeeded(self._job.fingerprint)

    def _read(
        self, view: UpstreamView, call: GenerateCall, choice: Routed
    ) -> Generator[StreamItem, None, None]:
        """Yield the items of one call, and keep the counts of it."""
        clock = self._services.clock
        unread = 0 if call.kv_source else self._job.completion.prompt_tokens
        sent_seconds = clock.now_seconds()
        name = view.upstream_id
        sent = self._services.in_flight.begin(name, unread, sent_seconds)
        if unread:
            self._router.sent(name, self._job.generation, sent_seconds)
        address = view.listed.address
        reader = UpstreamReader(self._services.engine, address, call, clock)
        watched = WatchedStream(reader, lambda: self._watch.check(self.outcome))
        before, self._may_have_run = self._may_have_run, True
        try:
            item = self._first(reader, choice)
            first_seconds = clock.now_seconds() - sent_seconds
            self._services.in_flight.mark_prefilled(sent)
            self._services.stream_watcher.add(watched)
            while not isinstance(item, StreamEnd):
                yield item
                item = reader.next_item()
            self._answered(view, first_seconds, choice)
            yield item
        except UpstreamFailed as error:
            if error.outcome is Outcome.NOT_RUN:
                self._may_have_run = before
            raise _EngineFailed(view, error) from error
        finally:
            self._services.stream_watcher.remove(watched)
            reader.abandon()
            self._services.in_flight.end(sent)

    def _first(self, reader: UpstreamReader, choice: Routed) -> StreamItem:
        clock = self._services.clock
        started_seconds = clock.now_seconds()
        stall_seconds = max(
            FIRST_TOKEN_STALL_SECONDS,
            FIRST_TOKEN_STALL_FACTOR * choice.first_token_seconds,
        )
        while True:
            try:
                return reader.first_item(CHECK_SECONDS)
            except NothingYet:
                self._watch.check(self.outcome)
            waited_seconds = clock.now_seconds() - started_seconds
            if waited_seconds > stall_seconds:
                reason = f"no token came for {waited_seconds:.1f} s"
                raise UpstreamFailed(reason, Outcome.UNKNOWN)

    def _answered(
        self, view: UpstreamView, first_seconds: float, choice: Routed
    ) -> None:
        estimate = max(choice.first_token_seconds, LATENESS_FLOOR_SECONDS)
        lateness = max(first_seconds, LATENESS_FLOOR_SECONDS) / estimate
        self._router.answered(view, lateness, self._services.clock.now_seconds())

    def _call(self, kv_source: Address | None) -> GenerateCall:
        completion = self._job.completion
        now_seconds = self._services.clock.now_seconds()
        left_seconds = max(0.1, self._watch.deadline_seconds - now_seconds)
        return GenerateCall(
            request_id=self._job.generation.request_id,
            model=completion.model,
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            adapter=completion.adapter,
            priority=self._job.priority,
            resume_from_token=self.received_tokens,
            kv_source=kv_source,
            idle_timeout_seconds=left_seconds,
        )

    def _after_failure(self, failure: _EngineFailed) -> Routed:
        """Return where to go on after an engine failed."""
        error, name = failure.error, failure.view.upstream_id
        now_seconds = self._services.clock.now_seconds()
        self._router.failed(name, error, now_seconds)
        is_free = self._is_free_try(name, error)
        self._excluded |= {name}
        if error.outcome is not Outcome.NOT_RUN:
            if self._is_down(failure.view):
                had_progress = self.received_tokens > self._tokens_before_try
                self._services.crash_guard.crashed(
                    self._job.fingerprint, name, now_seconds, had_progress
                )
        self._watch.check(self.outcome)
        policy = self._job.generation.routing.policy
        clock = self._services.clock
        match self._services.crash_guard.judge_settled(self._job.fingerprint, clock):
            case Quarantined(retry_after_seconds):
                raise quarantined(retry_after_seconds, self.outcome)
            case NotSuspect():
                pass
            case _:
                policy = FewestOthers()
        now_seconds = clock.now_seconds()
        if self._services.configuration.freshness(now_seconds) is Freshness.STALE:
            raise self._given_up(f"{error}; this instance lost touch with the others")
        if is_free:
            self._tries -= 1
        else:
            self._pay_retry(error, now_seconds)
        routing = evolve(
            self._job.generation.routing,
            excluded=self._excluded,
            resuming=self.received_tokens > 0,
            policy=policy,
        )
        return self._choose_again(evolve(self._job.generation, routing=routing), error)

    def _pay_retry(self, error: UpstreamFailed, now_seconds: float) -> None:
        decision = self._router.retry(
            self._tries, self._watch.deadline_seconds, now_seconds
        )
        if isinstance(decision, RetryRefused):
            raise self._given_up(f"{error}; {decision.reason}")

    def _is_free_try(self, upstream_id: UpstreamId, error: UpstreamFailed) -> bool:
        """
        Tell whether a failed try neither counts nor costs a retry.

        A stream that has begun would be cut after a few tries if several
        engines went down at once, so that it may ask each of them once.
        """
        is_resumption = self.received_tokens > 0
        is_first = upstream_id not in self._excluded
        return is_resumption and is_first and error.outcome is Outcome.NOT_RUN

    def _choose_again(self, generation: Generation, error: UpstreamFailed) -> Routed:
        now_seconds = self._services.clock.now_seconds()
        choice = self._router.choose(generation, now_seconds)
        if isinstance(choice, NoEngine):
            # Better the engine that failed than none.
            routing = evolve(generation.routing, excluded=frozenset())
            choice = self._router.choose(
                evolve(generation, routing=routing), now_seconds
            )
        if isinstance(choice, NoEngine):
            raise self._given_up(f"{error}; {choice.reason}")
        text = f"after {self.received_tokens} tokens: {error}; now {choice.reason}"
        request_id = generation.request_id
        self._services.explain(
            DecisionKind.RETRIED, request_id, text, self._job.customer_id
        )
        return choice

    def _is_down(self, view: UpstreamView) -> bool:
        """Ask twice, since a crashing engine may still listen for a moment."""
        for pause_seconds in (0.0, CRASH_SECOND_LOOK_SECONDS):
            time.sleep(pause_seconds)
            try:
                self._services.engine.load_report(view.listed.address)
            except UpstreamFailed:
                return True
        return False

    def _given_up(self, reason: str) -> RequestFailed:
        status, retry_after_seconds = 502, None
        if self.outcome is Outcome.NOT_RUN:
            status, retry_after_seconds = 503, UNREACHED_RETRY_AFTER_SECONDS
        request_id = self._job.generation.request_id
        self._services.explain(DecisionKind.REFUSED, request_id, reason)
        return RequestFailed(
            status,
            ErrorCode.UPSTREAM_FAILED,
            f"no engine completed the answer; tried {self._tries} times",
            self.outcome,
            retry_after_seconds,
        )
