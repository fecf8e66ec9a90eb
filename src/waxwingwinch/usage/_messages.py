"""Messages between processes and records of the log stream ``reports``."""

from attrs import frozen

from waxwingwinch._types import Epoch
from waxwingwinch.codec import message
from waxwingwinch.interfaces import CustomerUsage
from waxwingwinch.usage._rows import UsageRow

#: Name of the log stream of usage reports.
REPORTS_STREAM = "reports"


@message("usage_push")
@frozen
class UsagePush:
    """
    Counters to be replicated by the receiver; acknowledged by an empty reply.

    :param rows: The counters.
    """

    rows: tuple[UsageRow, ...]


@message("usage_request")
@frozen
class UsageRequest:
    """
    Requests an entry's local counters and the replicas it holds.

    :param from_seconds: Earliest requested window start, Unix time, inclusive.
    :param before_seconds: Latest requested window start, Unix time, exclusive.
    """

    from_seconds: int
    before_seconds: int


@message("usage_reply")
@frozen
class UsageReply:
    """
    Reply to :class:`UsageRequest`.

    :param rows: The counters.
    """

    rows: tuple[UsageRow, ...]


@message("window_fixed")
@frozen
class WindowFixed:
    """
    The final counts of a window.

    :param window_start_seconds: Start of the window, Unix time.
    :param window_seconds: Length of the window.
    :param epoch: Fencing token of the process that fixed the window.
    :param supersedes: Offset of the preceding valid record; negative if there
        is none or it has expired from the log.
    :param customers: The counts, ordered by customer.
    :param included: The amount of each counter that is included in the counts,
        also of counters of earlier windows (late usage).
    """

    window_start_seconds: int
    window_seconds: int
    epoch: Epoch
    supersedes: int
    customers: tuple[CustomerUsage, ...]
    included: tuple[UsageRow, ...]

    @property
    def window_end_seconds(self) -> int:
        """End of the window, Unix time."""
        return self.window_start_seconds + self.window_seconds


@message("window_acknowledged")
@frozen
class WindowAcknowledged:
    """
    The platform has acknowledged the report of a window.

    :param window_start_seconds: Start of the window, Unix time.
    """

    window_start_seconds: int
