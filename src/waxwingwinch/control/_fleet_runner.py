"""The work of the duty ``fleet-<cell>``: role changes and adapters."""

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
from waxwingwinch.control._drains import DrainDone, DrainOverdue, DrainWatch
from waxwingwinch.control._engine_orders import EngineOrders
from waxwingwinch.control._entries import EntryBook
from waxwingwinch.control._journal import FleetJournal
from waxwingwinch.decisions import RoleChange, RoleEngine, RoleState, plan_roles
from waxwingwinch.fleet import Directive, FleetObserver, OrderIntent
from waxwingwinch.interfaces import LoadAdapter, SetRole, WeightStore
from waxwingwinch.kernel import Clock
from waxwingwinch.settings import RolePolicyKind

#: Pause between two plans.
PLAN_SECONDS = 1.0
#: Time that a change takes an engine out of service, drain included.
CHANGE_SECONDS = 6.0
#: Pause after the weight store was busy or silent.
WEIGHTS_PAUSE_SECONDS = 5.0


@define
class _Turn:
    """A reserved turn at the weight store."""

    upstream_id: UpstreamId
    adapter: str
    version: str
    starts_seconds: float


@define
class _Term:
    """What is known only to the present term."""

    planned_seconds: float = 0.0
    weights_seconds: float = 0.0
    turn: _Turn | None = None
    changed_seconds: dict[UpstreamId, float] = field(factory=dict)


class FleetRunner:
    """
    Plans role changes and carries them out: drain, intent, order, outcome.

    What is under way stands in the log, so a successor carries on with it.

    :param duty: Name of the duty.
    :param journal: The records of this planner.
    :param orders: Engine orders of this planner.
    :param drains: Drains of this planner.
    :param observer: The fleet.
    :param entries: What the entries tell.
    :param weight_store: Gives turns for loading weights.
    :param configuration: Gives the configuration in force.
    :param decisions: Where reasons are kept.
    :param clock: Source of wall time for reasons.
    :param policy: Whether changes are planned; those under way are ended
        in any case.
    """

    def __init__(
        self,
        duty: str,
        journal: FleetJournal,
        orders: EngineOrders,
        drains: DrainWatch,
        observer: FleetObserver,
        entries: EntryBook,
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
        """Take over."""
        self._journal.begin(epoch)
        self._orders.clear()
        self._drains.begin(now_seconds)
        self._term = _Term()

    def end(self) -> None:
        """Drop the state of the term."""
        self._term = _Term()

    def step(self, now_seconds: float) -> None:
        """Settle what is open, go on with what is drained, then plan."""
        if not self._journal.ready():
            return
        self._journal.repeat(now_seconds)
        intents = self._journal.open_intents()
        for intent in intents:
            self._orders.settle(intent, now_seconds)
        busy = {intent.upstream_id for intent in intents}
        for directive in self._journal.drains():
            if directive.upstream_id not in busy:
                self._continue_change(directive, now_seconds)
        if now_seconds - self._term.planned_seconds >= PLAN_SECONDS:
            self._term.planned_seconds = now_seconds
            if self._policy is RolePolicyKind.PLANNED:
                self._plan(now_seconds)
            self._load_adapters(now_seconds)

    def _continue_change(self, directive: Directive, now_seconds: float) -> None:
        upstream_id = directive.upstream_id
        view = self._observer.find(upstream_id)
        if view is None or directive.role is None:
            self._put_back(upstream_id, "the upstream is gone")
            return
        if view.load is not None and view.load.role is directive.role:
            self._term.changed_seconds[upstream_id] = now_seconds
            self._put_back(upstream_id, f"it is {directive.role.value} now")
            return
        defaults = self._configuration().defaults
        match self._drains.progress(upstream_id, defaults, now_seconds):
            case DrainDone():
                self._order_role(upstream_id, directive.role, now_seconds)
            case DrainOverdue():
                # A planned change waits or is given up, it never cuts.
                self._term.changed_seconds[upstream_id] = now_seconds
                self._put_back(upstream_id, "its work did not end in time")

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
        self._orders.begin(intent, now_seconds)

    def _put_back(self, upstream_id: UpstreamId, reason: str) -> None:
        if self._journal.put_back(upstream_id, reason):
            self._drains.forget(upstream_id)
            self._explain(DecisionKind.ROLE_CHANGED, upstream_id, reason)

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
            state = RoleState(engines, (work,), changing, CHANGE_SECONDS)
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
                self._term.changed_seconds.get(view.upstream_id),
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
        if self._journal.direct(directive):
            self._explain(DecisionKind.DRAINED, change.upstream_id, change.reason)

    def _load_adapters(self, now_seconds: float) -> None:
        """Load one missing adapter at a time, in turn at the weight store."""
        turn = self._term.turn
        if turn is None:
            self._reserve_turn(now_seconds)
        elif now_seconds >= turn.starts_seconds:
            self._term.turn = None
            intent = OrderIntent.of(
                self._journal.planner,
                self._journal.epoch,
                uuid.uuid4().hex,
                turn.upstream_id,
                LoadAdapter(turn.adapter, turn.version),
            )
            self._orders.begin(intent, now_seconds)

    def _reserve_turn(self, now_seconds: float) -> None:
        missing = self._missing_adapter()
        if missing is None or now_seconds < self._term.weights_seconds:
            return
        upstream_id, model, adapter, version = missing
        self._term.weights_seconds = now_seconds + WEIGHTS_PAUSE_SECONDS
        try:
            reserved = self._weight_store.reserve(upstream_id, model, version)
        except PlatformRefused as error:
            pause_seconds = error.retry_after_seconds or WEIGHTS_PAUSE_SECONDS
            self._term.weights_seconds = now_seconds + pause_seconds
            return
        except PlatformUnavailable:
            return
        starts_seconds = now_seconds + reserved.starts_in_seconds
        self._term.turn = _Turn(upstream_id, adapter, version, starts_seconds)

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

    def _explain(self, kind: DecisionKind, upstream_id: UpstreamId, text: str) -> None:
        wall_seconds = self._clock.wall_seconds()
        self._decisions.add(Reason(kind, upstream_id, wall_seconds, text))
