"""Appends records with group commit and idempotent retries."""

import threading
import uuid
from collections import deque

from attrs import frozen

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch.interfaces import PlatformLog
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.streams._envelope import encode_envelope

#: Maximum number of records in one append.
MAX_BATCH_RECORDS = 256
#: Maximum payload of one append in bytes, unless one record alone is larger.
MAX_BATCH_BYTES = 512 * 1_024
#: Time-out of one append, after which it is retried.
APPEND_TIMEOUT_SECONDS = 2.0
#: Pause before an unacknowledged append is retried.
RETRY_PAUSE_SECONDS = 0.1
#: Longest pause after the platform refused an append, as by its rate limit.
MAX_REFUSAL_PAUSE_SECONDS = 1.0


@frozen
class RecordId:
    """
    Identity of a record, the same for all copies that retries append.

    :param writer_id: Name of the writer.
    :param sequence: Sequence number among the writer's records.
    """

    writer_id: str
    sequence: int


class AppendFuture:
    """
    The pending result of appending one record.

    :param record_id: Identity of the record.
    :param deadline_seconds: Monotonic time at which the writer gives up.
    """

    def __init__(self, record_id: RecordId, deadline_seconds: float) -> None:
        #: Identity of the record.
        self.record_id = record_id
        #: Monotonic time at which the writer gives up.
        self.deadline_seconds = deadline_seconds
        #: True once an append of this record failed with an unknown outcome.
        self.may_be_in_log = False
        self._done = threading.Event()
        self._error: PlatformUnavailable | None = None

    def resolve(self, error: PlatformUnavailable | None) -> None:
        """
        Set the result.

        :param error: None if the record is in the log.
        """
        self._error = error
        self._done.set()

    def wait(self) -> None:
        """
        Wait until the record is in the log or the writer gave up.

        :raises PlatformUnavailable: If the writer gave up; the record may be
            in the log if the error's ``may_have_taken_effect`` is set.
        """
        self._done.wait()
        if self._error is not None:
            raise self._error


@frozen
class _PendingRecord:
    """
    A record that is not acknowledged yet.

    :param future: Receives the result.
    :param payload: The encoded envelope.
    """

    future: AppendFuture
    payload: bytes


class StreamWriter:
    """
    Appends messages to one stream from one thread.

    Records that are submitted while an append is in progress are sent
    together in the next append (group commit).

    :param log: The platform's log.
    :param stream: Name of the stream.
    :param clock: Source of the present time for the deadlines.
    :param max_batch_records: Maximum number of records in one append; 1 turns
        group commit off.
    """

    def __init__(
        self,
        log: PlatformLog,
        stream: str,
        clock: Clock,
        max_batch_records: int = MAX_BATCH_RECORDS,
    ) -> None:
        self._log = log
        self._stream = stream
        self._clock = clock
        self._max_batch_records = max_batch_records
        self._writer_id = uuid.uuid4().hex
        self._sequence = 0
        self._pending: deque[_PendingRecord] = deque()
        self._condition = threading.Condition()
        self._is_stopping = False
        self._is_failing = False
        self._thread = threading.Thread(
            target=self._run, name=f"writer-{stream}", daemon=True
        )

    def start(self) -> None:
        """Start the appending thread."""
        self._thread.start()

    def stop(self) -> None:
        """Append or give up the pending records, then end the thread."""
        with self._condition:
            self._is_stopping = True
            self._condition.notify_all()
        self._thread.join()

    def health(self) -> Health:
        """Return ``DEGRADED`` while the platform does not answer appends."""
        return Health.DEGRADED if self._is_failing else Health.HEALTHY

    def submit(self, body: object, timeout_seconds: float) -> AppendFuture:
        """
        Queue a message without waiting.

        :param body: An instance of a registered message class.
        :param timeout_seconds: Time after which the writer gives up.
        """
        deadline_seconds = self._clock.now_seconds() + timeout_seconds
        with self._condition:
            self._sequence += 1
            record_id = RecordId(self._writer_id, self._sequence)
            future = AppendFuture(record_id, deadline_seconds)
            payload = encode_envelope(self._writer_id, self._sequence, body)
            self._pending.append(_PendingRecord(future, payload))
            self._condition.notify_all()
        return future

    def append(self, body: object, timeout_seconds: float) -> RecordId:
        """
        Append a message and wait for the acknowledgement.

        :param body: An instance of a registered message class.
        :param timeout_seconds: Time after which the writer gives up.
        :raises PlatformUnavailable: If the writer gave up.
        """
        future = self.submit(body, timeout_seconds)
        future.wait()
        return future.record_id

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            self._send(batch)

    def _next_batch(self) -> list[_PendingRecord] | None:
        with self._condition:
            while not self._pending:
                if self._is_stopping:
                    return None
                self._condition.wait()
            batch: list[_PendingRecord] = []
            size_bytes = 0
            while self._pending and len(batch) < self._max_batch_records:
                size_bytes += len(self._pending[0].payload)
                if batch and size_bytes > MAX_BATCH_BYTES:
                    break
                batch.append(self._pending.popleft())
            return batch

    def _send(self, batch: list[_PendingRecord]) -> None:
        """Retry one batch until each record is acknowledged or given up."""
        while True:
            batch = self._drop_expired(batch, self._clock.now_seconds())
            if not batch:
                return
            pause_seconds = self._try_append(batch)
            if pause_seconds is None:
                return
            # The predicate is never true, so this waits for the whole pause.
            with self._condition:
                self._condition.wait_for(lambda: False, timeout=pause_seconds)

    def _try_append(self, batch: list[_PendingRecord]) -> float | None:
        """
        Try one append.

        :returns: None if acknowledged, else the pause in seconds before the
            next attempt.
        """
        payloads = [pending.payload for pending in batch]
        try:
            self._log.append(self._stream, payloads, APPEND_TIMEOUT_SECONDS)
        except PlatformUnavailable as error:
            self._is_failing = True
            if error.may_have_taken_effect:
                for pending in batch:
                    pending.future.may_be_in_log = True
            return RETRY_PAUSE_SECONDS
        except PlatformRefused as error:
            pause_seconds = error.retry_after_seconds or RETRY_PAUSE_SECONDS
            return min(pause_seconds, MAX_REFUSAL_PAUSE_SECONDS)
        self._is_failing = False
        for pending in batch:
            pending.future.resolve(None)
        return None

    def _drop_expired(
        self, batch: list[_PendingRecord], now_seconds: float
    ) -> list[_PendingRecord]:
        """Give up the records whose deadline has passed."""
        remaining = []
        for pending in batch:
            future = pending.future
            if now_seconds < future.deadline_seconds:
                remaining.append(pending)
                continue
            reason = f"append to stream {self._stream!r} not acknowledged in time"
            future.resolve(PlatformUnavailable(reason, future.may_be_in_log))
        return remaining
