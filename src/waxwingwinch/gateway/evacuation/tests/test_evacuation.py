"""Evacuated availability zones get no requests."""

import json
from typing import Any

import pytest
from attrs import evolve

from waxwingwinch._types import Address, EngineRole, InstanceId, UpstreamId, ZoneName
from waxwingwinch.gateway._follower import TopicFollower
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._record_applier import RecordApplier
from waxwingwinch.gateway._report_messages import ConfigurationReply
from waxwingwinch.gateway._state import GatewayState
from waxwingwinch.gateway.feeds import FollowPlan, Pace
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeStore
from waxwingwinch.gateway.tests.relay_harness import (
    CONNECT_FAILED,
    PROMPT,
    SHORT_PROMPT,
    RelayHarness,
    ScriptedResponse,
    upstream,
)
from waxwingwinch.gateway.tests.test_duty_worker import DutyWorkerHarness
from waxwingwinch.gateway.tests.test_generation_relay import STREAM
from waxwingwinch.platform._adapter import PlatformAdapter
from waxwingwinch.platform._settings import parse_instance_settings
from waxwingwinch.platform.tests.test_settings import FILE, VALID_SETTINGS

NORTH, SOUTH = ZoneName("north"), ZoneName("south")
TOPIC = "op"
VERSION_1 = json.dumps({"version": 1}).encode()


def in_south(name, **fields):
    return evolve(upstream(name, **fields), zone=SOUTH)


class Instance:
    """What an instance knows of the configuration topic."""

    def __init__(self, store):
        self.clock = FakeClock()
        settings = parse_instance_settings(VALID_SETTINGS, FILE)
        adapter: Any = PlatformAdapter.from_settings(settings, self.clock)
        address = Address("10.0.0.1", 1)
        own = Member(InstanceId("a"), "a-1", NORTH, address, address)
        self.state = GatewayState.create(own, settings.options, self.clock.seconds)
        self.applier = RecordApplier(self.state, adapter, self.clock)
        self.ready_without: list[bool] = []
        self.follower = TopicFollower(
            store,
            FollowPlan(TOPIC, Pace(0.0), Pace(0.0)),
            self.clock,
            self.apply,
            self.applier.retain_evacuations,
            on_return=self.applier.return_evacuations,
        )

    def apply(self, record):
        effect = self.applier.apply_configuration(record)
        if self.state.is_ready:
            self.ready_without.append(not self.state.evacuated.zones())
        return effect

    @property
    def zones(self):
        return self.state.evacuated.zones()


@pytest.fixture
def store():
    store = FakeStore()
    store.put(TOPIC, "config", VERSION_1)
    return store


def test_a_record_begins_an_evacuation_and_its_removal_ends_it(store):
    instance = Instance(store)
    instance.follower.step()
    store.put(TOPIC, "evacuate/south", b"not JSON")
    store.put(TOPIC, "evacuate/north", b"{}")
    instance.follower.step()
    assert instance.zones == {NORTH, SOUTH}
    store.put(TOPIC, "evacuate/north", None)
    instance.follower.step()
    assert instance.zones == {SOUTH}


# Guards against an instance that serves between the first configuration and
# the evacuation behind it.
def test_an_instance_that_starts_knows_the_evacuation_when_it_is_ready(store):
    store.put(TOPIC, "evacuate/south", b"{}")
    instance = Instance(store)
    instance.follower.step()
    assert instance.state.is_ready
    assert not any(instance.ready_without)


# Guards against an evacuation that is kept after its removal has expired from
# the store's history.
def test_a_snapshot_without_the_record_ends_the_evacuation(store):
    instance = Instance(store)
    store.put(TOPIC, "evacuate/south", b"{}")
    instance.follower.step()
    store.put(TOPIC, "evacuate/south", None)
    instance.follower.restart()
    instance.follower.step()
    assert instance.zones == frozenset()


# Guards against requests between the return of the store from an older copy
# and the operator's second write.
def test_an_evacuation_outlasts_the_return_of_the_store(store):
    instance = Instance(store)
    copy = store.copy()
    store.put(TOPIC, "evacuate/south", b"{}")
    instance.follower.step()
    store.restore(copy)
    instance.follower.restart()
    instance.follower.step()
    assert instance.zones == {SOUTH}
    store.put(TOPIC, "evacuate/south", b"{}")
    store.put(TOPIC, "evacuate/south", None)
    instance.follower.step()
    assert instance.zones == frozenset()


# Guards against an instance that the store refuses at its start and that gets
# its configuration from a peer.
def test_a_configuration_from_a_peer_brings_its_evacuations(store):
    store.put(TOPIC, "evacuate/south", b"{}")
    peer, instance = Instance(store), Instance(store)
    peer.follower.step()
    instance.applier.put_peer_configuration(peer.applier.current_configuration())
    assert instance.state.is_ready
    assert instance.zones == {SOUTH}


def test_a_peer_does_not_bring_back_an_ended_evacuation(store):
    instance = Instance(store)
    instance.follower.step()
    late = ConfigurationReply(json.dumps({"version": 2}).encode(), (SOUTH,))
    instance.applier.put_peer_configuration(late)
    assert instance.state.table.version == 2
    assert instance.zones == frozenset()


def test_plain_requests_and_retries_avoid_the_zone():
    harness = RelayHarness()
    harness.add(upstream("n"), in_south("s"))
    harness.publish()
    harness.directory.evacuated.put(SOUTH)
    harness.transport.scripts["n"] = ScriptedResponse(error=CONNECT_FAILED)
    assert harness.send().status == 503
    assert set(harness.called_upstreams()) == {"n"}


# Guards against callers who wait for upstreams that get no requests.
def test_requests_are_refused_at_once_if_all_zones_are_evacuated():
    harness = RelayHarness()
    harness.add(in_south("s"))
    harness.publish()
    harness.directory.evacuated.put(SOUTH)
    refused = harness.send()
    assert refused.status == 503
    assert float(refused.header("Retry-After")) > 0
    assert harness.called_upstreams() == []


@pytest.mark.parametrize("prompt", [PROMPT, SHORT_PROMPT])
def test_prompts_avoid_the_zone(prompt):
    harness = RelayHarness()
    harness.add_engines(2, 2)
    for role in (EngineRole.PREFILL, EngineRole.DECODE):
        harness.add(in_south(f"s-{role.value}", service="llm", role=role))
    harness.publish_stream()
    for index in range(2):
        harness.transport.scripts[f"d{index}"] = ScriptedResponse(pieces=STREAM)
    harness.directory.evacuated.put(SOUTH)
    for _ in range(8):
        assert harness.send(prompt=prompt).status == 200
    assert not any(name.startswith("s-") for name in harness.called_upstreams())


# Guards against a prompt whose decode engine is evacuated during its prefill.
def test_an_evacuation_during_a_prefill_moves_the_decode_elsewhere():
    harness = RelayHarness()
    harness.add_engines(1, 1)
    harness.add(in_south("s", service="llm", role=EngineRole.DECODE))
    harness.publish_stream()
    harness.directory.evacuated.put(SOUTH)
    assert harness.directory.ready(UpstreamId("s"), harness.clock.seconds) is None
    harness.directory.evacuated.remove(SOUTH)
    assert harness.directory.ready(UpstreamId("s"), harness.clock.seconds) is not None


# Guards against upstreams that are ordered, or change their role, in a zone
# that gets no requests.
def test_nothing_is_ordered_in_an_evacuated_zone():
    harness = DutyWorkerHarness()
    for number in range(4):
        harness.directory.put(
            upstream(f"e{number}", service="llm", role=EngineRole.DECODE)
        )
    harness.directory.evacuated.put(NORTH)
    harness.run_for(10.0)
    assert harness.calls.orders == []
    assert harness.calls.role_changes == []
    harness.directory.evacuated.remove(NORTH)
    harness.run_for(10.0)
    assert harness.calls.orders
