"""Tests of the size of packed change sets and of malformed ones."""

import zlib

import pytest

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch._types import CustomerId, InstanceId, UpstreamId
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.gateway._change_packing import (
    MAX_CHANGES_BYTES,
    pack_changes,
    unpack_changes,
)
from waxwingwinch.gateway._report_messages import (
    ChangeSet,
    ExchangeRequest,
    InstanceReport,
    PromptPlacement,
    RelayedReport,
    SentChangeSet,
)

#: Maximum bytes per instance of a cell in a change set if all instances have
#: changes.
MAX_BYTES_PER_INSTANCE = 110
INSTANCES = 7


def make_report(number, running):
    engines = [UpstreamId(f"i-{number:02x}{index:08x}") for index in range(running)]
    return InstanceReport(
        InstanceId(f"edge-north-{number}"),
        f"{hash((number, running)) & 0xFFFFFFFF:08x}",
        is_ready=True,
        is_full=False,
        configuration_version=12,
        store_age_seconds=0.25 + number / 100,
        waiting_tokens={engine: 1_000 + index for index, engine in enumerate(engines)},
        running={engine: 1 + index for index, engine in enumerate(engines)},
        quota_totals={CustomerId("alice"): 12_345.0 * number} if running else {},
        usage={353_445_120: {CustomerId("alice"): number}} if running else {},
        placements=tuple(
            PromptPlacement(index, engine, ("5c1e07a2",), (800,))
            for index, engine in enumerate(engines)
        ),
    )


def make_changes(running):
    return ChangeSet(
        False,
        tuple(
            RelayedReport(0.1 * number, make_report(number, running))
            for number in range(INSTANCES)
        ),
    )


@pytest.mark.parametrize("running", [0, 1, 3])
def test_change_set_survives_the_round_trip(running):
    changes = make_changes(running)
    sent = encode_message(SentChangeSet(0.1, pack_changes(changes)))
    assert unpack_changes(decode_message(sent).payload) == changes


@pytest.mark.parametrize("running", [0, 1])
def test_change_sets_are_short(running):
    """Guards against billed traffic of many instances in several zones."""
    sent = pack_changes(make_changes(running))
    assert len(sent) <= MAX_BYTES_PER_INSTANCE * INSTANCES


def test_confirmations_of_many_unchanged_instances_are_short():
    """Guards against traffic in a large deployment without changes."""
    ages = {InstanceId(f"edge-north-{number}"): 0.31 for number in range(195)}
    assert len(pack_changes(ChangeSet(False, (), ages))) <= 195 * 8


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"no change set",
        zlib.compress(encode_message(ExchangeRequest(1, True))),
        zlib.compress(encode_message(make_changes(1)))[:-9],
        zlib.compress(bytes(MAX_CHANGES_BYTES + 1)),
    ],
)
def test_malformed_change_sets_are_rejected(payload):
    with pytest.raises(MalformedMessage):
        unpack_changes(payload)
