"""Role changes and adapters, under the duty ``fleet-<cell>``."""

import uuid
from collections.abc import Callable

from attrs import define, field

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import (
    EngineRole,
    Epoch,
    ModelName,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
)
from waxwingwinch.configuration import Configuration, Scope, ScopeKind
from waxwingwinch.contracts import DecisionKind, DecisionLog, Reason, UpstreamView
from waxwingwinch.control._capacity import decode_speed, prefill_speed
from waxwingwinch.control._drain_tracker import DrainDone, DrainOverdue, DrainTracker
from waxwingwinch.control._engine_orders import EngineOrders
from waxwingwinch.control._entry_tracker import EntryTracker
from waxwingwinch.control._journal import FleetJournal
from waxwingwinch.decisions import RoleChange, RoleEngine, RoleState, plan_roles
from waxwingwinch.fleet import Directive, FleetObserver, OrderIntent
from waxwingwinch.interfaces import LoadAdapter, SetRole, WeightStore
from waxwingwinch.kernel import Clock
from waxwingwinch.settings import RolePolicyKind

#: Interval between two plans.
PLAN_INTERVAL_SECONDS = 1.0
#: Time for which a role change takes an engine out of service, including
#: its drain.
ROLE_CHANGE_SECONDS = 6.0
#: Pause between two calls to the weight store if it names no retry time.
WEIGHT_STORE_PAUSE_SECONDS = 5.0


@define
class _LoadReservation:
    """A reserved time slot for loading weights from the weight store."""

    upstream_id: UpstreamId
    adapter: str
    version: str
    starts_seconds: float


@define
class _Term:
    """State of the current term; not written to the log."""

    planned_seconds: float = 0.0
    next_reservation_seconds: float = 0.0
    reservation: _LoadReservation | None = None
    role_changed_seconds: dict[UpstreamId, float] = field(factory=dict)


class FleetRunner:
    """
    Plans role changes and executes them: drain, intent, order, outcome.

    Changes in progress are recorded in the log, so that the next holder of
    the duty can continue them.

    :param duty: Name of the duty.
    :param journal: Writes this planner's records to the fleet stream.
    :param orders: Engine orders of this planner.
    :param drains: Drains of this planner.
    :param observer: Observed state of the fleet.
    :param entries: Heartbeats and demand of the entries.
    :param weight_store: Reserves time slots for loading weights.
    :param configuration: Returns the configuration in force.
    :param decisions: Log of the reasons for decisions.
    :param clock: Source of the wall time of reasons.
    :param policy: Whether role changes are planned; those in progress are
        completed in any case.
    """

    def __init__(
        self,
        duty: str,
        journal: FleetJournal,
        orders: EngineOrders,
        drains: DrainTracker,
        observer: FleetObserver,
        entries: EntryTracker,
        weight_store: WeightStore,
        configuration: Callable[[], Configuration],
        decisions: DecisionLog,
        clock: Clock,
        policy: RolePolicyKind = RolePolicyKind.PLANNED,
    ) -> None:
        self._duty = duty
        self._journal = journal
        self._orders = orders
        self._drains = drains
        self._observer = observer
        self._entries = entries
        self._weight_store = weight_store
        self._configuration = configuration
        self._decisions = decisions
        self._clock = clock
        self._policy = policy
        self._term = _Term()

    @property
    def duty(self) -> str:
        """Name of the duty."""
        return self._duty

    def begin(self, epoch: Epoch, now_seconds: float) -> None:
        """Start a term without state of an earlier one."""
        self._journal.begin_term(epoch)
        self._orders.clear()
        self._drains.begin_term(now_seconds)
        self._term = _Term()

    def end(self) -> None:
        """Drop the state of the term."""
        self._term = _Term()

    def step(self, now_seconds: float) -> None:
        """Reconcile open orders, continue changes in progress, then plan."""
        if not self._journal.announce_term():
            return
        self._journal.republish(now_seconds)
        intents = self._journal.open_intents()
        for intent in intents:
            self._orders.reconcile(intent, now_seconds)
        busy = {intent.upstream_id for intent in intents}
        for directive in self._journal.draining_directives():
            if directive.upstream_id not in busy:
                self._continue_change(directive, now_seconds)
        if now_seconds - self._term.planned_seconds >= PLAN_INTERVAL_SECONDS:
            self._term.planned_seconds = now_seconds
            if self._policy is RolePolicyKind.PLANNED:
                self._plan(now_seconds)
            self._load_adapters(now_seconds)

    def _continue_change(self, directive: Directive, now_seconds: float) -> None:
        upstream_id = directive.upstream_id
        view = self._observer.find(upstream_id)
        if view is None or directive.role is None:
            self._return_to_service(
                upstream_id,
                "the upstream is not listed any more or its directive names no role",
            )
            return
        if view.load is not None and view.load.role is directive.role:
            self._term.role_changed_seconds[upstream_id] = now_seconds
            self._return_to_service(
                upstream_id, f"its role is {directive.role.value} now"
            )
            return
        defaults = self._configuration().defaults
        match self._drains.progress(upstream_id, defaults, now_seconds):
            case DrainDone():
                self._order_role(upstream_id, directive.role, now_seconds)
            case DrainOverdue():
                # A planned change waits for work to end or is abandoned; it
                # never cancels work.
                self._term.role_changed_seconds[upstream_id] = now_seconds
                self._return_to_service(
                    upstream_id, "its work did not end within drain_seconds"
                )

    def _order_role(
        self, upstream_id: UpstreamId, role: EngineRole, now_seconds: float
    ) -> None:
        intent = OrderIntent.of(
            self._journal.planner,
            self._journal.epoch,
            uuid.uuid4().hex,
            upstream_id,
            SetRole(role),
        )
        self._orders.submit(intent, now_seconds)

    def _return_to_service(self, upstream_id: UpstreamId, reason: str) -> None:
        if self._journal.return_to_service(upstream_id, reason):
            self._drains.remove(upstream_id)
            self._record_reason(DecisionKind.ROLE_CHANGED, upstream_id, reason)

    def _plan(self, now_seconds: float) -> None:
        configuration = self._configuration()
        drained = {d.upstream_id for d in self._observer.directives_draining()}
        views = self._observer.all()
        changing = frozenset(v.model for v in views if v.upstream_id in drained)
        horizon_seconds = configuration.defaults.role_horizon_seconds
        engines = self._role_engines(views)
        for work in self._entries.forecast(horizon_seconds, now_seconds):
            scope = Scope(ScopeKind.MODEL, work.model)
            defaults = configuration.defaults_for(scope)
            state = RoleState(engines, (work,), changing, ROLE_CHANGE_SECONDS)
            for change in plan_roles(state, defaults, now_seconds):
                self._start_change(change)

    def _role_engines(self, views: tuple[UpstreamView, ...]) -> tuple[RoleEngine, ...]:
        return tuple(
            RoleEngine(
                view.upstream_id,
                view.listed.zone,
                view.model,
                view.role,
                prefill_speed(view),
                decode_speed(view),
                view.load.running if view.load is not None else 0,
                self._term.role_changed_seconds.get(view.upstream_id),
            )
            for view in views
            if view.listed.kind is UpstreamKind.ENGINE
            and view.state is UpstreamState.ACTIVE
            and view.role is not None
        )

    def _start_change(self, change: RoleChange) -> None:
        directive = Directive(
            self._journal.planner,
            self._journal.epoch,
            change.upstream_id,
            UpstreamState.DRAINING,
            change.to_role,
            reason=change.reason,
        )
        if self._journal.append_directive(directive):
            self._record_reason(DecisionKind.DRAINED, change.upstream_id, change.reason)

    def _load_adapters(self, now_seconds: float) -> None:
        """Load missing adapters one by one, in slots of the weight store."""
        reservation = self._term.reservation
        if reservation is None:
            self._reserve_load(now_seconds)
        elif now_seconds >= reservation.starts_seconds:
            self._term.reservation = None
            intent = OrderIntent.of(
                self._journal.planner,
                self._journal.epoch,
                uuid.uuid4().hex,
                reservation.upstream_id,
                LoadAdapter(reservation.adapter, reservation.version),
            )
            self._orders.submit(intent, now_seconds)

    def _reserve_load(self, now_seconds: float) -> None:
        missing = self._missing_adapter()
        if missing is None or now_seconds < self._term.next_reservation_seconds:
            return
        upstream_id, model, adapter, version = missing
        self._term.next_reservation_seconds = now_seconds + WEIGHT_STORE_PAUSE_SECONDS
        try:
            reserved = self._weight_store.reserve(upstream_id, model, version)
        except PlatformRefused as error:
            pause_seconds = error.retry_after_seconds or WEIGHT_STORE_PAUSE_SECONDS
            self._term.next_reservation_seconds = now_seconds + pause_seconds
            return
        except PlatformUnavailable:
            return
        starts_seconds = now_seconds + reserved.starts_in_seconds
        self._term.reservation = _LoadReservation(
            upstream_id, adapter, version, starts_seconds
        )

    def _missing_adapter(self) -> tuple[UpstreamId, ModelName, str, str] | None:
        models = self._configuration().models
        busy = {intent.upstream_id for intent in self._observer.open_intents()}
        for view in self._observer.all():
            model = models.get(view.model)
            if model is None or view.load is None or view.upstream_id in busy:
                continue
            if view.state is not UpstreamState.ACTIVE:
                continue
            for adapter in model.adapters:
                if adapter not in view.load.adapters:
                    return view.upstream_id, view.model, adapter, model.version
        return None

    def _record_reason(
        self, kind: DecisionKind, upstream_id: UpstreamId, text: str
    ) -> None:
        wall_seconds = self._clock.wall_seconds()
        self._decisions.add(Reason(kind, upstream_id, wall_seconds, text))
