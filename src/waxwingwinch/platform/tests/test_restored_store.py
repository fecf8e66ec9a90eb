"""Gateway processes before a store that returns from an older copy."""

import http.client
import itertools
import re
import struct
import time

import pytest

from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch._types import Address
from waxwingwinch.gateway import (
    MAX_ERA,
    AppendConflict,
    HistoryReplaced,
    make_position,
)
from waxwingwinch.platform._store import PlatformStoreClient
from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    StoreHandler,
    StoreStandin,
    UpstreamStandin,
    make_configuration,
    wait_until,
)

#: Time within which a version has to be in force, from the users' bounds.
APPLY_SECONDS = 3.0

NO_DUTY = -1.0


class Fleet:
    """Gateway processes, one upstream, and a store that returns."""

    def __init__(self, folder, instances):
        self.folder = folder
        self.store = StoreStandin()
        self.store.era = 1
        self.store.put("op", "config", make_configuration(1))
        self.upstream = UpstreamStandin("u-1")
        self.upstream.register(self.store)
        self.numbers = itertools.count()
        self.gateways: dict[str, Gateway] = {}
        for number in range(instances):
            self.start(f"edge-{number}", f"zone-{number % 2}")
        for gateway in self.gateways.values():
            assert wait_until(lambda gateway=gateway: self.status(gateway) == 200)
        assert wait_until(lambda: self.recorded() == set(self.gateways))

    def start(self, name, zone):
        self.gateways[name] = Gateway(self.folder, self.store, name, zone)

    def recorded(self):
        return set(self.store.newest("keyed.members")[0])

    def status(self, gateway, path="/a/x"):
        headers = {
            "Host": "shop.example",
            "X-Waxwingwinch-Request-Id": f"r-{next(self.numbers)}",
            "X-Waxwingwinch-Deadline-Ms": "2000",
            "X-Waxwingwinch-Key": KEY,
        }
        connection = http.client.HTTPConnection(HOST, gateway.front, timeout=3.0)
        try:
            connection.request("POST", path, b"b", headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def epoch(self, gateway):
        connection = http.client.HTTPConnection(HOST, gateway.metrics, timeout=3.0)
        try:
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        finally:
            connection.close()
        found = re.search(r"^waxwing_duty_epoch ([-+.e0-9]+)$", text, re.MULTILINE)
        return float(found.group(1)) if found else NO_DUTY

    def holders(self):
        epochs = {name: self.epoch(gateway) for name, gateway in self.gateways.items()}
        return {name: epoch for name, epoch in epochs.items() if epoch != NO_DUTY}

    def wait_for_holder(self):
        assert wait_until(lambda: len(self.holders()) == 1)
        ((name, epoch),) = self.holders().items()
        return name, epoch

    def restore(self, copy, configurations=(), away_seconds=0.5):
        """Return to a copy; the operator writes at once what was lost."""
        self.store.is_down = True
        time.sleep(away_seconds)
        self.store.restore(copy)
        for configuration in configurations:
            self.store.put("op", "config", configuration)
        self.store.is_down = False
        # Upstreams write their entries again.
        self.upstream.register(self.store)

    def stop(self):
        for gateway in self.gateways.values():
            gateway.stop()
        self.upstream.stop()
        self.store.stop()


@pytest.fixture
def make_fleet(tmp_path):
    fleets = []

    def make(instances):
        fleets.append(Fleet(tmp_path, instances))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


# Guards against a version that is written after a return and not in force, at
# instances that read the store for themselves and at those in cells. The
# topic ends at the same offset again, so that nothing looks new.
@pytest.mark.parametrize("instances", [3, 18])
def test_a_version_written_after_a_return_is_in_force_everywhere(make_fleet, instances):
    fleet = make_fleet(instances)
    copy = fleet.store.copy()
    gateways = list(fleet.gateways.values())
    for version in (2, 3):
        configuration = make_configuration(version, prefix=f"/v{version}/")
        fleet.store.put("op", "config", configuration)
    assert wait_until(lambda: all(fleet.status(g, "/v3/x") == 200 for g in gateways))
    newer = make_configuration(4, prefix="/v4/")
    fleet.restore(copy, [configuration, newer])
    assert wait_until(
        lambda: all(fleet.status(gateway, "/v4/x") == 200 for gateway in gateways),
        APPLY_SECONDS,
    )
    assert {fleet.status(gateway, "/v3/x") for gateway in gateways} == {404}


# Guards against a configuration that goes back until it is written again.
@pytest.mark.parametrize("instances", [3, 18])
def test_an_older_copy_takes_no_instance_back(make_fleet, instances):
    fleet = make_fleet(instances)
    copy = fleet.store.copy()
    gateways = list(fleet.gateways.values())
    fleet.store.put("op", "config", make_configuration(2, prefix="/v2/"))
    assert wait_until(lambda: all(fleet.status(g, "/v2/x") == 200 for g in gateways))
    fleet.restore(copy)
    for _ in range(10):
        assert {fleet.status(gateway, "/v2/x") for gateway in gateways} == {200}
        time.sleep(0.2)
    # It learns from its peers what the store has lost.
    fleet.start("edge-late", "zone-0")
    late = fleet.gateways["edge-late"]
    assert wait_until(lambda: fleet.status(late, "/v2/x") == 200)


# Guards against fencing tokens that are given out again.
def test_fencing_tokens_rise_over_a_return(make_fleet):
    fleet = make_fleet(3)
    copy = fleet.store.copy()
    name, first_epoch = fleet.wait_for_holder()
    fleet.restore(copy)
    fleet.gateways.pop(name).stop()
    _, second_epoch = fleet.wait_for_holder()
    assert second_epoch > first_epoch


# Guards against instances of which nobody knows after a return, and against
# two groups of instances with different secrets.
def test_instances_find_one_another_after_all_records_are_lost(make_fleet):
    fleet = make_fleet(3)
    configuration = fleet.store.topics["keyed.op"]
    fleet.restore({"keyed.op": configuration})
    assert wait_until(lambda: fleet.recorded() == set(fleet.gateways))
    fleet.start("edge-late", "zone-0")
    assert wait_until(lambda: fleet.recorded() == set(fleet.gateways))
    late = fleet.gateways["edge-late"]

    def resolved():
        connection = http.client.HTTPConnection(HOST, late.directory, timeout=3.0)
        try:
            connection.request("GET", "/v1/resolve?name=x&region=r&zone=zone-0")
            return connection.getresponse().read()
        except OSError:
            return b""
        finally:
            connection.close()

    others = [fleet.gateways[name] for name in ("edge-0", "edge-2")]
    assert wait_until(
        lambda: all(b"%d" % gateway.front in resolved() for gateway in others)
    )


@pytest.fixture
def store():
    store = StoreStandin()
    yield store
    store.stop()


@pytest.fixture
def client(store):
    return PlatformStoreClient(Address(HOST, store.port))


# Guards against an offset of before a return that exists again.
def test_positions_of_an_earlier_era_are_void(store, client):
    store.era = 1
    copy = store.copy()
    start = client.append("t", [b"a", b"b"])
    end = start + 2
    store.restore(copy)
    with pytest.raises(HistoryReplaced) as raised:
        client.read("t", end, 0.0)
    assert raised.value.first_offset == make_position(2, 0)
    client.append("t", [b"c", b"d"])
    with pytest.raises(HistoryReplaced):
        client.read("t", end, 0.0)
    with pytest.raises(AppendConflict) as conflict:
        client.append("t", [b"e"], end)
    assert conflict.value.end_offset == make_position(2, 3)
    page = client.read("t", make_position(2, 0), 0.0)
    assert [record.payload for record in page.records] == [b"c", b"d", b"e"]
    assert [record.offset for record in page.records] == [
        make_position(2, offset) for offset in range(3)
    ]


@pytest.mark.parametrize(
    "era", ["", "-1", "1.5", "x" * 10_000, str(MAX_ERA + 1), "9" * 5_000, "²"]
)
def test_a_malformed_era_counts_as_absent(store, client, era):
    store.era = 3
    start = client.append("t", [b"a"])
    assert start == make_position(3, 0)
    store.era = era
    page = client.read("t", start, 0.0)
    assert [record.payload for record in page.records] == [b"a"]


def test_a_store_without_eras_is_in_era_0(store, client):
    assert client.append("t", [b"a"]) == 0
    client.put("k", "key", b"value")
    snapshot = client.snapshot("k")
    assert (snapshot.end_offset, snapshot.records[0].offset) == (1, 0)


# Guards against a late answer that takes a reader back.
def test_an_answer_of_an_earlier_era_is_none(store, client):
    store.era = 3
    start = client.append("t", [b"a"])
    store.era = 2
    with pytest.raises(PlatformUnavailable):
        client.read("t", start, 0.0)
    store.era = 3
    assert client.read("t", start, 0.0).records


def test_a_put_on_condition_of_an_empty_topic_holds_in_any_era(store, client):
    store.era = 5
    client.put("k", "key", b"value", at_offset=0)
    with pytest.raises(AppendConflict):
        client.put("k", "key", b"other", at_offset=0)


def test_an_offset_beyond_the_bits_of_a_position_is_malformed(
    store, client, monkeypatch
):
    page = struct.pack(">QQ", 2**40, 0)
    monkeypatch.setattr(
        StoreHandler, "read", lambda handler, _: handler.respond(200, page)
    )
    with pytest.raises(PlatformUnavailable):
        client.read("t", 0, 0.0)
