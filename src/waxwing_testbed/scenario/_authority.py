"""Who is in charge, and which orders went where."""

import json
from typing import Any

from waxwing_testbed.deployment import Instance
from waxwing_testbed.history import (
    LoggedIntent,
    LoggedOrder,
    LoggedOutcome,
    OrderArrival,
)
from waxwing_testbed.scenario._world import World
from waxwing_testbed.standins import ReceivedEngineOrder, ReceivedMarketOrder
from waxwingwinch._types import Epoch, InstanceId
from waxwingwinch.adapters import HttpPlatformLog, make_wire_converter
from waxwingwinch.authority import DUTIES_STREAM, DutyTable
from waxwingwinch.fleet import OrderIntent, OrderOutcome, fleet_duty, fleet_stream
from waxwingwinch.streams import Deduplicator, decode_envelope

#: Name under which arrivals at the platform are recorded.
PLATFORM = "platform"
#: How long one read of the log may take.
READ_TIMEOUT_SECONDS = 5.0


class AuthorityWatch:
    """
    Reads the log and the journals beside the running processes.

    :param world: The deployment.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._cell = world.deployment.plan.name
        # Not through a proxy, so no fault of an instance hinders it.
        self._log = HttpPlatformLog(world.deployment.places.platform)
        self._converter = make_wire_converter()

    def epoch(self) -> Epoch:
        """
        Return the present epoch of the fleet duty.

        :raises LookupError: If nobody holds it.
        """
        return self._position()[1]

    def holder(self) -> Instance:
        """
        Return the instance whose control holds the fleet duty.

        :raises LookupError: If nobody holds it.
        """
        return self._world.instance(self._position()[0])

    def has_holder(self) -> bool:
        """Tell whether the fleet duty is held."""
        try:
            self._position()
        except LookupError:
            return False
        return True

    def logged_orders(self) -> tuple[LoggedOrder, ...]:
        """Return all intents and outcomes in log order."""
        logged: list[LoggedOrder] = []
        for _, body in self._records(fleet_stream(self._cell)):
            match body:
                case OrderIntent():
                    logged.append(LoggedIntent(body.order_id))
                case OrderOutcome():
                    logged.append(LoggedOutcome(body.order_id))
        return tuple(logged)

    def open_intents(self) -> tuple[OrderIntent, ...]:
        """Return the intents without outcome, oldest first."""
        intents: dict[str, OrderIntent] = {}
        for _, body in self._records(fleet_stream(self._cell)):
            match body:
                case OrderIntent():
                    intents.setdefault(body.order_id, body)
                case OrderOutcome():
                    intents.pop(body.order_id, None)
        return tuple(intents.values())

    def engine_arrivals(self) -> tuple[OrderArrival, ...]:
        """Return the orders that all engines received, by engine and time."""
        return tuple(
            self._engine_arrival(name, row)
            for name, journal in self._world.engine_journals().items()
            for row in journal.orders
        )

    def platform_arrivals(self) -> tuple[OrderArrival, ...]:
        """Return the orders that the platform received."""
        journal = self._world.deployment.admin.platform_journal()
        return tuple(self._platform_arrival(row) for row in journal.orders)

    def _engine_arrival(self, name: str, row: ReceivedEngineOrder) -> OrderArrival:
        order = row.order
        return OrderArrival(
            name,
            order.order_id,
            order.epoch,
            self._text(order.action),
            row.result == "run",
            row.at_seconds,
        )

    def _platform_arrival(self, row: ReceivedMarketOrder) -> OrderArrival:
        order = row.order
        return OrderArrival(
            PLATFORM,
            order.order_id,
            order.epoch,
            self._text(order.action),
            row.result == "done",
            row.at_seconds,
        )

    def _text(self, action: object) -> str:
        content = self._converter.unstructure(action)
        return f"{type(action).__name__} {json.dumps(content, sort_keys=True)}"

    def _position(self) -> tuple[InstanceId, Epoch]:
        table = DutyTable()
        for offset, body in self._records(DUTIES_STREAM):
            table.apply(offset, body, 0.0)
        state = table.state(fleet_duty(self._cell))
        if state is None or state.released:
            raise LookupError("nobody holds the fleet duty")
        return state.holder, state.epoch

    def _records(self, stream: str) -> list[tuple[int, Any]]:
        """Read a stream from its start, without repeats."""
        found = []
        deduplicator = Deduplicator()
        offset = 0
        while True:
            page = self._log.read(stream, offset, 0.0, READ_TIMEOUT_SECONDS)
            for record in page.records:
                envelope, body = decode_envelope(record.payload)
                if deduplicator.accept(envelope):
                    found.append((record.offset, body))
            offset += len(page.records)
            if not page.records or offset >= page.end_offset:
                return found
