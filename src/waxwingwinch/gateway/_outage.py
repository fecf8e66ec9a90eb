"""Distinction between store outages of all instances and of this one only."""

import threading

#: Minimum time without an answer that counts as an outage of the store.
MIN_OUTAGE_SECONDS = 1.0
#: Maximum age of a peer's last read at which the store counts as available to
#: the peer; reads are made at shorter intervals.
PEER_READ_MAX_AGE_SECONDS = 1.5
#: Minimum lead of a peer's read over the recovery here that shows that the
#: outage was local. After an outage for all instances they recover within
#: less.
PEER_LEAD_SECONDS = 1.5
#: Time after the recovery within which a removed entry may have lapsed during
#: the outage; the first reads are made within it.
RECOVERY_SECONDS = 1.0


class OutageTracker:
    """
    Distinguishes entries that lapsed in an outage from removed ones.

    While the store is unavailable, upstreams cannot renew their entries, which
    then lapse. If the store served other instances in the meantime, the outage
    was local, and entries that are missing were removed on purpose.
    """

    def __init__(self) -> None:
        self._failing_since_seconds: float | None = None
        self._recovered_seconds: float | None = None
        self._first_peer_read_seconds: float | None = None
        self._is_local = False
        self._lock = threading.Lock()

    def record_failure(self, now_seconds: float) -> None:
        """
        Record a store call that failed.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if self._failing_since_seconds is None:
                self._failing_since_seconds = now_seconds
                self._first_peer_read_seconds = None

    def record_success(self, now_seconds: float) -> float | None:
        """
        Record a store call that succeeded.

        :param now_seconds: Monotonic time.
        :returns: Time since the first of the preceding failures; None if there
            was none.
        """
        with self._lock:
            if self._failing_since_seconds is None:
                return None
            outage_seconds = now_seconds - self._failing_since_seconds
            self._is_local = (
                self._first_peer_read_seconds is not None
                and now_seconds - self._first_peer_read_seconds > PEER_LEAD_SECONDS
            )
            self._failing_since_seconds = None
            if outage_seconds > MIN_OUTAGE_SECONDS:
                self._recovered_seconds = now_seconds
            return outage_seconds

    def record_return(self, now_seconds: float) -> None:
        """
        Record that the store has returned from an older copy.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            self._recovered_seconds = now_seconds
            self._is_local = False

    def record_peer_read(self, age_seconds: float, now_seconds: float) -> None:
        """
        Record that a peer reported its last read of the store.

        :param age_seconds: Time since the peer's last read.
        :param now_seconds: Monotonic time of the report.
        """
        with self._lock:
            if (
                self._failing_since_seconds is None
                or self._first_peer_read_seconds is not None
            ):
                return
            is_outage = now_seconds - self._failing_since_seconds > MIN_OUTAGE_SECONDS
            if is_outage and age_seconds < PEER_READ_MAX_AGE_SECONDS:
                self._first_peer_read_seconds = now_seconds

    def may_have_lapsed(self, now_seconds: float) -> bool:
        """
        Tell whether an entry that is removed now may have lapsed in an outage.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if self._recovered_seconds is None or self._is_local:
                return False
            return now_seconds - self._recovered_seconds < RECOVERY_SECONDS
