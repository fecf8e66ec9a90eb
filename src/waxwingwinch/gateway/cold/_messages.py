"""Messages between instances about cold upstreams."""

from attrs import frozen

from waxwingwinch._types import UpstreamId
from waxwingwinch.codec import message


@message("gateway_cold_upstream", is_positional=True)
@frozen
class ColdUpstreamReport:
    """
    An upstream whose answer told the reporting instance that it is cold.

    :param upstream_id: The upstream.
    :param started_ms: Unix time of its start in milliseconds.
    :param remaining_seconds: Time for which it remains cold.
    """

    upstream_id: UpstreamId
    started_ms: int
    remaining_seconds: float
