"""Records connections that are closed without an answer to a request."""

import enum
import threading

from waxwingwinch.gateway._request_log_lines import CallerLeftUnanswered
from waxwingwinch.gateway._telemetry import CounterName, Telemetry


class UnansweredStage(enum.Enum):
    """How far a request was when its connection was closed."""

    #: It had arrived, and nothing of it was read.
    UNREAD = "unread"
    #: It was being read or answered.
    READING = "reading"
    #: It was cancelled at its upstream.
    PASSED_ON = "passed_on"


class BoundReason(enum.Enum):
    """Why a connection was closed although its client would have kept it."""

    #: Its thread was needed for others.
    THREADS = "threads"
    #: Its memory was needed for others.
    MEMORY = "memory"
    #: Its descriptor was needed for others.
    DESCRIPTORS = "descriptors"
    #: The head of its request wasn't whole in time.
    HEAD_TIMEOUT = "head_timeout"


class UnansweredConnections:
    """
    Counts and logs connections closed without an answer; thread-safe.

    :param telemetry: Receives the counts.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._counts = dict.fromkeys(UnansweredStage, 0)
        self._lock = threading.Lock()

    def record(self, stage: UnansweredStage, age_seconds: float, is_kept: bool) -> None:
        """
        Record a connection on which a request may have arrived.

        :param stage: How far the request was.
        :param age_seconds: Time since the connection was accepted, or became
            readable again.
        :param is_kept: True if it has carried a request before.
        """
        with self._lock:
            self._counts[stage] += 1
        self._telemetry.count(CounterName.UNANSWERED_CONNECTIONS, stage.value)
        CallerLeftUnanswered(
            stage=stage.value, age_seconds=age_seconds, is_kept=is_kept
        ).write()

    def record_bound(self, reason: BoundReason, count: int = 1) -> None:
        """
        Count connections that a bound has closed.

        :param reason: The bound.
        :param count: Number of connections.
        """
        for _ in range(count):
            self._telemetry.count(CounterName.BOUNDED_CONNECTIONS, reason.value)

    def count(self, stage: UnansweredStage) -> int:
        """
        Return the number of connections closed at a stage.

        :param stage: How far their requests were.
        """
        with self._lock:
            return self._counts[stage]
