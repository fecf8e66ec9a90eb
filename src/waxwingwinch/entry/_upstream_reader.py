"""Reading an engine's stream so that the wait can be ended at any moment."""

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


class NothingYet(Exception):
    """No item came within the time asked for."""


@frozen
class _Opened:
    """
    A stream whose first item has come.

    :param first: That item.
    :param rest: The items after it.
    """

    first: StreamItem
    rest: Iterator[StreamItem]


class UpstreamReader:
    """
    Runs one call to an engine.

    The call is made, and its first item awaited, in a thread of its own,
    since a connection that is being opened can't be closed by others. From
    then on the caller's thread reads the stream itself, which spares a
    switch of threads a token, and :meth:`interrupt` ends its wait.

    :param engine: Calls engines.
    :param address: The engine.
    :param call: The call.
    :param clock: Source of the present time.
    """

    def __init__(
        self, engine: Engine, address: Address, call: GenerateCall, clock: Clock
    ) -> None:
        self._engine = engine
        self._address = address
        self._call = call
        self._clock = clock
        self._opened: queue.SimpleQueue[_Opened | UpstreamFailed] = queue.SimpleQueue()
        self._rest: Iterator[StreamItem] = iter(())
        self._stream: EngineStream | None = None
        self._interruption: WaxwingError | None = None
        self._abandoned = False
        self._lock = threading.Lock()
        #: Monotonic start of the present wait for an item; None while the
        #: caller's thread does something else.
        self.waiting_since_seconds: float | None = None
        name = f"upstream-{call.request_id}"
        threading.Thread(target=self._open, name=name, daemon=True).start()

    def first_item(self, timeout_seconds: float) -> StreamItem:
        """
        Return the first item.

        :param timeout_seconds: How long to wait.
        :raises NothingYet: If it didn't come in time.
        :raises UpstreamFailed: If the call failed.
        """
        try:
            opened = self._opened.get(timeout=timeout_seconds)
        except queue.Empty:
            raise NothingYet from None
        if isinstance(opened, UpstreamFailed):
            raise opened
        self._rest = opened.rest
        return opened.first

    def next_item(self) -> StreamItem:
        """
        Return the next item after the first.

        :raises UpstreamFailed: If the call failed.
        :raises WaxwingError: What :meth:`interrupt` was given.
        """
        if self._interruption is not None:
            raise self._interruption
        self.waiting_since_seconds = self._clock.now_seconds()
        try:
            return next(self._rest)
        except Exception as error:
            if self._interruption is not None:
                raise self._interruption from error
            raise _as_failure(error) from error
        finally:
            self.waiting_since_seconds = None

    def interrupt(self, error: WaxwingError) -> None:
        """
        End the present or next wait for an item; for other threads.

        :param error: What the waiting thread shall raise.
        """
        if self._interruption is None:
            self._interruption = error
        self.abandon()

    def abandon(self) -> None:
        """Drop the connection; the engine cancels the generation."""
        with self._lock:
            self._abandoned = True
            stream = self._stream
        if stream is not None:
            stream.close()

    def _open(self) -> None:
        try:
            stream = self._engine.generate(self._address, self._call)
            with self._lock:
                self._stream = stream
                abandoned = self._abandoned
            if abandoned:
                stream.close()
                return
            items = self._checked(stream)
            self._opened.put(_Opened(next(items), items))
        except Exception as error:
            self._opened.put(_as_failure(error))

    def _checked(self, stream: EngineStream) -> Iterator[StreamItem]:
        """Yield the items; their positions must follow each other."""
        expected = self._call.resume_from_token
        for item in stream:
            match item:
                case StreamPart(index) if index != expected:
                    reason = f"token {index} came instead of {expected}"
                    raise UpstreamFailed(reason, Outcome.UNKNOWN)
                case StreamPart():
                    expected += 1
                    yield item
                case StreamEnd():
                    yield item
                    return
        raise UpstreamFailed("the stream ended early", Outcome.UNKNOWN)


def _as_failure(error: Exception) -> UpstreamFailed:
    if isinstance(error, UpstreamFailed):
        return error
    # A fault of the adapter, or of a stream closed under its reader.
    reason = f"{type(error).__name__}: {error}"
    return UpstreamFailed(reason, Outcome.UNKNOWN)
