"""Heads of requests that arrive in pieces, and what they cost."""

import pytest

from waxwingwinch.gateway.callers import HeadBuffer
from waxwingwinch.gateway.callers._head_price import (
    FIELD_BYTES,
    INCLUDED_FIELDS,
    QUERY_FIELD_BYTES,
    head_price_bytes,
)

HEAD = b"GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n"
MAX_BYTES = 100


def gather(data, size):
    """Return the number of bytes after which the head can be parsed."""
    buffer = HeadBuffer()
    for start in range(0, len(data), size):
        buffer.add(data[start : start + size])
        if buffer.is_parsable(MAX_BYTES):
            return min(start + size, len(data)), buffer
    return None, buffer


# Guards against a thread that waits for the rest of a head, and against a
# whole head that isn't noticed as its end arrives in two pieces.
@pytest.mark.parametrize("size", range(1, len(HEAD) + 1))
def test_a_head_is_whole_at_its_empty_line(size):
    end, buffer = gather(HEAD + b"rest", size)
    assert len(HEAD) <= end < len(HEAD) + size
    head, rest = buffer.take()
    assert head == HEAD
    assert b"rest".startswith(rest)
    assert len(buffer) == 0
    assert not buffer.is_parsable(MAX_BYTES)


# Guards against a malformed head that is waited for until its timeout.
@pytest.mark.parametrize("size", [1, 2, 50])
@pytest.mark.parametrize("data", [b"\nGET", b"GET /\n", b"GET / H\r\nA: b\n", b"\n\n"])
def test_a_bare_line_feed_is_refused_at_once(data, size):
    assert gather(data, size)[0] is not None


def test_a_head_beyond_the_limit_is_refused_at_once():
    assert gather(b"x" * MAX_BYTES, 1)[0] is None
    assert gather(b"x" * (MAX_BYTES + 1), 1)[0] == MAX_BYTES + 1


# Guards against an answer to a client that has sent only an empty line.
@pytest.mark.parametrize(
    ("data", "is_seen"),
    [(b"", False), (b"\r\n", False), (b"GET / H\r", False), (b"GET / H\r\n", True)],
)
def test_the_first_line_is_seen(data, is_seen):
    buffer = HeadBuffer()
    buffer.add(data)
    assert buffer.has_first_line is is_seen


# Guards against fields whose memory is counted by their bytes alone.
def test_fields_beyond_the_usual_number_are_paid_for():
    def head(fields, query=0):
        target = "&".join(["a"] * query)
        lines = "".join(f"{number}:\r\n" for number in range(fields))
        return f"GET /?{target} HTTP/1.1\r\n{lines}\r\n".encode()

    assert head_price_bytes(head(INCLUDED_FIELDS - 2), True) == 0
    assert head_price_bytes(head(2_000), True) > 1_900 * FIELD_BYTES
    assert head_price_bytes(head(1, 2_000), True) > 1_900 * QUERY_FIELD_BYTES
    assert head_price_bytes(head(1, 2_000), False) == 0
