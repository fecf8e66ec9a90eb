"""The append-only log in memory."""

import collections
import math
import threading

from attrs import define, frozen

from waxwing_testbed.standins._settings import LogSettings
from waxwingwinch._exceptions import PlatformRefused, RecordsExpired
from waxwingwinch._types import LogPage, LogRecord

#: Records in one page at most.
_PAGE_RECORDS = 1_000


@frozen
class _Stored:
    record: LogRecord
    appended_at_seconds: float


@define
class _Stream:
    rows: collections.deque[_Stored]
    end_offset: int = 0

    @property
    def first_offset(self) -> int:
        return self.rows[0].record.offset if self.rows else self.end_offset


class LogStore:
    """
    Streams of records with dense offsets, a retention and a rate limit.

    :param settings: The limits.
    """

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._streams: dict[str, _Stream] = {}
        self._condition = threading.Condition()
        self._tokens = float(settings.append_burst)
        self._refilled_at_seconds: float | None = None

    def append(self, stream: str, payloads: list[bytes], now_seconds: float) -> int:
        """
        Append records next to each other.

        :param stream: Name of the stream.
        :param payloads: One entry for each record.
        :param now_seconds: Present time.
        :returns: The offset of the first record.
        :raises PlatformRefused: If the append rate is exceeded.
        """
        with self._condition:
            self._take_token(now_seconds)
            target = self._stream(stream)
            first_offset = target.end_offset
            for payload in payloads:
                record = LogRecord(target.end_offset, payload)
                target.rows.append(_Stored(record, now_seconds))
                target.end_offset += 1
            self._expire(target, now_seconds)
            self._condition.notify_all()
            return first_offset

    def read(self, stream: str, from_offset: int, now_seconds: float) -> LogPage:
        """
        Read records.

        :param stream: Name of the stream.
        :param from_offset: The first wanted offset.
        :param now_seconds: Present time.
        :raises RecordsExpired: If that offset is no longer held.
        """
        with self._condition:
            source = self._stream(stream)
            self._expire(source, now_seconds)
            first_offset = source.first_offset
            if from_offset < first_offset:
                raise RecordsExpired(first_offset)
            start = from_offset - first_offset
            stop = min(start + _PAGE_RECORDS, len(source.rows))
            records = tuple(source.rows[n].record for n in range(start, stop))
            return LogPage(first_offset, source.end_offset, records)

    def wait(self, stream: str, from_offset: int, timeout_seconds: float) -> None:
        """
        Wait until a record is there.

        :param stream: Name of the stream.
        :param from_offset: The wanted offset.
        :param timeout_seconds: Longest wait.
        """
        with self._condition:
            self._condition.wait_for(
                lambda: self._stream(stream).end_offset > from_offset, timeout_seconds
            )

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream(collections.deque()))

    def _expire(self, stream: _Stream, now_seconds: float) -> None:
        limit = self._settings.max_records or math.inf
        while len(stream.rows) > limit:
            stream.rows.popleft()
        oldest_seconds = now_seconds - (self._settings.max_age_seconds or math.inf)
        while stream.rows and stream.rows[0].appended_at_seconds < oldest_seconds:
            stream.rows.popleft()

    def _take_token(self, now_seconds: float) -> None:
        rate = self._settings.appends_per_second
        if rate <= 0:
            return
        if self._refilled_at_seconds is not None:
            self._tokens += (now_seconds - self._refilled_at_seconds) * rate
        self._refilled_at_seconds = now_seconds
        self._tokens = min(self._tokens, float(self._settings.append_burst))
        if self._tokens < 1:
            raise PlatformRefused("append rate exceeded", (1 - self._tokens) / rate)
        self._tokens -= 1
