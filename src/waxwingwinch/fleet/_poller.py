"""Polling one engine in one thread."""

import enum
import threading
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._exceptions import UpstreamFailed
from waxwingwinch._types import Address
from waxwingwinch.fleet._prefix_index import PrefixIndex
from waxwingwinch.interfaces import Engine, LoadReport
from waxwingwinch.kernel import Clock

#: Pause between two load reports.
LOAD_PAUSE_SECONDS = 1.0


class PollNeeds(enum.Enum):
    """What a process asks engines for."""

    #: A control process that doesn't hold the fleet's duty.
    NOTHING = "nothing"
    #: A control process that decides on roles and purchases.
    LOAD = "load"
    #: An entry, which also routes by cached prefixes.
    LOAD_AND_CACHE = "load_and_cache"


@frozen
class EngineKnowledge:
    """
    What an engine has told.

    :param load: Its newest load report; None before the first.
    :param taken_seconds: Monotonic time at which the report was true.
    :param prefixes: Prefixes believed to be cached.
    """

    load: LoadReport | None = None
    taken_seconds: float = 0.0
    prefixes: frozenset[str] = frozenset()


class EnginePoller:
    """
    Fetches load reports and cache events of one engine.

    :param engine: Calls engines.
    :param address: Where the engine serves.
    :param clock: Source of the present time.
    :param on_news: Called from the thread after news arrived.
    :param needs: What this process needs of engines at present.
    """

    def __init__(
        self,
        engine: Engine,
        address: Address,
        clock: Clock,
        on_news: Callable[[], None],
        needs: Callable[[], PollNeeds],
    ) -> None:
        #: Where the engine serves.
        self.address = address
        self._engine = engine
        self._clock = clock
        self._on_news = on_news
        self._needs = needs
        self._index = PrefixIndex()
        self._knowledge = EngineKnowledge()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"engine-poller-{address}", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end, without waiting for a call under way."""
        self._stopping.set()

    def knowledge(self) -> EngineKnowledge:
        """Return what is known."""
        return self._knowledge

    def poll(self) -> None:
        """Fetch once; what can't be fetched stays as it is."""
        load, taken_seconds = self._knowledge.load, self._knowledge.taken_seconds
        try:
            load = self._engine.load_report(self.address)
            taken_seconds = self._clock.now_seconds() - load.age_seconds
            if self._needs() is PollNeeds.LOAD_AND_CACHE:
                self._poll_cache()
        except UpstreamFailed:
            pass
        self._knowledge = EngineKnowledge(load, taken_seconds, self._index.hashes())

    def _poll_cache(self) -> None:
        page = self._engine.cache_events(self.address, self._index.next_sequence)
        self._index.apply(page)

    def _run(self) -> None:
        while not self._stopping.is_set():
            if self._needs() is not PollNeeds.NOTHING:
                self.poll()
                self._on_news()
            self._stopping.wait(LOAD_PAUSE_SECONDS)
