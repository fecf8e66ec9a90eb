"""Requests, renews and releases the floors of an entry."""

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

#: Interval between requests for floors.
FLOOR_REQUEST_INTERVAL_SECONDS = 1.0
#: Time limit of one request; the grantor answers only after new floors were
#: read back from the log.
FLOOR_REQUEST_TIMEOUT_SECONDS = 3.0


class HoldingsOwner(Protocol):
    """The part of the limiter that this module uses."""

    def customers(self) -> list[CustomerId]:
        """Return all configured customers."""

    def with_holdings(
        self, customer_id: CustomerId, change: Callable[[Holdings, CustomerLimit], None]
    ) -> None:
        """Call a function with a customer's holdings, under the lock."""


class _Link(Protocol):
    def request(self, body: object, timeout_seconds: float) -> Any:
        """Send a request and return the reply."""


class FloorRequester:
    """
    Requests floors from the grantor in a separate thread.

    The grantor's reply waits for the log, which would delay the requests for
    extra tokens.

    :param holder: This entry process.
    :param clock: Source of the current time.
    :param grantor: Returns the link to the grantor, None if it isn't known.
    :param owner: Owner of the holdings that receive the floors.
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
        """Start the request thread."""
        self._thread.start()

    def stop(self) -> None:
        """Release all floors permanently and notify the grantor once."""
        self._stopping.set()
        self._thread.join()
        for customer_id in self._owner.customers():
            self._owner.with_holdings(customer_id, _release_floor_permanently)
        self._request(is_stopping=True)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self.request_floors()
            self._stopping.wait(FLOOR_REQUEST_INTERVAL_SECONDS)

    def request_floors(self) -> None:
        """Request the floors of all customers and apply the reply."""
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


def _release_floor_permanently(holdings: Holdings, _: CustomerLimit) -> None:
    holdings.release_floor(is_final=True)
