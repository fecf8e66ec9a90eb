"""Sending market orders and settling open ones."""

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

#: A placed purchase that isn't listed after this time was withdrawn again.
LISTING_SECONDS = 120.0


@frozen
class MarketRefusal:
    """
    An order that the platform will not carry out.

    :param intent: The order.
    :param retry_after_seconds: When to ask again; None if not said.
    """

    intent: OrderIntent
    retry_after_seconds: float | None


class MarketOrders:
    """
    Carries intents of market orders to an outcome.

    A lost answer is resolved by reading back; a repeat bears the same name,
    under which the platform carries an order out once. A purchase stays
    open until its engine is listed, so that a successor counts it too.

    :param journal: The records of the planner.
    :param observer: The fleet.
    :param market: The platform's interface.
    """

    def __init__(
        self, journal: FleetJournal, observer: FleetObserver, market: UpstreamMarket
    ) -> None:
        self._journal = journal
        self._observer = observer
        self._market = market
        self._placed_seconds: dict[str, float] = {}

    def clear(self) -> None:
        """Forget what was placed, at the start of a term."""
        self._placed_seconds.clear()

    def begin(self, intent: OrderIntent, now_seconds: float) -> MarketRefusal | None:
        """
        Record an intent and send its order once.

        :param intent: A new intent of this term.
        :param now_seconds: Monotonic time.
        :returns: The refusal, if there was one.
        """
        if not self._journal.open(intent):
            return None
        error = self._place(intent, now_seconds)
        if error is None:
            return None
        # The only send was refused, so the order never takes effect.
        self._journal.close(intent.order_id, OrderFate.FAILED)
        return MarketRefusal(intent, error.retry_after_seconds)

    def settle(self, intent: OrderIntent, now_seconds: float) -> None:
        """
        Read back an open order and repeat it if it has no effect yet.

        An unanswered send may still arrive, so a refused repeat leaves the
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
                self._note_placed(intent, now_seconds)
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
        self._note_placed(intent, now_seconds)
        return None

    def _note_placed(self, intent: OrderIntent, now_seconds: float) -> None:
        self._placed_seconds[intent.order_id] = now_seconds
        if intent.give_back is not None:
            self._close(intent)

    def _close_if_seen(self, intent: OrderIntent, now_seconds: float) -> None:
        """Close a purchase once its engine is listed, or never will be."""
        placed_seconds = self._placed_seconds.get(intent.order_id)
        if placed_seconds is None:
            return
        listed = any(
            view.listed.order_id == intent.order_id for view in self._observer.all()
        )
        if listed or now_seconds - placed_seconds > LISTING_SECONDS:
            self._close(intent)

    def _close(self, intent: OrderIntent) -> None:
        if self._journal.close(intent.order_id, OrderFate.OBSERVED):
            self._placed_seconds.pop(intent.order_id, None)


def _market_action(intent: OrderIntent) -> OrderUpstream | GiveBack:
    match intent.action:
        case OrderUpstream() | GiveBack() as action:
            return action
        case SetRole() | LoadModel() | LoadAdapter():
            raise ValueError("not a market order")
        case action:
            assert_never(action)
