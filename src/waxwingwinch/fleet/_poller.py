"""Polling of one engine in a thread."""

import enum
import threading
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._exceptions import UpstreamFailed
from waxwingwinch._types import Address
from waxwingwinch.fleet._prefix_index import PrefixIndex
from waxwingwinch.interfaces import Engine, LoadReport
from waxwingwinch.kernel import Clock

#: Pause between two polls.
LOAD_POLL_INTERVAL_SECONDS = 1.0


class PollScope(enum.Enum):
    """The data that a process polls engines for."""

    #: No polling: a control process that doesn't hold the fleet duty.
    NOTHING = "nothing"
    #: Load reports: a control process that plans roles and purchases.
    LOAD = "load"
    #: Load reports and cache events: an entry; it routes by cached prefixes.
    LOAD_AND_CACHE = "load_and_cache"


@frozen
class EngineStatus:
    """
    The latest reported status of an engine.

    :param load: Its latest load report; None before the first.
    :param load_taken_seconds: Monotonic time at which the engine measured it.
    :param prefixes: Hashes of prefixes in its cache according to its events.
    """

    load: LoadReport | None = None
    load_taken_seconds: float = 0.0
    prefixes: frozenset[str] = frozenset()


class EnginePoller:
    """
    Polls one engine for load reports and cache events.

    :param engine: Calls engines.
    :param address: Address of the engine.
    :param clock: Source of the present time.
    :param on_update: Called from the thread after each poll.
    :param poll_scope: Returns what this process currently polls engines for.
    """

    def __init__(
        self,
        engine: Engine,
        address: Address,
        clock: Clock,
        on_update: Callable[[], None],
        poll_scope: Callable[[], PollScope],
    ) -> None:
        #: Address of the engine.
        self.address = address
        self._engine = engine
        self._clock = clock
        self._on_update = on_update
        self._poll_scope = poll_scope
        self._index = PrefixIndex()
        self._status = EngineStatus()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"engine-poller-{address}", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end without waiting for a call in progress."""
        self._stopping.set()

    def status(self) -> EngineStatus:
        """Return the latest status."""
        return self._status

    def poll(self) -> None:
        """Poll the engine once; data that can't be fetched stays unchanged."""
        load, load_taken_seconds = self._status.load, self._status.load_taken_seconds
        try:
            load = self._engine.load_report(self.address)
            load_taken_seconds = self._clock.now_seconds() - load.age_seconds
            if self._poll_scope() is PollScope.LOAD_AND_CACHE:
                self._poll_cache()
        except UpstreamFailed:
            pass
        self._status = EngineStatus(load, load_taken_seconds, self._index.hashes())

    def _poll_cache(self) -> None:
        page = self._engine.cache_events(self.address, self._index.next_sequence)
        self._index.apply(page)

    def _run(self) -> None:
        while not self._stopping.is_set():
            if self._poll_scope() is not PollScope.NOTHING:
                self.poll()
                self._on_update()
            self._stopping.wait(LOAD_POLL_INTERVAL_SECONDS)
