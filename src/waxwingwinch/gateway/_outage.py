"""Whether the store was away for everybody or for this instance only."""

import threading

#: Time without an answer after which the store counts as away.
MIN_OUTAGE_SECONDS = 1.0
#: Age of a peer's last read up to which the store counts as serving it;
#: reads are made at shorter intervals.
PEER_READ_MAX_AGE_SECONDS = 1.5
#: Time by which a peer must have read before this instance could again. If
#: the store was away for all, they come back within less.
PEER_LEAD_SECONDS = 1.5
#: Time after the return within which a vanished entry may have lapsed in the
#: outage; the first reads are made within it.
RECOVERY_SECONDS = 1.0


class OutageTracker:
    """
    Tells entries that lapsed in an outage from those that were removed.

    While the store is away, upstreams can't renew their entries. If it serves
    other instances meanwhile, entries vanish for good reason.
    """

    def __init__(self) -> None:
        self._failing_since_seconds: float | None = None
        self._recovered_seconds: float | None = None
        self._first_peer_read_seconds: float | None = None
        self._is_local = False
        self._lock = threading.Lock()

    def record_failure(self, now_seconds: float) -> None:
        """
        Note a call that the store did not answer.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if self._failing_since_seconds is None:
                self._failing_since_seconds = now_seconds
                self._first_peer_read_seconds = None

    def record_success(self, now_seconds: float) -> float | None:
        """
        Note a call that the store answered.

        :param now_seconds: Monotonic time.
        :returns: How long it was away; None if it wasn't.
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

    def record_peer_read(self, age_seconds: float, now_seconds: float) -> None:
        """
        Note when a peer read the store.

        :param age_seconds: Time since its last read.
        :param now_seconds: Monotonic time.
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
        Tell whether an entry that vanishes now may be back soon.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if self._recovered_seconds is None or self._is_local:
                return False
            return now_seconds - self._recovered_seconds < RECOVERY_SECONDS
