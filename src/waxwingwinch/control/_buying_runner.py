"""Ordering upstreams and giving them back to the platform."""

import uuid
from collections.abc import Callable

from attrs import define, field

from waxwingwinch._types import (
    Epoch,
    ModelName,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    ZoneName,
)
from waxwingwinch.configuration import Configuration, Scope, ScopeKind
from waxwingwinch.contracts import DecisionKind, DecisionLog, Reason, UpstreamView
from waxwingwinch.control._capacity import engines_needed
from waxwingwinch.control._drain_tracker import DrainDone, DrainOverdue, DrainTracker
from waxwingwinch.control._entry_tracker import EntryTracker
from waxwingwinch.control._journal import FleetJournal
from waxwingwinch.control._market_orders import MarketOrders, MarketRefusal
from waxwingwinch.decisions import (
    BuyingState,
    CapacityRefusal,
    ModelNeed,
    OwnedEngine,
    Purchase,
    Return,
    WorkForecast,
    plan_purchases,
    spare_engine,
)
from waxwingwinch.fleet import Directive, FleetObserver, OrderIntent
from waxwingwinch.interfaces import GiveBack, OrderUpstream
from waxwingwinch.kernel import Clock
from waxwingwinch.settings import BuyingPolicyKind

#: Interval between two plans.
PLAN_INTERVAL_SECONDS = 5.0
#: Expected time from an order until the engine is in service.
LEAD_SECONDS = 30.0
#: Pause before the next order in a zone that refused one without a retry time.
REFUSAL_PAUSE_SECONDS = 30.0
#: A new term observes the demand for this long before it gives back an
#: engine.
WARM_UP_SECONDS = 60.0


@define
class _Term:
    """State of the current term; not written to the log."""

    begun_seconds: float = 0.0
    planned_seconds: float = 0.0
    refusals: dict[tuple[ZoneName, str], CapacityRefusal] = field(factory=dict)
    surplus_since_seconds: dict[ModelName, float] = field(factory=dict)


class BuyingRunner:
    """
    Plans and executes purchases of engines and gives engines back.

    It runs under the fleet duty, so that only one process places orders for
    the cell.

    :param duty: Name of the duty.
    :param journal: Writes this planner's records to the fleet stream.
    :param orders: Market orders of this planner.
    :param drains: Drains of this planner.
    :param observer: Observed state of the fleet.
    :param entries: Heartbeats and demand of the entries.
    :param configuration: Returns the configuration in force.
    :param decisions: Log of the reasons for decisions.
    :param clock: Source of the wall time of reasons.
    :param policy: Whether engines are ordered and given back by plan; orders
        and give-backs in progress are completed in any case.
    """

    def __init__(
        self,
        duty: str,
        journal: FleetJournal,
        orders: MarketOrders,
        drains: DrainTracker,
        observer: FleetObserver,
        entries: EntryTracker,
        configuration: Callable[[], Configuration],
        decisions: DecisionLog,
        clock: Clock,
        policy: BuyingPolicyKind = BuyingPolicyKind.PLANNED,
    ) -> None:
        self._duty = duty
        self._journal = journal
        self._orders = orders
        self._drains = drains
        self._observer = observer
        self._entries = entries
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
        self._term = _Term(begun_seconds=now_seconds, planned_seconds=now_seconds)

    def end(self) -> None:
        """Drop the state of the term."""
        self._term = _Term()

    def step(self, now_seconds: float) -> None:
        """Reconcile open orders, continue open give-backs, then plan."""
        if not self._journal.announce_term():
            return
        self._journal.republish(now_seconds)
        intents = self._journal.open_intents()
        for intent in intents:
            self._orders.reconcile(intent, now_seconds)
        busy = {intent.upstream_id for intent in intents}
        for directive in self._journal.draining_directives():
            if directive.upstream_id not in busy:
                self._continue_give_back(directive.upstream_id, now_seconds)
        if now_seconds - self._term.planned_seconds >= PLAN_INTERVAL_SECONDS:
            self._term.planned_seconds = now_seconds
            if self._policy is BuyingPolicyKind.PLANNED:
                self._plan(now_seconds)

    def _continue_give_back(self, upstream_id: UpstreamId, now_seconds: float) -> None:
        if self._observer.find(upstream_id) is None:
            self._return_to_service(upstream_id, "the upstream is not listed any more")
            return
        defaults = self._configuration().defaults
        match self._drains.progress(upstream_id, defaults, now_seconds):
            case DrainDone():
                intent = self._intent(upstream_id, GiveBack(upstream_id))
                if self._orders.submit(intent, now_seconds) is not None:
                    self._return_to_service(
                        upstream_id,
                        "kept in service: the platform refused to take it back",
                    )
            case DrainOverdue():
                self._return_to_service(
                    upstream_id,
                    "kept in service: its work did not end within drain_seconds",
                )

    def _return_to_service(self, upstream_id: UpstreamId, reason: str) -> None:
        if self._journal.return_to_service(upstream_id, reason):
            self._drains.remove(upstream_id)
            self._record_reason(DecisionKind.GAVE_BACK, upstream_id, reason)

    def _plan(self, now_seconds: float) -> None:
        if self._observer.listed_seconds() is None or self._entries.is_empty():
            # No plan without the platform's list and a heartbeat of an entry.
            return
        configuration = self._configuration()
        views = self._remaining_engines()
        for work in self._expected_work(configuration, now_seconds):
            model_views = [view for view in views if view.model == work.model]
            defaults = configuration.defaults_for(Scope(ScopeKind.MODEL, work.model))
            need = ModelNeed(work.model, engines_needed(work, model_views))
            engines = (
                *map(_owned_engine, model_views),
                *self._ordered_engines(work.model),
            )
            if spare_engine(engines, need, defaults) is None:
                self._term.surplus_since_seconds.pop(work.model, None)
            # Without a spare engine the surplus time restarts now.
            since_seconds = self._term.surplus_since_seconds.setdefault(
                work.model, now_seconds
            )
            state = BuyingState(
                tuple(sorted({view.listed.zone for view in self._observer.all()})),
                engines,
                (ModelNeed(need.model, need.fully_utilized_engines, since_seconds),),
                tuple(self._term.refusals.values()),
                self._busy_models(now_seconds),
            )
            for decision in plan_purchases(state, defaults, now_seconds):
                self._execute(decision, now_seconds)

    def _expected_work(
        self, configuration: Configuration, now_seconds: float
    ) -> list[WorkForecast]:
        """Return the forecast of each model; zero without observed demand."""
        forecasts = self._entries.forecast(LEAD_SECONDS, now_seconds)
        by_model = {work.model: work for work in forecasts}
        return [
            by_model.get(model, WorkForecast(model, 0.0, 0.0))
            for model in configuration.models
        ]

    def _remaining_engines(self) -> list[UpstreamView]:
        """Return the engines that are neither leaving nor being given back."""
        returned = {
            directive.upstream_id for directive in self._journal.draining_directives()
        }
        return [
            view
            for view in self._observer.all()
            if view.listed.kind is UpstreamKind.ENGINE
            and view.state is not UpstreamState.LEAVING
            and view.upstream_id not in returned
        ]

    def _ordered_engines(self, model: ModelName) -> list[OwnedEngine]:
        """Return the ordered engines that the platform doesn't list yet."""
        listed = {view.listed.order_id for view in self._observer.all()}
        return [
            OwnedEngine(
                UpstreamId(""),
                intent.purchase.zone,
                intent.purchase.price_class,
                model,
            )
            for intent in self._journal.open_intents()
            if intent.purchase is not None
            and intent.purchase.model == model
            and intent.order_id not in listed
        ]

    def _busy_models(self, now_seconds: float) -> frozenset[ModelName]:
        """Return the models of which no engine may be given back now."""
        if now_seconds - self._term.begun_seconds < WARM_UP_SECONDS:
            return frozenset(self._configuration().models)
        drained = {d.upstream_id for d in self._observer.directives_draining()}
        busy = {v.model for v in self._observer.all() if v.upstream_id in drained}
        ordered = [intent.purchase for intent in self._journal.open_intents()]
        return frozenset(busy | {p.model for p in ordered if p is not None})

    def _execute(self, decision: Purchase | Return, now_seconds: float) -> None:
        match decision:
            case Purchase():
                self._buy(decision, now_seconds)
            case Return():
                directive = Directive(
                    self._journal.planner,
                    self._journal.epoch,
                    decision.upstream_id,
                    UpstreamState.DRAINING,
                    reason=decision.reason,
                )
                # The surplus time starts anew before the next give-back.
                self._term.surplus_since_seconds.pop(decision.model, None)
                if self._journal.append_directive(directive):
                    kind = DecisionKind.GAVE_BACK
                    self._record_reason(kind, decision.upstream_id, decision.reason)

    def _buy(self, purchase: Purchase, now_seconds: float) -> None:
        refusal = self._term.refusals.get(_refusal_key(purchase))
        if refusal is not None and now_seconds < refusal.until_seconds:
            # An earlier purchase in this zone and price class was refused.
            return
        action = OrderUpstream(
            purchase.zone, purchase.price_class, purchase.model, purchase.role
        )
        intent = self._intent(UpstreamId(""), action)
        market_refusal = self._orders.submit(intent, now_seconds)
        if market_refusal is None:
            self._record_reason(DecisionKind.BOUGHT, purchase.model, purchase.reason)
            return
        self._record_refusal(purchase, market_refusal, now_seconds)

    def _record_refusal(
        self, purchase: Purchase, market_refusal: MarketRefusal, now_seconds: float
    ) -> None:
        pause_seconds = market_refusal.retry_after_seconds or REFUSAL_PAUSE_SECONDS
        self._term.refusals[_refusal_key(purchase)] = CapacityRefusal(
            purchase.zone, purchase.price_class, now_seconds + pause_seconds
        )

    def _intent(
        self, upstream_id: UpstreamId, action: GiveBack | OrderUpstream
    ) -> OrderIntent:
        order_id = uuid.uuid4().hex
        planner, epoch = self._journal.planner, self._journal.epoch
        return OrderIntent.of(planner, epoch, order_id, upstream_id, action)

    def _record_reason(self, kind: DecisionKind, subject: str, text: str) -> None:
        self._decisions.add(Reason(kind, subject, self._clock.wall_seconds(), text))


def _owned_engine(view: UpstreamView) -> OwnedEngine:
    return OwnedEngine(
        view.upstream_id,
        view.listed.zone,
        view.listed.price_class,
        view.model,
        view.listed.price_per_hour,
        view.load.running if view.load is not None else 0,
    )


def _refusal_key(purchase: Purchase) -> tuple[ZoneName, str]:
    return purchase.zone, purchase.price_class.value
