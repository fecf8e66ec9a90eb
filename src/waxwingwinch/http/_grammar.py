"""
The grammar of HTTP/1 responses, checked on the bytes of each line.

Sources are RFC 9110 (names and values of fields, statuses) and RFC 9112
(status lines, framing, chunks). Folded lines and control bytes in values,
which a recipient may repair, are refused.
"""

import re
from http import HTTPStatus

from attrs import frozen

from waxwingwinch.http._errors import AnswerMalformed

#: Bytes of a malformed element that an error shows: enough to recognize a
#: field, few enough for a line of the log.
MAX_SHOWN_BYTES = 64

#: Pattern of the name of a field, of answers and requests alike.
FIELD_NAME = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
#: Pattern of its value: visible characters, bytes over 0x7f, spaces and tabs.
FIELD_VALUE = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: (%b))?" % FIELD_VALUE)
_FIELD = re.compile(b"(%b):(%b)" % (FIELD_NAME, FIELD_VALUE))
#: More digits than any body needs, few enough for 64 bits.
_LENGTH = re.compile("[0-9]{1,18}")
#: As many digits as fit into 64 bits, then extensions.
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;%b)?\r\n" % FIELD_VALUE)
_CHUNK_END = b"\r\n"

_NO_BODY_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})

#: Name and value of a field.
Field = tuple[str, str]


@frozen
class StatusLine:
    """
    The first line of a response.

    :param minor_version: Minor version of HTTP/1.
    :param status: HTTP status, from 100 to 599.
    :param reason: Reason phrase; may be empty.
    """

    minor_version: int
    status: int
    reason: str

    @property
    def is_interim(self) -> bool:
        """Tell whether another response follows (RFC 9110, section 15.2)."""
        return self.status < HTTPStatus.OK


@frozen
class NoBody:
    """A response that has no body, whatever its fields declare."""


@frozen
class ChunkedBody:
    """A body that ends with its last chunk."""


@frozen
class BodyOfLength:
    """
    A body of a declared length.

    :param length_bytes: Its length.
    """

    length_bytes: int


@frozen
class BodyUntilClose:
    """A body that ends with its connection."""


Framing = NoBody | ChunkedBody | BodyOfLength | BodyUntilClose


def malformed(element: str, data: bytes) -> AnswerMalformed:
    """
    Return the error for a malformed element of a response.

    :param element: What is malformed.
    :param data: Its bytes; the error shows :data:`MAX_SHOWN_BYTES` of them.
    """
    shown = repr(data[:MAX_SHOWN_BYTES])
    if len(data) > MAX_SHOWN_BYTES:
        shown += f" and {len(data) - MAX_SHOWN_BYTES} bytes more"
    return AnswerMalformed(f"malformed {element}: {shown}")


def strip_line_end(line: bytes) -> bytes:
    """
    Return a line without its end, which may lack the carriage return.

    :param line: A line with its end.
    """
    return line.removesuffix(b"\n").removesuffix(b"\r")


def parse_status_line(line: bytes) -> StatusLine:
    """
    Parse the first line of a response (RFC 9112, section 4).

    :param line: The line without its end.
    :raises AnswerMalformed: If it isn't a status line of HTTP/1.
    """
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise malformed("status line", line)
    reason = (found[3] or b"").decode("latin-1").strip(" \t")
    return StatusLine(int(found[1]), int(found[2]), reason)


def parse_field(line: bytes) -> Field:
    """
    Parse a line of a head or trailer (RFC 9112, section 5).

    :param line: The line without its end.
    :raises AnswerMalformed: If it isn't a field.
    """
    found = _FIELD.fullmatch(line)
    if found is None:
        raise malformed("field", line)
    return found[1].decode("ascii"), found[2].decode("latin-1").strip(" \t")


def parse_chunk_size(line: bytes) -> int:
    """
    Parse the line before a chunk (RFC 9112, section 7.1).

    :param line: The line with its end; extensions are ignored.
    :returns: The size of the chunk in bytes; 0 for the last chunk.
    :raises AnswerMalformed: If it isn't such a line.
    """
    found = _CHUNK_SIZE.fullmatch(line)
    if found is None:
        raise malformed("chunk size", line)
    return int(found[1], 16)


def check_chunk_end(line: bytes) -> None:
    """
    Check that a chunk ends where its size says.

    :param line: What follows its data, up to the end of the line.
    :raises AnswerMalformed: If it doesn't.
    """
    if line != _CHUNK_END:
        raise malformed("end of a chunk", line)


def decide_framing(
    status_line: StatusLine, fields: tuple[Field, ...], method: str
) -> Framing:
    """
    Return how a body is framed (RFC 9112, section 6.3).

    :param status_line: First line of the response.
    :param fields: Fields of the response.
    :param method: Method of the request.
    :raises AnswerMalformed: If the fields don't tell without doubt.
    """
    is_chunked = _has_chunks(status_line, fields)
    length_bytes = _declared_bytes(fields)
    if is_chunked and length_bytes is not None:
        raise malformed("framing", b"Content-Length beside Transfer-Encoding")
    status = status_line.status
    if status_line.is_interim or status in _NO_BODY_STATUSES or method == "HEAD":
        return NoBody()
    if is_chunked:
        return ChunkedBody()
    return BodyUntilClose() if length_bytes is None else BodyOfLength(length_bytes)


def _values(fields: tuple[Field, ...], name: str) -> list[str]:
    return [value for key, value in fields if key.lower() == name]


def _has_chunks(status_line: StatusLine, fields: tuple[Field, ...]) -> bool:
    """Tell whether the body is chunked; no other coding is asked for."""
    codings = _values(fields, "transfer-encoding")
    if not codings:
        return False
    text = ", ".join(codings)
    if status_line.minor_version == 0:
        raise malformed("framing", f"{text} in HTTP/1.0".encode("latin-1"))
    if text.lower() != "chunked":
        raise malformed("transfer coding", text.encode("latin-1"))
    return True


def _declared_bytes(fields: tuple[Field, ...]) -> int | None:
    """Return the declared length, which may be repeated; None without one."""
    values = _values(fields, "content-length")
    for value in values:
        if not _LENGTH.fullmatch(value):
            raise malformed("content length", value.encode("latin-1"))
    lengths = {int(value) for value in values}
    if len(lengths) > 1:
        raise malformed("content length", ", ".join(values).encode("latin-1"))
    return lengths.pop() if lengths else None
