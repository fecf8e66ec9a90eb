"""Log lines about the learned capacity of upstreams."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("upstream:capacity")
class CapacityChanged(LogLine):
    """
    The estimate of an upstream has changed much.

    :param upstream_id: The upstream.
    :param started_ms: Unix time of its start in milliseconds.
    :param phase: What was measured.
    :param before: The estimate as it was logged last.
    :param after: The new estimate.
    :param samples: Measurements of the last seconds, of all instances known.
    :param spread: Standard deviation of logarithms of single measurements.
    """

    upstream_id: str
    started_ms: int
    phase: str
    before: float
    after: float
    samples: float
    spread: float
