"""The platform's append-only log."""

from collections.abc import Sequence
from typing import Protocol

from waxwingwinch._types import LogPage


class PlatformLog(Protocol):
    """Appends to and reads from named streams."""

    def append(
        self, stream: str, payloads: Sequence[bytes], timeout_seconds: float
    ) -> int:
        """
        Append records next to each other, all or none.

        :param stream: Name of the stream; made on first use.
        :param payloads: One entry for each record.
        :param timeout_seconds: How long to wait for the answer.
        :returns: The offset of the first of the records.
        :raises PlatformUnavailable: If no answer came; the records may have
            been appended, or may be appended later.
        :raises PlatformRefused: If the append rate is exceeded; nothing was
            appended.
        """

    def read(
        self, stream: str, from_offset: int, wait_seconds: float, timeout_seconds: float
    ) -> LogPage:
        """
        Read records, waiting for the first if there are none.

        :param stream: Name of the stream; an unknown one reads as empty.
        :param from_offset: The first wanted offset.
        :param wait_seconds: How long the platform may hold the call until a
            record is there.
        :param timeout_seconds: How long to wait for the answer in all.
        :raises RecordsExpired: If ``from_offset`` is no longer held.
        :raises PlatformUnavailable: If no answer came.
        """
