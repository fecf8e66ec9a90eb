"""The directory names instances near the caller."""

import json

import pytest
from attrs import evolve

from waxwingwinch._types import Address, InstanceId, RegionName, ZoneName
from waxwingwinch.gateway._instance_endpoints import InstanceEndpoints
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._model import GatewayConfiguration
from waxwingwinch.gateway._state import GatewayState
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.gateway.tests.relay_harness import RelayHarness
from waxwingwinch.platform._adapter import RESOLVE_PATH, PlatformAdapter
from waxwingwinch.platform._settings import parse_instance_settings
from waxwingwinch.platform.tests.test_settings import FILE, VALID_SETTINGS

ZONES = {"n1": "basin", "n2": "basin", "s1": "delta", "e1": "coast"}


class Directory:
    """The directory of an instance in ``n1`` that knows one in each zone."""

    def __init__(self, home_regions=((), ()), zones=ZONES):
        settings = parse_instance_settings(VALID_SETTINGS, FILE)
        regions = {ZoneName(z): RegionName(region) for z, region in ZONES.items()}
        options = evolve(
            settings.options,
            zone=ZoneName("n1"),
            region=RegionName("basin"),
            zone_regions=regions,
        )
        self.clock = FakeClock()
        members = [self.member(zone) for zone in zones]
        own = self.member("n1")
        self.state = GatewayState.create(own, options, self.clock.seconds)
        for member in members:
            self.state.members.put(member)
            self.state.members.record_report(
                member.instance_id, True, self.clock.seconds
            )
        route = evolve(RelayHarness().route, host="shop.example")
        routes = tuple(
            evolve(route, name=f"r{number}", home_regions=frozenset(regions))
            for number, regions in enumerate(home_regions)
        )
        self.state.table.publish(GatewayConfiguration(1, routes, {}, ()))
        adapter = PlatformAdapter.from_settings(settings, self.clock)
        self.endpoints = InstanceEndpoints(
            self.state, adapter, self.clock, lambda: 0, lambda: None
        )

    @staticmethod
    def member(zone):
        address = Address(zone, 80)
        return Member(InstanceId(zone), "i", ZoneName(zone), address, address)

    def zones_for(self, query):
        reply = self.endpoints.resolve(RESOLVE_PATH, query)
        addresses = json.loads(reply.body)["addresses"]
        return {address.partition(":")[0] for address in addresses}


@pytest.mark.parametrize(
    ("query", "zones"),
    [
        ("name=shop.example&region=basin&zone=n2", {"n2"}),
        ("name=shop.example&region=basin&zone=n9", {"n1", "n2"}),
        ("name=shop.example&region=delta", {"s1"}),
        ("name=shop.example&region=coast&zone=e9", {"e1"}),
        ("zone=e1", {"e1"}),
        ("region=elsewhere", set(ZONES)),
        ("", set(ZONES)),
    ],
)
def test_callers_of_each_region_get_instances_of_their_own(query, zones):
    assert Directory().zones_for(query) == zones


# Guards against callers of a region without instances who get none, or one
# outside the home regions while these have some.
@pytest.mark.parametrize(
    ("home_regions", "lost", "zones"),
    [
        ([["delta"], ["delta", "basin"]], "e1", {"n1", "n2", "s1"}),
        ([["delta"], ["delta"]], "e1", {"s1"}),
        ([["delta"], []], "e1", {"n1", "n2", "s1"}),
        ([["coast"]], "e1", {"n1", "n2", "s1"}),
        ([["delta"]], None, {"e1"}),
    ],
)
def test_home_regions_of_the_host_stand_in_for_a_lost_region(home_regions, lost, zones):
    directory = Directory(home_regions, [zone for zone in ZONES if zone != lost])
    query = "name=SHOP.example:443&region=coast&zone=e1"
    assert directory.zones_for(query) == zones


# Guards against home regions of one host that direct the callers of another.
def test_home_regions_of_other_hosts_do_not_count():
    directory = Directory([["delta"]], ["n1", "s1"])
    assert directory.zones_for("name=other.example&region=coast") == {"n1", "s1"}


def test_a_process_without_configuration_names_instances(monkeypatch):
    directory = Directory()
    monkeypatch.setattr(directory.state.table, "_table", None)
    assert directory.zones_for("name=shop.example&region=delta") == {"s1"}
