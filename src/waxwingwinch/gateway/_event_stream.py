"""Splitting a stream of server-sent events into complete events."""

from attrs import define

#: Maximum size of a buffered incomplete event; far above real events.
MAX_EVENT_BYTES = 1_048_576


class EventTooLarge(ValueError):
    """An incomplete event exceeds :data:`MAX_EVENT_BYTES`."""


@define
class EventSplitter:
    """
    Buffers the part of a stream after its last complete event.

    :param last_event_id: Id of the last complete event returned.
    :param event_count: Number of complete events with an id returned.
    """

    last_event_id: str | None = None
    event_count: int = 0
    _pending: bytes = b""

    def feed(self, piece: bytes) -> bytes:
        """
        Append bytes and return the events that are now complete.

        :param piece: The next bytes of the stream.
        :raises EventTooLarge: If an incomplete event exceeds the maximum.
        """
        data = self._pending + piece
        end = _end_of_last_event(data)
        complete, self._pending = data[:end], data[end:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"a server-sent event exceeds {MAX_EVENT_BYTES} bytes")
        for line in complete.splitlines():
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
                self.event_count += 1
        return complete

    @property
    def has_partial_event(self) -> bool:
        """Tell whether an incomplete event is buffered."""
        return bool(self._pending.strip())

    def drop_partial_event(self) -> None:
        """Discard the bytes after the last complete event."""
        self._pending = b""


def _end_of_last_event(data: bytes) -> int:
    """Return the position after the last blank line, 0 if there is none."""
    positions = []
    for separator in (b"\n\n", b"\r\n\r\n"):
        found = data.rfind(separator)
        if found >= 0:
            positions.append(found + len(separator))
    return max(positions, default=0)
