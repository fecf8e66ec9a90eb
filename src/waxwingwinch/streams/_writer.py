"""Appending with group commit and repeats under one sequence number."""

import threading
import uuid
from collections import deque

from attrs import frozen

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch.interfaces import PlatformLog
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.streams._envelope import seal

#: Most records in one append.
MAX_BATCH_RECORDS = 256
#: Most payload bytes in one append, unless one record alone is larger.
MAX_BATCH_BYTES = 512 * 1_024
#: How long one append may take before it is repeated.
APPEND_TIMEOUT_SECONDS = 2.0
#: Pause before an unanswered append is repeated.
RETRY_PAUSE_SECONDS = 0.1
#: Longest pause after the platform refused for its rate limit.
MAX_REFUSED_PAUSE_SECONDS = 1.0


@frozen
class RecordId:
    """
    Identity of a record, the same in each of its repeats.

    :param writer_id: Name of the writer.
    :param sequence: Position among the writer's records.
    """

    writer_id: str
    sequence: int


class AppendTicket:
    """
    The fate of one record.

    :param record_id: Identity of the record.
    :param deadline_seconds: Monotonic time at which the writer gives up.
    """

    def __init__(self, record_id: RecordId, deadline_seconds: float) -> None:
        #: Identity of the record.
        self.record_id = record_id
        #: Monotonic time at which the writer gives up.
        self.deadline_seconds = deadline_seconds
        #: True once an append with the record was sent.
        self.was_sent = False
        self._done = threading.Event()
        self._error: PlatformUnavailable | None = None

    def resolve(self, error: PlatformUnavailable | None) -> None:
        """
        Settle the ticket.

        :param error: None if the record is in the log.
        """
        self._error = error
        self._done.set()

    def wait(self) -> None:
        """
        Wait until the record is in the log or was given up.

        :raises PlatformUnavailable: If it was given up; it may be in the log
            if ``may_have_taken_effect`` is set.
        """
        self._done.wait()
        if self._error is not None:
            raise self._error


@frozen
class _Pending:
    """
    A record on its way.

    :param ticket: Where its fate is told.
    :param payload: The sealed record.
    """

    ticket: AppendTicket
    payload: bytes


class StreamWriter:
    """
    Appends messages to one stream from one thread.

    Records that arrive while an append is under way go together in the next
    one.

    :param log: The platform's log.
    :param stream: Name of the stream.
    :param clock: Source of the present time for the deadlines.
    :param max_batch_records: Most records in one append; 1 turns group
        commit off.
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
        self._pending: deque[_Pending] = deque()
        self._condition = threading.Condition()
        self._stopping = False
        self._failing = False
        self._thread = threading.Thread(
            target=self._run, name=f"writer-{stream}", daemon=True
        )

    def start(self) -> None:
        """Start the appending thread."""
        self._thread.start()

    def stop(self) -> None:
        """Give pending records until their deadlines, then end the thread."""
        with self._condition:
            self._stopping = True
            self._condition.notify_all()
        self._thread.join()

    def health(self) -> Health:
        """Return ``DEGRADED`` while appends fail."""
        return Health.DEGRADED if self._failing else Health.HEALTHY

    def submit(self, body: object, timeout_seconds: float) -> AppendTicket:
        """
        Queue a message without waiting.

        :param body: An instance of a registered message class.
        :param timeout_seconds: How long to try.
        """
        deadline_seconds = self._clock.now_seconds() + timeout_seconds
        with self._condition:
            self._sequence += 1
            record_id = RecordId(self._writer_id, self._sequence)
            ticket = AppendTicket(record_id, deadline_seconds)
            payload = seal(self._writer_id, self._sequence, body)
            self._pending.append(_Pending(ticket, payload))
            self._condition.notify_all()
        return ticket

    def append(self, body: object, timeout_seconds: float) -> RecordId:
        """
        Append a message and wait for the acknowledgement.

        :param body: An instance of a registered message class.
        :param timeout_seconds: How long to try.
        :raises PlatformUnavailable: If the writer gave up.
        """
        ticket = self.submit(body, timeout_seconds)
        ticket.wait()
        return ticket.record_id

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            self._send(batch)

    def _next_batch(self) -> list[_Pending] | None:
        with self._condition:
            while not self._pending:
                if self._stopping:
                    return None
                self._condition.wait()
            batch: list[_Pending] = []
            size_bytes = 0
            while self._pending and len(batch) < self._max_batch_records:
                size_bytes += len(self._pending[0].payload)
                if batch and size_bytes > MAX_BATCH_BYTES:
                    break
                batch.append(self._pending.popleft())
            return batch

    def _send(self, batch: list[_Pending]) -> None:
        """Repeat one batch until it is acknowledged or given up."""
        while True:
            batch = self._drop_expired(batch, self._clock.now_seconds())
            if not batch:
                return
            pause_seconds = self._try_append(batch)
            if pause_seconds is None:
                return
            with self._condition:
                self._condition.wait_for(lambda: False, timeout=pause_seconds)

    def _try_append(self, batch: list[_Pending]) -> float | None:
        """
        Append once.

        :returns: None if acknowledged, else the pause before the next try.
        """
        payloads = [pending.payload for pending in batch]
        try:
            self._log.append(self._stream, payloads, APPEND_TIMEOUT_SECONDS)
        except PlatformUnavailable as error:
            self._failing = True
            if error.may_have_taken_effect:
                for pending in batch:
                    pending.ticket.was_sent = True
            return RETRY_PAUSE_SECONDS
        except PlatformRefused as error:
            pause_seconds = error.retry_after_seconds or RETRY_PAUSE_SECONDS
            return min(pause_seconds, MAX_REFUSED_PAUSE_SECONDS)
        self._failing = False
        for pending in batch:
            pending.ticket.resolve(None)
        return None

    def _drop_expired(
        self, batch: list[_Pending], now_seconds: float
    ) -> list[_Pending]:
        """Give up the records whose deadline has passed."""
        kept = []
        for pending in batch:
            ticket = pending.ticket
            if now_seconds < ticket.deadline_seconds:
                kept.append(pending)
                continue
            reason = f"stream {self._stream!r} took no append in time"
            ticket.resolve(PlatformUnavailable(reason, ticket.was_sent))
        return kept
