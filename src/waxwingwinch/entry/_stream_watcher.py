"""One thread that ends streams which have lost their purpose."""

import threading
from collections.abc import Callable

import eliot
from attrs import frozen

from waxwingwinch._exceptions import Outcome, UpstreamFailed, WaxwingError
from waxwingwinch.entry._upstream_reader import UpstreamReader
from waxwingwinch.kernel import Clock

#: How often deadline, key, caller and engine of each stream are checked.
CHECK_SECONDS = 0.25
#: Longest wait for a further token before the engine counts as stalled.
NEXT_TOKEN_STALL_SECONDS = 5.0


@frozen(eq=False)
class WatchedStream:
    """
    A stream under watch.

    :param reader: Reads it.
    :param check: Raises when the request has lost its purpose.
    """

    reader: UpstreamReader
    check: Callable[[], None]

    def inspect(self, now_seconds: float) -> None:
        """
        Interrupt the stream if there is a reason.

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
            reason = f"nothing came for {waited_seconds:.1f} s"
            self.reader.interrupt(UpstreamFailed(reason, Outcome.UNKNOWN))


class StreamWatcher:
    """
    Inspects all running streams several times a second.

    :param clock: Source of the present time.
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
        """Start the inspecting thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the inspecting thread."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def add(self, stream: WatchedStream) -> None:
        """
        Begin to watch a stream.

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
            # A fault at one stream must not end the watch over the others.
            kind = type(error).__name__
            eliot.log_message("streams:inspection_failed", kind=kind)
