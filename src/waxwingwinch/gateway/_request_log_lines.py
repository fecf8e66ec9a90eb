"""Log lines about individual requests."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("quota:exceeded")
class QuotaExceeded(LogLine):
    """
    A request was refused because its customer's quota is used up.

    :param request_id: Id of the request.
    :param customer: Customer of the request.
    :param cost: Units of quota that the request consumes.
    :param used: Units used and not yet replenished at the rate.
    :param rate_per_second: Units per second that the customer may use.
    :param burst: Units that the customer may use at once.
    :param share: Fraction of the quota not assigned to silent instances.
    :param silent_peers: Instances without recent reports, assumed to use the
        rest of the quota.
    :param wait_seconds: Time until the request would be admitted.
    """

    request_id: str
    customer: str | None
    cost: float
    used: float
    rate_per_second: float
    burst: float
    share: float
    silent_peers: int
    wait_seconds: float


@log_line("admission:refused")
class AdmissionRefused(LogLine):
    """
    A request was refused because no engine could serve it in time.

    :param request_id: Id of the request.
    :param route: Name of the route.
    :param expected_seconds: Estimated time to the first event.
    :param own_seconds: Part of the estimate that idle engines would need.
    :param target_seconds: The latency objective.
    :param left_seconds: Time until the request's deadline.
    :param engines: Number of engines considered.
    """

    request_id: str
    route: str
    expected_seconds: float
    own_seconds: float
    target_seconds: float
    left_seconds: float
    engines: int


@log_line("request:placed")
class RequestPlaced(LogLine):
    """
    The engines for a generation were chosen.

    :param request_id: Id of the request.
    :param route: Name of the route.
    :param entries_age_seconds: Time since the upstreams' records were last
        read from the store; None if never.
    :param prompt_tokens: Length of the prompt in tokens.
    :param placement: The placement with its estimates.
    :param engines: Number of engines considered.
    :param parts: Ids of the shared parts of the prompt.
    """

    request_id: str
    route: str
    entries_age_seconds: float | None
    prompt_tokens: int
    placement: str
    engines: int
    parts: tuple[str, ...]


@log_line("request:sent")
class RequestSent(LogLine):
    """
    The upstream for a request with an unstreamed response was chosen.

    :param request_id: Id of the request.
    :param route: Name of the route.
    :param entries_age_seconds: Time since the upstreams' records were last
        read from the store; None if never.
    :param upstream_id: The upstream.
    :param running: Estimated number of requests running at the upstream.
    :param options: Number of upstreams considered.
    :param sends: Number of upstreams that the request was sent to, this one
        included.
    """

    request_id: str
    route: str
    entries_age_seconds: float | None
    upstream_id: str
    running: int
    options: int
    sends: int


@log_line("upstream:began")
class UpstreamBegan(LogLine):
    """
    The head of an upstream's response has arrived.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param status: HTTP status.
    :param took_seconds: Time since the request was sent.
    """

    request_id: str
    upstream_id: str
    status: int
    took_seconds: float


@log_line("retry:charged")
class RetryCharged(LogLine):
    """
    Further calls of a request were to be charged to the retry budget.

    :param request_id: Id of the request.
    :param service: Service whose budget is charged.
    :param calls: Calls of the request that reached an upstream so far.
    :param has_prefilled: True if an engine accepted a prefill of the request.
    :param paid: Extra calls of the request charged before.
    :param cost: Extra calls to charge.
    :param is_charged: False if the budget was too low, so that no call is
        made.
    :param level: Available retries of the service afterwards.
    """

    request_id: str
    service: str
    calls: int
    has_prefilled: bool
    paid: int
    cost: int
    is_charged: bool
    level: float


@log_line("upstream:answered")
class UpstreamAnswered(LogLine):
    """
    An upstream sent a complete response.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param status: HTTP status.
    :param took_seconds: Duration of the call.
    """

    request_id: str
    upstream_id: str
    status: int
    took_seconds: float


@log_line("upstream:kept")
class SilentUpstreamKept(LogLine):
    """
    A silent upstream was kept, or went on, instead of being replaced.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param reason: Why it was not replaced.
    """

    request_id: str
    upstream_id: str
    reason: str


@log_line("upstream:failed")
class UpstreamFailed(LogLine):
    """
    An upstream gave no usable response.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param error: Class of the error.
    :param reason: Details of the error.
    :param avoided_seconds: Time for which the upstream is ejected from
        selection.
    """

    request_id: str
    upstream_id: str
    error: str
    reason: str
    avoided_seconds: float


@log_line("upstream:rejected")
class UpstreamRejected(LogLine):
    """
    An upstream rejected a request without executing it.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param status: HTTP status.
    """

    request_id: str
    upstream_id: str
    status: int


@log_line("prompt:read")
class PromptRead(LogLine):
    """
    An engine has prefilled a prompt for another engine.

    :param request_id: Id of the request.
    :param upstream_id: The prefill engine.
    :param read_work: Prefill work, as tokens without attention.
    :param waiting_work: Prefill work queued at the engine before this prompt.
    :param took_seconds: Duration of the prefill.
    :param pace: Learned prefill duration of the engine, relative to the
        expected.
    """

    request_id: str
    upstream_id: str
    read_work: int
    waiting_work: int
    took_seconds: float
    pace: float


@log_line("stream:first_event")
class FirstEvent(LogLine):
    """
    The first event of a generation is forwarded to the caller.

    :param request_id: Id of the request.
    :param route: Name of the route.
    :param sends: Number of upstreams that the request was sent to.
    :param took_seconds: Time since the request arrived.
    :param expected_seconds: Estimated time to the first event.
    :param placement: Class name of the placement.
    """

    request_id: str
    route: str
    sends: int
    took_seconds: float
    expected_seconds: float
    placement: str


@log_line("stream:broken_off")
class StreamAborted(LogLine):
    """
    A stream was aborted because it could not be resumed.

    :param request_id: Id of the request.
    :param sends: Number of upstreams that the request was sent to.
    :param events: Number of events forwarded to the caller.
    :param reason: Why no other engine resumed it.
    """

    request_id: str
    sends: int
    events: int
    reason: str


@log_line("stream:silent")
class StreamSilent(LogLine):
    """
    The engine of a stream that has begun sent nothing for a while.

    :param request_id: Id of the request.
    :param upstream_id: The engine.
    :param events: Number of events forwarded to the caller.
    :param silent_seconds: Time without data.
    """

    request_id: str
    upstream_id: str
    events: int
    silent_seconds: float


@log_line("request:answered")
class RequestAnswered(LogLine):
    """
    A request was answered with a response of an upstream.

    :param request_id: Id of the request.
    :param route: Name of the route.
    :param customer: Customer of the request.
    :param version: Version of the configuration; 0 if none is known.
    :param took_seconds: Time since the request arrived.
    :param target_seconds: The latency objective.
    """

    request_id: str
    route: str
    customer: str | None
    version: int
    took_seconds: float
    target_seconds: float


@log_line("request:refused")
class RequestRefused(LogLine):
    """
    A request was refused with a response of the gateway itself.

    :param request_id: Id of the request.
    :param version: Version of the configuration; 0 if none is known.
    :param status: HTTP status.
    :param reason: Value of the :class:`RefusalReason`.
    :param retry_after_seconds: Value of ``Retry-After``; None if not sent.
    :param took_seconds: Time since the request arrived.
    """

    request_id: str
    version: int
    status: int
    reason: str
    retry_after_seconds: float | None
    took_seconds: float


@log_line("request:caller_gone")
class CallerConnectionClosed(LogLine):
    """
    A caller disconnected before the response was complete.

    :param request_id: Id of the request; None if it could not be read.
    :param reason: Details of the error.
    """

    request_id: str | None
    reason: str


@log_line("caller:left_unanswered")
class CallerLeftUnanswered(LogLine):
    """
    A connection was closed without an answer; a request may have arrived.

    :param stage: How far the request was (unread, reading or passed_on).
    :param age_seconds: Time since the connection was accepted, or became
        readable again.
    :param is_kept: True if the connection has carried a request before.
    """

    stage: str
    age_seconds: float
    is_kept: bool


@log_line("request:second_response_dropped")
class SecondResponseDropped(LogLine):
    """
    A request already had a response; the connection is closed instead.

    :param status: HTTP status of the response that was not written.
    """

    status: int


@log_line("request:malformed")
class RequestMalformed(LogLine):
    """
    A caller sent a malformed or oversized request.

    :param status: HTTP status of the response.
    :param reason: What is wrong with the request.
    """

    status: int
    reason: str
