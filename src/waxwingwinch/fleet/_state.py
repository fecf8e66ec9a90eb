"""State derived from the stream ``fleet-<cell>``, identical at all readers."""

from typing import Any

from waxwingwinch._types import Epoch, UpstreamId, UpstreamState
from waxwingwinch.fleet._records import (
    Directive,
    OrderIntent,
    OrderOutcome,
    TermBegun,
)

#: Number of closed order ids that are kept to ignore late repeats of intents.
MAX_CLOSED_ORDERS = 10_000


class FleetState:
    """
    Directives in force and intents without an outcome.

    A record is void if a record of a newer term of its duty was read before.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Clear the state after missed records.

        Holders append their records in force again, which restores it.
        """
        self._epochs: dict[str, Epoch] = {}
        self._directives: dict[UpstreamId, Directive] = {}
        self._intents: dict[str, OrderIntent] = {}
        self._closed_orders: dict[str, None] = {}

    def epoch(self, duty: str) -> Epoch | None:
        """Return the newest epoch of a duty; None before its first record."""
        return self._epochs.get(duty)

    def directive(self, upstream_id: UpstreamId) -> Directive | None:
        """Return the last valid directive on an upstream; None before."""
        return self._directives.get(upstream_id)

    def directives(self) -> tuple[Directive, ...]:
        """Return the last valid directive on each upstream."""
        return tuple(self._directives.values())

    def is_draining(self, upstream_id: UpstreamId) -> bool:
        """Return True if an upstream must get no new work."""
        directive = self._directives.get(upstream_id)
        return directive is not None and directive.state is UpstreamState.DRAINING

    def open_intents(self) -> tuple[OrderIntent, ...]:
        """Return the intents without an outcome, oldest first."""
        return tuple(self._intents.values())

    def is_open(self, order_id: str) -> bool:
        """Return True if the order's valid intent has no outcome yet."""
        return order_id in self._intents

    def apply(self, body: Any) -> bool:
        """
        Apply the next record.

        :param body: The decoded message; unknown types are void.
        :returns: False if the record is void.
        """
        if not isinstance(body, TermBegun | Directive | OrderIntent | OrderOutcome):
            return False
        if body.epoch < self._epochs.get(body.duty, body.epoch):
            return False
        self._epochs[body.duty] = body.epoch
        match body:
            case Directive():
                return self._apply_directive(body)
            case OrderIntent():
                return self._open_intent(body)
            case OrderOutcome():
                self._close_intent(body.order_id)
        return True

    def _apply_directive(self, directive: Directive) -> bool:
        """Apply a directive unless another duty drains the upstream."""
        current = self._directives.get(directive.upstream_id)
        if current is not None and current.state is UpstreamState.DRAINING:
            if current.duty != directive.duty:
                return False
        self._directives[directive.upstream_id] = directive
        return True

    def _open_intent(self, intent: OrderIntent) -> bool:
        """Open an intent unless the upstream has another open one."""
        if intent.order_id in self._closed_orders:
            return False
        for other in self._intents.values():
            is_same_upstream = other.upstream_id == intent.upstream_id != ""
            if is_same_upstream and other.order_id != intent.order_id:
                return False
        self._intents[intent.order_id] = intent
        return True

    def _close_intent(self, order_id: str) -> None:
        self._intents.pop(order_id, None)
        self._closed_orders[order_id] = None
        if len(self._closed_orders) > MAX_CLOSED_ORDERS:
            del self._closed_orders[next(iter(self._closed_orders))]
