"""Keeps the floors of an entry."""

import threading
from collections.abc import Callable
from typing import Any, Protocol

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import CustomerId, ProcessId
from waxwingwinch.kernel import Clock
from waxwingwinch.limits._customer_limits import CustomerLimit
from waxwingwinch.limits._holdings import Holdings
from waxwingwinch.limits._messages import (
    FloorReply,
    FloorRequest,
    FloorWanted,
)

#: Interval of the requests for floors.
FLOOR_REQUEST_INTERVAL_SECONDS = 1.0
#: How long one request may take; it waits for the log.
FLOOR_REQUEST_TIMEOUT_SECONDS = 3.0


class HoldingsOwner(Protocol):
    """The limiter, as this module uses it."""

    def customers(self) -> list[CustomerId]:
        """Return all configured customers."""

    def with_holdings(
        self, customer_id: CustomerId, change: Callable[[Holdings, CustomerLimit], None]
    ) -> None:
        """Run a function on the holdings of a customer, under the lock."""


class _Link(Protocol):
    def request(self, body: object, timeout_seconds: float) -> Any:
        """Send a request and return the reply."""


class FloorRequester:
    """
    Asks for floors in a thread of its own, since the answer waits for the log.

    :param holder: This process.
    :param clock: Source of the present time.
    :param grantor: Returns the link to the grantor.
    :param owner: Whose holdings are kept.
    """

    def __init__(
        self,
        holder: ProcessId,
        clock: Clock,
        grantor: Callable[[], _Link | None],
        owner: HoldingsOwner,
    ) -> None:
        self._holder = holder
        self._clock = clock
        self._grantor = grantor
        self._owner = owner
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="limiter-floors", daemon=True
        )

    def start(self) -> None:
        """Start asking."""
        self._thread.start()

    def stop(self) -> None:
        """Stop using all floors and tell the grantor once."""
        self._stopping.set()
        self._thread.join()
        for customer_id in self._owner.customers():
            self._owner.with_holdings(customer_id, _release_floor_finally)
        self._request(is_stopping=True)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self.request_floors()
            self._stopping.wait(FLOOR_REQUEST_INTERVAL_SECONDS)

    def request_floors(self) -> None:
        """Ask for the floors of all customers and use what is given."""
        requested_seconds = self._clock.now_seconds()
        reply = self._request(is_stopping=False)
        if reply is None or reply.epoch is None:
            return
        for floor in reply.floors:

            def apply(
                holdings: Holdings, limit: CustomerLimit, floor: Any = floor
            ) -> None:
                now_seconds = self._clock.now_seconds()
                holdings.apply_floor(floor, limit, requested_seconds, now_seconds)

            self._owner.with_holdings(floor.customer_id, apply)
        for customer_id in reply.withdrawn:
            self._owner.with_holdings(customer_id, _release_floor)

    def _request(self, is_stopping: bool) -> FloorReply | None:
        link = self._grantor()
        if link is None:
            return None
        wanted: list[FloorWanted] = []
        for customer_id in self._owner.customers():
            self._owner.with_holdings(
                customer_id,
                lambda holdings, _: wanted.append(holdings.floor_wanted()),
            )
        request = FloorRequest(self._holder, tuple(wanted), is_stopping)
        try:
            reply = link.request(request, FLOOR_REQUEST_TIMEOUT_SECONDS)
        except (PeerUnavailable, MalformedMessage):
            return None
        return reply if isinstance(reply, FloorReply) else None


def _release_floor(holdings: Holdings, _: CustomerLimit) -> None:
    holdings.release_floor()


def _release_floor_finally(holdings: Holdings, _: CustomerLimit) -> None:
    holdings.release_floor(is_final=True)
