"""Ordering upstreams and giving them back."""

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
from waxwingwinch.control._capacity import engines_of_work
from waxwingwinch.control._drains import DrainDone, DrainOverdue, DrainWatch
from waxwingwinch.control._entries import EntryBook
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

#: Pause between two plans.
PLAN_SECONDS = 5.0
#: Expected time from an order to an engine in service.
LEAD_SECONDS = 30.0
#: A zone that refused is asked again after this time if it named no other.
REFUSED_SECONDS = 30.0
#: Demand has to be known for this long before a term returns anything.
WARM_UP_SECONDS = 60.0


@define
class _Term:
    """What is known only to the present term."""

    begun_seconds: float = 0.0
    planned_seconds: float = 0.0
    refusals: dict[tuple[ZoneName, str], CapacityRefusal] = field(factory=dict)
    surplus_since_seconds: dict[ModelName, float] = field(factory=dict)


class BuyingRunner:
    """
    Plans purchases and returns and carries them out.

    It acts under the fleet duty, so that one process orders for the cell.

    :param duty: Name of the duty.
    :param journal: The records of this planner.
    :param orders: Market orders of this planner.
    :param drains: Drains of this planner.
    :param observer: The fleet.
    :param entries: What the entries tell.
    :param configuration: Gives the configuration in force.
    :param decisions: Where reasons are kept.
    :param clock: Source of wall time for reasons.
    :param policy: Whether purchases and returns are planned; those under
        way are ended in any case.
    """

    def __init__(
        self,
        duty: str,
        journal: FleetJournal,
        orders: MarketOrders,
        drains: DrainWatch,
        observer: FleetObserver,
        entries: EntryBook,
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
        """Take over."""
        self._journal.begin(epoch)
        self._orders.clear()
        self._drains.begin(now_seconds)
        self._term = _Term(begun_seconds=now_seconds, planned_seconds=now_seconds)

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
                self._continue_return(directive.upstream_id, now_seconds)
        if now_seconds - self._term.planned_seconds >= PLAN_SECONDS:
            self._term.planned_seconds = now_seconds
            if self._policy is BuyingPolicyKind.PLANNED:
                self._plan(now_seconds)

    def _continue_return(self, upstream_id: UpstreamId, now_seconds: float) -> None:
        if self._observer.find(upstream_id) is None:
            self._put_back(upstream_id, "the upstream is gone")
            return
        defaults = self._configuration().defaults
        match self._drains.progress(upstream_id, defaults, now_seconds):
            case DrainDone():
                intent = self._intent(upstream_id, GiveBack(upstream_id))
                if self._orders.begin(intent, now_seconds) is not None:
                    self._put_back(upstream_id, "the platform didn't take it back")
            case DrainOverdue():
                self._put_back(upstream_id, "its work did not end in time")

    def _put_back(self, upstream_id: UpstreamId, reason: str) -> None:
        if self._journal.put_back(upstream_id, reason):
            self._drains.forget(upstream_id)
            self._explain(DecisionKind.GAVE_BACK, upstream_id, reason)

    def _plan(self, now_seconds: float) -> None:
        if self._observer.listed_seconds() is None or self._entries.is_empty():
            # Without a list or any demand nothing is known.
            return
        configuration = self._configuration()
        views = self._service_views()
        for work in self._expected_work(configuration, now_seconds):
            own = [view for view in views if view.model == work.model]
            defaults = configuration.defaults_for(Scope(ScopeKind.MODEL, work.model))
            need = ModelNeed(work.model, engines_of_work(work, own))
            engines = (*map(_owned, own), *self._ordered(work.model))
            if spare_engine(engines, need, defaults) is None:
                self._term.surplus_since_seconds.pop(work.model, None)
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
                self._carry_out(decision, now_seconds)

    def _expected_work(
        self, configuration: Configuration, now_seconds: float
    ) -> list[WorkForecast]:
        """Return the work of each model; none where no demand was seen."""
        forecasts = self._entries.forecast(LEAD_SECONDS, now_seconds)
        by_model = {work.model: work for work in forecasts}
        return [
            by_model.get(model, WorkForecast(model, 0.0, 0.0))
            for model in configuration.models
        ]

    def _service_views(self) -> list[UpstreamView]:
        """Return the engines that are in service or will be."""
        returned = {directive.upstream_id for directive in self._journal.drains()}
        return [
            view
            for view in self._observer.all()
            if view.listed.kind is UpstreamKind.ENGINE
            and view.state is not UpstreamState.LEAVING
            and view.upstream_id not in returned
        ]

    def _ordered(self, model: ModelName) -> list[OwnedEngine]:
        """Return the ordered engines that aren't listed yet."""
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
        """Return the models that give nothing back now."""
        if now_seconds - self._term.begun_seconds < WARM_UP_SECONDS:
            return frozenset(self._configuration().models)
        drained = {d.upstream_id for d in self._observer.directives_draining()}
        busy = {v.model for v in self._observer.all() if v.upstream_id in drained}
        ordered = [intent.purchase for intent in self._journal.open_intents()]
        return frozenset(busy | {p.model for p in ordered if p is not None})

    def _carry_out(self, decision: Purchase | Return, now_seconds: float) -> None:
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
                # The next one has to be in surplus for as long again.
                self._term.surplus_since_seconds.pop(decision.model, None)
                if self._journal.direct(directive):
                    kind = DecisionKind.GAVE_BACK
                    self._explain(kind, decision.upstream_id, decision.reason)

    def _buy(self, purchase: Purchase, now_seconds: float) -> None:
        known = self._term.refusals.get(_refusal_key(purchase))
        if known is not None and now_seconds < known.until_seconds:
            # An earlier purchase of the same plan was refused there.
            return
        action = OrderUpstream(
            purchase.zone, purchase.price_class, purchase.model, purchase.role
        )
        intent = self._intent(UpstreamId(""), action)
        refused = self._orders.begin(intent, now_seconds)
        if refused is None:
            self._explain(DecisionKind.BOUGHT, purchase.model, purchase.reason)
            return
        self._note_refusal(purchase, refused, now_seconds)

    def _note_refusal(
        self, purchase: Purchase, refused: MarketRefusal, now_seconds: float
    ) -> None:
        pause_seconds = refused.retry_after_seconds or REFUSED_SECONDS
        self._term.refusals[_refusal_key(purchase)] = CapacityRefusal(
            purchase.zone, purchase.price_class, now_seconds + pause_seconds
        )

    def _intent(
        self, upstream_id: UpstreamId, action: GiveBack | OrderUpstream
    ) -> OrderIntent:
        order_id = uuid.uuid4().hex
        planner, epoch = self._journal.planner, self._journal.epoch
        return OrderIntent.of(planner, epoch, order_id, upstream_id, action)

    def _explain(self, kind: DecisionKind, subject: str, text: str) -> None:
        self._decisions.add(Reason(kind, subject, self._clock.wall_seconds(), text))


def _owned(view: UpstreamView) -> OwnedEngine:
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
