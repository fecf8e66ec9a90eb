"""Relaying a request to a plain service."""

from attrs import frozen

from waxwingwinch._types import EngineRole, UpstreamId
from waxwingwinch.gateway._connections import Cancelled
from waxwingwinch.gateway._job import (
    BUSY_RETRY_SECONDS,
    MAX_CONNECT_FAILURES,
    MAX_FAILED_PREFILLS,
    Job,
    Progress,
    RelayContext,
    raise_if_caller_disconnected,
)
from waxwingwinch.gateway._loads import NO_LOAD
from waxwingwinch.gateway._outcomes import (
    RefusalReason,
    RequestEnded,
    Responder,
)
from waxwingwinch.gateway._permits import NoPermit
from waxwingwinch.gateway._placement import PlainOption, place_plain
from waxwingwinch.gateway._request_log_lines import (
    RequestSent,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamRejected,
)
from waxwingwinch.gateway._requests import ResponseHead
from waxwingwinch.gateway._retry_payments import charge_calls
from waxwingwinch.gateway._telemetry import CounterName
from waxwingwinch.gateway._transport import FullExecution
from waxwingwinch.gateway._upstream_calls import MISDIRECTED_STATUS, open_call
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.http import AnswerMissing, NotSent

#: Timeout of an attempt that may be retried, relative to the latency
#: objective of the route; at least a third of the remaining time is allowed.
RETRY_AFTER_TARGETS = 2.0


@frozen
class _CompleteResponse:
    """
    A complete response of an upstream.

    :param head: Status and headers.
    :param body: The complete body.
    """

    head: ResponseHead
    body: bytes


class PlainRelay:
    """
    Relays requests whose responses are forwarded unstreamed.

    :param context: Dependencies shared by the relays of the process.
    """

    def __init__(self, context: RelayContext) -> None:
        self._context = context

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
        responder.respond(response.head.status, response.head.headers, response.body)

    def _obtain_response(self, job: Job) -> _CompleteResponse:
        progress = Progress()
        fallback: _CompleteResponse | None = None
        while True:
            now_seconds = self._context.clock.now_seconds()
            upstream, progress = self._choose_upstream(job, progress, now_seconds)
            if upstream is None or isinstance(upstream, NoPermit):
                if fallback is not None:
                    return fallback
                raise final_refusal(job, progress, now_seconds, upstream)
            try:
                response = self._attempt(job, upstream, progress)
            except NotSent as error:
                record_failure(self._context, job, upstream, error)
                progress = progress.with_connect_failure(upstream.upstream_id)
                continue
            except AnswerMissing as error:
                record_failure(self._context, job, upstream, error)
                progress = progress.with_possible_execution(upstream.upstream_id)
                continue
            if response.head.not_executed:
                record_rejection(self._context, job, upstream, response.head)
                progress = progress.with_rejection(upstream.upstream_id)
                continue
            self._context.directory.record_success(upstream.upstream_id)
            self._context.usage.record_start(
                job.customer_id, self._context.clock.wall_seconds()
            )
            if response.head.status < 500 or not job.route.is_retryable:
                return response
            fallback = response
            progress = progress.with_possible_execution(upstream.upstream_id)

    def _choose_upstream(
        self, job: Job, progress: Progress, now_seconds: float
    ) -> tuple[Upstream | NoPermit | None, Progress]:
        """Choose an upstream; also return the progress with its charge."""
        if not may_attempt(job, progress, now_seconds):
            return None, progress
        totals = self._context.loads.totals(now_seconds)
        usable = {
            upstream.upstream_id: upstream
            for upstream in self._context.directory.usable(
                job.service.name, now_seconds, progress.excluded
            )
            if upstream.role is not EngineRole.PREFILL
        }
        options = [
            PlainOption(
                upstream.upstream_id,
                upstream.zone,
                upstream.slots,
                totals.get(upstream.upstream_id, NO_LOAD).running,
                upstream.cold_until_seconds > now_seconds,
            )
            for upstream in usable.values()
        ]
        chosen = self._place_with_permit(job, usable, options)
        if chosen is None or isinstance(chosen, NoPermit):
            return chosen, progress
        planned = progress.arrivals.with_call()
        charged = charge_calls(self._context, job, progress, planned, now_seconds)
        if charged is None:
            return None, progress
        RequestSent(
            request_id=job.request.request_id,
            route=job.route.name,
            entries_age_seconds=self._context.directory.age_seconds(now_seconds),
            upstream_id=chosen.upstream_id,
            running=totals.get(chosen.upstream_id, NO_LOAD).running,
            options=len(options),
            sends=progress.sends + 1,
        ).write()
        return chosen, charged

    def _place_with_permit(
        self, job: Job, usable: dict[UpstreamId, Upstream], options: list[PlainOption]
    ) -> Upstream | NoPermit | None:
        """Choose an upstream whose limit, if it names one, has room."""
        permits, request_id = self._context.permits, job.request.request_id
        refused: dict[UpstreamId, NoPermit] = {}
        remaining = options
        while chosen := place_plain(remaining, self._context.zone):
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

    def _attempt(
        self, job: Job, upstream: Upstream, progress: Progress
    ) -> _CompleteResponse:
        now_seconds = self._context.clock.now_seconds()
        wait_seconds = job.end_seconds - now_seconds
        if self._may_retry(job, progress, now_seconds):
            retry_timeout_seconds = RETRY_AFTER_TARGETS * job.route.target_seconds
            wait_seconds = min(
                wait_seconds, max(retry_timeout_seconds, wait_seconds / 3)
            )
        tracked_request = self._context.loads.begin(upstream.upstream_id, 0)
        try:
            response = open_call(
                self._context,
                job,
                upstream,
                job.call(FullExecution()),
                now_seconds,
                wait_seconds,
            )
            try:
                remaining_seconds = (
                    now_seconds + wait_seconds - self._context.clock.now_seconds()
                )
                body = response.read_all(remaining_seconds)
            except AnswerMissing:
                response.abort()
                raise
            response.finish()
            if response.head.is_success and not response.head.is_signed:
                raise AnswerMissing(
                    "the upstream sent a success response without a signature"
                )
            UpstreamAnswered(
                job.request.request_id,
                upstream.upstream_id,
                response.head.status,
                self._context.clock.now_seconds() - now_seconds,
            ).write()
            return _CompleteResponse(response.head, body)
        except (AnswerMissing, Cancelled) as error:
            raise_if_caller_disconnected(job, error)
            raise
        finally:
            tracked_request.end()


def record_failure(
    context: RelayContext, job: Job, upstream: Upstream, error: Exception
) -> None:
    """
    Record a failed call; the upstream is ejected from selection for a time.

    :param context: Dependencies shared by the relays of the process.
    :param job: The request.
    :param upstream: The upstream.
    :param error: The error of the call.
    """
    now_seconds = context.clock.now_seconds()
    context.telemetry.count(CounterName.UPSTREAM_FAILURES, type(error).__name__)
    context.telemetry.count(CounterName.EJECTIONS, job.service.name)
    if isinstance(error, NotSent):
        ejected_seconds = context.directory.record_unreachable(
            upstream.upstream_id, now_seconds
        )
    else:
        ejected_seconds = context.directory.record_failure(
            upstream.upstream_id, now_seconds
        )
    UpstreamFailed(
        request_id=job.request.request_id,
        upstream_id=upstream.upstream_id,
        error=type(error).__name__,
        reason=str(error),
        avoided_seconds=ejected_seconds,
    ).write()


def record_rejection(
    context: RelayContext, job: Job, upstream: Upstream, head: ResponseHead
) -> None:
    """
    Record that an upstream rejected a request without executing it.

    :param context: Dependencies shared by the relays of the process.
    :param job: The request.
    :param upstream: The upstream.
    :param head: Status and headers of its response.
    """
    if head.status == MISDIRECTED_STATUS:
        context.directory.mark_misdirected(upstream)
    else:
        context.directory.record_failure(
            upstream.upstream_id, context.clock.now_seconds()
        )
    UpstreamRejected(
        request_id=job.request.request_id,
        upstream_id=upstream.upstream_id,
        status=head.status,
    ).write()


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


def final_refusal(
    job: Job,
    progress: Progress,
    now_seconds: float,
    no_permit: NoPermit | None = None,
) -> RequestEnded:
    """
    Return the refusal of a request that no upstream answered.

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
    reason = RefusalReason.NOT_EXECUTED if progress.sends else RefusalReason.NO_UPSTREAM
    return RequestEnded(503, reason, BUSY_RETRY_SECONDS)
