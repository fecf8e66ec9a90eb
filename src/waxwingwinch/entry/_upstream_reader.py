"""Reading an engine's stream in a thread of its own."""

import queue
import threading
from collections.abc import Callable

from waxwingwinch._exceptions import Outcome, UpstreamFailed
from waxwingwinch._types import Address
from waxwingwinch.interfaces import (
    Engine,
    EngineStream,
    GenerateCall,
    StreamEnd,
    StreamItem,
    StreamPart,
)


class NothingYet(Exception):
    """No item came within the time asked for."""


class UpstreamReader:
    """
    Runs one call to an engine in a thread of its own.

    The caller's thread can so stop waiting at any moment: for a deadline, a
    withdrawn key, a caller that went away or an engine that stalls.

    :param engine: Calls engines.
    :param address: The engine.
    :param call: The call.
    """

    def __init__(self, engine: Engine, address: Address, call: GenerateCall) -> None:
        self._engine = engine
        self._address = address
        self._call = call
        self._items: queue.SimpleQueue[StreamItem | UpstreamFailed] = (
            queue.SimpleQueue()
        )
        self._stream: EngineStream | None = None
        self._abandoned = False
        self._lock = threading.Lock()
        name = f"upstream-{call.request_id}"
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def next_item(self, timeout_seconds: float) -> StreamItem:
        """
        Return the next item.

        :param timeout_seconds: How long to wait.
        :raises NothingYet: If none came in time.
        :raises UpstreamFailed: If the call failed.
        """
        try:
            item = self._items.get(timeout=max(0.001, timeout_seconds))
        except queue.Empty:
            raise NothingYet from None
        if isinstance(item, UpstreamFailed):
            raise item
        return item

    def abandon(self) -> None:
        """Drop the connection; the engine cancels the generation."""
        with self._lock:
            self._abandoned = True
            stream = self._stream
        if stream is not None:
            stream.close()

    def _run(self) -> None:
        try:
            self._read()
        except UpstreamFailed as error:
            self._items.put(error)
        except Exception as error:
            # A fault of the adapter, or of a stream closed under its reader.
            reason = f"{type(error).__name__}: {error}"
            self._items.put(UpstreamFailed(reason, Outcome.UNKNOWN))

    def _read(self) -> None:
        stream = self._engine.generate(self._address, self._call)
        with self._lock:
            self._stream = stream
            abandoned = self._abandoned
        if abandoned:
            stream.close()
            return
        try:
            self._relay(stream, self._items.put)
        finally:
            stream.close()

    def _relay(
        self,
        stream: EngineStream,
        put: Callable[[StreamItem | UpstreamFailed], None],
    ) -> None:
        expected = self._call.resume_from_token
        for item in stream:
            match item:
                case StreamPart(index) if index != expected:
                    reason = f"token {index} came instead of {expected}"
                    raise UpstreamFailed(reason, Outcome.UNKNOWN)
                case StreamPart():
                    expected += 1
                    put(item)
                case StreamEnd():
                    put(item)
                    return
            if self._abandoned:
                return
        raise UpstreamFailed("the stream ended early", Outcome.UNKNOWN)
