"""Periodic checks that interrupt abandoned requests and stalled streams."""

import threading
from collections.abc import Callable

import eliot
from attrs import frozen

from waxwingwinch._exceptions import Outcome, UpstreamFailed, WaxwingError
from waxwingwinch.entry._upstream_reader import UpstreamReader
from waxwingwinch.kernel import Clock

#: Interval of the checks of deadline, key, caller and engine of each stream.
CHECK_SECONDS = 0.25
#: Time without a further token after which an engine counts as stalled.
NEXT_TOKEN_STALL_SECONDS = 5.0


@frozen(eq=False)
class WatchedStream:
    """
    A stream that is inspected periodically.

    :param reader: Reads the stream.
    :param check: Raises if the deadline has passed, the key was withdrawn or
        the caller has disconnected.
    """

    reader: UpstreamReader
    check: Callable[[], None]

    def inspect(self, now_seconds: float) -> None:
        """
        Interrupt the stream if its check fails or the engine has stalled.

        :param now_seconds: Monotonic time.
        """
        try:
            self.check()
        except WaxwingError as error:
            self.reader.interrupt(error)
            return
        since_seconds = self.reader.waiting_since_seconds
        if since_seconds is None:
            return
        waited_seconds = now_seconds - since_seconds
        if waited_seconds > NEXT_TOKEN_STALL_SECONDS:
            reason = (
                f"no further token for {waited_seconds:.1f} s, expected within"
                f" {NEXT_TOKEN_STALL_SECONDS:.1f} s"
            )
            self.reader.interrupt(UpstreamFailed(reason, Outcome.UNKNOWN))


class StreamWatcher:
    """
    Inspects all watched streams every :data:`CHECK_SECONDS`.

    :param clock: Source of the current time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._streams: set[WatchedStream] = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="stream-watcher", daemon=True
        )

    def start(self) -> None:
        """Start the thread that inspects the streams."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread that inspects the streams, and wait for its end."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def add(self, stream: WatchedStream) -> None:
        """
        Start watching a stream.

        :param stream: The stream.
        """
        with self._lock:
            self._streams.add(stream)

    def remove(self, stream: WatchedStream) -> None:
        """
        Stop watching a stream.

        :param stream: The stream.
        """
        with self._lock:
            self._streams.discard(stream)

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_SECONDS):
            with self._lock:
                streams = list(self._streams)
            for stream in streams:
                self._inspect(stream)

    def _inspect(self, stream: WatchedStream) -> None:
        try:
            stream.inspect(self._clock.now_seconds())
        except Exception as error:
            # A fault in the inspection of one stream must not stop the thread.
            kind = type(error).__name__
            eliot.log_message("streams:inspection_failed", kind=kind)
