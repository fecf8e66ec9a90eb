"""A log file wrapper whose writers never block."""

import queue
import threading
import time
from typing import Protocol

#: Maximum number of messages queued for writing. At a few hundred bytes each
#: the queue takes a small part of an instance's memory.
QUEUE_MESSAGES_MAX = 2_000


#: Time for which messages are batched. Each write wakes a thread and costs a
#: system call; messages of an unwritten batch are lost if the process is
#: killed.
BATCH_DELAY_SECONDS = 0.05


class BinaryFile(Protocol):
    """The binary file to which logs are written."""

    def write(self, data: bytes, /) -> int:
        """
        Write bytes.

        :param data: The bytes.
        """

    def flush(self) -> None:
        """Flush buffered bytes."""


class LogWriter:
    """
    Writes messages to a file in a separate thread.

    Messages that arrive while the queue is full are dropped and counted.

    :param file: The file to which messages are written.
    """

    def __init__(self, file: BinaryFile) -> None:
        self._file = file
        self._queue: queue.Queue[bytes] = queue.Queue(QUEUE_MESSAGES_MAX)
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Number of messages dropped since the start."""
        return self._dropped

    def write(self, data: bytes) -> int:
        """
        Queue a message, or drop it if the queue is full.

        :param data: The message.
        """
        try:
            self._queue.put_nowait(data)
        except queue.Full:
            self._dropped += 1
        return len(data)

    def flush(self) -> None:
        """Do nothing; the thread writes and flushes queued messages."""

    def drain(self, timeout_seconds: float) -> None:
        """
        Wait until all queued messages are written.

        :param timeout_seconds: Longest time to wait.
        """
        join_thread = threading.Thread(target=self._queue.join, daemon=True)
        join_thread.start()
        join_thread.join(timeout_seconds)

    def _run(self) -> None:
        reported_dropped = 0
        while True:
            batch = [self._queue.get()]
            # The lines of a request arrive together and are written in one
            # batch.
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
