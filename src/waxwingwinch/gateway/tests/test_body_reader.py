"""Bodies are read whole or not at all, and waits consume nothing."""

import socket
import struct
import time

import pytest
from hypothesis import given, strategies as st

from waxwingwinch.gateway._body_reader import BodyReader, ChunkDecoder, readable
from waxwingwinch.http import AnswerMalformed, AnswerMissing


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()


def read_all(reader):
    body = b""
    while part := reader.read_some(1.0):
        body += part
    return body


def chunked(chunks):
    return b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks) + b"0\r\n\r\n"


@given(st.lists(st.binary(min_size=1, max_size=40)), st.integers(1, 7))
def test_chunks_are_decoded_however_they_arrive(chunks, step):
    decoder, received, data = ChunkDecoder(), bytearray(), b""
    wire = chunked(chunks)
    for start in range(0, len(wire), step):
        assert not decoder.is_complete
        received += wire[start : start + step]
        data += decoder.decode(received)
    assert data == b"".join(chunks)
    assert decoder.is_complete


@pytest.mark.parametrize(
    "wire",
    [b"-1\r\n", b"0x5\r\n", b"5_0\r\n", b"\r\n", b"g\r\n", b"2\r\nabc\r\n"],
)
def test_malformed_chunks_are_refused(wire):
    with pytest.raises(AnswerMissing):
        ChunkDecoder().decode(bytearray(wire))


def test_an_endless_chunk_line_is_refused():
    with pytest.raises(AnswerMissing):
        ChunkDecoder().decode(bytearray(b"1" * 9_000))


def test_a_trailer_is_skipped_and_the_next_response_is_kept():
    received = bytearray(b"1\r\na\r\n0\r\nX: y\r\n\r\nHTTP/1.1")
    decoder = ChunkDecoder()
    assert decoder.decode(received) == b"a"
    assert decoder.is_complete
    assert received == b"HTTP/1.1"


def test_a_body_of_a_declared_length_ends_there(pair):
    ours, theirs = pair
    reader = BodyReader(ours, 5, None, bytearray(b"ab"))
    theirs.sendall(b"cdeX")
    assert read_all(reader) == b"abcde"
    assert reader.received == b"X"


def test_a_body_without_framing_ends_with_its_connection(pair):
    ours, theirs = pair
    theirs.sendall(b"whole")
    theirs.close()
    assert read_all(BodyReader(ours, None, None)) == b"whole"


@pytest.mark.parametrize(
    "reader",
    [
        lambda ours: BodyReader(ours, 9, None),
        lambda ours: BodyReader(ours, None, ChunkDecoder()),
    ],
)
def test_a_truncated_body_is_reported(pair, reader):
    ours, theirs = pair
    theirs.sendall(b"5\r\nabc")
    theirs.close()
    with pytest.raises(AnswerMissing):
        read_all(reader(ours))


def test_a_body_without_framing_that_is_reset_is_not_complete():
    with socket.create_server(("127.0.0.1", 0)) as server:
        ours = socket.create_connection(server.getsockname())
        theirs, _ = server.accept()
    theirs.sendall(b"part")
    reader = BodyReader(ours, None, None)
    assert reader.read_some(1.0) == b"part"
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    theirs.close()
    with pytest.raises(AnswerMissing):
        reader.read_some(1.0)
    ours.close()


# Guards against a silence that is noticed only at the deadline, or that
# spoils the response, if it begins within the framing of a chunk.
@pytest.mark.parametrize("cut", range(1, len(b"1\r\na\r\n1\r\n") + 1))
def test_a_silence_at_any_byte_is_noticed_and_loses_nothing(pair, cut):
    ours, theirs = pair
    wire = b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n"
    reader = BodyReader(ours, None, ChunkDecoder())
    theirs.sendall(wire[:cut])
    body = reader.read_some(0.0) if reader.wait(0.05) else b""
    started_seconds = time.monotonic()
    assert not reader.wait(0.05)
    assert time.monotonic() - started_seconds < 1.0
    theirs.sendall(wire[cut:])
    assert body + read_all(reader) == b"ab"


def test_a_closed_connection_counts_as_readable(pair):
    ours, _ = pair
    ours.close()
    assert readable((ours,), 5.0) == (ours,)


# Guards against a body without framing that was reset while another engine was
# asked, and looks complete when it is read on.
def test_a_reset_body_without_framing_never_becomes_complete():
    with socket.create_server(("127.0.0.1", 0)) as server:
        ours = socket.create_connection(server.getsockname())
        theirs, _ = server.accept()
    reader = BodyReader(ours, None, None)
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    theirs.close()
    for _ in range(3):
        with pytest.raises(AnswerMissing):
            reader.wait(1.0)
    assert not reader.is_complete
    ours.close()


# Guards against a malformed body that was noticed while another engine was
# asked, and is read on as if the next line were the beginning of a chunk.
@pytest.mark.parametrize(
    "wire",
    [
        b"zz\r\n1\r\nb\r\n0\r\n\r\n",
        b"1\r\nabc\r\n0\r\n\r\n",
        b"0\r\ngarbage\r\n\r\n",
    ],
)
def test_a_malformed_body_never_becomes_complete(pair, wire):
    ours, theirs = pair
    reader = BodyReader(ours, None, ChunkDecoder())
    theirs.sendall(wire)
    theirs.close()
    for _ in range(3):
        with pytest.raises(AnswerMalformed):
            read_all(reader)
    assert not reader.is_complete


# Guards against a replacement that is dropped as the silent engine closed its
# connection, which may have been within an event.
@pytest.mark.parametrize("is_framed", [True, False])
def test_only_the_end_of_an_unframed_body_tells_nothing(pair, is_framed):
    ours, theirs = pair
    reader = BodyReader(ours, 1 if is_framed else None, None)
    theirs.sendall(b"a")
    assert reader.wait(1.0) and not reader.has_only_closed
    assert reader.read_some(1.0) == b"a"
    theirs.close()
    assert reader.wait(1.0)
    assert reader.has_only_closed is not is_framed
