"""Messages between instances about the limits that upstreams name."""

from attrs import frozen

from waxwingwinch._types import UpstreamId
from waxwingwinch.codec import message


@message("gateway_named_limit", is_positional=True)
@frozen
class NamedLimitReport:
    """
    What an answer to the reporting instance says of an upstream's limit.

    :param upstream_id: The upstream.
    :param started_ms: Unix time of its start in milliseconds.
    :param limit_per_second: Requests per second that it takes from all
        instances together; None if it names no limit any more.
    :param age_seconds: Time since the observation.
    """

    upstream_id: UpstreamId
    started_ms: int
    limit_per_second: float | None
    age_seconds: float


@message("gateway_limited_sends", is_positional=True)
@frozen
class LimitedSends:
    """
    Requests that the reporting instance sent to an upstream with a limit.

    :param sequence: Increases with each entry of the instance.
    :param upstream_id: The upstream.
    :param count: Number of requests.
    :param age_seconds: Time since the last was sent.
    """

    sequence: int
    upstream_id: UpstreamId
    count: int
    age_seconds: float


@message("gateway_permit_request", is_positional=True)
@frozen
class PermitRequest:
    """
    Asks the keeper of a limit whether a request may be sent to its upstream.

    :param upstream_id: The upstream.
    :param started_ms: Unix time of its start in milliseconds.
    :param limit_per_second: The limit known to the asking instance.
    :param limit_age_seconds: Time since the limit was last observed.
    :param is_last: True if the caller is refused without the permit, and told
        when to return.
    :param cold_seconds: Time for which the upstream is cold; 0 if the request
        is about a limit that it names.
    """

    upstream_id: UpstreamId
    started_ms: int
    limit_per_second: float
    limit_age_seconds: float
    is_last: bool
    cold_seconds: float = 0.0


@message("gateway_permit_reply", is_positional=True)
@frozen
class PermitReply:
    """
    Answers whether a request may be sent to an upstream.

    :param is_granted: True if it may be sent now.
    :param wait_seconds: Time until the limit has room for a request; 0 if
        granted.
    :param return_seconds: Time after which a refused caller should return,
        behind those that were refused before; 0 if granted.
    :param counted: Requests that the keeper counts in the past window.
    :param share: Fraction of the limit not kept for silent instances.
    """

    is_granted: bool
    wait_seconds: float
    return_seconds: float
    counted: int
    share: float
