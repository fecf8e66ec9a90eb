"""Relaying a request to a plain service."""

from waxwingwinch._types import EngineRole, UpstreamId
from waxwingwinch.gateway._answer_log_lines import AnswerDropped
from waxwingwinch.gateway._answer_passing import AnswerPasser, respond_whole
from waxwingwinch.gateway._answer_start import read_start
from waxwingwinch.gateway._attempts import Attempt, AttemptObserver
from waxwingwinch.gateway._candidates import plain_options
from waxwingwinch.gateway._connections import CallDropped, Cancelled
from waxwingwinch.gateway._crash_evidence import PartBlock
from waxwingwinch.gateway._job import (
    BUSY_RETRY_SECONDS,
    MAX_CONNECT_FAILURES,
    MAX_FAILED_PREFILLS,
    Job,
    Progress,
    RelayContext,
    raise_if_cancelled,
)
from waxwingwinch.gateway._loads import NO_LOAD
from waxwingwinch.gateway._outcomes import (
    RefusalReason,
    RequestEnded,
    Responder,
)
from waxwingwinch.gateway._permits import NoPermit
from waxwingwinch.gateway._placement import PlainOption, place_plain
from waxwingwinch.gateway._plain_exchange import (
    CompleteResponse,
    OpenAnswer,
    PlainAnswer,
    PlainAttempt,
    PlainExchange,
)
from waxwingwinch.gateway._request_log_lines import (
    RequestSent,
    SilentUpstreamKept,
    UpstreamAnswered,
)
from waxwingwinch.gateway._retry_payments import charge_calls
from waxwingwinch.gateway._transport import FullExecution, SilentCall
from waxwingwinch.gateway._upstream_calls import (
    record_failure,
    record_rejection,
    record_status,
    send_call,
    silence_error,
)
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.homes import home_refusal
from waxwingwinch.http import AnswerMissing, NotSent

#: Time without a response after which another upstream is asked, relative to
#: the latency objective of the route; at least a third of the remaining time.
RETRY_AFTER_TARGETS = 2.0


class PlainRelay:
    """
    Relays requests whose responses are forwarded unstreamed.

    :param context: Dependencies shared by the relays of the process.
    """

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self._attempts = AttemptObserver(context)
        self._passer = AnswerPasser(context)

    def serve(self, job: Job, responder: Responder) -> None:
        """
        Relay a request and write its response to the caller.

        :param job: The request.
        :param responder: Writes the response.
        :raises RequestEnded: If there is no response to forward.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        response = self._obtain_response(job)
        self._context.telemetry.record_answer(
            job.customer_id,
            job.route.name,
            self._context.clock.now_seconds() - job.request.arrived_seconds,
            job.route.target_seconds,
        )
        if isinstance(response, OpenAnswer):
            if self._passer.pass_on(job, response, responder):
                self._record_whole(response.observed)
        else:
            respond_whole(job, response, responder)

    def _obtain_response(self, job: Job) -> PlainAnswer:
        exchange = PlainExchange(job)
        try:
            while True:
                response = self._serve_once(exchange)
                if response is not None:
                    return response
        finally:
            exchange.drop_silent()

    def _serve_once(self, exchange: PlainExchange) -> PlainAnswer | None:
        """Make one attempt; return None if another one is to be made."""
        job, now_seconds = exchange.job, self._context.clock.now_seconds()
        block = self._attempts.block(job, exchange.progress.sends, now_seconds)
        if block is not None:
            return self._end_blocked(exchange, block, now_seconds)
        upstream, exchange.progress = self._choose_upstream(exchange, now_seconds)
        if upstream is None or isinstance(upstream, NoPermit):
            if exchange.silent is not None:
                return self._keep_silent(exchange, "no other upstream is usable")
            if exchange.fallback is not None:
                return exchange.fallback
            raise final_refusal(
                self._context, job, exchange.progress, now_seconds, upstream
            )
        observed = self._attempts.begin(job, upstream)
        try:
            attempt = self._open(exchange, observed, now_seconds)
        except NotSent as error:
            record_failure(self._context, job, upstream, error)
            exchange.progress = exchange.progress.with_connect_failure(
                upstream.upstream_id
            )
            return None
        except (AnswerMissing, Cancelled) as error:
            raise_if_cancelled(job, error)
            record_failure(self._context, job, upstream, error)
            self._attempts.failed(observed, error)
            exchange.add_possible_execution(upstream)
            return None
        if attempt is None:
            return None
        return self._read_first(exchange, attempt)

    def _end_blocked(
        self, exchange: PlainExchange, block: PartBlock, now_seconds: float
    ) -> PlainAnswer | None:
        """End a blamed request, unless an upstream still runs it."""
        if exchange.silent is not None:
            return self._keep_silent(exchange, "the request crashes upstreams")
        if exchange.fallback is not None:
            return exchange.fallback
        raise blocked_refusal(
            self._context, exchange.job, exchange.progress, block, now_seconds
        )

    def _open(
        self, exchange: PlainExchange, observed: Attempt, now_seconds: float
    ) -> PlainAttempt | None:
        """Send the request; return None if the upstream remains silent."""
        context, job, upstream = self._context, exchange.job, observed.upstream
        wait_seconds = job.end_seconds - now_seconds
        call = job.call(FullExecution())
        attempt = PlainAttempt(
            upstream,
            context.loads.begin(upstream.upstream_id, 0),
            observed,
            running=exchange.running,
        )
        try:
            attempt.sent = send_call(
                context, job, upstream, call, now_seconds, wait_seconds
            )
            if exchange.silent is not None:
                return attempt
            if self._may_retry(job, exchange.progress, now_seconds):
                retry_timeout_seconds = RETRY_AFTER_TARGETS * job.route.target_seconds
                patience_seconds = max(retry_timeout_seconds, wait_seconds / 3)
                if patience_seconds < wait_seconds and not attempt.sent.pending.wait(
                    patience_seconds
                ):
                    context.directory.record_silence(
                        upstream.upstream_id, context.clock.now_seconds()
                    )
                    self._measure(attempt, is_complete=False)
                    exchange.add_possible_execution(upstream)
                    exchange.silent = attempt
            return attempt if exchange.silent is None else None
        except BaseException:
            attempt.tracked_request.end()
            raise

    def _read_first(
        self, exchange: PlainExchange, attempt: PlainAttempt
    ) -> PlainAnswer | None:
        """Read the response of whichever upstream gives a usable one first."""
        silent = exchange.silent
        if silent is None:
            return self._read(exchange, attempt)
        now_seconds = self._context.clock.now_seconds()
        try:
            attempt.sent_call.pending.wait_unless(
                SilentCall(silent.open_call, exchange.job.end_seconds - now_seconds)
            )
        except CallDropped as dropped:
            try:
                response = self._keep_silent(exchange, str(dropped))
            except BaseException:
                attempt.abort()
                raise
            if response is not None:
                attempt.abort()
                return response
        return self._read(exchange, attempt)

    def _keep_silent(self, exchange: PlainExchange, reason: str) -> PlainAnswer | None:
        """Wait for the upstream that was silent."""
        attempt = exchange.take_silent()
        SilentUpstreamKept(
            request_id=exchange.job.request.request_id,
            upstream_id=attempt.upstream.upstream_id,
            reason=reason,
        ).write()
        return self._read(exchange, attempt)

    def _read(
        self, exchange: PlainExchange, attempt: PlainAttempt
    ) -> PlainAnswer | None:
        """Read a response; return None if another attempt is to be made."""
        job, upstream = exchange.job, attempt.upstream
        answer: PlainAnswer | None = None
        try:
            answer = self._receive(exchange, attempt)
        except (AnswerMissing, Cancelled) as error:
            raise_if_cancelled(job, error)
            record_failure(self._context, job, upstream, error)
            self._attempts.failed(attempt.observed, error)
            exchange.add_possible_execution(upstream)
            return None
        finally:
            if not isinstance(answer, OpenAnswer):
                attempt.tracked_request.end()
        if answer.head.not_executed:
            if isinstance(answer, OpenAnswer):
                answer.abort()
            record_rejection(self._context, job, upstream, answer.head)
            self._attempts.rejected(attempt.observed, answer.head)
            exchange.progress = exchange.progress.with_rejection(upstream.upstream_id)
            return None
        self._attempts.answered(attempt.observed)
        record_status(self._context, upstream, answer.head)
        if isinstance(answer, CompleteResponse):
            if answer.head.is_success:
                self._measure(attempt)
            self._record_whole(attempt.observed)
        self._context.usage.record_start(
            job.customer_id, self._context.clock.wall_seconds()
        )
        if answer.head.status < 500 or not job.route.is_retryable:
            return answer
        return self._keep_fallback(exchange, upstream, answer)

    def _measure(self, attempt: PlainAttempt, is_complete: bool = True) -> None:
        """Record how long an attempt has taken."""
        observed, now_seconds = attempt.observed, self._context.clock.now_seconds()
        # Reports of requests that others sent before it arrive after it.
        upstream_id = attempt.upstream.upstream_id
        late = self._context.loads.total(upstream_id, now_seconds)
        self._context.capacity.observe_plain(
            attempt.upstream,
            observed.job.route.name,
            max(attempt.running, late.running - 1),
            now_seconds - observed.sent_seconds,
            now_seconds,
            is_complete,
        )

    def _record_whole(self, observed: Attempt) -> None:
        self._attempts.succeeded(observed)
        self._context.directory.record_success(observed.upstream.upstream_id)

    def _keep_fallback(
        self, exchange: PlainExchange, upstream: Upstream, answer: PlainAnswer
    ) -> PlainAnswer | None:
        """Keep a failure while others are asked; return it if none may be."""
        exchange.add_possible_execution(upstream)
        if isinstance(answer, CompleteResponse):
            exchange.fallback = answer
            return None
        now_seconds = self._context.clock.now_seconds()
        if not may_attempt(exchange.job, exchange.progress, now_seconds):
            return answer
        answer.abort()
        AnswerDropped(
            request_id=exchange.job.request.request_id,
            upstream_id=upstream.upstream_id,
            status=answer.head.status,
            read_bytes=len(answer.start),
        ).write()
        return None

    def _receive(self, exchange: PlainExchange, attempt: PlainAttempt) -> PlainAnswer:
        """Read a response as far as it may be held."""
        clock, end_seconds = self._context.clock, exchange.job.end_seconds
        response = attempt.sent_call.receive(end_seconds - clock.now_seconds())
        try:
            start = read_start(exchange.job, response, clock)
            if response.head.is_success and not response.head.is_signed:
                raise AnswerMissing(
                    "the upstream sent a success response without a signature"
                )
        except AnswerMissing:
            response.abort()
            raise
        if start.is_whole:
            response.finish()
        if response.head.is_success:
            self._give_up_silent(exchange)
        UpstreamAnswered(
            exchange.job.request.request_id,
            attempt.upstream.upstream_id,
            response.head.status,
            clock.now_seconds() - attempt.observed.sent_seconds,
        ).write()
        if start.is_whole:
            return CompleteResponse(response.head, start.data)
        return OpenAnswer(
            attempt.observed, attempt.tracked_request, response, start.data
        )

    def _give_up_silent(self, exchange: PlainExchange) -> None:
        silent = exchange.silent
        if silent is None:
            return
        error = silence_error(
            silent.open_call, "silent until another upstream had answered"
        )
        exchange.drop_silent()
        record_failure(self._context, exchange.job, silent.upstream, error)
        self._attempts.failed(silent.observed, error)

    def _choose_upstream(
        self, exchange: PlainExchange, now_seconds: float
    ) -> tuple[Upstream | NoPermit | None, Progress]:
        """Choose an upstream; also return the progress with its charge."""
        job, progress = exchange.job, exchange.progress
        if not may_attempt(job, progress, now_seconds):
            return None, progress
        totals = self._context.loads.totals(now_seconds)
        usable = {
            upstream.upstream_id: upstream
            for upstream in self._context.directory.usable(
                job.service.name, now_seconds, progress.excluded, job.homes.zones()
            )
            if upstream.role is not EngineRole.PREFILL
        }
        options = plain_options(self._context, usable.values(), totals, now_seconds)
        is_retry = progress.was_placed
        chosen = self._place_with_permit(job, usable, options, is_retry)
        if chosen is None or isinstance(chosen, NoPermit):
            return chosen, progress
        planned = progress.arrivals.with_call()
        charged = charge_calls(self._context, job, progress, planned, now_seconds)
        if charged is None:
            return None, progress
        exchange.running = totals.get(chosen.upstream_id, NO_LOAD).running
        RequestSent(
            request_id=job.request.request_id,
            route=job.route.name,
            entries_age_seconds=self._context.directory.age_seconds(now_seconds),
            upstream_id=chosen.upstream_id,
            running=exchange.running,
            options=len(options),
            sends=progress.sends + 1,
        ).write()
        return chosen, charged

    def _place_with_permit(
        self,
        job: Job,
        usable: dict[UpstreamId, Upstream],
        options: list[PlainOption],
        is_retry: bool,
    ) -> Upstream | NoPermit | None:
        """Choose an upstream whose limit, if it names one, has room."""
        permits, request_id = self._context.permits, job.request.request_id
        refused: dict[UpstreamId, NoPermit] = {}
        remaining = options
        while chosen := place_plain(
            remaining, self._context.zone, is_retry, request_id
        ):
            refusal = permits.acquire(request_id, usable[chosen], is_last=False)
            if refusal is None:
                return usable[chosen]
            refused[chosen] = refusal
            remaining = [
                option for option in options if option.upstream_id not in refused
            ]
        if not refused:
            return None
        soonest = min(refused.values(), key=lambda refusal: refusal.wait_seconds)
        upstream = usable[soonest.upstream_id]
        return permits.acquire(request_id, upstream, is_last=True) or upstream

    def _may_retry(self, job: Job, progress: Progress, now_seconds: float) -> bool:
        """Tell whether the request may be retried after a timeout."""
        return (
            job.route.is_retryable
            and progress.sends + 1 < job.route.max_attempts
            and self._context.budget.has_retry(job.service.name, now_seconds)
        )


def may_attempt(job: Job, progress: Progress, now_seconds: float) -> bool:
    """
    Tell whether a request may be sent to a further upstream.

    :param job: The request.
    :param progress: The attempts so far.
    :param now_seconds: Monotonic time.
    """
    if now_seconds >= job.end_seconds:
        return False
    if progress.sends >= job.route.max_attempts:
        return False
    if progress.connect_failures >= MAX_CONNECT_FAILURES:
        return False
    if progress.failed_prefills >= MAX_FAILED_PREFILLS:
        return False
    return job.route.is_retryable or not progress.may_have_run


def blocked_refusal(
    context: RelayContext,
    job: Job,
    progress: Progress,
    block: PartBlock,
    now_seconds: float,
) -> RequestEnded:
    """
    Return the refusal of a request that crashes upstreams.

    :param context: Dependencies shared by the relays of the process.
    :param job: The request.
    :param progress: The attempts so far.
    :param block: Why it is not sent.
    :param now_seconds: Monotonic time.
    """
    if progress.may_have_run:
        return final_refusal(context, job, progress, now_seconds)
    return RequestEnded(
        503, RefusalReason.CRASHES_ENGINES, block.until_seconds - now_seconds
    )


def final_refusal(
    context: RelayContext,
    job: Job,
    progress: Progress,
    now_seconds: float,
    no_permit: NoPermit | None = None,
) -> RequestEnded:
    """
    Return the refusal of a request that no upstream answered.

    :param context: Dependencies shared by the relays of the process.
    :param job: The request.
    :param progress: The attempts so far.
    :param now_seconds: Monotonic time.
    :param no_permit: Set if the limits of upstreams have no room for it.
    """
    is_past_deadline = now_seconds >= job.end_seconds
    if progress.may_have_run:
        if is_past_deadline:
            return RequestEnded(504, RefusalReason.TIMED_OUT)
        return RequestEnded(502, RefusalReason.OUTCOME_UNKNOWN)
    if is_past_deadline:
        return RequestEnded(503, RefusalReason.OUT_OF_TIME)
    if no_permit is not None:
        return RequestEnded(503, RefusalReason.UPSTREAM_LIMIT, no_permit.return_seconds)
    return_seconds = context.returns.wait_seconds(
        job.request.request_id, job.service.name, now_seconds, job.homes.zones()
    )
    if return_seconds is not None:
        return RequestEnded(503, RefusalReason.UPSTREAMS_AWAY, return_seconds)
    outside_home = home_refusal(
        job.homes, context.directory, job.service.name, now_seconds
    )
    if outside_home is not None:
        return outside_home
    reason = RefusalReason.NOT_EXECUTED if progress.sends else RefusalReason.NO_UPSTREAM
    return RequestEnded(503, reason, BUSY_RETRY_SECONDS)
