"""A history of calls, kept in memory and in a file."""

import json
import pathlib
import threading

from cattrs import Converter

from waxwing_testbed.history._events import CallEvent

_CONVERTER = Converter()


class History:
    """
    Collects events from many threads.

    :param path: File that each event is also written to; None for none.
    """

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self._events: list[CallEvent] = []
        self._lock = threading.Lock()
        self._stream = path.open("a") if path is not None else None

    def add(self, event: CallEvent) -> None:
        """
        Add an event.

        :param event: What a caller saw.
        """
        with self._lock:
            self._events.append(event)
            if self._stream is not None:
                line = json.dumps(_CONVERTER.unstructure(event))
                self._stream.write(line + "\n")
                self._stream.flush()

    def events(self) -> tuple[CallEvent, ...]:
        """Return all events so far, in order of their ends."""
        with self._lock:
            return tuple(self._events)

    def close(self) -> None:
        """Close the file."""
        if self._stream is not None:
            self._stream.close()


def load_history(path: pathlib.Path) -> tuple[CallEvent, ...]:
    """
    Read the events of a file.

    :param path: The file.
    """
    lines = path.read_text().splitlines()
    return tuple(_CONVERTER.structure(json.loads(line), CallEvent) for line in lines)
