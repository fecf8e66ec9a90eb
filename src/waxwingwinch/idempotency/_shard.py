"""Stream writer, stream follower and claim table of one shard of the keys."""

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

#: Longest time for which a stop waits until pending records are appended.
STOP_TIMEOUT_SECONDS = 10.0
#: How long claims stay in the table after their records expired from the log;
#: longer than a claim may take.
EXPIRY_DELAY_SECONDS = 30.0


@frozen
class _RetentionObservation:
    """
    Oldest offset in the log at one moment.

    :param first_offset: Offset of the oldest record that had not expired.
    :param observed_seconds: Monotonic time of the observation.
    """

    first_offset: int
    observed_seconds: float


class ClaimShard:
    """
    One shard of the idempotency keys.

    :param number: Number of the shard.
    :param log: The platform's log.
    :param clock: Source of the current time.
    :param max_batch_records: Largest number of records in one append.
    """

    def __init__(
        self, number: int, log: PlatformLog, clock: Clock, max_batch_records: int
    ) -> None:
        stream = f"claims-{number}"
        self._table = ClaimTable()
        self._retention_observations: deque[_RetentionObservation] = deque()
        self._gap_count = 0
        self._lock = threading.Lock()
        self._writer = StreamWriter(log, stream, clock, max_batch_records)
        self._follower = StreamFollower(
            log, stream, clock, self._apply, on_expired=self._record_gap
        )

    def start(self) -> None:
        """Start the threads that read and append records."""
        self._writer.start()
        self._follower.start()

    def stop(self) -> None:
        """Append pending records, for a limited time, and end the threads."""
        stop_thread = threading.Thread(target=self._writer.stop, daemon=True)
        stop_thread.start()
        stop_thread.join(STOP_TIMEOUT_SECONDS)
        self._follower.stop()

    def health(self) -> Health:
        """Return the follower's health, or the writer's if that is healthy."""
        if self._follower.health() is not Health.HEALTHY:
            return self._follower.health()
        return self._writer.health()

    def is_current(self, max_age_seconds: float, now_seconds: float) -> bool:
        """
        Tell whether the stream was read to its end recently.

        :param max_age_seconds: Largest accepted age of that read.
        :param now_seconds: Monotonic time.
        """
        caught_up_seconds = self._follower.caught_up_seconds
        if caught_up_seconds is None:
            return False
        return now_seconds - caught_up_seconds <= max_age_seconds

    @property
    def gap_count(self) -> int:
        """How often records expired from the log before they were read."""
        with self._lock:
            return self._gap_count

    def remove_expired(self, now_seconds: float) -> None:
        """
        Remove claims whose records expired ``EXPIRY_DELAY_SECONDS`` ago.

        The delay exceeds the time that a claim may take. A claim that was
        appended while an earlier claim on the key was active is therefore
        read before the earlier claim is removed.

        :param now_seconds: Monotonic time.
        """
        first_offset = self._follower.first_offset
        with self._lock:
            latest_observation = (
                self._retention_observations[-1]
                if self._retention_observations
                else _RetentionObservation(0, -math.inf)
            )
            age_seconds = now_seconds - latest_observation.observed_seconds
            if first_offset > latest_observation.first_offset and age_seconds >= 1:
                self._retention_observations.append(
                    _RetentionObservation(first_offset, now_seconds)
                )
            expiry_seconds = now_seconds - EXPIRY_DELAY_SECONDS
            while (
                self._retention_observations
                and self._retention_observations[0].observed_seconds <= expiry_seconds
            ):
                self._table.expire(self._retention_observations.popleft().first_offset)

    def deciding_claim(self, key_digest: bytes) -> KeyClaim | None:
        """
        Return the claim that determines the result for a key.

        :param key_digest: Digest of customer id and idempotency key.
        """
        with self._lock:
            return self._table.deciding_claim(key_digest)

    def find(self, key_digest: bytes, claim_id: str) -> KeyClaim | None:
        """
        Return an active claim on a key.

        :param key_digest: Digest of customer id and idempotency key.
        :param claim_id: Id of the claim.
        """
        with self._lock:
            return self._table.find(key_digest, claim_id)

    def submit(self, record: object, timeout_seconds: float) -> None:
        """
        Queue a record for the stream.

        :param record: A record of the stream ``claims-<shard>``.
        :param timeout_seconds: How long to try to append it.
        """
        self._writer.submit(record, timeout_seconds)

    def wait_until(self, predicate: Callable[[], bool], timeout_seconds: float) -> bool:
        """
        Wait until a predicate is true.

        :param predicate: Evaluated after each page of records is applied.
        :param timeout_seconds: How long to wait.
        """
        return self._follower.wait_until(predicate, timeout_seconds)

    def _apply(self, applied: AppliedRecord) -> None:
        with self._lock:
            self._table.apply(applied)

    def _record_gap(self, first_offset: int) -> None:
        with self._lock:
            self._gap_count += 1
