"""Gateway processes while an operator evacuates an availability zone."""

import time

import pytest

from waxwingwinch.platform.tests.standin import UpstreamStandin, wait_until
from waxwingwinch.platform.tests.test_restored_store import Fleet

#: Time within which an evacuation has to be in force, from the users' bounds.
EVACUATE_SECONDS = 5.0


class SouthernUpstream(UpstreamStandin):
    """An upstream in the zone that is evacuated."""

    def register(self, store, state="ready"):
        self.sequence += 1
        store.put(
            "servers",
            self.name,
            {
                "service": "shop",
                "address": f"127.0.0.1:{self.port}",
                "zone": "south",
                "slots": self.slots,
                "state": state,
                "seqNo": self.sequence,
                "born": 1_000,
            },
        )


class TwoZoneFleet(Fleet):
    """Gateway processes before upstreams in two zones."""

    def __init__(self, folder):
        super().__init__(folder, 2)
        self.southern = SouthernUpstream("u-south")
        self.southern.register(self.store)

    def stop(self):
        super().stop()
        self.southern.stop()


@pytest.fixture
def fleet(tmp_path):
    fleet = TwoZoneFleet(tmp_path)
    yield fleet
    fleet.stop()


def send_to_each(fleet, times=6):
    return [
        fleet.status(gateway)
        for gateway in list(fleet.gateways.values())
        for _ in range(times)
    ]


def is_used(fleet):
    send_to_each(fleet, 12)
    return bool(fleet.southern.requests)


# Guards against requests to an evacuated zone by instances that serve, and by
# one that starts while the store is slow to answer or answers nothing new.
@pytest.mark.parametrize("is_store_away", [False, True])
def test_an_evacuated_zone_gets_nothing_until_it_returns(fleet, is_store_away):
    # More requests than the upstream of the other zone has slots for.
    fleet.upstream.slots = fleet.southern.slots = 1
    fleet.upstream.register(fleet.store)
    assert wait_until(lambda: is_used(fleet))
    fleet.store.put("op", "evacuate/south", {})
    time.sleep(EVACUATE_SECONDS)
    fleet.store.is_down = is_store_away
    before = len(fleet.southern.requests)
    assert send_to_each(fleet) == [200] * 12
    fleet.store.is_down = False
    fleet.start("edge-late", "zone-0")
    assert wait_until(lambda: fleet.status(fleet.gateways["edge-late"]) == 200)
    assert send_to_each(fleet) == [200] * 18
    assert len(fleet.southern.requests) == before
    fleet.store.put("op", "evacuate/south", None)
    assert wait_until(lambda: is_used(fleet) and len(fleet.southern.requests) > before)
