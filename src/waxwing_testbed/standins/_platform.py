"""A stand-in of the platform."""

import base64
import threading
import time
from collections.abc import Callable
from typing import Any

from waxwing_testbed.standins._faults import FaultSwitches
from waxwing_testbed.standins._journal import PlatformJournal, ReceivedReport
from waxwing_testbed.standins._lagged import Lagged
from waxwing_testbed.standins._log_store import LogStore
from waxwing_testbed.standins._market import Market, Withdrawable
from waxwing_testbed.standins._settings import EngineSettings, PlatformSettings
from waxwing_testbed.standins._weight_queue import WeightQueue
from waxwing_testbed.web import (
    Reply,
    Request,
    Router,
    WebServer,
    error_reply,
    json_reply,
)
from waxwingwinch._exceptions import PlatformRefused, RecordsExpired
from waxwingwinch.adapters import make_wire_converter
from waxwingwinch.interfaces import ListedInstance, MarketOrder, UsageReport

#: Operations of the log.
LOG_OPERATIONS = ("append", "read")
#: Operations of the list and the ordering of upstreams.
MARKET_OPERATIONS = ("upstreams", "place", "was_placed")
#: Operations whose faults can be switched.
PLATFORM_OPERATIONS = (
    *LOG_OPERATIONS,
    *MARKET_OPERATIONS,
    "instances",
    "submit",
    "reserve",
)


class PlatformStandin:
    """
    The platform on one port.

    :param settings: Its settings.
    :param start_engine: Starts an ordered engine.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        start_engine: Callable[[EngineSettings], Withdrawable],
    ) -> None:
        self.settings = settings
        self.faults = FaultSwitches(PLATFORM_OPERATIONS, settings.seed)
        self.market = Market(settings.market, start_engine)
        self._log = LogStore(settings.log)
        self._weights = WeightQueue(settings.weight_store)
        self._converter = make_wire_converter()
        self._lock = threading.Lock()
        self._reports: list[ReceivedReport] = []
        self._instances = Lagged(settings.instances, settings.instance_list_lag_seconds)
        self._server = WebServer(settings.address, self._router())

    def start(self) -> None:
        """
        Begin to serve.

        :raises OSError: If the address can't be bound.
        """
        self._server.start()

    def stop(self) -> None:
        """Stop for good."""
        self.faults.stop()
        self._server.stop()

    def put_instance(self, instance: ListedInstance) -> None:
        """
        Add or replace a row of the list of instances.

        :param instance: The row.
        """
        with self._lock:
            others = self._without(instance.instance_id)
            self._instances.set((*others, instance), time.monotonic())

    def remove_instance(self, instance_id: str) -> None:
        """
        Take a row out of the list of instances.

        :param instance_id: Name of the instance.
        """
        with self._lock:
            self._instances.set(self._without(instance_id), time.monotonic())

    def journal(self) -> PlatformJournal:
        """Return everything recorded since the start."""
        with self._lock:
            reports = tuple(self._reports)
        spend = self.market.spend(time.monotonic())
        return PlatformJournal(self.market.orders(), reports, spend)

    def _without(self, instance_id: str) -> tuple[ListedInstance, ...]:
        rows = self._instances.newest()
        return tuple(row for row in rows if row.instance_id != instance_id)

    def _router(self) -> Router:
        router = Router()
        routes: tuple[tuple[str, str, str, Callable[[Request], Reply]], ...] = (
            ("POST", "/log/append", "append", self._append),
            ("GET", "/log/records", "read", self._read),
            ("GET", "/instances", "instances", self._list_instances),
            ("GET", "/upstreams", "upstreams", self._list_upstreams),
            ("POST", "/orders", "place", self._place),
            ("GET", "/orders", "was_placed", self._was_placed),
            ("POST", "/usage-reports", "submit", self._submit),
            ("POST", "/weights/reservations", "reserve", self._reserve),
        )
        for method, path, operation, handler in routes:
            guarded = self.faults.guard(operation, _refusing(handler))
            router.add(method, path, guarded)
        return router

    def _append(self, request: Request) -> Reply:
        value = request.json()
        payloads = [base64.b64decode(text) for text in value["payloads"]]
        first_offset = self._log.append(value["stream"], payloads, time.monotonic())
        return json_reply({"first_offset": first_offset})

    def _read(self, request: Request) -> Reply:
        stream = request.query["stream"]
        from_offset = int(request.query["from"])
        self._log.wait(stream, from_offset, float(request.query["wait_seconds"]))
        try:
            page = self._log.read(stream, from_offset, time.monotonic())
        except RecordsExpired as error:
            return json_reply({"first_offset": error.first_offset}, 410)
        records = [
            {
                "offset": record.offset,
                "payload": base64.b64encode(record.payload).decode(),
            }
            for record in page.records
        ]
        return json_reply(
            {
                "first_offset": page.first_offset,
                "end_offset": page.end_offset,
                "records": records,
            }
        )

    def _list_instances(self, request: Request) -> Reply:
        return self._reply(self._instances.get(time.monotonic()))

    def _list_upstreams(self, request: Request) -> Reply:
        return self._reply(self.market.list_upstreams(time.monotonic()))

    def _place(self, request: Request) -> Reply:
        order = self._converter.structure(request.json(), MarketOrder)
        self.market.place(order, time.monotonic())
        return json_reply({})

    def _was_placed(self, request: Request) -> Reply:
        placed = self.market.was_placed(request.query["order_id"])
        return json_reply({"placed": placed})

    def _submit(self, request: Request) -> Reply:
        report = self._converter.structure(request.json(), UsageReport)
        with self._lock:
            self._reports.append(ReceivedReport(time.time(), report))
        return json_reply({})

    def _reserve(self, request: Request) -> Reply:
        return self._reply(self._weights.reserve(time.monotonic()))

    def _reply(self, value: Any) -> Reply:
        return json_reply(self._converter.unstructure(value))


def _refusing(handler: Callable[[Request], Reply]) -> Callable[[Request], Reply]:
    """Wrap a handler so that its refusals become answers."""

    def refusing(request: Request) -> Reply:
        try:
            return handler(request)
        except PlatformRefused as error:
            if error.retry_after_seconds is None:
                return error_reply(409, "refused", str(error))
            headers = (("Retry-After", f"{error.retry_after_seconds:.3f}"),)
            return error_reply(429, "busy", str(error), headers)

    return refusing
