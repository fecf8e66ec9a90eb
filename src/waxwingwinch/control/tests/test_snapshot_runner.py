"""Tests of the runner that appends configuration snapshots."""

from typing import Any

import pytest

from waxwing_testbed.fakes import MemoryLog
from waxwingwinch._types import Epoch, InstanceId, ZoneName
from waxwingwinch.configuration import (
    CONFIGURATION_STREAM,
    ConfigurationChange,
    SetDefault,
    wrap_change,
)
from waxwingwinch.configuration.service import (
    ConfigurationHandlers,
    ConfigurationService,
)
from waxwingwinch.contracts import Freshness
from waxwingwinch.control._snapshot_runner import SnapshotRunner
from waxwingwinch.kernel import SystemClock
from waxwingwinch.peers import PeerIdentity, PeerProgram

WAIT_SECONDS = 20.0
CLOCK = SystemClock()
CONTROL = PeerIdentity(InstanceId("i2"), PeerProgram.CONTROL, ZoneName("z"), "c")


class EntryLink:
    """Passes requests to the handlers of an entry."""

    def __init__(self, service: ConfigurationService) -> None:
        self._handlers = ConfigurationHandlers(service)

    def request(self, body: Any, timeout_seconds: float) -> Any:
        return self._handlers.handle_configuration_request(CONTROL, body)


@pytest.fixture
def log():
    return MemoryLog()


@pytest.fixture
def start(log):
    services = []

    def start_service() -> ConfigurationService:
        service = ConfigurationService(log, CLOCK, lambda _: Freshness.FRESH)
        services.append(service)
        service.start()
        return service

    yield start_service
    for service in services:
        service.stop()


def test_holder_that_missed_records_takes_the_state_of_an_entry(start, log):
    """Guards a control process that starts after the last snapshot expired.

    Without the state of an entry it could never write a new snapshot.
    """
    entry = start()
    assert entry.follower.wait_until(entry.is_ready, WAIT_SECONDS)
    change = SetDefault("drain_seconds", 7.0)
    entry.publish(
        ConfigurationChange(0, "ana", "c", "test", (wrap_change(change),)),
        WAIT_SECONDS,
    )
    log.expire(CONFIGURATION_STREAM, 1)
    holder = start()
    holder.follower.wait_until(lambda: holder.follower.next_offset == 1, WAIT_SECONDS)
    assert holder.needs_state()
    runner = SnapshotRunner(holder, lambda: [EntryLink(entry)])
    runner.begin(Epoch(1), 100.0)
    runner.step(100.0)
    reader = start()
    assert reader.follower.wait_until(reader.is_ready, WAIT_SECONDS)
    assert reader.current() == entry.current()
