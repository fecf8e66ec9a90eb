"""The admin interface of a stand-in process."""

import time

from attrs import frozen

from waxwing_testbed.proxy import ProxyFaults
from waxwing_testbed.standins._faults import Fault
from waxwing_testbed.standins._market import Withdrawable
from waxwing_testbed.standins._platform import PlatformStandin
from waxwing_testbed.standins._process import StandinProcess
from waxwing_testbed.web import Reply, Request, Router, json_reply
from waxwingwinch._types import UpstreamId, ZoneName
from waxwingwinch.adapters import make_wire_converter
from waxwingwinch.interfaces import ListedInstance


@frozen
class FaultChange:
    """
    Replaces the fault of one operation.

    :param operation: Name of the operation.
    :param fault: What goes wrong from now on.
    """

    operation: str
    fault: Fault


@frozen
class Reclaim:
    """
    Takes back the cheap upstreams of an availability zone.

    :param zone: The zone.
    :param notice_seconds: Time until they stop.
    """

    zone: ZoneName
    notice_seconds: float


@frozen
class ReclaimResult:
    """
    The upstreams that will stop.

    :param upstream_ids: Their names.
    """

    upstream_ids: tuple[UpstreamId, ...]


@frozen
class Crash:
    """
    Crashes an engine.

    :param down_seconds: How long it stays away; None for its setting.
    """

    down_seconds: float | None = None


@frozen
class SlowDown:
    """
    Changes the speed of an engine.

    :param factor: How much slower than its settings it works.
    """

    factor: float


@frozen
class NamedInstance:
    """
    Names an instance.

    :param instance_id: The name.
    """

    instance_id: str


@frozen
class ProxyTraffic:
    """
    What a proxy has moved.

    :param moved_bytes: Bytes in both directions since its start.
    """

    moved_bytes: int


class AdminInterface:
    """
    Routes admin calls to the stand-ins; ``name`` in the query names one.

    :param process: The stand-ins.
    """

    def __init__(self, process: StandinProcess) -> None:
        self._process = process
        self._converter = make_wire_converter()

    def router(self) -> Router:
        """Return the routes."""
        router = Router()
        router.add("GET", "/admin/ready", lambda request: json_reply({}))
        router.add("POST", "/admin/faults", self._set_fault)
        router.add("POST", "/admin/faults/clear", self._clear_faults)
        router.add("GET", "/admin/journal", self._journal)
        router.add("POST", "/admin/crash", self._crash)
        router.add("POST", "/admin/slow-down", self._slow_down)
        router.add("POST", "/admin/withdraw", self._withdraw)
        router.add("POST", "/admin/reclaim", self._reclaim)
        router.add("POST", "/admin/restore", self._restore)
        router.add("POST", "/admin/instances", self._put_instance)
        router.add("POST", "/admin/instances/remove", self._remove_instance)
        router.add("POST", "/admin/proxy/faults", self._set_proxy)
        router.add("POST", "/admin/proxy/reset", self._reset_proxy)
        router.add("GET", "/admin/proxy/traffic", self._proxy_traffic)
        return router

    def _set_fault(self, request: Request) -> Reply:
        change = self._converter.structure(request.json(), FaultChange)
        standin = self._process.standin(request.query["name"])
        standin.faults.set(change.operation, change.fault)
        return json_reply({})

    def _clear_faults(self, request: Request) -> Reply:
        self._process.standin(request.query["name"]).faults.clear()
        return json_reply({})

    def _journal(self, request: Request) -> Reply:
        journal = self._process.standin(request.query["name"]).journal()
        return json_reply(self._converter.unstructure(journal))

    def _crash(self, request: Request) -> Reply:
        crash = self._converter.structure(request.json(), Crash)
        self._process.engines[request.query["name"]].crash(crash.down_seconds)
        return json_reply({})

    def _slow_down(self, request: Request) -> Reply:
        change = self._converter.structure(request.json(), SlowDown)
        self._process.engines[request.query["name"]].slow_down(change.factor)
        return json_reply({})

    def _withdraw(self, request: Request) -> Reply:
        name = request.query["name"]
        upstreams: dict[str, Withdrawable] = {
            **self._process.engines,
            **self._process.plain_services,
        }
        upstreams[name].withdraw()
        return json_reply({})

    def _reclaim(self, request: Request) -> Reply:
        reclaim = self._converter.structure(request.json(), Reclaim)
        upstream_ids = self._platform().market.reclaim(
            reclaim.zone, reclaim.notice_seconds, time.monotonic()
        )
        return json_reply(self._converter.unstructure(ReclaimResult(upstream_ids)))

    def _restore(self, request: Request) -> Reply:
        self._platform().market.restore(ZoneName(request.query["zone"]))
        return json_reply({})

    def _put_instance(self, request: Request) -> Reply:
        instance = self._converter.structure(request.json(), ListedInstance)
        self._platform().put_instance(instance)
        return json_reply({})

    def _remove_instance(self, request: Request) -> Reply:
        named = self._converter.structure(request.json(), NamedInstance)
        self._platform().remove_instance(named.instance_id)
        return json_reply({})

    def _set_proxy(self, request: Request) -> Reply:
        faults = self._converter.structure(request.json(), ProxyFaults)
        self._process.proxies[request.query["name"]].set_faults(faults)
        return json_reply({})

    def _reset_proxy(self, request: Request) -> Reply:
        self._process.proxies[request.query["name"]].reset_connections()
        return json_reply({})

    def _proxy_traffic(self, request: Request) -> Reply:
        proxy = self._process.proxies[request.query["name"]]
        traffic = ProxyTraffic(proxy.moved_bytes())
        return json_reply(self._converter.unstructure(traffic))

    def _platform(self) -> PlatformStandin:
        if self._process.platform is None:
            raise ValueError("this process has no platform")
        return self._process.platform
