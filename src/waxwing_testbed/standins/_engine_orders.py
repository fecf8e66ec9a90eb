"""Orders to an engine: fencing tokens and repeated names."""

import threading

from attrs import frozen

from waxwingwinch.interfaces import EngineOrder


@frozen
class Run:
    """The order is new and must be carried out."""


@frozen
class Repeated:
    """The order was carried out before."""


@frozen
class Stale:
    """
    The order's fencing token is too old.

    :param highest_epoch: The highest token seen.
    """

    highest_epoch: int


Verdict = Run | Repeated | Stale


class OrderBook:
    """
    Decides which orders an engine carries out.

    :param checks_fencing: True to refuse old fencing tokens.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self._highest_epoch = -1
        self._known_ids: set[str] = set()
        self._lock = threading.Lock()

    def judge(self, order: EngineOrder) -> Verdict:
        """
        Judge an order and remember it.

        :param order: The order.
        """
        with self._lock:
            if self._checks_fencing and order.epoch < self._highest_epoch:
                return Stale(self._highest_epoch)
            self._highest_epoch = max(self._highest_epoch, order.epoch)
            if order.order_id in self._known_ids:
                return Repeated()
            self._known_ids.add(order.order_id)
            return Run()
