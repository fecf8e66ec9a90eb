"""Strict HTTP/1.1 parsing of request headers and bodies."""

import re
from typing import Any

from cheroot.server import HeaderReader

from waxwingwinch.gateway._caller_stream import ByteStream
from waxwingwinch.gateway._memory_account import Reservation
from waxwingwinch.http import FIELD_NAME, FIELD_VALUE

#: Headers that must not be repeated, since parsers differ in which value they
#: use, which allows request smuggling.
SINGLE_HEADERS = frozenset({"content-length", "host", "transfer-encoding"})
#: Maximum length of a chunk-size line or trailer line; chunk sizes have only
#: a few digits.
CHUNK_LINE_BYTES = 256
#: Most bytes of a chunk that are read at once.
CHUNK_PIECE_BYTES = 65_536
#: Memory that is reserved at once for a body in chunks: the buffer of a piece,
#: and the next piece.
CHUNK_STEP_BYTES = 2 * CHUNK_PIECE_BYTES
#: Memory of a buffer that grows, relative to what it holds.
GROWTH_FACTOR = 1.125
#: Part of the memory for requests and answers that bodies leave free.
BODY_SPARE_FRACTION = 0.25

_NAME = re.compile(FIELD_NAME)
_VALUE = re.compile(FIELD_VALUE)
_DIGITS = re.compile(rb"[0-9]{1,18}")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(;[\t\x20-\x7e]*)?")


class MalformedRequest(ValueError):
    """The request violates the HTTP grammar."""


class BodyTooLarge(ValueError):
    """The request body exceeds the size limit."""


class HeaderTable(dict[bytes, bytes]):
    """
    Headers by name in title case, as cheroot expects them.

    :ivar pairs: All headers in the order received, with names as written.
    """

    def __init__(self) -> None:
        super().__init__()
        self.pairs: list[tuple[str, str]] = []


class StrictHeaderReader(HeaderReader):  # type: ignore[misc]
    """
    Rejects headers that another HTTP parser could interpret differently.

    :param needs_host: False if a request may lack the Host header.
    """

    def __init__(self, needs_host: bool = True) -> None:
        self._needs_host = needs_host

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        """
        Read the headers of a request.

        :param rfile: Stream to read the lines from.
        :param hdict: Table to fill; None for a new one.
        :raises ValueError: If a line violates the grammar.
        """
        table: HeaderTable = HeaderTable() if hdict is None else hdict
        seen: set[str] = set()
        while True:
            line = rfile.readline()
            if line == b"\r\n":
                break
            name, value = _parse_line(line)
            lowered = name.lower()
            if lowered in seen and lowered in SINGLE_HEADERS:
                raise MalformedRequest(f"header {name} is repeated")
            seen.add(lowered)
            table.pairs.append((name, value))
            table[name.title().encode("latin-1")] = value.encode("latin-1")
        _check_framing(table)
        if self._needs_host and "host" not in seen:
            raise MalformedRequest("the request has no Host header")
        return table


def _parse_line(line: bytes) -> tuple[str, str]:
    if not line.endswith(b"\r\n"):
        raise MalformedRequest("a header line does not end with CR LF")
    name, separator, value = line[:-2].partition(b":")
    if not separator or not _NAME.fullmatch(name):
        raise MalformedRequest(
            "a header line has no valid field name followed by a colon"
        )
    value = value.strip(b" \t")
    if not _VALUE.fullmatch(value):
        raise MalformedRequest("a header value contains control characters")
    return name.decode("latin-1"), value.decode("latin-1")


def _check_framing(table: HeaderTable) -> None:
    length = table.get(b"Content-Length")
    coding = table.get(b"Transfer-Encoding")
    if length is not None and coding is not None:
        raise MalformedRequest(
            "the request has both Content-Length and Transfer-Encoding"
        )
    if length is not None and not _DIGITS.fullmatch(length):
        raise MalformedRequest("Content-Length is not a number of 1 to 18 digits")
    if coding is not None and coding.lower() != b"chunked":
        raise MalformedRequest("the only supported Transfer-Encoding is chunked")


def read_body(
    rfile: ByteStream, table: HeaderTable, limit_bytes: int, reservation: Reservation
) -> bytearray:
    """
    Read the body of a request into one buffer.

    :param rfile: Stream positioned after the request head.
    :param table: The headers.
    :param limit_bytes: Maximum size of the body.
    :param reservation: Grows by the body before it is read.
    :raises MemoryExhausted: If there is no room for the body.
    :raises BodyTooLarge: If the body exceeds the limit.
    :raises MalformedRequest: If it is truncated or its chunks are malformed.
    """
    if b"Transfer-Encoding" in table:
        return _read_chunks(rfile, limit_bytes, reservation)
    length = int(table.get(b"Content-Length", b"0"))
    if length > limit_bytes:
        raise BodyTooLarge(f"the request body exceeds the limit of {limit_bytes} bytes")
    reservation.grow(length, BODY_SPARE_FRACTION)
    body = bytearray(length)
    _fill(rfile, memoryview(body))
    return body


def _read_chunks(
    rfile: ByteStream, limit_bytes: int, reservation: Reservation
) -> bytearray:
    body = bytearray()
    reserved_bytes = 0
    piece = memoryview(bytearray(CHUNK_PIECE_BYTES))
    while left_bytes := _read_chunk_size(rfile):
        if len(body) + left_bytes > limit_bytes:
            raise BodyTooLarge(
                f"the request body exceeds the limit of {limit_bytes} bytes"
            )
        while left_bytes:
            if reserved_bytes < len(body) * GROWTH_FACTOR + CHUNK_PIECE_BYTES:
                reservation.grow(CHUNK_STEP_BYTES, BODY_SPARE_FRACTION)
                reserved_bytes += CHUNK_STEP_BYTES
            size = _read_some(rfile, piece[:left_bytes])
            body += piece[:size]
            left_bytes -= size
        _fill(rfile, piece[:2])
        if bytes(piece[:2]) != b"\r\n":
            raise MalformedRequest("a chunk does not end with CR LF")
    while (line := rfile.readline(CHUNK_LINE_BYTES)) != b"\r\n":
        _parse_line(line)
    return body


def _read_chunk_size(rfile: ByteStream) -> int:
    line = rfile.readline(CHUNK_LINE_BYTES)
    size_match = _CHUNK_SIZE.fullmatch(line[:-2])
    if not line.endswith(b"\r\n") or size_match is None:
        raise MalformedRequest("a chunk has no valid chunk-size line")
    return int(size_match[1], 16)


def _fill(rfile: ByteStream, buffer: memoryview) -> None:
    filled_bytes = 0
    while filled_bytes < len(buffer):
        filled_bytes += _read_some(rfile, buffer[filled_bytes:])


def _read_some(rfile: ByteStream, buffer: memoryview) -> int:
    """Read what has arrived, at most as much as the buffer takes."""
    size = rfile.readinto1(buffer)
    if not size:
        raise MalformedRequest(
            "the connection ended before the end of the request body"
        )
    return size
