"""Digests are short, and what isn't one is turned away."""

import zlib

import pytest

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch._types import CustomerId, InstanceId, UpstreamId
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.gateway._digest_packing import (
    MAX_DIGEST_BYTES,
    pack_digest,
    unpack_digest,
)
from waxwingwinch.gateway._report_messages import (
    Digest,
    DigestRequest,
    InstanceReport,
    PackedDigest,
    PromptPlacement,
    RelayedReport,
)

#: Bytes for each instance of a cell that a digest may take; with eleven other
#: cells and a digest of each every 0.8 s this is a kilobyte a second.
MAX_BYTES_PER_INSTANCE = 110
INSTANCES = 7


def make_report(number, running):
    engines = [UpstreamId(f"i-{number:02x}{index:08x}") for index in range(running)]
    return InstanceReport(
        InstanceId(f"edge-north-{number}"),
        f"{hash((number, running)) & 0xFFFFFFFF:08x}",
        is_ready=True,
        is_whole=False,
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


def make_digest(running):
    return Digest(
        1,
        tuple(
            RelayedReport(0.1 * number, make_report(number, running))
            for number in range(INSTANCES)
        ),
    )


@pytest.mark.parametrize("running", [0, 1, 3])
def test_digest_comes_back_whole(running):
    digest = make_digest(running)
    sent = encode_message(pack_digest(digest))
    assert unpack_digest(decode_message(sent)) == digest


@pytest.mark.parametrize("running", [0, 1])
def test_digests_are_short(running):
    """Pattern: many instances in several availability zones."""
    sent = encode_message(pack_digest(make_digest(running)))
    assert len(sent) <= MAX_BYTES_PER_INSTANCE * INSTANCES


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"no digest",
        zlib.compress(encode_message(DigestRequest(1))),
        zlib.compress(encode_message(make_digest(1)))[:-9],
        zlib.compress(bytes(MAX_DIGEST_BYTES + 1)),
    ],
)
def test_what_is_no_digest_is_turned_away(payload):
    with pytest.raises(MalformedMessage):
        unpack_digest(PackedDigest(payload))
