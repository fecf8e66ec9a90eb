"""Sending market orders and reconciling open ones."""

from typing import assert_never

import eliot
from attrs import frozen

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch.control._journal import FleetJournal
from waxwingwinch.fleet import FleetObserver, OrderFate, OrderIntent
from waxwingwinch.interfaces import (
    GiveBack,
    LoadAdapter,
    LoadModel,
    MarketOrder,
    OrderUpstream,
    SetRole,
    UpstreamMarket,
)

#: A placed order whose effect isn't listed within this time is closed, as a
#: purchased upstream may be withdrawn before it is ever listed.
LISTING_TIMEOUT_SECONDS = 120.0


@frozen
class MarketRefusal:
    """
    An order that the platform refused to carry out.

    :param intent: The order.
    :param retry_after_seconds: Delay until a retry; None if not stated.
    """

    intent: OrderIntent
    retry_after_seconds: float | None


class MarketOrders:
    """
    Drives the market orders of one planner to an outcome.

    After a lost answer the platform is asked whether the order was placed. A
    retry has the same order id, under which the platform carries an order
    out once. An order stays open until the platform's list shows its effect:
    the list lags, and a planner that trusted it would order again. It is also
    closed LISTING_TIMEOUT_SECONDS after it was placed.

    :param journal: Writes the planner's records to the fleet stream.
    :param observer: Observed state of the fleet.
    :param market: The platform's market interface.
    """

    def __init__(
        self, journal: FleetJournal, observer: FleetObserver, market: UpstreamMarket
    ) -> None:
        self._journal = journal
        self._observer = observer
        self._market = market
        self._placed_seconds: dict[str, float] = {}

    def clear(self) -> None:
        """Discard the times of placed orders at the start of a term."""
        self._placed_seconds.clear()

    def submit(self, intent: OrderIntent, now_seconds: float) -> MarketRefusal | None:
        """
        Record an intent and send its order once.

        :param intent: A new intent of this term.
        :param now_seconds: Monotonic time.
        :returns: The refusal by the platform; None if there was none.
        """
        if not self._journal.open_intent(intent):
            return None
        error = self._place(intent, now_seconds)
        if error is None:
            return None
        # The order was sent once and refused, so it never takes effect.
        self._journal.close_intent(intent.order_id, OrderFate.FAILED)
        return MarketRefusal(intent, error.retry_after_seconds)

    def reconcile(self, intent: OrderIntent, now_seconds: float) -> None:
        """
        Ask whether an open order was placed and send it again if not.

        An unanswered send may still arrive, so a refused retry leaves the
        order open.

        :param intent: An open intent, of this term or an earlier one.
        :param now_seconds: Monotonic time.
        """
        if intent.order_id not in self._placed_seconds:
            try:
                placed = self._market.was_placed(intent.order_id)
            except (PlatformUnavailable, PlatformRefused):
                return
            if placed:
                self._record_placed(intent, now_seconds)
            else:
                self._place(intent, now_seconds)
        self._close_if_seen(intent, now_seconds)

    def _place(self, intent: OrderIntent, now_seconds: float) -> PlatformRefused | None:
        order = MarketOrder(
            intent.order_id, self._journal.epoch, _market_action(intent)
        )
        try:
            self._market.place(order)
        except PlatformUnavailable as error:
            eliot.log_message(
                "control:market_unanswered", order=order.order_id, reason=str(error)
            )
            return None
        except PlatformRefused as error:
            eliot.log_message(
                "control:market_refused", order=order.order_id, reason=str(error)
            )
            return error
        self._record_placed(intent, now_seconds)
        return None

    def _record_placed(self, intent: OrderIntent, now_seconds: float) -> None:
        self._placed_seconds[intent.order_id] = now_seconds

    def _close_if_seen(self, intent: OrderIntent, now_seconds: float) -> None:
        """Close an order whose effect is listed or overdue."""
        placed_seconds = self._placed_seconds.get(intent.order_id)
        if placed_seconds is None:
            return
        is_late = now_seconds - placed_seconds > LISTING_TIMEOUT_SECONDS
        if is_late or self._is_listed(intent):
            self._close(intent)

    def _is_listed(self, intent: OrderIntent) -> bool:
        """Return True if the platform's list shows the effect of an order."""
        if intent.give_back is not None:
            return self._observer.find(intent.give_back.upstream_id) is None
        return any(
            view.listed.order_id == intent.order_id for view in self._observer.all()
        )

    def _close(self, intent: OrderIntent) -> None:
        if self._journal.close_intent(intent.order_id, OrderFate.OBSERVED):
            self._placed_seconds.pop(intent.order_id, None)


def _market_action(intent: OrderIntent) -> OrderUpstream | GiveBack:
    match intent.action:
        case OrderUpstream() | GiveBack() as action:
            return action
        case SetRole() | LoadModel() | LoadAdapter():
            raise ValueError("expected a market order, got an order to an engine")
        case action:
            assert_never(action)
