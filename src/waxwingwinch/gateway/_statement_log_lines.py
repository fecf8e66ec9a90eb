"""Log lines about what answers of upstreams state."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("upstream:stated")
class UpstreamStated(LogLine):
    """
    An answer states that its upstream leaves or wants no request for a time.

    :param upstream_id: The upstream.
    :param started_ms: Unix time of its start in milliseconds.
    :param registered_state: State of its entry when the request was sent.
    :param is_leaving: True if it takes no new work any more.
    :param return_seconds: Time for which it wants no request from this
        instance; None if it names none.
    :param sent_age_seconds: Time since the request was sent.
    """

    upstream_id: str
    started_ms: int
    registered_state: str
    is_leaving: bool
    return_seconds: float | None
    sent_age_seconds: float


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
