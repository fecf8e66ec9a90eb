"""The memory that requests and their answers may hold in one process."""

import sys
import threading


class MemoryExhausted(Exception):
    """
    The account has no room for a reservation.

    :param requested_bytes: What was to be reserved.
    :param free_bytes: What was free.
    """

    def __init__(self, requested_bytes: int, free_bytes: int) -> None:
        super().__init__(f"{requested_bytes} bytes requested, {free_bytes} free")
        #: What was to be reserved.
        self.requested_bytes = requested_bytes
        #: What was free.
        self.free_bytes = free_bytes


class MemoryAccount:
    """
    Counts the memory that is held for requests; may be used from any thread.

    All buffers whose size a caller, an upstream, the store or a peer decides
    are reserved here before they are filled.

    :param limit_bytes: Maximum of all reservations.
    """

    def __init__(self, limit_bytes: int) -> None:
        #: Maximum of all reservations.
        self.limit_bytes = limit_bytes
        self._held_bytes = 0
        self._peak_bytes = 0
        self._lock = threading.Lock()

    @property
    def held_bytes(self) -> int:
        """Sum of all reservations."""
        with self._lock:
            return self._held_bytes

    @property
    def peak_bytes(self) -> int:
        """Largest sum of all reservations since the start."""
        with self._lock:
            return self._peak_bytes

    def open(self) -> "Reservation":
        """Return an empty reservation."""
        return Reservation(self)

    def take(self, size_bytes: int, spare_fraction: float = 0.0) -> None:
        """
        Reserve memory.

        :param size_bytes: How much.
        :param spare_fraction: Part of the limit that has to stay free.
        :raises MemoryExhausted: If there is no room for it.
        """
        with self._lock:
            spare_bytes = int(self.limit_bytes * spare_fraction)
            free_bytes = self.limit_bytes - spare_bytes - self._held_bytes
            if size_bytes > free_bytes:
                raise MemoryExhausted(size_bytes, free_bytes)
            self._held_bytes += size_bytes
            self._peak_bytes = max(self._peak_bytes, self._held_bytes)

    def give_back(self, size_bytes: int) -> None:
        """
        Release reserved memory.

        :param size_bytes: How much.
        """
        with self._lock:
            self._held_bytes -= size_bytes


class Reservation:
    """
    The memory that one request holds; a context manager that releases it.

    Used by one thread at a time.

    :param account: The account.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """What is reserved."""
        return self._size_bytes

    def grow(self, size_bytes: int, spare_fraction: float = 0.0) -> None:
        """
        Reserve more.

        :param size_bytes: How much more.
        :param spare_fraction: Part of the account's limit that has to stay
            free, for what is reserved in other places.
        :raises MemoryExhausted: If there is no room for it; what was reserved
            before stays.
        """
        self._account.take(size_bytes, spare_fraction)
        self._size_bytes += size_bytes

    def shrink(self, size_bytes: int) -> None:
        """
        Release a part.

        :param size_bytes: How much; at most what is reserved.
        """
        released_bytes = min(size_bytes, self._size_bytes)
        self._size_bytes -= released_bytes
        self._account.give_back(released_bytes)

    def release(self) -> None:
        """Release everything."""
        self.shrink(self._size_bytes)

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()


def unbounded_reservation() -> Reservation:
    """Return an empty reservation of an account of its own without a limit."""
    return MemoryAccount(sys.maxsize).open()
