"""Answers of the store that no reader expects."""

import struct

import pytest
from hypothesis import given, strategies

from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch.adapters.tests._raw_server import raw_server
from waxwingwinch.platform._store import (
    MAX_ANSWER_BYTES,
    PlatformStoreClient,
    _decode_page,
)

DEEP_LIST = b"[" * 100_000 + b"]" * 100_000
#: JSON values that no field of an answer may hold.
ODD_VALUES = [
    DEEP_LIST,
    b"1e400",
    b"Infinity",
    b"NaN",
    b"9" * 400,
    b"-1",
    b"1.5",
    b"true",
    b"null",
    b"[]",
    b"{}",
    b'"\\ud800"',
]


def answer(status, body):
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def assert_unavailable(status, body, call):
    with raw_server(answer(status, body)) as address:
        with pytest.raises(PlatformUnavailable) as raised:
            call(PlatformStoreClient(address))
        assert raised.value.may_have_taken_effect
        assert len(str(raised.value)) < 2_000


def append(client):
    return client.append("t", [b"x"], 0)


def read(client):
    return client.read("t", 0, 0.0)


def snapshot(client):
    return client.snapshot("t")


# Guards against followers and duties that end at one answer of the store.
@pytest.mark.parametrize("value", [*ODD_VALUES, b'"x"'])
@pytest.mark.parametrize(
    ("status", "body", "call"),
    [
        (b"200 OK", b"%s", append),
        (b"200 OK", b'{"offset": %s, "end": 1}', append),
        (b"412 Precondition Failed", b'{"end": %s}', append),
        (b"410 Gone", b'{"first": %s}', read),
        (b"410 Gone", b"%s", read),
        (b"200 OK", b"%s", snapshot),
        (b"200 OK", b'{"items": [], "hasMore": false, "end": %s}', snapshot),
        (
            b"200 OK",
            b'{"items": [{"key": "k", "value": "eA==", "offset": %s}],'
            b' "hasMore": false, "end": 3}',
            snapshot,
        ),
        (b"200 OK", b'{"items": [%s], "hasMore": false, "end": 3}', snapshot),
    ],
)
def test_an_odd_value_in_an_answer_of_the_store(status, body, call, value):
    assert_unavailable(status, body % value, call)


@pytest.mark.parametrize("field", ["key", "value"])
@pytest.mark.parametrize("value", [b"1", b"null", b"[]", b'"\\ud800"', b'"a"'])
def test_an_odd_key_or_value_in_a_snapshot(field, value):
    if (field, value) == ("key", b'"a"'):
        return
    item = {"key": b'"k"', "value": b'"eA=="', field: value}
    body = b'{"items": [{"key": %s, "value": %s, "offset": 1}],' % (
        item["key"],
        item["value"],
    )
    assert_unavailable(b"200 OK", body + b' "hasMore": false, "end": 3}', snapshot)


@pytest.mark.parametrize(
    "body",
    [
        b"{}",
        b'{"items": [], "hasMore": false}',
        b'{"items": [], "end": 3}',
        b'{"items": {}, "hasMore": false, "end": 3}',
        b'{"items": "ab", "hasMore": false, "end": 3}',
        b'{"items": [{"key": "k"}], "hasMore": false, "end": 3}',
    ],
)
def test_a_snapshot_with_missing_or_odd_fields(body):
    assert_unavailable(b"200 OK", body, snapshot)


HEADER = struct.pack(">QQ", 2, 0)


# Guards against a cut record that is applied as if it were whole.
@pytest.mark.parametrize(
    "records",
    [
        b"\x00\x00\x00\x05abc",
        b"\x00\x00\x00\x01a\x00\x00\x00\x02b",
        b"\x00\x00\x00\x01a\x00\x00",
        b"\xff\xff\xff\xff",
    ],
)
def test_a_page_that_is_cut_in_a_record(records):
    assert_unavailable(b"200 OK", HEADER + records, read)


def test_a_page_that_is_cut_in_its_header():
    assert_unavailable(b"200 OK", HEADER[:9], read)


@given(strategies.binary(max_size=80))
def test_any_page_is_decoded_whole_or_malformed(body):
    try:
        page = _decode_page(body, 5)
    except ValueError:
        return
    taken = sum(4 + len(record.payload) for record in page.records)
    assert taken == max(len(body) - 16, 0)


# Guards against an answer of the store that takes the memory of the process.
def test_an_answer_without_reasonable_end():
    assert_unavailable(b"200 OK", b"x" * (MAX_ANSWER_BYTES + 1), read)


def test_a_page_of_several_megabytes_is_read():
    records = [b"r" * 1_000_000] * 4
    page = struct.pack(">QQ", len(records), 0)
    page += b"".join(struct.pack(">I", len(record)) + record for record in records)
    with raw_server(answer(b"200 OK", page)) as address:
        found = read(PlatformStoreClient(address))
    assert [record.payload for record in found.records] == records
