"""Whether the store was away for everybody or for this instance only."""

import threading

#: Time without an answer after which the store counts as away.
AWAY_SECONDS = 1.0
#: Age of a peer's last read up to which the store counts as serving it;
#: reads are made at shorter intervals.
PEER_READ_SECONDS = 1.5
#: Time by which a peer must have read before this instance could again. If
#: the store was away for all, they come back within less.
PEER_AHEAD_SECONDS = 1.5
#: Time after the return within which a vanished entry may have lapsed in the
#: outage; the first reads are made within it.
RETURN_SECONDS = 1.0


class OutageTracker:
    """
    Tells entries that lapsed in an outage from those that were removed.

    While the store is away, upstreams can't renew their entries. If it serves
    other instances meanwhile, entries vanish for good reason.
    """

    def __init__(self) -> None:
        self._away_seconds: float | None = None
        self._back_seconds: float | None = None
        self._peer_read_seconds: float | None = None
        self._served_others = False
        self._lock = threading.Lock()

    def record_failure(self, now_seconds: float) -> None:
        """
        Note a call that the store did not answer.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if self._away_seconds is None:
                self._away_seconds = now_seconds
                self._peer_read_seconds = None

    def record_success(self, now_seconds: float) -> float | None:
        """
        Note a call that the store answered.

        :param now_seconds: Monotonic time.
        :returns: How long it was away; None if it wasn't.
        """
        with self._lock:
            if self._away_seconds is None:
                return None
            away_seconds = now_seconds - self._away_seconds
            self._served_others = (
                self._peer_read_seconds is not None
                and now_seconds - self._peer_read_seconds > PEER_AHEAD_SECONDS
            )
            self._away_seconds = None
            if away_seconds > AWAY_SECONDS:
                self._back_seconds = now_seconds
            return away_seconds

    def record_peer_read(self, age_seconds: float, now_seconds: float) -> None:
        """
        Note when a peer read the store.

        :param age_seconds: Time since its last read.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if self._away_seconds is None or self._peer_read_seconds is not None:
                return
            is_long = now_seconds - self._away_seconds > AWAY_SECONDS
            if is_long and age_seconds < PEER_READ_SECONDS:
                self._peer_read_seconds = now_seconds

    def may_have_lapsed(self, now_seconds: float) -> bool:
        """
        Tell whether an entry that vanishes now may be back soon.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if self._back_seconds is None or self._served_others:
                return False
            return now_seconds - self._back_seconds < RETURN_SECONDS
