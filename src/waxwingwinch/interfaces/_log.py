"""Interface to the platform's append-only log."""

from collections.abc import Sequence
from typing import Protocol

from waxwingwinch._types import LogPage


class PlatformLog(Protocol):
    """Appends to and reads from named streams."""

    def append(
        self, stream: str, payloads: Sequence[bytes], timeout_seconds: float
    ) -> int:
        """
        Append records atomically, at consecutive offsets.

        :param stream: Name of the stream; created on first use.
        :param payloads: The payload of each record.
        :param timeout_seconds: Longest wait for the response.
        :returns: The offset of the first of the records.
        :raises PlatformUnavailable: If no valid response was received; the
            records may have been appended, or may be appended later.
        :raises PlatformRefused: If the append rate is exceeded; nothing was
            appended.
        """

    def read(
        self, stream: str, from_offset: int, wait_seconds: float, timeout_seconds: float
    ) -> LogPage:
        """
        Read records, waiting for one if there are none yet (long polling).

        :param stream: Name of the stream; an unknown stream reads as empty.
        :param from_offset: Offset of the first record to read.
        :param wait_seconds: Longest time for which the platform holds the
            call until a record is available.
        :param timeout_seconds: Longest wait for the response, including
            ``wait_seconds``.
        :raises RecordsExpired: If the record at ``from_offset`` is no longer
            retained.
        :raises PlatformUnavailable: If no valid response was received.
        """
