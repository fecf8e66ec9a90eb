"""Messages between processes and records of the stream ``reports``."""

from attrs import frozen

from waxwingwinch._types import Epoch
from waxwingwinch.codec import message
from waxwingwinch.interfaces import CustomerUsage
from waxwingwinch.usage._rows import UsageRow

#: Name of the stream of reports.
REPORTS_STREAM = "reports"


@message("usage_push")
@frozen
class UsagePush:
    """
    Counters to keep for others; acknowledged by an empty reply.

    :param rows: The counters.
    """

    rows: tuple[UsageRow, ...]


@message("usage_request")
@frozen
class UsageRequest:
    """
    Asks an entry for its own counters and those it keeps for others.

    :param from_seconds: Start of the first wanted window.
    :param before_seconds: End of the wanted windows; Unix time.
    """

    from_seconds: int
    before_seconds: int


@message("usage_reply")
@frozen
class UsageReply:
    """
    Answer to :class:`UsageRequest`.

    :param rows: The counters.
    """

    rows: tuple[UsageRow, ...]


@message("window_fixed")
@frozen
class WindowFixed:
    """
    The figures of a window; they never change.

    :param window_start_seconds: Start of the window, Unix time.
    :param window_seconds: Length of the window.
    :param epoch: Fencing token of the process that fixed it.
    :param supersedes: Offset of the valid record before it; negative if
        there is none or it is gone.
    :param customers: The figures, ordered by customer.
    :param included: What each counter adds to them, also for windows before.
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
    The platform has taken the report of a window.

    :param window_start_seconds: Start of the window, Unix time.
    """

    window_start_seconds: int
