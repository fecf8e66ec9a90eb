"""A file for logs that never makes its writers wait."""

import queue
import threading
import time
from typing import Protocol

#: Messages that may wait to be written. At a few hundred bytes each this
#: is a small part of an instance's memory.
QUEUE_MESSAGES_MAX = 2_000


#: Time for which messages are gathered. Each write wakes a thread and costs a
#: call of the system; what a process that is killed had gathered is lost.
BATCH_DELAY_SECONDS = 0.05


class BinaryFile(Protocol):
    """What logs are written to."""

    def write(self, data: bytes, /) -> int:
        """
        Write bytes.

        :param data: The bytes.
        """

    def flush(self) -> None:
        """Pass on what was written."""


class LogWriter:
    """
    Writes to a file in a thread of its own.

    What comes while the queue is full is dropped and counted.

    :param file: Where messages go.
    """

    def __init__(self, file: BinaryFile) -> None:
        self._file = file
        self._queue: queue.Queue[bytes] = queue.Queue(QUEUE_MESSAGES_MAX)
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Messages dropped since the start."""
        return self._dropped

    def write(self, data: bytes) -> int:
        """
        Queue a message.

        :param data: The message.
        """
        try:
            self._queue.put_nowait(data)
        except queue.Full:
            self._dropped += 1
        return len(data)

    def flush(self) -> None:
        """Do nothing; the thread writes as soon as it can."""

    def drain(self, timeout_seconds: float) -> None:
        """
        Wait until the queue is empty.

        :param timeout_seconds: Longest wait.
        """
        join_thread = threading.Thread(target=self._queue.join, daemon=True)
        join_thread.start()
        join_thread.join(timeout_seconds)

    def _run(self) -> None:
        reported_dropped = 0
        while True:
            batch = [self._queue.get()]
            # The lines of a request come together and are written at once.
            time.sleep(BATCH_DELAY_SECONDS)
            try:
                batch += self._take_queued()
                if self._dropped > reported_dropped:
                    reported_dropped = self._dropped
                    self._file.write(b'{"logs_dropped": %d}\n' % reported_dropped)
                self._file.write(b"".join(batch))
                self._file.flush()
            finally:
                for _ in batch:
                    self._queue.task_done()

    def _take_queued(self) -> list[bytes]:
        queued: list[bytes] = []
        while len(queued) < QUEUE_MESSAGES_MAX:
            try:
                queued.append(self._queue.get_nowait())
            except queue.Empty:
                break
        return queued
