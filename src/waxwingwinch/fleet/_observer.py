"""The state of the fleet as one process observes it."""

import threading
from collections.abc import Callable, Iterable

import eliot

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import ModelName, UpstreamId, UpstreamKind, UpstreamState
from waxwingwinch.contracts import UpstreamView
from waxwingwinch.fleet._poller import EnginePoller, EngineStatus, PollScope
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

#: Interval between two reads of the platform's list.
LIST_POLL_INTERVAL_SECONDS = 1.0
#: Time for which a peer's report of a leaving or draining upstream counts
#: unless repeated.
REPORTED_LEAVING_SECONDS = 3.5


class FleetObserver:
    """
    A service that observes the state of all upstreams of the cell.

    Implements ``FleetView``. The last known state stays while the platform
    or an engine doesn't answer.

    :param market: The platform's list of upstreams.
    :param engine: Calls engines.
    :param log: The platform's log.
    :param clock: Source of the present time.
    :param cell: Name of the cell.
    :param poll_scope: Returns what this process currently polls engines for.
    """

    def __init__(
        self,
        market: UpstreamMarket,
        engine: Engine,
        log: PlatformLog,
        clock: Clock,
        cell: str,
        poll_scope: Callable[[], PollScope] = lambda: PollScope.LOAD_AND_CACHE,
    ) -> None:
        self._market = market
        self._engine = engine
        self._clock = clock
        self._poll_scope = poll_scope
        self._lock = threading.RLock()
        self._state = FleetState()
        self._listed: tuple[ListedUpstream, ...] = ()
        self._listed_seconds: float | None = None
        self._pollers: dict[UpstreamId, EnginePoller] = {}
        self._reported_leaving: dict[UpstreamId, float] = {}
        self._views: tuple[UpstreamView, ...] = ()
        self._follower = StreamFollower(
            log, fleet_stream(cell), clock, self._apply, on_expired=self._on_expired
        )
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="fleet", daemon=True)

    def start(self) -> None:
        """Read the platform's list once and start the threads."""
        self._follower.start()
        self.poll_list()
        self._thread.start()

    def stop(self) -> None:
        """Stop all threads."""
        self._stopping.set()
        self._thread.join()
        with self._lock:
            pollers = tuple(self._pollers.values())
        for poller in pollers:
            poller.stop()
        self._follower.stop()

    def health(self) -> Health:
        """Return ``DEGRADED`` until a list was read, then the log reader's."""
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
        """Return an upstream; None if it isn't listed."""
        for view in self._views:
            if view.upstream_id == upstream_id:
                return view
        return None

    def fleet_offset(self) -> int:
        """Return the offset up to which the fleet stream was read."""
        return self._follower.next_offset

    def caught_up_seconds(self) -> float | None:
        """Return the time up to which directives are known; None before."""
        return self._follower.caught_up_seconds

    def listed_seconds(self) -> float | None:
        """Return when the platform's list was last read; None before."""
        return self._listed_seconds

    def directives(self) -> tuple[Directive, ...]:
        """Return the directives in force."""
        with self._lock:
            return self._state.directives()

    def directives_draining(self) -> tuple[Directive, ...]:
        """Return the draining directives in force."""
        return tuple(
            directive
            for directive in self.directives()
            if directive.state is UpstreamState.DRAINING
        )

    def open_intents(self) -> tuple[OrderIntent, ...]:
        """Return the intents without an outcome."""
        with self._lock:
            return self._state.open_intents()

    def is_open(self, order_id: str) -> bool:
        """Return True if the order's valid intent has no outcome yet."""
        with self._lock:
            return self._state.is_open(order_id)

    def epoch(self, duty: str) -> int | None:
        """Return the newest epoch of a duty in the stream; None before."""
        with self._lock:
            return self._state.epoch(duty)

    def wait_until(self, predicate: Callable[[], bool], timeout_seconds: float) -> bool:
        """
        Wait until records of the fleet stream make a predicate true.

        :param predicate: Evaluated after each read.
        :param timeout_seconds: Longest time to wait.
        """
        return self._follower.wait_until(predicate, timeout_seconds)

    def leaving(self) -> tuple[UpstreamId, ...]:
        """
        Return the upstreams that are leaving according to the platform's list
        or draining according to the log.

        Upstreams that only peers reported aren't included, as entries would
        otherwise pass a report on to each other forever.
        """
        with self._lock:
            return tuple(
                row.upstream_id
                for row in self._listed
                if row.state is UpstreamState.LEAVING
                or self._state.is_draining(row.upstream_id)
            )

    def record_leaving(
        self, upstream_ids: Iterable[UpstreamId], now_seconds: float
    ) -> None:
        """
        Record a peer's report that upstreams are leaving or draining.

        :param upstream_ids: The reported upstreams.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            newly_reported = [
                name for name in upstream_ids if name not in self._reported_leaving
            ]
            self._reported_leaving.update(dict.fromkeys(upstream_ids, now_seconds))
            if newly_reported:
                self._rebuild_views(now_seconds)

    def poll_list(self) -> None:
        """Read the platform's list once; keep the previous one on failure."""
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
            self._sync_pollers()
            self._rebuild_views(now_seconds)

    def _run(self) -> None:
        while not self._stopping.wait(LIST_POLL_INTERVAL_SECONDS):
            self.poll_list()

    def _sync_pollers(self) -> None:
        """Start missing pollers; stop those of unlisted or moved engines."""
        engine_addresses = {
            row.upstream_id: row.address
            for row in self._listed
            if row.kind is UpstreamKind.ENGINE
        }
        for name, poller in list(self._pollers.items()):
            if engine_addresses.get(name) != poller.address:
                self._pollers.pop(name).stop()
        for name, address in engine_addresses.items():
            if name not in self._pollers:
                poller = EnginePoller(
                    self._engine,
                    address,
                    self._clock,
                    self._on_engine_update,
                    self._poll_scope,
                )
                self._pollers[name] = poller
                poller.start()

    def _on_engine_update(self) -> None:
        with self._lock:
            self._rebuild_views(self._clock.now_seconds())

    def _apply(self, applied: AppliedRecord) -> None:
        with self._lock:
            if self._state.apply(applied.body):
                self._rebuild_views(applied.now_seconds)

    def _on_expired(self, first_offset: int) -> None:
        with self._lock:
            self._state.clear()

    def _rebuild_views(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - REPORTED_LEAVING_SECONDS
        for name, reported_seconds in list(self._reported_leaving.items()):
            if reported_seconds < oldest_seconds:
                del self._reported_leaving[name]
        self._views = tuple(self._view(row) for row in self._listed)

    def _view(self, row: ListedUpstream) -> UpstreamView:
        poller = self._pollers.get(row.upstream_id)
        status = poller.status() if poller is not None else EngineStatus()
        load = status.load
        return UpstreamView(
            listed=row,
            state=self._effective_state(row, status),
            role=load.role if load is not None else row.role,
            model=(load.model if load is not None else row.model) or row.model,
            load=load,
            load_taken_seconds=status.load_taken_seconds,
            cached_prefixes=status.prefixes,
        )

    def _effective_state(
        self, row: ListedUpstream, status: EngineStatus
    ) -> UpstreamState:
        if row.state is not UpstreamState.ACTIVE:
            return row.state
        name = row.upstream_id
        if self._state.is_draining(name) or name in self._reported_leaving:
            return UpstreamState.DRAINING
        if status.load is not None and not status.load.accepting:
            return UpstreamState.STARTING
        return UpstreamState.ACTIVE
