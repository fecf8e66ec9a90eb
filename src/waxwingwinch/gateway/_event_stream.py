"""Splitting a stream of server-sent events into whole events."""

from attrs import define

#: Longest event that is taken in; far above any real one.
MAX_EVENT_BYTES = 1_048_576


class EventTooLarge(ValueError):
    """An event exceeds :data:`MAX_EVENT_BYTES`."""


@define
class EventSplitter:
    """
    Holds back the part of a stream after its last whole event.

    :param last_event_id: Id of the last whole event that was returned.
    :param event_count: Number of whole events returned.
    """

    last_event_id: str | None = None
    event_count: int = 0
    _pending: bytes = b""

    def feed(self, piece: bytes) -> bytes:
        """
        Take in bytes and return the whole events that they complete.

        :param piece: The next bytes of the stream.
        :raises EventTooLong: If an event has no end.
        """
        data = self._pending + piece
        end = _end_of_last_event(data)
        complete, self._pending = data[:end], data[end:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        for line in complete.splitlines():
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
                self.event_count += 1
        return complete

    @property
    def has_partial_event(self) -> bool:
        """Tell whether the stream stopped inside an event."""
        return bool(self._pending.strip())

    def drop_partial_event(self) -> None:
        """Forget the bytes after the last whole event."""
        self._pending = b""


def _end_of_last_event(data: bytes) -> int:
    """Return the position after the last blank line, 0 if there is none."""
    positions = []
    for separator in (b"\n\n", b"\r\n\r\n"):
        found = data.rfind(separator)
        if found >= 0:
            positions.append(found + len(separator))
    return max(positions, default=0)
