"""Log lines about cold upstreams."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("cold:learned")
class ColdLearned(LogLine):
    """
    An upstream that was not known to be cold is cold.

    :param upstream_id: The upstream.
    :param started_ms: Unix time of its start in milliseconds.
    :param remaining_seconds: Time for which it remains cold.
    :param source: What says so: ``entry``, ``start`` (only its start is
        known), ``answer``, ``failure``, or the id of another instance.
    :param rest_seconds: Time for which it gets no permits, since instances
        that don't know yet may still send to it.
    """

    upstream_id: str
    started_ms: int
    remaining_seconds: float
    source: str
    rest_seconds: float


@log_line("cold:decided")
class ColdDecided(LogLine):
    """
    A keeper decided whether a request may be sent to a cold upstream.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param keeper: The instance that decided.
    :param is_reserve: True if it was asked for its reserved share.
    :param is_granted: True if the request may be sent.
    :param counted: Requests that the keeper granted in the past window.
    :param budget: Requests that it may grant in a window; 0 if it keeps
        nothing of this upstream now.
    :param cold_seconds: Time for which the upstream remains cold.
    :param wait_seconds: Time until there may be room.
    :param took_seconds: Duration of the decision.
    """

    request_id: str
    upstream_id: str
    keeper: str
    is_reserve: bool
    is_granted: bool
    counted: int
    budget: float
    cold_seconds: float
    wait_seconds: float
    took_seconds: float


@log_line("cold:unanswered")
class ColdUnanswered(LogLine):
    """
    A keeper did not answer whether a cold upstream may get a request.

    :param request_id: Id of the request.
    :param upstream_id: The upstream.
    :param keeper: The instance that was asked.
    :param reason: Details of the error.
    :param took_seconds: Time until the keeper was given up.
    """

    request_id: str
    upstream_id: str
    keeper: str
    reason: str
    took_seconds: float


@log_line("cold:own_call_skipped")
class OwnCallSkipped(LogLine):
    """
    A call of the gateway itself isn't sent, since its upstream is cold.

    :param upstream_id: The upstream.
    :param call: Kind of the call.
    """

    upstream_id: str
    call: str
