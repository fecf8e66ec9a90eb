"""Writer, follower and table of one shard of the keys."""

import math
import threading
from collections import deque
from collections.abc import Callable

from attrs import frozen

from waxwingwinch.idempotency._table import ClaimTable, KeyClaim
from waxwingwinch.interfaces import PlatformLog
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.streams import (
    AppliedRecord,
    StreamFollower,
    StreamWriter,
)

#: How long a stop waits for records that the log doesn't take.
STOP_SECONDS = 10.0
#: How long what has left the log is still remembered; more than a claim may
#: take.
FORGET_DELAY_SECONDS = 30.0


@frozen
class _Leaving:
    """
    Records that have left the log.

    :param first_offset: The first that had not.
    :param seen_seconds: Monotonic time at which that was seen.
    """

    first_offset: int
    seen_seconds: float


class ClaimShard:
    """
    One shard of the idempotency keys.

    :param number: Number of the shard.
    :param log: The platform's log.
    :param clock: Source of the present time.
    :param max_batch_records: Most records in one append.
    """

    def __init__(
        self, number: int, log: PlatformLog, clock: Clock, max_batch_records: int
    ) -> None:
        stream = f"claims-{number}"
        self._table = ClaimTable()
        self._leaving: deque[_Leaving] = deque()
        self._gaps = 0
        self._lock = threading.Lock()
        self._writer = StreamWriter(log, stream, clock, max_batch_records)
        self._follower = StreamFollower(
            log, stream, clock, self._apply, on_expired=self._note_gap
        )

    def start(self) -> None:
        """Start reading and appending."""
        self._writer.start()
        self._follower.start()

    def stop(self) -> None:
        """Append what is pending, for a limited time, and end the threads."""
        stopping = threading.Thread(target=self._writer.stop, daemon=True)
        stopping.start()
        stopping.join(STOP_SECONDS)
        self._follower.stop()

    def health(self) -> Health:
        """Return the worse state of reader and writer."""
        if self._follower.health() is not Health.HEALTHY:
            return self._follower.health()
        return self._writer.health()

    def is_current(self, max_age_seconds: float, now_seconds: float) -> bool:
        """
        Tell whether the stream was read to its end recently.

        :param max_age_seconds: How long ago at most.
        :param now_seconds: Monotonic time.
        """
        caught_up_seconds = self._follower.caught_up_seconds
        if caught_up_seconds is None:
            return False
        return now_seconds - caught_up_seconds <= max_age_seconds

    @property
    def gaps(self) -> int:
        """How often records left the log before they were read."""
        with self._lock:
            return self._gaps

    def forget(self, now_seconds: float) -> None:
        """
        Forget what left the log some time ago.

        The delay exceeds the time that a claim may take, so a claim that was
        appended while another stood is also read while that one stands.

        :param now_seconds: Monotonic time.
        """
        first_offset = self._follower.first_offset
        with self._lock:
            newest = self._leaving[-1] if self._leaving else _Leaving(0, -math.inf)
            age_seconds = now_seconds - newest.seen_seconds
            if first_offset > newest.first_offset and age_seconds >= 1:
                self._leaving.append(_Leaving(first_offset, now_seconds))
            oldest_seconds = now_seconds - FORGET_DELAY_SECONDS
            while self._leaving and self._leaving[0].seen_seconds <= oldest_seconds:
                self._table.expire(self._leaving.popleft().first_offset)

    def holder(self, key_digest: bytes) -> KeyClaim | None:
        """
        Return the claim that tells most about a key.

        :param key_digest: Digest of customer and key.
        """
        with self._lock:
            return self._table.holder(key_digest)

    def find(self, key_digest: bytes, claim_id: str) -> KeyClaim | None:
        """
        Return a claim that stands on a key.

        :param key_digest: Digest of customer and key.
        :param claim_id: The claim.
        """
        with self._lock:
            return self._table.find(key_digest, claim_id)

    def submit(self, record: object, timeout_seconds: float) -> None:
        """
        Queue a record.

        :param record: One of the records of the stream.
        :param timeout_seconds: How long to try.
        """
        self._writer.submit(record, timeout_seconds)

    def wait_until(self, predicate: Callable[[], bool], timeout_seconds: float) -> bool:
        """
        Wait until applied records make a predicate true.

        :param predicate: Evaluated after each page.
        :param timeout_seconds: How long to wait.
        """
        return self._follower.wait_until(predicate, timeout_seconds)

    def _apply(self, applied: AppliedRecord) -> None:
        with self._lock:
            self._table.apply(applied)

    def _note_gap(self, first_offset: int) -> None:
        with self._lock:
            self._gaps += 1
