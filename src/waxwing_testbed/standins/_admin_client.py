"""Admin calls to a stand-in process, for tests and measurements."""

import json
import time
from typing import Any, TypeVar
from urllib.parse import quote

import urllib3

from waxwing_testbed.proxy import ProxyFaults
from waxwing_testbed.standins._admin import (
    Crash,
    FaultChange,
    NamedInstance,
    ProxyTraffic,
    Reclaim,
    ReclaimResult,
    SlowDown,
)
from waxwing_testbed.standins._faults import Fault, Outage
from waxwing_testbed.standins._journal import (
    EngineJournal,
    PlainJournal,
    PlatformJournal,
)
from waxwingwinch._exceptions import WaxwingError
from waxwingwinch._types import Address, UpstreamId, ZoneName
from waxwingwinch.adapters import make_wire_converter
from waxwingwinch.interfaces import ListedInstance

T = TypeVar("T")

_TIMEOUT_SECONDS = 10.0
_POLL_SECONDS = 0.05


class AdminClient:
    """
    Switches faults and reads journals.

    :param address: The admin address of the process.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._converter = make_wire_converter()

    def wait_ready(self, timeout_seconds: float) -> None:
        """
        Wait until the process serves.

        :param timeout_seconds: Longest wait.
        :raises WaxwingError: If it doesn't.
        """
        deadline_seconds = time.monotonic() + timeout_seconds
        while True:
            try:
                self._call("GET", "/admin/ready", "")
                return
            except WaxwingError:
                if time.monotonic() > deadline_seconds:
                    raise
                time.sleep(_POLL_SECONDS)

    def set_fault(self, name: str, operation: str, fault: Fault) -> None:
        """
        Replace the fault of one operation.

        :param name: The stand-in.
        :param operation: One of its operations.
        :param fault: What goes wrong from now on.
        """
        self._post("/admin/faults", name, FaultChange(operation, fault))

    def set_outage(
        self, name: str, operations: tuple[str, ...], outage: Outage
    ) -> None:
        """
        Put operations out of order, or in order again.

        :param name: The stand-in.
        :param operations: For example ``LOG_OPERATIONS``.
        :param outage: How they fail; replaces their other faults.
        """
        for operation in operations:
            self.set_fault(name, operation, Fault(outage=outage))

    def clear_faults(self, name: str) -> None:
        """
        End all faults of a stand-in.

        :param name: The stand-in.
        """
        self._post("/admin/faults/clear", name, None)

    def platform_journal(self, name: str = "platform") -> PlatformJournal:
        """
        Return what the platform recorded.

        :param name: The stand-in.
        """
        return self._journal(name, PlatformJournal)

    def engine_journal(self, name: str) -> EngineJournal:
        """
        Return what an engine recorded.

        :param name: The stand-in.
        """
        return self._journal(name, EngineJournal)

    def plain_journal(self, name: str) -> PlainJournal:
        """
        Return what a plain service recorded.

        :param name: The stand-in.
        """
        return self._journal(name, PlainJournal)

    def crash(self, name: str, down_seconds: float | None = None) -> None:
        """
        Crash an engine, which comes back empty.

        :param name: The engine.
        :param down_seconds: How long it stays away; None for its setting.
        """
        self._post("/admin/crash", name, Crash(down_seconds))

    def slow_down(self, name: str, factor: float) -> None:
        """
        Change the speed of an engine.

        :param name: The engine.
        :param factor: How much slower than its settings it works.
        """
        self._post("/admin/slow-down", name, SlowDown(factor))

    def withdraw(self, name: str) -> None:
        """
        Stop an engine or plain service without notice, for good.

        :param name: The stand-in.
        """
        self._post("/admin/withdraw", name, None)

    def reclaim(self, zone: ZoneName, notice_seconds: float) -> tuple[UpstreamId, ...]:
        """
        Take back all cheap upstreams of an availability zone.

        :param zone: The zone, which then has no cheap capacity.
        :param notice_seconds: Time until they stop.
        :returns: The upstreams.
        """
        value = self._post("/admin/reclaim", "", Reclaim(zone, notice_seconds))
        return self._converter.structure(value, ReclaimResult).upstream_ids

    def restore(self, zone: ZoneName) -> None:
        """
        Offer cheap capacity in an availability zone again.

        :param zone: The zone.
        """
        self._call("POST", f"/admin/restore?zone={quote(zone)}", None)

    def put_instance(self, instance: ListedInstance) -> None:
        """
        Add or replace a row of the list of instances.

        :param instance: The row.
        """
        self._post("/admin/instances", "", instance)

    def remove_instance(self, instance_id: str) -> None:
        """
        Take a row out of the list of instances.

        :param instance_id: Name of the instance.
        """
        self._post("/admin/instances/remove", "", NamedInstance(instance_id))

    def set_proxy(self, name: str, faults: ProxyFaults) -> None:
        """
        Replace the faults of a proxy.

        :param name: The proxy.
        :param faults: Applies to existing and new connections.
        """
        self._post("/admin/proxy/faults", name, faults)

    def reset_proxy(self, name: str) -> None:
        """
        Reset all connections of a proxy.

        :param name: The proxy.
        """
        self._post("/admin/proxy/reset", name, None)

    def proxy_moved_bytes(self, name: str) -> int:
        """
        Return the bytes that a proxy has moved in both directions.

        :param name: The proxy.
        """
        value = self._call("GET", f"/admin/proxy/traffic?name={quote(name)}", None)
        return self._converter.structure(value, ProxyTraffic).moved_bytes

    def _journal(self, name: str, kind: type[T]) -> T:
        value = self._call("GET", f"/admin/journal?name={quote(name)}", None)
        return self._converter.structure(value, kind)

    def _post(self, path: str, name: str, message: object) -> Any:
        value = self._converter.unstructure(message)
        return self._call("POST", f"{path}?name={quote(name)}", value)

    def _call(self, method: str, path: str, value: object) -> Any:
        try:
            answer = urllib3.request(
                method,
                f"http://{self._address}{path}",
                body=json.dumps(value),
                timeout=_TIMEOUT_SECONDS,
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise WaxwingError(f"admin call failed: {error}") from error
        if answer.status != 200:
            raise WaxwingError(f"admin call failed: {answer.data.decode()}")
        return answer.json()
