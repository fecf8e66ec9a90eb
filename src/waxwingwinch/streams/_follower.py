"""Reads a stream in log order, in one thread."""

import threading
from collections.abc import Callable
from typing import Any

import eliot
from attrs import frozen

from waxwingwinch._exceptions import (
    MalformedMessage,
    PlatformRefused,
    PlatformUnavailable,
    RecordsExpired,
)
from waxwingwinch._types import LogPage, LogRecord
from waxwingwinch.interfaces import PlatformLog
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.streams._envelope import Deduplicator, decode_envelope
from waxwingwinch.streams._writer import RecordId

#: How long the platform may hold a read (long poll) without new records.
POLL_WAIT_SECONDS = 1.0
#: Time-out of a read, the long poll included.
READ_TIMEOUT_SECONDS = 2.0
#: Pause after a failed read.
RETRY_PAUSE_SECONDS = 0.2


@frozen
class AppliedRecord:
    """
    A decoded record, as passed to the ``apply`` callback.

    :param offset: Position of the record in the stream.
    :param record_id: Identity of the record.
    :param body: The decoded message.
    :param now_seconds: Monotonic time at which it was read.
    """

    offset: int
    record_id: RecordId
    body: Any
    now_seconds: float


class StreamFollower:
    """
    Applies the records of one stream in log order.

    :param log: The platform's log.
    :param stream: Name of the stream.
    :param clock: Source of the present time.
    :param apply: Called from one thread with each record; duplicates are
        dropped.
    :param from_offset: Offset of the first read; if it has expired, reading
        starts at the oldest record that the log holds.
    :param on_expired: Called with the oldest offset that the log holds when
        the records before it expired unread; the owner decides whether its
        state is still complete.
    """

    def __init__(
        self,
        log: PlatformLog,
        stream: str,
        clock: Clock,
        apply: Callable[[AppliedRecord], None],
        from_offset: int = 0,
        on_expired: Callable[[int], None] | None = None,
    ) -> None:
        self._log = log
        self._stream = stream
        self._clock = clock
        self._apply = apply
        self._on_expired = on_expired
        self._next_offset = from_offset
        self._first_offset = 0
        self._caught_up_seconds: float | None = None
        self._deduplicator = Deduplicator()
        self._condition = threading.Condition()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"follower-{stream}", daemon=True
        )

    def start(self) -> None:
        """Start the reading thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the reading thread."""
        self._stopping.set()
        self._thread.join()

    def health(self) -> Health:
        """
        Return ``STARTING`` until the end of the stream was reached once.

        After that, return ``DEGRADED`` while the end was not reached within
        6 s, twice the sum of the long poll and the time-out of a read.
        """
        if self._caught_up_seconds is None:
            return Health.STARTING
        age_seconds = self._clock.now_seconds() - self._caught_up_seconds
        if age_seconds > 2 * (POLL_WAIT_SECONDS + READ_TIMEOUT_SECONDS):
            return Health.DEGRADED
        return Health.HEALTHY

    @property
    def next_offset(self) -> int:
        """Offset of the next record; earlier ones are applied or skipped."""
        with self._condition:
            return self._next_offset

    @property
    def first_offset(self) -> int:
        """The oldest offset that the log held at the last read."""
        with self._condition:
            return self._first_offset

    @property
    def caught_up_seconds(self) -> float | None:
        """
        The latest time up to which all records are known to be applied.

        It is the monotonic time before the last read that reached the end of
        the stream was sent. None before the first such read.
        """
        with self._condition:
            return self._caught_up_seconds

    def wait_until(self, predicate: Callable[[], bool], timeout_seconds: float) -> bool:
        """
        Wait until applied records make a predicate true.

        :param predicate: Evaluated at first and after each applied page.
        :param timeout_seconds: Longest time to wait.
        :returns: The last value of the predicate.
        """
        with self._condition:
            return self._condition.wait_for(predicate, timeout_seconds)

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._read_once():
                self._stopping.wait(RETRY_PAUSE_SECONDS)

    def _read_once(self) -> bool:
        """Read one page; return False if the log was down or refused."""
        sent_seconds = self._clock.now_seconds()
        try:
            page = self._log.read(
                self._stream, self._next_offset, POLL_WAIT_SECONDS, READ_TIMEOUT_SECONDS
            )
        except RecordsExpired as error:
            self._skip_to(error.first_offset)
            return True
        except (PlatformUnavailable, PlatformRefused):
            return False
        self._apply_page(page, sent_seconds)
        return True

    def _apply_page(self, page: LogPage, sent_seconds: float) -> None:
        for record in page.records:
            self._apply_record(record)
        with self._condition:
            if page.records:
                self._next_offset = page.records[-1].offset + 1
            self._first_offset = page.first_offset
            if self._next_offset >= page.end_offset:
                self._caught_up_seconds = sent_seconds
            self._condition.notify_all()

    def _apply_record(self, record: LogRecord) -> None:
        try:
            envelope, body = decode_envelope(record.payload)
        except MalformedMessage as error:
            # Every reader skips a malformed record, so their states agree.
            eliot.log_message(
                "stream:malformed_record",
                stream=self._stream,
                offset=record.offset,
                reason=str(error),
            )
            return
        if not self._deduplicator.accept(envelope):
            return
        record_id = RecordId(envelope.writer_id, envelope.sequence)
        now_seconds = self._clock.now_seconds()
        self._apply(AppliedRecord(record.offset, record_id, body, now_seconds))

    def _skip_to(self, first_offset: int) -> None:
        eliot.log_message(
            "stream:records_expired",
            stream=self._stream,
            wanted_offset=self._next_offset,
            first_offset=first_offset,
        )
        if self._on_expired is not None:
            self._on_expired(first_offset)
        with self._condition:
            self._next_offset = first_offset
