"""How often a version of the configuration is decoded."""

import json

import pytest
from attrs import evolve

from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._record_applier import RecordApplier
from waxwingwinch.gateway._report_messages import ConfigurationReply
from waxwingwinch.gateway._store import KeyedRecord
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.gateway.tests.test_cache_survey import make_state
from waxwingwinch.platform._configuration import decode_configuration


class CountingAdapter:
    """Counts the versions that it decodes."""

    configuration_key = "config"

    def __init__(self):
        self.decoded = []

    def decode_configuration(self, payload):
        self.decoded.append(payload)
        return decode_configuration(payload)

    def decode_evacuated_zone(self, key):
        """Return None: no key names a zone."""
        return


@pytest.fixture
def adapter():
    return CountingAdapter()


@pytest.fixture
def applier(adapter):
    return RecordApplier(make_state(), adapter, FakeClock())


def version(number):
    return json.dumps({"version": number}).encode()


# Guards against some 40 ms of processor time for each peer that passes on a
# version of 2,000 routes that is already in force.
def test_a_version_in_force_is_not_decoded_again(adapter, applier):
    applier.apply_configuration(KeyedRecord("config", version(8), 1))
    applier.put_peer_configuration(ConfigurationReply(version(8)))
    applier.apply_configuration(KeyedRecord("config", version(8), 2))
    assert adapter.decoded == [version(8)]
    applier.put_peer_configuration(ConfigurationReply(version(9)))
    assert applier.current_configuration().payload == version(9)


# Guards against an instance that decodes each of several versions that it has
# missed, with a version in force late.
def test_of_several_versions_the_newest_is_decoded(adapter, applier):
    applier.apply_configuration(KeyedRecord("config", version(8), 1))
    records = [
        KeyedRecord("config", version(number), number) for number in range(9, 14)
    ]
    applier.prepare_configuration(records)
    for record in records:
        applier.apply_configuration(record)
    assert adapter.decoded == [version(8), version(13)]
    assert applier.current_configuration().payload == version(13)


# Guards against a malformed version that hides a valid one before it.
def test_a_version_before_a_malformed_one_takes_effect(applier):
    applier.apply_configuration(KeyedRecord("config", version(8), 1))
    records = [KeyedRecord("config", version(9), 2), KeyedRecord("config", b"{", 3)]
    applier.prepare_configuration(records)
    for record in records:
        applier.apply_configuration(record)
    assert applier.current_configuration().payload == version(9)


# Guards against requests under the first configuration before the evacuations
# of its snapshot are known.
def test_the_first_version_takes_effect_when_it_is_applied(adapter):
    state = evolve(make_state(), table=CurrentTable())
    applier = RecordApplier(state, adapter, FakeClock())
    record = KeyedRecord("config", version(8), 1)
    applier.prepare_configuration([record])
    assert applier.current_configuration().payload == b""
    applier.apply_configuration(record)
    assert applier.current_configuration().payload == version(8)
    assert adapter.decoded == [version(8)]
