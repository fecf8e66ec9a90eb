"""The processes and stand-ins of a soak, and what is done to them."""

import pathlib
import threading
import time
from typing import Any

from waxwing_testbed.proxy import Direction, FaultProxy, ProxyFaults
from waxwing_testbed.soak._bounds import Bounds
from waxwing_testbed.soak._events import Cause, Published
from waxwing_testbed.soak._exchange import CALLER_HOST
from waxwing_testbed.soak._instance import SoakInstance
from waxwing_testbed.soak._recorder import Recorder
from waxwing_testbed.soak._requests import (
    EXTRA_KEY,
    FIXED_ROUTES,
    KEY,
    MAX_BODY_BYTES,
)
from waxwing_testbed.soak._schedule import (
    STORE_ACTIONS,
    UPSTREAMS,
    Action,
    Configure,
    Disturb,
)
from waxwing_testbed.soak._standins import SERVICE, SoakStore, SoakUpstream
from waxwingwinch._types import Address
from waxwingwinch.peers.tests.ports import free_port
from waxwingwinch.platform.tests.standin import HOST

READY_TIMEOUT_SECONDS = 30.0
_POLL_SECONDS = 0.05


class SoakFleet:
    """
    All instances, upstreams, the store and the proxy.

    :param folder: Where settings and logs are kept.
    :param instances: Number of instances.
    :param bounds: Bounds of the settings.
    :param recorder: Keeps what is done and seen.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        instances: int,
        bounds: Bounds,
        recorder: Recorder,
    ) -> None:
        self._recorder = recorder
        self._version = 0
        self._publishing = threading.Lock()
        self._store = SoakStore()
        self._upstreams = [
            SoakUpstream(f"upstream-{number}", self._store, recorder)
            for number in range(UPSTREAMS)
        ]
        proxied = self._upstreams[0]
        proxied.public_port = free_port()
        self._proxy = FaultProxy(
            Address(HOST, proxied.public_port), Address(HOST, proxied.port)
        )
        self._proxy.start()
        self._publish(Configure(0.0, 8.0, 4.0, (), False))
        for upstream in self._upstreams:
            threading.Thread(target=upstream.keep_registered, daemon=True).start()
        #: The instances.
        self.instances = [
            SoakInstance(f"edge-{number}", folder, self._store, bounds, recorder)
            for number in range(instances)
        ]

    def wait_until_ready(self) -> bool:
        """Wait until all instances are ready; return False if time is up."""
        end_seconds = time.monotonic() + READY_TIMEOUT_SECONDS
        while not all(instance.is_ready() for instance in self.instances):
            if time.monotonic() > end_seconds:
                return False
            time.sleep(_POLL_SECONDS)
        return True

    def apply(self, event: Disturb | Configure) -> None:
        """
        Do what is scheduled, and undo it after its time.

        :param event: What is scheduled.
        """
        match event:
            case Configure():
                self._publish(event)
            case Disturb(action=Action.LINK_RESET | Action.LINK_SILENT):
                self._disturb_link(event)
            case Disturb(action=Action.LEAVE):
                self._disturb_part(event, Cause.LEAVE, self._upstreams[event.target])
            case Disturb(
                action=Action.UPSTREAM_RESET
                | Action.UPSTREAM_SILENT
                | Action.UPSTREAM_MALFORMED
            ):
                self._disturb_part(event, Cause.UPSTREAM, self._upstreams[event.target])
            case Disturb(action=action) if action in STORE_ACTIONS:
                self._disturb_part(event, Cause.STORE, self._store)
            case Disturb():
                self.instances[event.target].disturb(event)

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for instance in self.instances:
            instance.stop()
        self._proxy.stop()
        for standin in (self._store, *self._upstreams):
            standin.stop()

    def _publish(self, event: Configure) -> None:
        """Write a new version of the configuration."""
        routes = {**FIXED_ROUTES, **dict.fromkeys(event.extra_routes, "idempotent")}
        keys = [KEY, EXTRA_KEY] if event.has_extra_key else [KEY]
        with self._publishing:
            self._version += 1
            wire = _make_configuration(self._version, event, routes, keys)
            sent_seconds = self._recorder.now()
            self._store.put("op", "config", wire)
            published = Published(
                version=self._version,
                routes=frozenset(routes),
                keys=frozenset(keys),
                timeout_seconds=event.timeout_seconds,
                idle_seconds=event.idle_seconds,
                sent_seconds=sent_seconds,
                acknowledged_seconds=self._recorder.now(),
            )
            self._recorder.record(published)

    def _disturb_part(
        self, event: Disturb, cause: Cause, part: SoakStore | SoakUpstream
    ) -> None:
        self._recorder.note(cause, event.action.value, event.seconds)
        part.set_mode(event.action)
        time.sleep(event.seconds)
        part.set_mode(None)

    def _disturb_link(self, event: Disturb) -> None:
        is_silent = event.action is Action.LINK_SILENT
        seconds = event.seconds if is_silent else 0.0
        self._recorder.note(Cause.LINK, event.action.value, seconds)
        if is_silent:
            self._proxy.set_faults(ProxyFaults(cut=tuple(Direction), discard=True))
            time.sleep(seconds)
            self._proxy.set_faults(ProxyFaults())
        # After lost bytes a connection is of no use either.
        self._proxy.reset_connections()


def _make_configuration(
    version: int, event: Configure, routes: dict[str, str], keys: list[str]
) -> dict[str, Any]:
    wire_routes = [
        {
            "name": name,
            "host": CALLER_HOST,
            "pathPrefix": f"/{name}/",
            "routeKind": kind,
            "resumable": kind == "streaming",
            "timeoutMs": event.timeout_seconds * 1_000,
            "sloMs": 500,
            "service": SERVICE,
            "attempts": 2,
        }
        for name, kind in routes.items()
    ]
    return {
        "version": version,
        "routes": wire_routes,
        "services": [{"name": SERVICE, "maxConns": 200}],
        "limits": {
            "maxBodyBytes": MAX_BODY_BYTES,
            "idleTimeoutMs": event.idle_seconds * 1_000,
        },
        "tenants": [{"name": "customer", "apiKeys": keys}],
    }
