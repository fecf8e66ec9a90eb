"""Calls to upstreams."""

from http.client import IncompleteRead

from attrs import define, evolve
from urllib3.exceptions import ProtocolError

from waxwingwinch.gateway._job import Job, RelayContext
from waxwingwinch.gateway._limit_log_lines import LimitedRequestSent
from waxwingwinch.gateway._request_log_lines import (
    UpstreamBegan,
    UpstreamFailed,
    UpstreamRejected,
)
from waxwingwinch.gateway._requests import ResponseHead
from waxwingwinch.gateway._telemetry import CounterName
from waxwingwinch.gateway._transport import (
    PendingCall,
    SilentCall,
    UpstreamCall,
    UpstreamResponse,
)
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.cold import NoColdPermit
from waxwingwinch.http import AnswerMissing, ConnectionBroken, ConnectTimedOut, NotSent

#: Status of an upstream that now serves another service or is another
#: incarnation (421 Misdirected Request).
MISDIRECTED_STATUS = 421
#: First status that states a failure of the upstream.
SERVER_ERROR_STATUS = 500


def open_call(
    context: RelayContext,
    job: Job,
    upstream: Upstream,
    call: UpstreamCall,
    now_seconds: float,
    wait_seconds: float,
    silent: SilentCall | None = None,
) -> UpstreamResponse:
    """
    Send a request and wait for the head of its response.

    :param context: Dependencies shared by the relays of the process.
    :param job: The request.
    :param upstream: The upstream to send it to.
    :param call: The call to send.
    :param now_seconds: Monotonic time.
    :param wait_seconds: Longest wait.
    :param silent: An earlier call that is preferred if it goes on before the
        head has arrived.
    :raises NotSent: If no byte of the request left the process.
    :raises AnswerMissing: If no response to this request was received.
    :raises CallDropped: If the earlier call is preferred.
    :raises Cancelled: If it was cancelled before it was sent.
    """
    call = _with_permit(context, job, upstream, call)
    _record_send(context, job, upstream, now_seconds)
    response = context.transport.open(
        upstream, call, job.cancellation, now_seconds, wait_seconds, silent
    )
    _record_head(context, job, upstream, response.head, now_seconds)
    return response


@define(eq=False)
class SentCall:
    """
    A call whose response has not been received.

    :param context: Dependencies shared by the relays of the process.
    :param job: The request.
    :param upstream: The upstream to which it was sent.
    :param pending: The call.
    :param sent_seconds: Monotonic time at which it was sent.
    """

    context: RelayContext
    job: Job
    upstream: Upstream
    pending: PendingCall
    sent_seconds: float

    def receive(self, wait_seconds: float) -> UpstreamResponse:
        """
        Receive the head of the response.

        :param wait_seconds: Longest wait.
        :raises AnswerMissing: If no response to this request was received.
        """
        response = self.pending.receive(wait_seconds)
        _record_head(
            self.context, self.job, self.upstream, response.head, self.sent_seconds
        )
        return response


def send_call(
    context: RelayContext,
    job: Job,
    upstream: Upstream,
    call: UpstreamCall,
    now_seconds: float,
    wait_seconds: float,
) -> SentCall:
    """
    Send a request without waiting for its response.

    :param context: Dependencies shared by the relays of the process.
    :param job: The request.
    :param upstream: The upstream to send it to.
    :param call: The call to send.
    :param now_seconds: Monotonic time.
    :param wait_seconds: Longest wait.
    :raises NotSent: If no byte of the request left the process.
    :raises AnswerMissing: If the connection failed meanwhile.
    :raises Cancelled: If it was cancelled before it was sent.
    """
    call = _with_permit(context, job, upstream, call)
    _record_send(context, job, upstream, now_seconds)
    pending = context.transport.send(
        upstream, call, job.cancellation, now_seconds, wait_seconds
    )
    return SentCall(context, job, upstream, pending, now_seconds)


def silence_error(call: PendingCall | UpstreamResponse, reason: str) -> AnswerMissing:
    """
    Return why a silent call is given up; its error if it has broken off.

    :param call: The call.
    :param reason: The reason if it is still open.
    """
    try:
        call.wait(0.0)
    except AnswerMissing as error:
        return error
    return AnswerMissing(reason)


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
    if isinstance(error, NoColdPermit):
        # The upstream hasn't failed; the decision is logged already.
        return
    if _may_have_restarted(error):
        context.permits.record_failure(upstream)
    now_seconds = context.clock.now_seconds()
    context.telemetry.count(CounterName.UPSTREAM_FAILURES, type(error).__name__)
    context.telemetry.count(CounterName.EJECTIONS, job.service.name)
    match error:
        case ConnectTimedOut():
            record = context.directory.record_unresponsive
        case NotSent():
            record = context.directory.record_unreachable
        case _:
            record = context.directory.record_failure
    ejected_seconds = record(upstream.upstream_id, now_seconds)
    context.capacity.observe_refusal(upstream, now_seconds)
    UpstreamFailed(
        request_id=job.request.request_id,
        upstream_id=upstream.upstream_id,
        error=type(error).__name__,
        reason=str(error),
        avoided_seconds=ejected_seconds,
    ).write()


def _may_have_restarted(error: Exception) -> bool:
    """Tell whether an upstream may have ended; one that is slow has not."""
    broken = (ConnectionError, IncompleteRead, ProtocolError)
    return isinstance(error, NotSent | ConnectionBroken) or isinstance(
        error.__cause__, broken
    )


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
        now_seconds = context.clock.now_seconds()
        context.directory.record_failure(upstream.upstream_id, now_seconds)
        context.capacity.observe_refusal(upstream, now_seconds)
    UpstreamRejected(
        request_id=job.request.request_id,
        upstream_id=upstream.upstream_id,
        status=head.status,
    ).write()


def _with_permit(
    context: RelayContext, job: Job, upstream: Upstream, call: UpstreamCall
) -> UpstreamCall:
    latest_seconds = context.permits.take_cold(job.request.request_id, upstream)
    if latest_seconds is None:
        return call
    return evolve(call, latest_send_seconds=latest_seconds)


def record_status(
    context: RelayContext, upstream: Upstream, head: ResponseHead
) -> None:
    """
    Record whether an upstream's complete response states a failure.

    :param context: Dependencies shared by the relays of the process.
    :param upstream: The upstream.
    :param head: Status and headers of its response.
    """
    now_seconds = context.clock.now_seconds()
    if head.status >= SERVER_ERROR_STATUS:
        context.capacity.observe_refusal(upstream, now_seconds)
    else:
        context.capacity.observe_success(upstream, now_seconds)


def _record_send(
    context: RelayContext, job: Job, upstream: Upstream, now_seconds: float
) -> None:
    recent_sends = context.limits.record_send(
        upstream.upstream_id, upstream.started_ms, now_seconds
    )
    limit = context.limits.get(upstream.upstream_id, upstream.started_ms)
    if limit is not None and limit.limit_per_second is not None:
        context.telemetry.count(CounterName.LIMITED_SENDS, job.service.name)
        LimitedRequestSent(
            request_id=job.request.request_id,
            upstream_id=upstream.upstream_id,
            limit_per_second=limit.limit_per_second,
            limit_age_seconds=now_seconds - limit.observed_seconds,
            recent_sends=recent_sends,
        ).write()


def _record_head(
    context: RelayContext,
    job: Job,
    upstream: Upstream,
    head: ResponseHead,
    sent_seconds: float,
) -> None:
    UpstreamBegan(
        request_id=job.request.request_id,
        upstream_id=upstream.upstream_id,
        status=head.status,
        took_seconds=context.clock.now_seconds() - sent_seconds,
    ).write()
