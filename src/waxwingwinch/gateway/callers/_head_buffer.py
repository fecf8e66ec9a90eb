"""What has arrived of the head of a request."""

import re

#: End of a head: that of its last line, and an empty line.
HEAD_END = b"\r\n\r\n"
#: An empty line that a client may send before a request (RFC 9112, 2.2).
EMPTY_LINE_BYTES = 2

#: A line end that is refused, so that its head is never whole.
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")


class HeadBuffer:
    """
    Gathers the head of a request until it can be parsed.

    Its cost doesn't depend on the number of pieces in which the head arrives.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self._end = -1
        self._has_bare_line_feed = False

    def __len__(self) -> int:
        """Return the number of bytes gathered."""
        return len(self._data)

    @property
    def has_first_line(self) -> bool:
        """True once the request line has arrived."""
        return self._data.find(b"\n", EMPTY_LINE_BYTES) >= 0

    def add(self, data: bytes) -> None:
        """
        Add what has arrived.

        :param data: The next bytes; they may exceed the head.
        """
        seen = len(self._data)
        self._data += data
        if self._end >= 0:
            return
        found = self._data.find(HEAD_END, max(seen - len(HEAD_END) + 1, 0))
        if found >= 0:
            self._end = found + len(HEAD_END)
        end = self._end if found >= 0 else len(self._data)
        self._has_bare_line_feed |= bool(_BARE_LINE_FEED.search(self._data, seen, end))

    def is_parsable(self, max_bytes: int) -> bool:
        """
        Tell whether the head is whole, or certain to be refused.

        :param max_bytes: Largest head.
        """
        is_whole = self._end >= 0
        return is_whole or self._has_bare_line_feed or len(self._data) > max_bytes

    def take(self) -> tuple[bytes, bytes]:
        """Remove and return the head and the bytes that follow it."""
        end = self._end if self._end >= 0 else len(self._data)
        head, rest = bytes(self._data[:end]), bytes(self._data[end:])
        self._data = bytearray()
        self._end = -1
        self._has_bare_line_feed = False
        return head, rest
