"""Requests that HTTP parsers could interpret differently are rejected."""

import io
import tracemalloc

import pytest
from hypothesis import given, strategies

from waxwingwinch.gateway._http_parser import (
    BodyTooLarge,
    HeaderTable,
    MalformedRequest,
    StrictHeaderReader,
    read_body,
)
from waxwingwinch.gateway._memory_account import (
    MemoryAccount,
    MemoryExhausted,
    unbounded_reservation,
)

LIMIT_BYTES = 1_000


def read_head(*lines):
    data = b"".join(line + b"\r\n" for line in lines) + b"\r\n"
    return StrictHeaderReader()(io.BytesIO(data), HeaderTable())


def read_whole(source, table, limit_bytes):
    """Read a body without a limit of memory."""
    return read_body(source, table, limit_bytes, unbounded_reservation())


def test_headers_keep_their_names_and_order():
    table = read_head(b"Host: a", b"X-one: 1", b"x-ONE:2")
    assert table.pairs == [("Host", "a"), ("X-one", "1"), ("x-ONE", "2")]


@pytest.mark.parametrize(
    "lines",
    [
        (b"Host: a", b"Content-Length: 3", b"Content-Length: 3"),
        (b"Host: a", b"Content-Length: 3", b"Transfer-Encoding: chunked"),
        (b"Host: a", b"Content-Length: +3"),
        (b"Host: a", b"Content-Length: 3, 3"),
        (b"Host: a", b"Content-Length : 3"),
        (b"Host: a", b"Transfer-Encoding: xchunked"),
        (b"Host: a", b"Transfer-Encoding: chunked, identity"),
        (b"Host: a", b"Transfer-Encoding : chunked"),
        (b"Host: a", b" folded: 1"),
        (b"Host: a", b"X: a\rb"),
        (b"Host: a", b"X: a\x00b"),
        (b"Host: a", b"Host: b"),
        (b"X: no host",),
        (b"Host: a", b"no colon"),
    ],
)
def test_ambiguous_heads_are_rejected(lines):
    with pytest.raises(ValueError):
        read_head(*lines)


def test_a_bare_line_feed_is_rejected():
    with pytest.raises(ValueError):
        StrictHeaderReader()(io.BytesIO(b"Host: a\nX: b\r\n\r\n"), HeaderTable())


def chunked_table():
    return read_head(b"Host: a", b"Transfer-Encoding: chunked")


def test_chunks_are_joined_and_the_next_request_is_not_read():
    source = io.BytesIO(b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\nNEXT")
    assert read_whole(source, chunked_table(), LIMIT_BYTES) == b"abcde"
    assert source.read() == b"NEXT"


@pytest.mark.parametrize(
    "body",
    [
        b"+3\r\nabc\r\n0\r\n\r\n",
        b"0x3\r\nabc\r\n0\r\n\r\n",
        b"3\nabc\r\n0\r\n\r\n",
        b"3\r\nabcd\r\n0\r\n\r\n",
        b"3\r\nab",
        b"\r\nabc\r\n0\r\n\r\n",
        b"1_0\r\n0123456789abcdef\r\n0\r\n\r\n",
    ],
)
def test_malformed_chunks_are_rejected(body):
    with pytest.raises(MalformedRequest):
        read_whole(io.BytesIO(body), chunked_table(), LIMIT_BYTES)


def test_oversized_bodies_are_rejected_before_they_are_read():
    table = read_head(b"Host: a", b"Content-Length: 1001")
    with pytest.raises(BodyTooLarge):
        read_whole(io.BytesIO(b""), table, LIMIT_BYTES)
    with pytest.raises(BodyTooLarge):
        read_whole(io.BytesIO(b"fff\r\n"), chunked_table(), LIMIT_BYTES)


def test_a_truncated_body_is_rejected():
    table = read_head(b"Host: a", b"Content-Length: 5")
    with pytest.raises(MalformedRequest):
        read_whole(io.BytesIO(b"abc"), table, LIMIT_BYTES)


@given(strategies.binary(max_size=200), strategies.integers(1, 50))
def test_any_chunking_gives_the_same_body(body, size):
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    wire = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    source = io.BytesIO(wire + b"0\r\n\r\n")
    assert read_whole(source, chunked_table(), LIMIT_BYTES) == body


# Guards against bodies that are held twice while they are read.
def test_a_body_is_read_into_one_buffer():
    size = 4_194_304
    source = io.BytesIO(bytes(size))
    table = read_head(b"Host: a", b"Content-Length: %d" % size)
    tracemalloc.start()
    try:
        assert len(read_whole(source, table, size)) == size
        assert tracemalloc.get_traced_memory()[1] < 1.1 * size
    finally:
        tracemalloc.stop()


# Guards against chunks that are gathered beside the body they belong to.
def test_a_long_chunk_is_read_into_the_body():
    size = 4_194_304
    source = io.BytesIO(b"%x\r\n%b\r\n0\r\n\r\n" % (size, bytes(size)))
    tracemalloc.start()
    try:
        assert len(read_whole(source, chunked_table(), size)) == size
        assert tracemalloc.get_traced_memory()[1] < 1.25 * size
    finally:
        tracemalloc.stop()


class WatchedSource(io.BytesIO):
    """Notes what is reserved when it is first read."""

    def __init__(self, data, account):
        super().__init__(data)
        self.account = account
        self.reserved_bytes = None

    def readinto1(self, buffer):
        if self.reserved_bytes is None:
            self.reserved_bytes = self.account.held_bytes
        return super().readinto1(buffer)


# Guards against bodies that are read before there is memory for them.
def test_a_body_is_reserved_before_it_is_read():
    account = MemoryAccount(10_000)
    source = WatchedSource(b"x" * 800, account)
    table = read_head(b"Host: a", b"Content-Length: 800")
    read_body(source, table, LIMIT_BYTES, account.open())
    assert source.reserved_bytes == 800


# Guards against reading a body for which there is no memory.
def test_a_body_without_room_is_not_read():
    account = MemoryAccount(1_000)
    source = WatchedSource(b"x" * 800, account)
    table = read_head(b"Host: a", b"Content-Length: 800")
    with pytest.raises(MemoryExhausted) as refused:
        read_body(source, table, LIMIT_BYTES, account.open())
    # A quarter is left to what isn't a body.
    assert refused.value.free_bytes == 750
    assert source.reserved_bytes is None
    assert account.held_bytes == 0


# Guards against chunks without end that are held until the limit of bodies.
def test_chunks_are_reserved_step_by_step():
    size = 4_000_000
    account = MemoryAccount(1_000_000)
    source = WatchedSource(b"%x\r\n%b" % (size, bytes(size)), account)
    with account.open() as reservation, pytest.raises(MemoryExhausted):
        read_body(source, chunked_table(), size, reservation)
    assert source.tell() < 750_000
    assert account.held_bytes == 0


@pytest.mark.parametrize("size", [1, 60_000, 300_000, 4_000_000])
def test_what_is_reserved_covers_a_body_in_chunks(size):
    reservation = unbounded_reservation()
    source = io.BytesIO(b"%x\r\n%b\r\n0\r\n\r\n" % (size, bytes(size)))
    tracemalloc.start()
    try:
        read_body(source, chunked_table(), size, reservation)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    # The rest are small objects, which the fixed part of a request covers.
    assert peak_bytes < reservation.size_bytes + 10_000
