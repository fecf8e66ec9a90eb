"""The fold of the stream ``fleet-<cell>``, the same at every reader."""

from typing import Any

from waxwingwinch._types import Epoch, UpstreamId, UpstreamState
from waxwingwinch.fleet._records import (
    Directive,
    OrderIntent,
    OrderOutcome,
    TermBegun,
)

#: How many ids of closed orders are remembered against repeats.
MAX_CLOSED_ORDERS = 10_000


class FleetState:
    """
    Directives in force and orders without outcome.

    A record of an older term than one already seen of its duty is void.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Forget everything after missed records; holders repeat theirs."""
        self._epochs: dict[str, Epoch] = {}
        self._directives: dict[UpstreamId, Directive] = {}
        self._intents: dict[str, OrderIntent] = {}
        self._closed: dict[str, None] = {}

    def epoch(self, duty: str) -> Epoch | None:
        """Return the newest term seen of a duty; None before the first."""
        return self._epochs.get(duty)

    def directive(self, upstream_id: UpstreamId) -> Directive | None:
        """Return the last valid directive about an upstream."""
        return self._directives.get(upstream_id)

    def directives(self) -> tuple[Directive, ...]:
        """Return the last valid directive about each upstream."""
        return tuple(self._directives.values())

    def is_draining(self, upstream_id: UpstreamId) -> bool:
        """Tell whether an upstream is to get no new work."""
        directive = self._directives.get(upstream_id)
        return directive is not None and directive.state is UpstreamState.DRAINING

    def open_intents(self) -> tuple[OrderIntent, ...]:
        """Return the orders without outcome, oldest first."""
        return tuple(self._intents.values())

    def is_open(self, order_id: str) -> bool:
        """Tell whether a valid intent has no outcome yet."""
        return order_id in self._intents

    def apply(self, body: Any) -> bool:
        """
        Apply the next record.

        :param body: The decoded message; unknown kinds are void.
        :returns: False if the record is void.
        """
        if not isinstance(body, TermBegun | Directive | OrderIntent | OrderOutcome):
            return False
        if body.epoch < self._epochs.get(body.duty, body.epoch):
            return False
        self._epochs[body.duty] = body.epoch
        match body:
            case Directive():
                return self._direct(body)
            case OrderIntent():
                return self._open(body)
            case OrderOutcome():
                self._close(body.order_id)
        return True

    def _direct(self, directive: Directive) -> bool:
        """Take a directive unless another duty drains the upstream."""
        present = self._directives.get(directive.upstream_id)
        if present is not None and present.state is UpstreamState.DRAINING:
            if present.duty != directive.duty:
                return False
        self._directives[directive.upstream_id] = directive
        return True

    def _open(self, intent: OrderIntent) -> bool:
        """Open an intent unless another is open on the same upstream."""
        if intent.order_id in self._closed:
            return False
        for other in self._intents.values():
            same = other.upstream_id == intent.upstream_id != ""
            if same and other.order_id != intent.order_id:
                return False
        self._intents[intent.order_id] = intent
        return True

    def _close(self, order_id: str) -> None:
        self._intents.pop(order_id, None)
        self._closed[order_id] = None
        if len(self._closed) > MAX_CLOSED_ORDERS:
            del self._closed[next(iter(self._closed))]
