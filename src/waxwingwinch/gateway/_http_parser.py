"""Strict reading of request heads and bodies."""

import re
from typing import Any

from cheroot.server import HeaderReader

#: Headers that must not come twice, since readers may disagree which counts.
SINGLE_HEADERS = frozenset({"content-length", "host", "transfer-encoding"})
#: Longest line that announces a chunk; sizes have a few digits.
CHUNK_LINE_BYTES = 256

_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_DIGITS = re.compile(rb"[0-9]{1,18}")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(;[\t\x20-\x7e]*)?")


class MalformedRequest(ValueError):
    """The request breaks HTTP's grammar."""


class BodyTooLarge(ValueError):
    """The body exceeds what callers may send."""


class HeaderTable(dict[bytes, bytes]):
    """
    Headers by name in title case, as the server expects them.

    :ivar pairs: All headers in order, with their names as written.
    """

    def __init__(self) -> None:
        super().__init__()
        self.pairs: list[tuple[str, str]] = []


class StrictHeaderReader(HeaderReader):  # type: ignore[misc]
    """Refuses everything that another reader could read differently."""

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        """
        Read the headers of a request.

        :param rfile: Gives the lines.
        :param hdict: Filled with the headers.
        :raises ValueError: If a line breaks the grammar.
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
                raise MalformedRequest(f"header {name} came twice")
            seen.add(lowered)
            table.pairs.append((name, value))
            table[name.title().encode("latin-1")] = value.encode("latin-1")
        _check_framing(table, seen)
        return table


def _parse_line(line: bytes) -> tuple[str, str]:
    if not line.endswith(b"\r\n"):
        raise MalformedRequest("a header line does not end with CR and LF")
    name, separator, value = line[:-2].partition(b":")
    if not separator or not _NAME.fullmatch(name):
        raise MalformedRequest("a header line has no valid name")
    value = value.strip(b" \t")
    if not _VALUE.fullmatch(value):
        raise MalformedRequest("a header value has control characters")
    return name.decode("latin-1"), value.decode("latin-1")


def _check_framing(table: HeaderTable, names: set[str]) -> None:
    length = table.get(b"Content-Length")
    coding = table.get(b"Transfer-Encoding")
    if length is not None and coding is not None:
        raise MalformedRequest("the request has a length and a transfer coding")
    if length is not None and not _DIGITS.fullmatch(length):
        raise MalformedRequest("the length is not a number")
    if coding is not None and coding.lower() != b"chunked":
        raise MalformedRequest("the transfer coding is not supported")
    if "host" not in names:
        raise MalformedRequest("the request names no host")


def read_body(rfile: Any, table: HeaderTable, limit_bytes: int) -> bytes:
    """
    Read the body of a request.

    :param rfile: Gives the bytes after the head.
    :param table: The headers.
    :param limit_bytes: Longest accepted body.
    :raises BodyTooLong: If it is longer.
    :raises MalformedRequest: If it is cut short or its chunks are malformed.
    """
    if b"Transfer-Encoding" in table:
        return _read_chunks(rfile, limit_bytes)
    length = int(table.get(b"Content-Length", b"0"))
    if length > limit_bytes:
        raise BodyTooLarge(f"the body may have at most {limit_bytes} bytes")
    return _read_exactly(rfile, length)


def _read_chunks(rfile: Any, limit_bytes: int) -> bytes:
    body = bytearray()
    while True:
        line = rfile.readline(CHUNK_LINE_BYTES)
        size_match = _CHUNK_SIZE.fullmatch(line[:-2])
        if not line.endswith(b"\r\n") or size_match is None:
            raise MalformedRequest("a chunk has no valid size")
        size = int(size_match[1], 16)
        if size == 0:
            break
        if len(body) + size > limit_bytes:
            raise BodyTooLarge(f"the body may have at most {limit_bytes} bytes")
        body += _read_exactly(rfile, size)
        if _read_exactly(rfile, 2) != b"\r\n":
            raise MalformedRequest("a chunk does not end with CR and LF")
    while (line := rfile.readline(CHUNK_LINE_BYTES)) != b"\r\n":
        _parse_line(line)
    return bytes(body)


def _read_exactly(rfile: Any, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        part = rfile.read(size - len(data))
        if not part:
            raise MalformedRequest("the body is cut short")
        data += part
    return bytes(data)
