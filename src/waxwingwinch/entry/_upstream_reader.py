"""Reading an engine's stream with waits that other threads can interrupt."""

import queue
import threading
from collections.abc import Iterator

from attrs import frozen

from waxwingwinch._exceptions import Outcome, UpstreamFailed, WaxwingError
from waxwingwinch._types import Address
from waxwingwinch.interfaces import (
    Engine,
    EngineStream,
    GenerateCall,
    StreamEnd,
    StreamItem,
    StreamPart,
)
from waxwingwinch.kernel import Clock


class FirstItemTimeout(Exception):
    """The first item did not arrive within the given time."""


@frozen
class _OpenedStream:
    """
    A stream whose first item has arrived.

    :param first: The first item.
    :param remaining_items: The items after the first.
    """

    first: StreamItem
    remaining_items: Iterator[StreamItem]


class UpstreamReader:
    """
    Runs a call to an engine and reads its stream.

    A separate thread makes the call and waits for the first item, since
    other threads can't close a connection while it is being opened.
    Afterwards the thread that serves the request reads the stream itself,
    which avoids a thread switch per token; :meth:`interrupt` ends its wait.

    :param engine: Client for engines.
    :param address: Address of the engine.
    :param call: The call to make.
    :param clock: Source of the current time.
    """

    def __init__(
        self, engine: Engine, address: Address, call: GenerateCall, clock: Clock
    ) -> None:
        self._engine = engine
        self._address = address
        self._call = call
        self._clock = clock
        self._opened: queue.SimpleQueue[_OpenedStream | UpstreamFailed] = (
            queue.SimpleQueue()
        )
        self._remaining_items: Iterator[StreamItem] = iter(())
        self._stream: EngineStream | None = None
        self._interruption: WaxwingError | None = None
        self._cancelled = False
        self._lock = threading.Lock()
        #: Monotonic time at which the current wait for an item began; None
        #: while the thread that serves the request doesn't wait.
        self.waiting_since_seconds: float | None = None
        name = f"upstream-{call.request_id}"
        threading.Thread(target=self._open, name=name, daemon=True).start()

    def first_item(self, timeout_seconds: float) -> StreamItem:
        """
        Return the first item of the stream.

        :param timeout_seconds: Longest wait.
        :raises FirstItemTimeout: If the item didn't arrive in time.
        :raises UpstreamFailed: If the call failed.
        """
        try:
            opened = self._opened.get(timeout=timeout_seconds)
        except queue.Empty:
            raise FirstItemTimeout from None
        if isinstance(opened, UpstreamFailed):
            raise opened
        self._remaining_items = opened.remaining_items
        return opened.first

    def next_item(self) -> StreamItem:
        """
        Return the next item after the first.

        :raises UpstreamFailed: If the call failed.
        :raises WaxwingError: The error passed to :meth:`interrupt`, if it was
            called.
        """
        if self._interruption is not None:
            raise self._interruption
        self.waiting_since_seconds = self._clock.now_seconds()
        try:
            return next(self._remaining_items)
        except Exception as error:
            if self._interruption is not None:
                raise self._interruption from error
            raise _to_upstream_failure(error) from error
        finally:
            self.waiting_since_seconds = None

    def interrupt(self, error: WaxwingError) -> None:
        """
        End the current or next wait of :meth:`next_item`; called by other
        threads.

        Only the error of the first call is raised.

        :param error: Raised by :meth:`next_item` in the waiting thread.
        """
        if self._interruption is None:
            self._interruption = error
        self.cancel()

    def cancel(self) -> None:
        """Close the connection, on which the engine cancels the generation."""
        with self._lock:
            self._cancelled = True
            stream = self._stream
        if stream is not None:
            stream.close()

    def _open(self) -> None:
        try:
            stream = self._engine.generate(self._address, self._call)
            with self._lock:
                self._stream = stream
                cancelled = self._cancelled
            if cancelled:
                stream.close()
                return
            items = self._validated(stream)
            self._opened.put(_OpenedStream(next(items), items))
        except Exception as error:
            self._opened.put(_to_upstream_failure(error))

    def _validated(self, stream: EngineStream) -> Iterator[StreamItem]:
        """Yield the items; raise if token positions are not consecutive."""
        expected = self._call.resume_from_token
        for item in stream:
            match item:
                case StreamPart(index) if index != expected:
                    reason = f"received token {index}, expected token {expected}"
                    raise UpstreamFailed(reason, Outcome.UNKNOWN)
                case StreamPart():
                    expected += 1
                    yield item
                case StreamEnd():
                    yield item
                    return
        raise UpstreamFailed("the stream ended before its end item", Outcome.UNKNOWN)


def _to_upstream_failure(error: Exception) -> UpstreamFailed:
    if isinstance(error, UpstreamFailed):
        return error
    # A fault in the engine client, or a read from a stream that another thread
    # has closed.
    reason = f"{type(error).__name__}: {error}"
    return UpstreamFailed(reason, Outcome.UNKNOWN)
