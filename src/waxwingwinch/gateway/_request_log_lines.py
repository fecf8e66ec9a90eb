"""Log lines about single requests."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("quota:exceeded")
class QuotaExceeded(LogLine):
    """
    A request beyond its customer's quota.

    :param request_id: Id of the request.
    :param customer: Whose request it is.
    :param cost: Units that it counts.
    :param used: Units used that the rate has not made up for.
    :param rate_per_second: Units a second that the customer may use.
    :param burst: Units that it may use at once.
    :param share: Part of the quota that this instance may use.
    :param silent_peers: Instances that are taken to use the rest.
    :param wait_seconds: When it would be let in.
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
    A request that engines could not serve in time.

    :param request_id: Id of the request.
    :param route: Name of the route.
    :param expected_seconds: Estimated time to the first event.
    :param own_seconds: The part of it that idle engines would take.
    :param target_seconds: The latency objective.
    :param left_seconds: Time until the caller gives up.
    :param engines: Engines that were considered.
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
    The engines chosen for a generation.

    :param request_id: Id of the request.
    :param route: Name of the route.
    :param entries_age_seconds: Time since the upstreams' entries were
        read; None if never.
    :param prompt_tokens: Length of the prompt.
    :param placement: Where it was placed, with the estimates.
    :param engines: Engines that were considered.
    """

    request_id: str
    route: str
    entries_age_seconds: float | None
    prompt_tokens: int
    placement: str
    engines: int


@log_line("request:sent")
class RequestSent(LogLine):
    """
    The upstream chosen for a whole answer.

    :param request_id: Id of the request.
    :param route: Name of the route.
    :param entries_age_seconds: Time since the upstreams' entries were
        read; None if never.
    :param upstream_id: The upstream.
    :param running: Requests believed to run there.
    :param options: Upstreams that were considered.
    :param sends: Upstreams that it was sent to.
    """

    request_id: str
    route: str
    entries_age_seconds: float | None
    upstream_id: str
    running: int
    options: int
    sends: int


@log_line("upstream:answered")
class UpstreamAnswered(LogLine):
    """
    A whole answer of an upstream.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param status: HTTP status.
    :param took_seconds: Time that it took.
    """

    request_id: str
    upstream_id: str
    status: int
    took_seconds: float


@log_line("upstream:failed")
class UpstreamFailed(LogLine):
    """
    An upstream that gave no answer that could be used.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param error: Type of the failure.
    :param reason: What was seen.
    :param avoided_seconds: How long the upstream is avoided.
    """

    request_id: str
    upstream_id: str
    error: str
    reason: str
    avoided_seconds: float


@log_line("upstream:rejected")
class UpstreamRejected(LogLine):
    """
    An upstream that did not run a request.

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
    A prompt that an engine has read for another.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param read_work: Prompt tokens that were not cached.
    :param waiting_work: Prompt tokens that waited there before.
    :param took_seconds: Time that it took.
    :param pace: Learned pace of the engine, relative to the expected.
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
    The first event of a generation that was passed on.

    :param request_id: Id of the request.
    :param route: Name of the route.
    :param sends: Upstreams that it was sent to.
    :param took_seconds: Time that it took.
    :param expected_seconds: Estimated time to the first event.
    :param placement: Where it was placed, with the estimates.
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
    A stream that could not go on.

    :param request_id: Id of the request.
    :param sends: Upstreams that it was sent to.
    :param events: Events that were passed on.
    """

    request_id: str
    sends: int
    events: int


@log_line("request:answered")
class RequestAnswered(LogLine):
    """
    A request that got an answer of an upstream.

    :param request_id: Id of the request.
    :param route: Name of the route.
    :param customer: Whose request it is.
    :param version: Version of the configuration; 0 if none is known.
    :param took_seconds: Time that it took.
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
    A request that got an answer of the gateway itself.

    :param request_id: Id of the request.
    :param version: Version of the configuration; 0 if none is known.
    :param status: HTTP status.
    :param reason: What was seen.
    :param retry_after_seconds: When the caller may come back; None if not
        told.
    :param took_seconds: Time that it took.
    """

    request_id: str
    version: int
    status: int
    reason: str
    retry_after_seconds: float | None
    took_seconds: float


@log_line("request:caller_gone")
class CallerDisconnected(LogLine):
    """
    A caller who left before the answer.

    :param request_id: Id of the request; None if it was not read.
    :param reason: What was seen.
    """

    request_id: str | None
    reason: str


@log_line("request:malformed")
class RequestMalformed(LogLine):
    """
    Bytes of a caller that are no request.

    :param status: HTTP status.
    :param reason: What was seen.
    """

    status: int
    reason: str
