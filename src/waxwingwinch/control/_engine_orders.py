"""Sending engine orders and reconciling open ones."""

from typing import assert_never

import eliot
from attrs import define

from waxwingwinch._exceptions import OrderRefused, UpstreamFailed
from waxwingwinch.contracts import UpstreamView
from waxwingwinch.control._journal import FleetJournal
from waxwingwinch.fleet import FleetObserver, OrderFate, OrderIntent
from waxwingwinch.interfaces import (
    Engine,
    EngineOrder,
    GiveBack,
    LoadAdapter,
    LoadModel,
    OrderResult,
    OrderUpstream,
    SetRole,
)

#: Interval at which an order without visible effect is sent again.
ORDER_RETRY_SECONDS = 5.0
#: If a load report shows no effect of a completed order within this time,
#: the effect was undone, for example by a crash of the engine.
EFFECT_TIMEOUT_SECONDS = 30.0
#: An engine missing from the platform's list for this long counts as gone.
MISSING_TIMEOUT_SECONDS = 5.0


@define
class _Attempt:
    """State of an open order in the current term."""

    first_seen_seconds: float
    sent_seconds: float | None = None
    done_seconds: float | None = None
    missing_since_seconds: float | None = None


class EngineOrders:
    """
    Drives the engine orders of one planner to an outcome.

    An open order is observed or sent again under the same order id; no other
    order is sent to its engine meanwhile. It stays open until a load report
    shows its effect: reports lag, and a planner that trusted them would order
    again. It is also closed if the engine is missing from the platform's list
    for MISSING_TIMEOUT_SECONDS, or if no effect is reported within
    EFFECT_TIMEOUT_SECONDS of its completion.

    :param journal: Writes the planner's records to the fleet stream.
    :param observer: Observed state of the fleet.
    :param engine: Calls engines.
    """

    def __init__(
        self, journal: FleetJournal, observer: FleetObserver, engine: Engine
    ) -> None:
        self._journal = journal
        self._observer = observer
        self._engine = engine
        self._attempts: dict[str, _Attempt] = {}

    def clear(self) -> None:
        """Discard the attempts at the start of a term."""
        self._attempts.clear()

    def submit(self, intent: OrderIntent, now_seconds: float) -> bool:
        """
        Record an intent and send its order once.

        :param intent: A new intent of this term.
        :param now_seconds: Monotonic time.
        :returns: False if the intent is void or wasn't read back in time; an
            intent that is read back later is reconciled as any open one.
        """
        if not self._journal.open_intent(intent):
            return False
        self.reconcile(intent, now_seconds)
        return True

    def reconcile(self, intent: OrderIntent, now_seconds: float) -> None:
        """
        Close an open order if it has its effect, else send it if due.

        :param intent: An open intent, of this term or an earlier one.
        :param now_seconds: Monotonic time.
        """
        attempt = self._attempts.setdefault(intent.order_id, _Attempt(now_seconds))
        view = self._observer.find(intent.upstream_id)
        if view is None:
            self._reconcile_missing(intent, attempt, now_seconds)
            return
        attempt.missing_since_seconds = None
        if self._has_effect(intent, attempt, view):
            self._close(intent, OrderFate.OBSERVED)
            return
        sent_seconds = attempt.sent_seconds
        if sent_seconds is None or now_seconds - sent_seconds >= ORDER_RETRY_SECONDS:
            attempt.sent_seconds = now_seconds
            if self._send(intent, view) and attempt.done_seconds is None:
                attempt.done_seconds = now_seconds
        done_seconds = attempt.done_seconds
        if (
            done_seconds is not None
            and now_seconds - done_seconds > EFFECT_TIMEOUT_SECONDS
        ):
            self._close(intent, OrderFate.DONE)

    def _reconcile_missing(
        self, intent: OrderIntent, attempt: _Attempt, now_seconds: float
    ) -> None:
        """Close the order of an engine that is no longer listed."""
        listed_seconds = self._observer.listed_seconds()
        if listed_seconds is None or listed_seconds < attempt.first_seen_seconds:
            return
        if attempt.missing_since_seconds is None:
            attempt.missing_since_seconds = now_seconds
        if now_seconds - attempt.missing_since_seconds >= MISSING_TIMEOUT_SECONDS:
            self._close(intent, OrderFate.OBSERVED)

    def _has_effect(
        self, intent: OrderIntent, attempt: _Attempt, view: UpstreamView
    ) -> bool:
        load = view.load
        sent_seconds = attempt.sent_seconds
        # A report from before the order may show the same state by chance.
        if load is None or sent_seconds is None or not load.accepting:
            return False
        if view.load_taken_seconds <= sent_seconds:
            return False
        match intent.action:
            case SetRole(role):
                return load.role is role
            case LoadModel(model):
                return load.model == model
            case LoadAdapter(adapter):
                return adapter in load.adapters
            case OrderUpstream() | GiveBack():
                raise ValueError("expected an order to an engine, got a market order")
            case action:
                assert_never(action)

    def _send(self, intent: OrderIntent, view: UpstreamView) -> bool:
        """Send the order; return True if the engine reports it as done."""
        action = intent.action
        if isinstance(action, OrderUpstream | GiveBack):
            raise ValueError("expected an order to an engine, got a market order")
        order = EngineOrder(intent.order_id, self._journal.epoch, action)
        try:
            result = self._engine.order(view.listed.address, order)
        except UpstreamFailed as error:
            eliot.log_message(
                "control:order_unanswered",
                upstream=intent.upstream_id,
                order=intent.order_id,
                reason=str(error),
            )
            return False
        except OrderRefused as error:
            # The engine has seen a newer epoch, so another process holds the
            # duty; this process learns of it through its lease.
            eliot.log_message(
                "control:order_refused",
                upstream=intent.upstream_id,
                order=intent.order_id,
                highest_epoch=error.highest_epoch,
            )
            return False
        return result is OrderResult.DONE

    def _close(self, intent: OrderIntent, fate: OrderFate) -> None:
        if self._journal.close_intent(intent.order_id, fate):
            self._attempts.pop(intent.order_id, None)
