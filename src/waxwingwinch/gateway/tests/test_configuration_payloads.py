"""How often a version of the configuration is decoded."""

import json

import pytest

from waxwingwinch._exceptions import MalformedMessage
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


# Guards against a shortcut for configurations in UTF-8 that lets a lone
# surrogate pass, which breaks the encoding of log lines.
@pytest.mark.parametrize(
    "name",
    [b'"\\ud800"', b'"\\uDfff"', b'"\xed\xa0\x80"', '"\\ud800"'.encode("utf-16")],
)
def test_lone_surrogates_are_rejected_in_every_encoding(name):
    payload = b'{"version": 1, "tenants": [{"name": ' + name + b"}]}"
    if name.startswith(b"\xff\xfe"):
        payload = '{"version": 1, "tenants": [{"\\ud800": 1}]}'.encode("utf-16")
    with pytest.raises(MalformedMessage, match="surrogate"):
        decode_configuration(payload)


# Guards against a nesting that exceeds the recursion of later steps.
@pytest.mark.parametrize("levels", [30, 31, 32, 5_000])
def test_nesting_is_bounded(levels):
    payload = b'{"version": 1, "x": ' + b"[" * levels + b"1" + b"]" * levels + b"}"
    if levels <= 31:
        assert decode_configuration(payload).version == 1
        return
    with pytest.raises(MalformedMessage, match="nested deeper"):
        decode_configuration(payload)
