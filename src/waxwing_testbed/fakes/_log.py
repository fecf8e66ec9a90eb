"""A log in memory, with faults."""

import enum
import threading
from collections.abc import Sequence

from waxwingwinch._exceptions import PlatformUnavailable, RecordsExpired
from waxwingwinch._types import LogPage, LogRecord


class AppendFault(enum.Enum):
    """What goes wrong with an append."""

    #: The append takes effect and its answer is lost.
    ANSWER_LOST = "answer_lost"
    #: The append is lost; the writer can't tell.
    REQUEST_LOST = "request_lost"
    #: The connection is refused.
    REFUSED = "refused"
    #: The append takes effect after the next one.
    DELAYED = "delayed"


class MemoryLog:
    """A log whose next appends can be told to fail."""

    def __init__(self) -> None:
        #: Faults of the next appends, in order.
        self.append_faults: list[AppendFault] = []
        #: True while reads and appends get no answer.
        self.is_down = False
        #: Number of appends that took effect, by stream.
        self.append_counts: dict[str, int] = {}
        self._streams: dict[str, list[bytes]] = {}
        self._first_offsets: dict[str, int] = {}
        self._delayed: list[tuple[str, Sequence[bytes]]] = []
        self._condition = threading.Condition()

    def append(
        self, stream: str, payloads: Sequence[bytes], timeout_seconds: float
    ) -> int:
        """Append, or fail as the next fault says."""
        with self._condition:
            if self.is_down:
                raise PlatformUnavailable("down", may_have_taken_effect=False)
            fault = self.append_faults.pop(0) if self.append_faults else None
            match fault:
                case AppendFault.REFUSED:
                    raise PlatformUnavailable("refused", may_have_taken_effect=False)
                case AppendFault.REQUEST_LOST:
                    raise PlatformUnavailable("lost", may_have_taken_effect=True)
                case AppendFault.DELAYED:
                    self._delayed.append((stream, payloads))
                    raise PlatformUnavailable("late", may_have_taken_effect=True)
            offset = self._extend(stream, payloads)
            for late_stream, late_payloads in self._delayed:
                self._extend(late_stream, late_payloads)
            self._delayed.clear()
            self._condition.notify_all()
            if fault is AppendFault.ANSWER_LOST:
                raise PlatformUnavailable("lost", may_have_taken_effect=True)
            return offset

    def read(
        self, stream: str, from_offset: int, wait_seconds: float, timeout_seconds: float
    ) -> LogPage:
        """Read what is there, waiting for the first new record."""
        with self._condition:
            if self.is_down:
                raise PlatformUnavailable("down", may_have_taken_effect=False)
            first_offset = self._first_offsets.get(stream, 0)
            if from_offset < first_offset:
                raise RecordsExpired(first_offset)
            if from_offset >= self._end(stream):
                self._condition.wait(wait_seconds)
            payloads = self._streams.get(stream, [])[from_offset - first_offset :]
            records = tuple(
                LogRecord(from_offset + index, payload)
                for index, payload in enumerate(payloads)
            )
            return LogPage(first_offset, self._end(stream), records)

    def expire(self, stream: str, first_offset: int) -> None:
        """
        Drop the records before an offset.

        :param first_offset: The oldest offset that stays.
        """
        with self._condition:
            dropped = first_offset - self._first_offsets.get(stream, 0)
            self._streams[stream] = self._streams.get(stream, [])[dropped:]
            self._first_offsets[stream] = first_offset

    def _end(self, stream: str) -> int:
        first_offset = self._first_offsets.get(stream, 0)
        return first_offset + len(self._streams.get(stream, []))

    def _extend(self, stream: str, payloads: Sequence[bytes]) -> int:
        offset = self._end(stream)
        self._streams.setdefault(stream, []).extend(payloads)
        self.append_counts[stream] = self.append_counts.get(stream, 0) + 1
        return offset
