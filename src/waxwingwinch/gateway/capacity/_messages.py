"""Messages between instances about measurements of upstreams."""

from attrs import frozen

from waxwingwinch._types import UpstreamId
from waxwingwinch.codec import message


@message("gateway_capacity_row", is_positional=True)
@frozen
class CapacityRow:
    """
    Recent measurements of one incarnation of an upstream by the reporter.

    :param sequence: Increases with each row of the reporting process.
    :param upstream_id: The upstream.
    :param started_ms: Unix time of its start in milliseconds.
    :param phase: The measured phase, see :class:`Phase`.
    :param difference_percent: Mean logarithm of the measurements relative to
        the service's mean, in hundredths.
    :param tenths: Weight of the measurements, in tenths of a sample.
    :param requests: Requests that ended, as counted for failures.
    :param failures: Those of them that failed or were refused.
    :param age_tenths: Time since the last measurement, in tenths of a second.
    """

    sequence: int
    upstream_id: UpstreamId
    started_ms: int
    phase: int
    difference_percent: int
    tenths: int
    requests: int = 0
    failures: int = 0
    age_tenths: int = 0
