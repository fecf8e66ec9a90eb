"""Log lines about the limits that upstreams name."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("limit:changed")
class LimitChanged(LogLine):
    """
    An upstream names another limit than before, or none any more.

    :param upstream_id: The upstream.
    :param limit_per_second: Requests per second that it takes from all
        instances together; None if it names no limit any more.
    :param observed_age_seconds: Time since the observation.
    :param reporter: The instance that observed it; None for this one.
    :param known_per_second: The limit known before; None if there was none.
    :param known_age_seconds: Time since it was last observed.
    """

    upstream_id: str
    limit_per_second: float | None
    observed_age_seconds: float
    reporter: str | None
    known_per_second: float | None
    known_age_seconds: float | None


@log_line("limit:sent")
class LimitedRequestSent(LogLine):
    """
    A request is sent to an upstream that has named a limit.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param limit_per_second: The limit.
    :param limit_age_seconds: Time since the limit was last observed.
    :param recent_sends: Requests that this instance sent to the upstream in
        the past window, this one included.
    """

    request_id: str
    upstream_id: str
    limit_per_second: float
    limit_age_seconds: float
    recent_sends: int


@log_line("limit:decided")
class PermitDecided(LogLine):
    """
    The keeper of a limit decided whether a request may be sent.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param keeper: The instance that keeps the limit.
    :param limit_per_second: The limit.
    :param limit_age_seconds: Time since the limit was last observed.
    :param is_granted: True if the request may be sent.
    :param counted: Requests of all instances in the past window.
    :param share: Fraction of the limit not kept for silent instances.
    :param wait_seconds: Time until the limit has room for a request.
    :param return_seconds: Time after which a refused caller should return.
    :param took_seconds: Duration of the decision.
    """

    request_id: str
    upstream_id: str
    keeper: str
    limit_per_second: float
    limit_age_seconds: float
    is_granted: bool
    counted: int
    share: float
    wait_seconds: float
    return_seconds: float
    took_seconds: float


@log_line("limit:unanswered")
class PermitUnanswered(LogLine):
    """
    The keeper of a limit did not answer, so nothing is sent to the upstream.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param keeper: The instance that keeps the limit.
    :param reason: Details of the error.
    :param took_seconds: Time until the keeper was given up.
    """

    request_id: str
    upstream_id: str
    keeper: str
    reason: str
    took_seconds: float
