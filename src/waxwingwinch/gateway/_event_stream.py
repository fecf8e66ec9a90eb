"""Splitting a stream of server-sent events into complete events."""

from attrs import define, field

#: Maximum size of a buffered incomplete event; far above real events.
MAX_EVENT_BYTES = 1_048_576
#: What ends an event.
SEPARATORS = (b"\n\n", b"\r\n\r\n")
MAX_SEPARATOR_BYTES = 4


class EventTooLarge(ValueError):
    """An incomplete event exceeds :data:`MAX_EVENT_BYTES`."""


class EventOutOfOrder(ValueError):
    """A resumed stream doesn't go on after its last event."""


@define
class EventSplitter:
    """
    Buffers the part of a stream after its last complete event.

    :param last_event_id: Id of the last complete event returned.
    :param event_count: Number of complete events with an id returned.
    """

    last_event_id: str | None = None
    event_count: int = 0
    _pending: bytearray = field(factory=bytearray)
    _is_resuming: bool = False

    def feed(self, piece: bytes) -> bytes:
        """
        Append bytes and return the events that are now complete.

        :param piece: The next bytes of the stream.
        :raises EventTooLarge: If an incomplete event exceeds the maximum.
        :raises EventOutOfOrder: If a resumed stream doesn't go on after the
            last event.
        """
        # The end of an event can only lie in what is new, or span it.
        searched_bytes = max(len(self._pending) - MAX_SEPARATOR_BYTES + 1, 0)
        self._pending += piece
        end = _end_of_last_event(self._pending, searched_bytes)
        with memoryview(self._pending) as pending:
            complete = bytes(pending[:end])
        del self._pending[:end]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"a server-sent event exceeds {MAX_EVENT_BYTES} bytes")
        event_ids = _event_ids(complete)
        if complete and self._is_resuming:
            self._check_order(event_ids)
            self._is_resuming = False
        if event_ids:
            self.last_event_id = event_ids[-1]
            self.event_count += len(event_ids)
        return complete

    def resumed(self) -> "EventSplitter":
        """Return a splitter for another response, from the last event on."""
        resumed = EventSplitter(self.last_event_id, self.event_count)
        resumed.drop_partial_event()
        return resumed

    def drop_partial_event(self) -> None:
        """
        Discard the bytes after the last complete event.

        The bytes that follow are those of another response, which has to go
        on after that event.
        """
        self._pending = bytearray()
        self._is_resuming = self.last_event_id is not None

    def _check_order(self, event_ids: list[str]) -> None:
        """Raise if the events don't follow the last one."""
        if not event_ids:
            raise EventOutOfOrder("a resumed stream begins with an event without id")
        if not _is_after(event_ids[0], self.last_event_id or ""):
            raise EventOutOfOrder(
                f"a stream resumed after event {self.last_event_id} begins with"
                f" event {event_ids[0]}"
            )

    @property
    def partial_bytes(self) -> int:
        """Size of the buffered incomplete event."""
        return len(self._pending)

    @property
    def has_partial_event(self) -> bool:
        """Tell whether an incomplete event is buffered."""
        return bool(self._pending.strip())


def _event_ids(events: bytes) -> list[str]:
    return [
        line[3:].strip().decode("latin-1")
        for line in events.splitlines()
        if line.startswith(b"id:")
    ]


def _is_after(event_id: str, last_event_id: str) -> bool:
    """Tell whether an id follows another; ids that aren't numbers differ."""
    if event_id.isdecimal() and last_event_id.isdecimal():
        return int(event_id) > int(last_event_id)
    return event_id != last_event_id


def _end_of_last_event(data: bytearray, start: int) -> int:
    """Return the position after the last blank line, 0 if there is none."""
    positions = []
    for separator in SEPARATORS:
        found = data.rfind(separator, start)
        if found >= 0:
            positions.append(found + len(separator))
    return max(positions, default=0)
