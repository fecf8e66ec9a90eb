"""Registration records of other writers: bounds of each field."""

import ipaddress
import json

import pytest
from hypothesis import given, strategies

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.gateway import Upstream
from waxwingwinch.platform._upstreams import MAX_RECORD_BYTES, decode_upstream

#: Maximum length of the text of an error, which is logged.
MAX_ERROR_CHARACTERS = 2_000

ENTRY = {
    "service": "one",
    "address": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 500,
    "stage": "decode",
    "seqNo": 4,
    "born": 1_700_000_000_000,
    "spot": False,
}
DEEP_LIST = b"[" * 100_000 + b"]" * 100_000


def record(**changes):
    return json.dumps({**ENTRY, **changes}).encode()


def record_with(field, raw_value):
    """Encode a record with a value that the encoder would not write."""
    return record(**{field: "RAW"}).replace(b'"RAW"', raw_value)


def assert_malformed(payload, upstream_id="i-1"):
    with pytest.raises(MalformedMessage) as raised:
        decode_upstream(upstream_id, payload, 0.0)
    assert len(str(raised.value)) <= MAX_ERROR_CHARACTERS
    str(raised.value).encode()


# Guards against followers that end at a deeply nested record (RecursionError).
@pytest.mark.parametrize(
    "payload",
    [
        DEEP_LIST,
        b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
        b"[" * 200_000,
        record_with("other", b"[" * 20_000 + b"]" * 20_000),
        record_with("slots", b"[" * 900 + b"]" * 900),
        record_with("other", b"[" * 40 + b"]" * 40),
    ],
)
def test_deeply_nested_records_are_malformed(payload):
    assert_malformed(payload)


# Guards against followers that end at a number too large (OverflowError), and
# against numbers that fail in later arithmetic.
@pytest.mark.parametrize("field", ["coldLeftMs", "slots", "seqNo", "born"])
@pytest.mark.parametrize(
    "number",
    [
        *[b"9" * digits for digits in (19, 20, 21, 30, 400, 401, 5_000)],
        b"-1",
        b"-" + b"9" * 30,
        b"1e400",
        b"1.0",
        b"1e3",
        b"NaN",
        b"Infinity",
        b"-Infinity",
        b"true",
        b"null",
        b'"3"',
        b"{}",
    ],
)
def test_numbers_out_of_range_are_malformed(field, number):
    assert_malformed(record_with(field, number))


# Guards against an upstream whose real entries count as outdated for ever,
# since an odd entry under its id named a later start or version.
@pytest.mark.parametrize(
    ("field", "number"),
    [("born", b"4102444800001"), ("born", b"9007199254740991")]
    + [("seqNo", b"2147483648"), ("seqNo", b"9007199254740991")],
)
def test_versions_far_ahead_are_malformed(field, number):
    assert_malformed(record_with(field, number))


# Guards against connections to ports that the socket rejects (OverflowError)
# and against lookups of host names.
@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.9:99999",
        "10.0.0.9:65536",
        "10.0.0.9:0",
        "10.0.0.9:-1",
        "10.0.0.9:" + "9" * 200,
        "10.0.0.9: 80",
        "10.0.0.9:8_0",
        "10.0.0.9:\u0668\u0660",
        "10.0.0.9:",
        "10.0.0.9",
        ":80",
        "localhost:80",
        "10.0.0.256:80",
        "10.0.0.9\r\n:80",
        "10.0.0.9:80\n",
        "10.0.0.9" * 1_000 + ":80",
    ],
)
def test_addresses_without_ip_or_valid_port_are_malformed(address):
    assert_malformed(record(address=address))


@pytest.mark.parametrize("port", [1, 65_535])
def test_the_first_and_last_port_are_valid(port):
    upstream = decode_upstream("i-1", record(address=f"10.0.0.9:{port}"), 0.0)
    assert upstream.address.port == port


# Guards against texts that can't be encoded in a log line or metric.
@pytest.mark.parametrize("field", ["service", "zone", "state", "stage", "address"])
@pytest.mark.parametrize(
    "text", ["\ud800", "a\udfff", "a\x00", "a\r\nb", "\x1b[0m", "x" * 257, ""]
)
def test_odd_texts_are_malformed(field, text):
    assert_malformed(record(**{field: text}))


# Guards against calls that fail since the id can't be sent in a header.
@pytest.mark.parametrize(
    "upstream_id", ["", "a\r\nb: c", "a b", "\u20ac", "\ud800", "\x00", "x" * 256]
)
def test_ids_that_no_header_can_hold_are_malformed(upstream_id):
    assert_malformed(record(), upstream_id)


def test_a_record_beyond_the_maximum_size_is_malformed():
    assert_malformed(record(other="x" * MAX_RECORD_BYTES))


@pytest.mark.parametrize("flag", [b"1", b'"yes"', b"[]", b"null"])
def test_a_flag_of_another_type_is_malformed(flag):
    assert_malformed(record_with("spot", flag))


def test_unknown_fields_are_ignored():
    upstream = decode_upstream("i-1", record(other={"a": [1, {"b": None}]}), 0.0)
    assert upstream == decode_upstream("i-1", record(), 0.0)


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**40), 10**40)
    | strategies.floats(allow_nan=True, allow_infinity=True)
    | strategies.sampled_from(
        ["", "ready", "draining", "decode", "10.0.0.9:8080", "10.0.0.9:0", "\ud800"]
    )
    | strategies.text(strategies.characters(), max_size=8),
    lambda values: (
        strategies.lists(values, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=3), values, max_size=3)
    ),
    max_leaves=8,
)
entries = strategies.fixed_dictionaries(
    {},
    optional={
        field: strategies.just(value) | json_values for field, value in ENTRY.items()
    },
)


def check_decoded(payload):
    """Decode a payload; a result must be safe to use in all later steps."""
    try:
        upstream = decode_upstream("i-1", payload, 10.0)
    except MalformedMessage as error:
        assert len(str(error)) <= MAX_ERROR_CHARACTERS
        str(error).encode()
        return
    assert isinstance(upstream, Upstream)
    assert 1 <= upstream.address.port <= 65_535
    ipaddress.ip_address(upstream.address.host)
    for number in (upstream.slots, upstream.started_ms, upstream.sequence):
        assert type(number) is int and 0 <= number < 2**53
    assert 0.0 <= upstream.cold_until_seconds <= 10.0 + 86_400.0
    for text in (upstream.service, upstream.zone):
        assert 0 < len(text.encode()) <= 4 * 256


@given(json_values | entries)
def test_any_json_value_is_a_safe_upstream_or_malformed(value):
    check_decoded(json.dumps(value).encode())


@given(entries, entries)
def test_repeated_fields_give_a_safe_upstream_or_a_malformed_record(first, second):
    check_decoded(
        json.dumps(first).encode()[:-1] + b"," + json.dumps(second).encode()[1:]
    )


@given(strategies.binary(max_size=200), strategies.integers(0, 300))
def test_any_bytes_in_a_record_are_safe_or_malformed(inserted, position):
    payload = record()
    check_decoded(inserted)
    check_decoded(payload[:position] + inserted + payload[position:])
    check_decoded(payload[:position] + inserted)
