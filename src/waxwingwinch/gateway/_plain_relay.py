"""Relaying a request to a plain service."""

from attrs import frozen

from waxwingwinch._types import EngineRole
from waxwingwinch.gateway._connections import Cancelled
from waxwingwinch.gateway._job import (
    BUSY_RETRY_SECONDS,
    CONNECT_FAILURES_MAX,
    FAILED_READINGS_MAX,
    Job,
    Progress,
    RelayTools,
    raise_if_caller_left,
)
from waxwingwinch.gateway._loads import NO_LOAD
from waxwingwinch.gateway._outcomes import (
    RefusalReason,
    RequestEnded,
    Responder,
)
from waxwingwinch.gateway._placement import PlainOption, place_plain
from waxwingwinch.gateway._request_lines import (
    RequestSent,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamRejected,
)
from waxwingwinch.gateway._requests import AnswerHead
from waxwingwinch.gateway._telemetry import CounterName
from waxwingwinch.gateway._transport import Run
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.http import AnswerMissing, NotSent

#: How long an answer that may be asked for again is waited for, relative to
#: the latency objective of its route.
REPEAT_AFTER_TARGETS = 2.0
#: Status of an upstream that serves another service or incarnation now.
MISDIRECTED_STATUS = 421


@frozen
class _WholeAnswer:
    """
    An answer of an upstream.

    :param head: Status and headers.
    :param body: The whole body.
    """

    head: AnswerHead
    body: bytes


class PlainRelay:
    """
    Relays requests whose answers are passed on whole.

    :param tools: What the relays of the process share.
    """

    def __init__(self, tools: RelayTools) -> None:
        self._tools = tools

    def serve(self, job: Job, responder: Responder) -> None:
        """
        Get an answer and write it.

        :param job: The request.
        :param responder: Writes the answer.
        :raises RequestEnded: If there is none to pass on.
        :raises CallerLost: If the caller has gone.
        """
        answer = self._answer(job)
        self._tools.telemetry.record_answer(
            job.customer_id,
            job.route.name,
            self._tools.clock.now_seconds() - job.request.arrived_seconds,
            job.route.target_seconds,
        )
        responder.respond(answer.head.status, answer.head.headers, answer.body)

    def _answer(self, job: Job) -> _WholeAnswer:
        progress = Progress()
        fallback: _WholeAnswer | None = None
        while True:
            now_seconds = self._tools.clock.now_seconds()
            upstream = self._next_upstream(job, progress, now_seconds)
            if upstream is None:
                if fallback is not None:
                    return fallback
                raise give_up(job, progress, now_seconds)
            try:
                answer = self._try(job, upstream, progress)
            except NotSent as error:
                note_failure(self._tools, job, upstream, error)
                progress = progress.not_sent(upstream.upstream_id)
                continue
            except AnswerMissing as error:
                note_failure(self._tools, job, upstream, error)
                progress = progress.ran(upstream.upstream_id)
                continue
            if answer.head.not_executed:
                note_rejection(self._tools, job, upstream, answer.head)
                progress = progress.rejected(upstream.upstream_id)
                continue
            self._tools.directory.succeeded(upstream.upstream_id)
            self._tools.usage.record_start(
                job.customer_id, self._tools.clock.wall_seconds()
            )
            if answer.head.status < 500 or not job.route.is_repeatable:
                return answer
            fallback = answer
            progress = progress.ran(upstream.upstream_id)

    def _next_upstream(
        self, job: Job, progress: Progress, now_seconds: float
    ) -> Upstream | None:
        if not may_try(job, progress, now_seconds):
            return None
        totals = self._tools.loads.totals(now_seconds)
        usable = {
            upstream.upstream_id: upstream
            for upstream in self._tools.directory.usable(
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
        chosen = place_plain(options, self._tools.zone)
        if chosen is None:
            return None
        if progress.sends:
            if not self._tools.budget.spend(job.service.name, now_seconds):
                return None
            self._tools.telemetry.count(CounterName.REPEATS, job.service.name)
        RequestSent(
            request_id=job.request.request_id,
            route=job.route.name,
            entries_age_seconds=self._tools.directory.age_seconds(now_seconds),
            upstream_id=chosen,
            running=totals.get(chosen, NO_LOAD).running,
            options=len(options),
            sends=progress.sends + 1,
        ).write()
        return usable[chosen]

    def _may_repeat(self, job: Job, progress: Progress, now_seconds: float) -> bool:
        """Tell whether leaving an upstream that is silent could help."""
        return (
            job.route.is_repeatable
            and progress.sends + 1 < job.route.max_attempts
            and self._tools.budget.has_repeat(job.service.name, now_seconds)
        )

    def _try(self, job: Job, upstream: Upstream, progress: Progress) -> _WholeAnswer:
        now_seconds = self._tools.clock.now_seconds()
        wait_seconds = job.end_seconds - now_seconds
        if self._may_repeat(job, progress, now_seconds):
            patience_seconds = REPEAT_AFTER_TARGETS * job.route.target_seconds
            wait_seconds = min(wait_seconds, max(patience_seconds, wait_seconds / 3))
        ticket = self._tools.loads.begin(upstream.upstream_id, 0)
        try:
            answer = self._tools.transport.open(
                upstream,
                job.call(Run()),
                job.cancellation,
                now_seconds,
                wait_seconds,
            )
            try:
                left_seconds = (
                    now_seconds + wait_seconds - self._tools.clock.now_seconds()
                )
                body = answer.read_all(left_seconds)
            except AnswerMissing:
                answer.abort()
                raise
            answer.finish()
            if answer.head.is_success and not answer.head.is_signed:
                raise AnswerMissing("the upstream did not sign a success")
            UpstreamAnswered(
                job.request.request_id,
                upstream.upstream_id,
                answer.head.status,
                self._tools.clock.now_seconds() - now_seconds,
            ).write()
            return _WholeAnswer(answer.head, body)
        except (AnswerMissing, Cancelled) as error:
            raise_if_caller_left(job, error)
            raise
        finally:
            ticket.end()


def note_failure(
    tools: RelayTools, job: Job, upstream: Upstream, error: Exception
) -> None:
    """
    Remember that an upstream could not be used.

    :param tools: What the relays of the process share.
    :param job: The request.
    :param upstream: The upstream.
    :param error: What happened.
    """
    now_seconds = tools.clock.now_seconds()
    tools.telemetry.count(CounterName.UPSTREAM_FAILURES, type(error).__name__)
    tools.telemetry.count(CounterName.EJECTIONS, job.service.name)
    if isinstance(error, NotSent):
        out_seconds = tools.directory.unreached(upstream.upstream_id, now_seconds)
    else:
        out_seconds = tools.directory.failed(upstream.upstream_id, now_seconds)
    UpstreamFailed(
        request_id=job.request.request_id,
        upstream_id=upstream.upstream_id,
        error=type(error).__name__,
        reason=str(error),
        avoided_seconds=out_seconds,
    ).write()


def note_rejection(
    tools: RelayTools, job: Job, upstream: Upstream, head: AnswerHead
) -> None:
    """
    Remember that an upstream did not run a request.

    :param tools: What the relays of the process share.
    :param job: The request.
    :param upstream: The upstream.
    :param head: Its answer.
    """
    if head.status == MISDIRECTED_STATUS:
        tools.directory.misdirected(upstream)
    else:
        tools.directory.failed(upstream.upstream_id, tools.clock.now_seconds())
    UpstreamRejected(
        request_id=job.request.request_id,
        upstream_id=upstream.upstream_id,
        status=head.status,
    ).write()


def may_try(job: Job, progress: Progress, now_seconds: float) -> bool:
    """
    Tell whether a request may be sent to a further upstream.

    :param job: The request.
    :param progress: What was tried.
    :param now_seconds: Monotonic time.
    """
    if now_seconds >= job.end_seconds:
        return False
    if progress.sends >= job.route.max_attempts:
        return False
    if progress.connect_failures >= CONNECT_FAILURES_MAX:
        return False
    if progress.failed_readings >= FAILED_READINGS_MAX:
        return False
    return job.route.is_repeatable or not progress.may_have_run


def give_up(job: Job, progress: Progress, now_seconds: float) -> RequestEnded:
    """
    Return the final answer to a request that no upstream answered.

    :param job: The request.
    :param progress: What was tried.
    :param now_seconds: Monotonic time.
    """
    is_late = now_seconds >= job.end_seconds
    if progress.may_have_run:
        if is_late:
            return RequestEnded(504, RefusalReason.TIMED_OUT)
        return RequestEnded(502, RefusalReason.OUTCOME_UNKNOWN)
    if is_late:
        return RequestEnded(503, RefusalReason.OUT_OF_TIME)
    reason = RefusalReason.NOT_EXECUTED if progress.sends else RefusalReason.NO_UPSTREAM
    return RequestEnded(503, reason, BUSY_RETRY_SECONDS)
