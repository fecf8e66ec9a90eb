"""Log lines about what answers of upstreams state."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("upstream:leaving")
class UpstreamLeaving(LogLine):
    """
    An answer says that an upstream leaves; it gets no new work.

    :param upstream_id: The upstream.
    :param started_ms: Unix time of its start in milliseconds.
    :param reporter: The instance that was told; None for this one.
    :param registered_state: State of its entry before; None if it has none.
    :param age_seconds: Time since the request, or the report, was sent.
    """

    upstream_id: str
    started_ms: int
    reporter: str | None
    registered_state: str | None
    age_seconds: float


@log_line("upstream:turned_away")
class UpstreamTurnedAway(LogLine):
    """
    An upstream turned a request away and named the time of return.

    :param upstream_id: The upstream.
    :param started_ms: Unix time of its start in milliseconds.
    :param return_seconds: Time for which it wants no request from this
        instance.
    :param sent_age_seconds: Time since the request was sent.
    """

    upstream_id: str
    started_ms: int
    return_seconds: float
    sent_age_seconds: float


@log_line("service:away")
class ServiceAway(LogLine):
    """
    A request is refused, as all upstreams of its service are away.

    :param request_id: Id of the request.
    :param service: Name of the service.
    :param upstreams: Number of its upstreams that are away.
    :param slots: Requests that they serve concurrently.
    :param instances: Instances that accept callers.
    :param earliest_seconds: Time until the first upstream returns.
    :param return_seconds: Time after which the caller should return.
    """

    request_id: str
    service: str
    upstreams: int
    slots: int
    instances: int
    earliest_seconds: float
    return_seconds: float


@log_line("upstream:statement_malformed")
class StatementMalformed(LogLine):
    """
    A statement in an answer has a value that is not allowed, and is ignored.

    :param upstream_id: The upstream.
    :param statement: Name of the statement.
    :param value: The start of the value.
    """

    upstream_id: str
    statement: str
    value: str
