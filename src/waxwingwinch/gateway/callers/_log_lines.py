"""Log lines on clients that are refused or disconnected."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("callers:disconnected")
class CallersDisconnected(LogLine):
    """
    Connections were closed to free threads or memory for others.

    :param address: The listening address.
    :param reason: What was used up: ``threads`` or ``memory``.
    :param closed: Number of connections closed.
    :param longest_seconds: How long the first of them had let a thread wait.
    :param waiting: Connections that waited for a thread.
    """

    address: str
    reason: str
    closed: int
    longest_seconds: float
    waiting: int


@log_line("callers:head_timed_out")
class HeadTimedOut(LogLine):
    """
    The head of a request didn't arrive whole in time.

    :param address: The listening address.
    :param received_bytes: What had arrived.
    :param after_seconds: Time since its first byte.
    """

    address: str
    received_bytes: int
    after_seconds: float
