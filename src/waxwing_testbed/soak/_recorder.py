"""Recording events of many threads on one clock."""

import threading
import time

from waxwing_testbed.soak._events import Cause, Disruption, Event, Published


class Recorder:
    """Keeps events, the present configuration, and when to stop."""

    def __init__(self) -> None:
        self._started_seconds = time.monotonic()
        #: All events so far.
        self.events: list[Event] = []
        #: The newest configuration.
        self.published: Published | None = None
        #: Set when callers are to end.
        self.stopping = threading.Event()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_seconds

    def record(self, event: Event) -> None:
        """
        Keep an event.

        :param event: The event.
        """
        self.events.append(event)
        if isinstance(event, Published):
            self.published = event

    def note(
        self, cause: Cause, target: str, seconds: float = 0.0, detail: str = ""
    ) -> None:
        """
        Keep that something is done at present.

        :param cause: What is done.
        :param target: The instance, upstream or other part.
        :param seconds: How long it lasts.
        :param detail: More on it.
        """
        now_seconds = self.now()
        self.record(
            Disruption(cause, target, now_seconds, now_seconds + seconds, detail)
        )


def make_body(request_id: str, length: int) -> bytes:
    """
    Return the body, of that length, that belongs to a request.

    :param request_id: The request.
    :param length: Number of bytes.
    """
    unit = f"{request_id};".encode()
    return (unit * (length // len(unit) + 1))[:length]


def make_event(request_id: str, number: int) -> bytes:
    """
    Return an event of a request's stream.

    :param request_id: The request.
    :param number: Number of the event.
    """
    return b"id: %d\ndata: %b\n\n" % (number, request_id.encode())
