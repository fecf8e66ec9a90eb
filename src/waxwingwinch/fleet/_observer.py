"""The fleet as one process sees it."""

import threading
from collections.abc import Callable, Iterable

import eliot

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import ModelName, UpstreamId, UpstreamKind, UpstreamState
from waxwingwinch.contracts import UpstreamView
from waxwingwinch.fleet._poller import EngineKnowledge, EnginePoller, PollNeeds
from waxwingwinch.fleet._records import Directive, OrderIntent, fleet_stream
from waxwingwinch.fleet._state import FleetState
from waxwingwinch.interfaces import (
    Engine,
    ListedUpstream,
    PlatformLog,
    UpstreamMarket,
)
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.streams import AppliedRecord, StreamFollower

#: Pause between two reads of the platform's list.
LIST_PAUSE_SECONDS = 1.0
#: How long a peer's word that an upstream leaves counts without repetition.
HEARD_LEAVING_SECONDS = 3.5


class FleetObserver:
    """
    A service that keeps the state of all upstreams of the cell.

    Implements ``FleetView``. What was known stays known while the platform
    or an engine doesn't answer.

    :param market: The platform's list of upstreams.
    :param engine: Calls engines.
    :param log: The platform's log.
    :param clock: Source of the present time.
    :param cell: Name of the cell.
    :param needs: What this process needs of engines at present.
    """

    def __init__(
        self,
        market: UpstreamMarket,
        engine: Engine,
        log: PlatformLog,
        clock: Clock,
        cell: str,
        needs: Callable[[], PollNeeds] = lambda: PollNeeds.LOAD_AND_CACHE,
    ) -> None:
        self._market = market
        self._engine = engine
        self._clock = clock
        self._needs = needs
        self._lock = threading.RLock()
        self._state = FleetState()
        self._listed: tuple[ListedUpstream, ...] = ()
        self._listed_seconds: float | None = None
        self._pollers: dict[UpstreamId, EnginePoller] = {}
        self._heard_leaving: dict[UpstreamId, float] = {}
        self._views: tuple[UpstreamView, ...] = ()
        self._follower = StreamFollower(
            log, fleet_stream(cell), clock, self._apply, on_expired=self._on_expired
        )
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="fleet", daemon=True)

    def start(self) -> None:
        """Read the list once and begin to poll."""
        self._follower.start()
        self.poll_list()
        self._thread.start()

    def stop(self) -> None:
        """End all threads."""
        self._stopping.set()
        self._thread.join()
        with self._lock:
            pollers = tuple(self._pollers.values())
        for poller in pollers:
            poller.stop()
        self._follower.stop()

    def health(self) -> Health:
        """Return ``DEGRADED`` until the platform's list was read once."""
        if self._listed_seconds is None:
            return Health.DEGRADED
        return self._follower.health()

    def engines(self, model: ModelName) -> tuple[UpstreamView, ...]:
        """Return the engines that serve a model, whatever their state."""
        return tuple(
            view
            for view in self._views
            if view.listed.kind is UpstreamKind.ENGINE and view.model == model
        )

    def plain(self, service: str) -> tuple[UpstreamView, ...]:
        """Return the upstreams of a plain service, whatever their state."""
        return tuple(
            view
            for view in self._views
            if view.listed.kind is UpstreamKind.PLAIN and view.listed.service == service
        )

    def all(self) -> tuple[UpstreamView, ...]:
        """Return all upstreams."""
        return self._views

    def find(self, upstream_id: UpstreamId) -> UpstreamView | None:
        """Return one upstream; None if it isn't listed."""
        for view in self._views:
            if view.upstream_id == upstream_id:
                return view
        return None

    def directive_offset(self) -> int:
        """Return the offset up to which directives are seen."""
        return self._follower.next_offset

    def caught_up_seconds(self) -> float | None:
        """Return until when all directives are known; None before."""
        return self._follower.caught_up_seconds

    def listed_seconds(self) -> float | None:
        """Return when the platform's list was last read; None before."""
        return self._listed_seconds

    def directives(self) -> tuple[Directive, ...]:
        """Return the directives in force."""
        with self._lock:
            return self._state.directives()

    def directives_draining(self) -> tuple[Directive, ...]:
        """Return the drains in force."""
        return tuple(
            directive
            for directive in self.directives()
            if directive.state is UpstreamState.DRAINING
        )

    def open_intents(self) -> tuple[OrderIntent, ...]:
        """Return the orders without outcome."""
        with self._lock:
            return self._state.open_intents()

    def is_open(self, order_id: str) -> bool:
        """Tell whether a valid intent has no outcome yet."""
        with self._lock:
            return self._state.is_open(order_id)

    def epoch(self, duty: str) -> int | None:
        """Return the newest term of a duty in the stream."""
        with self._lock:
            return self._state.epoch(duty)

    def wait_until(self, predicate: Callable[[], bool], timeout_seconds: float) -> bool:
        """
        Wait until records of the stream make a predicate true.

        :param predicate: Evaluated after each read.
        :param timeout_seconds: How long to wait.
        """
        return self._follower.wait_until(predicate, timeout_seconds)

    def leaving(self) -> tuple[UpstreamId, ...]:
        """
        Return the upstreams that this process itself knows to be leaving.

        What it only heard from peers isn't in it, so that a word doesn't
        go round for ever.
        """
        with self._lock:
            return tuple(
                row.upstream_id
                for row in self._listed
                if row.state is UpstreamState.LEAVING
                or self._state.is_draining(row.upstream_id)
            )

    def note_leaving(
        self, upstream_ids: Iterable[UpstreamId], now_seconds: float
    ) -> None:
        """
        Take a peer's word that upstreams are leaving.

        :param upstream_ids: The upstreams.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            fresh = [name for name in upstream_ids if name not in self._heard_leaving]
            self._heard_leaving.update(dict.fromkeys(upstream_ids, now_seconds))
            if fresh:
                self._rebuild(now_seconds)

    def poll_list(self) -> None:
        """Read the platform's list once; keep the last one on failure."""
        try:
            listed = self._market.list_upstreams()
        except (PlatformUnavailable, PlatformRefused) as error:
            eliot.log_message("fleet:list_unavailable", reason=str(error))
            listed = None
        now_seconds = self._clock.now_seconds()
        with self._lock:
            if listed is not None:
                self._listed = listed
                self._listed_seconds = now_seconds
            self._match_pollers()
            self._rebuild(now_seconds)

    def _run(self) -> None:
        while not self._stopping.wait(LIST_PAUSE_SECONDS):
            self.poll_list()

    def _match_pollers(self) -> None:
        """Start pollers of new engines and stop those of gone ones."""
        wanted = {
            row.upstream_id: row.address
            for row in self._listed
            if row.kind is UpstreamKind.ENGINE
        }
        for name, poller in list(self._pollers.items()):
            if wanted.get(name) != poller.address:
                self._pollers.pop(name).stop()
        for name, address in wanted.items():
            if name not in self._pollers:
                poller = EnginePoller(
                    self._engine,
                    address,
                    self._clock,
                    self._on_engine_news,
                    self._needs,
                )
                self._pollers[name] = poller
                poller.start()

    def _on_engine_news(self) -> None:
        with self._lock:
            self._rebuild(self._clock.now_seconds())

    def _apply(self, applied: AppliedRecord) -> None:
        with self._lock:
            if self._state.apply(applied.body):
                self._rebuild(applied.now_seconds)

    def _on_expired(self, first_offset: int) -> None:
        with self._lock:
            self._state.clear()

    def _rebuild(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - HEARD_LEAVING_SECONDS
        for name, heard_seconds in list(self._heard_leaving.items()):
            if heard_seconds < oldest_seconds:
                del self._heard_leaving[name]
        self._views = tuple(self._view(row) for row in self._listed)

    def _view(self, row: ListedUpstream) -> UpstreamView:
        poller = self._pollers.get(row.upstream_id)
        known = poller.knowledge() if poller is not None else EngineKnowledge()
        load = known.load
        return UpstreamView(
            listed=row,
            state=self._joined_state(row, known),
            role=load.role if load is not None else row.role,
            model=(load.model if load is not None else row.model) or row.model,
            load=load,
            load_taken_seconds=known.taken_seconds,
            cached_prefixes=known.prefixes,
        )

    def _joined_state(
        self, row: ListedUpstream, known: EngineKnowledge
    ) -> UpstreamState:
        if row.state is not UpstreamState.ACTIVE:
            return row.state
        name = row.upstream_id
        if self._state.is_draining(name) or name in self._heard_leaving:
            return UpstreamState.DRAINING
        if known.load is not None and not known.load.accepting:
            return UpstreamState.STARTING
        return UpstreamState.ACTIVE
