"""A wrapper that counts and times calls to the platform's store."""

from collections.abc import Callable, Sequence
from typing import TypeVar

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import LogPage
from waxwingwinch.gateway._history import HistoryWatch
from waxwingwinch.gateway._store import HistoryReplaced, KeyedSnapshot, PlatformStore
from waxwingwinch.gateway._telemetry import StoreCallResult, Telemetry
from waxwingwinch.kernel import Clock

T = TypeVar("T")
P = TypeVar("P", LogPage, KeyedSnapshot)


class InstrumentedStore:
    """
    Forwards calls to a store and records their results and durations.

    :param store: The wrapped store.
    :param telemetry: Receives the result and duration of each call.
    :param clock: Source of the current time.
    :param history: Is told of the positions that are read.
    """

    def __init__(
        self,
        store: PlatformStore,
        telemetry: Telemetry,
        clock: Clock,
        history: HistoryWatch,
    ) -> None:
        self._history = history
        self._store = store
        self._telemetry = telemetry
        self._clock = clock

    def append(
        self, topic: str, payloads: Sequence[bytes], at_offset: int | None = None
    ) -> int:
        """Append records; see :class:`PlatformStore`."""
        return self._timed(
            "append", lambda: self._store.append(topic, payloads, at_offset)
        )

    def read(self, topic: str, from_offset: int, wait_seconds: float) -> LogPage:
        """Read records; see :class:`PlatformStore`."""
        return self._read(
            _read_call_label(wait_seconds),
            lambda: self._store.read(topic, from_offset, wait_seconds),
        )

    def snapshot(self, topic: str) -> KeyedSnapshot:
        """Read the latest values; see :class:`PlatformStore`."""
        return self._read("snapshot", lambda: self._store.snapshot(topic))

    def changes(
        self, topic: str, from_offset: int, wait_seconds: float
    ) -> KeyedSnapshot:
        """Read the records of a keyed topic; see :class:`PlatformStore`."""
        return self._read(
            _read_call_label(wait_seconds),
            lambda: self._store.changes(topic, from_offset, wait_seconds),
        )

    def put(
        self,
        topic: str,
        key: str,
        value: bytes | None,
        at_offset: int | None = None,
    ) -> None:
        """Set or delete a key; see :class:`PlatformStore`."""
        self._timed("put", lambda: self._store.put(topic, key, value, at_offset))

    def _read(self, call: str, perform_call: Callable[[], P]) -> P:
        try:
            page = self._timed(call, perform_call)
        except HistoryReplaced as error:
            self._history.observe(error.first_offset)
            raise
        self._history.observe(page.end_offset)
        return page

    def _timed(self, call: str, perform_call: Callable[[], T]) -> T:
        started_seconds = self._clock.now_seconds()
        result = StoreCallResult.FAILED
        try:
            answer = perform_call()
            result = StoreCallResult.ANSWERED
            return answer
        except PlatformRefused:
            result = StoreCallResult.REFUSED
            raise
        except PlatformUnavailable:
            result = StoreCallResult.UNANSWERED
            raise
        finally:
            took_seconds = self._clock.now_seconds() - started_seconds
            self._telemetry.record_store_call(call, result, took_seconds)


def _read_call_label(wait_seconds: float) -> str:
    """Return the metric label: ``wait`` for long polls, ``read`` otherwise."""
    return "wait" if wait_seconds > 0 else "read"
