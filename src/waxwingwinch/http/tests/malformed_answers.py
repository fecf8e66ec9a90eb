"""
Answers that violate the grammar of HTTP, and others that follow it.

The groups are the elements of the grammar: RFC 9112, sections 4 (status line),
5 (fields), 6 (framing) and 7.1 (chunks); RFC 9110, sections 5 and 8.6.
"""

from collections.abc import Iterable

#: An event of a stream, so that it is an answer on each kind of route.
BODY = b"data: abcd\n\n"
CHUNK = b"c\r\ndata: abcd\n\n\r\n"
CHUNKS = CHUNK + b"0\r\n\r\n"
#: Stands for the fields by which an answer says what it answers.
IDENTITY = b"Identity: a"
LENGTH = b"Content-Length: 12"
CHUNKED = b"Transfer-Encoding: chunked"
OK = b"HTTP/1.1 200 OK"


def answer(
    *fields: bytes,
    status_line: bytes = OK,
    body: bytes = BODY,
    before: Iterable[bytes] = (IDENTITY,),
) -> bytes:
    """Return the bytes of an answer."""
    return b"\r\n".join((status_line, *before, *fields, b"", body))


def _values(field: bytes, values: Iterable[bytes], body: bytes) -> dict[str, bytes]:
    return {
        f"{field.decode()} {value[:30]!r}": answer(field + b": " + value, body=body)
        for value in values
    }


CONTENT_LENGTHS = _values(
    b"Content-Length",
    (
        *(b"-12", b"+12", b"--12", b"- 12", b"1 2", b"1\t2", b"12 bytes", b"12\xa0"),
        *(b"", b" ", b"twelve", b"NaN", b"inf", b"0x0c", b"0b1100", b"1_2", b"1e1"),
        *(b"12.0", b"12.", b"\xb9\xb2", b"\xd9\xa1\xd9\xa2", b'"12"', b"12;a=b"),
        *(b"12\x00", b"\x0012", b"12\x01", b"12\x0b", b"\x0c12", b"12\x1c", b"12\x7f"),
        *(b"12\r", b"\r12", b"12,", b",12", b"12, 13", b"12, 12", b"12,x", b"9" * 40),
        *(b"0" * 5_000 + b"12", b"99999999999999999999", b"\x8512"),
    ),
    BODY,
) | {
    "two lengths": answer(LENGTH, b"Content-Length: 13"),
    "two lengths, the other first": answer(b"Content-Length: 5", LENGTH),
    "two lengths, one malformed": answer(LENGTH, b"Content-Length: x"),
    "two lengths, the other malformed": answer(b"Content-Length: ", LENGTH),
    "a length and chunks": answer(LENGTH, CHUNKED, body=CHUNKS),
    "chunks and a length": answer(CHUNKED, b"Content-Length: 5", body=CHUNKS),
}

TRANSFER_ENCODINGS = _values(
    b"Transfer-Encoding",
    (
        *(b"", b" ", b",", b"identity", b"gzip", b"deflate", b"xchunked", b"chunk"),
        *(b"gzip, chunked", b"chunked, gzip", b"chunked, chunked", b"chunked,"),
        *(b",chunked", b"identity, chunked", b"chunked, identity", b"chunked;q=1"),
        *(b"chunked gzip", b'"chunked"', b"chun ked", b"chunked\x00", b"\x0bchunked"),
        *(b"chunked\x7f", b"chunked\xa0", b"chunked\r", b"chunked\x1f", b"chunk\xebd"),
    ),
    CHUNKS,
) | {
    "two codings": answer(b"Transfer-Encoding: gzip", CHUNKED, body=CHUNKS),
    "chunks twice": answer(CHUNKED, CHUNKED, body=CHUNKS),
    "an empty coding and chunks": answer(b"Transfer-Encoding:", CHUNKED, body=CHUNKS),
    "chunks in HTTP/1.0": answer(CHUNKED, status_line=b"HTTP/1.0 200 OK", body=CHUNKS),
}

#: Lines that are no fields.
NO_FIELDS = (
    *(b"garbage", b"two words", b": value", b":", b" : value", b"\x00", b"\x7f"),
    *(b"HTTP/1.1 200 OK", b"From me", b"From me: a", b"X-A", b"=", b"\xff\xfe"),
    *(b" X-A: blank first", b"\tX-A: tab first", b" ", b"\t", b"\r", b"\x0b", b"\x85"),
    *(b"X A: a", b"X-A : a", b"X-A\t: a", b"X\tA: a", b"X-A\xa0: a"),
    *(b"X\x00A: a", b"X\x01A: a", b"X\x0bA: a", b"X\x0cA: a", b"X\x1bA: a"),
    *(b"X\rA: a", b"X\x7fA: a", b"X\x80A: a", b"X\x85A: a", b"X\xe9A: a"),
    *(b"X%bA: a" % bytes([byte]) for byte in b'"(),/;<=>?@[\\]{}'),
    *(b"X-A: a%bb" % bytes([byte]) for byte in (0, 1, 8, 11, 12, 13, 27, 28, 31, 127)),
    *(b"X-A: a\rX-B: b", b"\rX-A: a", b"X-A: a\r", b"X-A: a\x0bContent-Length: 3"),
    *(b"Content-Length : 12", b"Content-Length\t: 12", b"Content Length: 12"),
    *(b"Content-Length\x00: 12", b"\x01Content-Length: 12", b"Transfer-Encoding : a"),
)
LINES = {
    f"{line[:30]!r} {place}": content
    for line in NO_FIELDS
    for place, content in (
        ("before", answer(line, IDENTITY, LENGTH, before=())),
        ("between", answer(line, LENGTH)),
        ("after", answer(LENGTH, line)),
    )
}

#: Lines that are no status lines of a response.
STATUS_LINES = {
    repr(line): answer(LENGTH, status_line=line)
    for line in (
        *(b"HTTP/2.0 200 OK", b"HTTP/2 200 OK", b"HTTP/0.9 200 OK", b"HTTP/1 200 OK"),
        *(b"HTTP/1.10 200 OK", b"HTTP/11.1 200 OK", b"HTTP/1.1.1 200 OK"),
        *(b"HTTP/1. 200 OK", b"HTTP/1.x 200 OK", b"HTTP/1,1 200 OK", b"HTTP/01.1 200"),
        *(b"HTTP/1.\xb9 200 OK", b"HTTP/-1.1 200 OK", b"http/1.1 200 OK", b"HTTP 200"),
        *(b"HTTP/1.1", b"HTTP/1.1 ", b"HTTP/1.1 OK", b"ICY 200 OK", b"200 OK", b""),
        *(b" HTTP/1.1 200 OK", b"HTTP/1.1  200 OK", b"HTTP/1.1\t200 OK"),
        *(b"HTTP/1.1 200\tOK", b"HTTP/1.1 200OK", b"HTTP/1.1 2 00 OK", b"HTTP/1.1 20"),
        *(b"HTTP/1.1 +20 OK", b"HTTP/1.1 -200 OK", b"HTTP/1.1 0200 OK"),
        *(b"HTTP/1.1 2_0 OK", b"HTTP/1.1 2\xb2\xb2 OK", b"HTTP/1.1 0xc8 OK"),
        *(b"HTTP/1.1 2000 OK", b"HTTP/1.1 200.0 OK", b"HTTP/1.1 \x00200 OK"),
        *(b"HTTP/1.1 200\x00 OK", b"HTTP/1.1 200 O\x00K", b"HTTP/1.1 200 O\x01K"),
        *(b"HTTP/1.1 200 O\rK", b"HTTP/1.1 200 O\x0bK", b"HTTP/1.1 200 O\x7fK"),
        *(b"HTTP/1.1\x0b200 OK", b"HTTP/1.1 200\x0cOK", b"HTTP/1.1 200 OK\r"),
        *(b"\x00HTTP/1.1 200 OK", b"\xffHTTP/1.1 200 OK", b"HTTP/1.1\x00 200 OK"),
        *(b"HTTP/1.1 000 OK", b"HTTP/1.1 099 OK", b"HTTP/1.1 600 OK"),
        *(b"HTTP/1.1 999 OK", b"HTTP/1.1 101 Switching Protocols"),
    )
}


#: Malformed heads of interim responses before a proper answer.
INTERIM = {
    f"interim {line!r}": b"HTTP/1.1 103 Early Hints\r\n%b\r\n\r\n" % line
    + answer(LENGTH)
    for line in (b"garbage", b"X A: a", b"X\x01A: a", b"X-A: a\x00b", b" X-A: a")
} | {
    f"interim {line!r}": line + b"\r\n\r\n" + answer(LENGTH)
    for line in (b"HTTP/1.1 103 \x00", b"HTTP/2.0 100 Continue", b"HTTP/1.1 1 00")
}


def chunks(body: bytes) -> bytes:
    """Return an answer with a chunked body."""
    return answer(CHUNKED, body=body)


#: Sizes that are none.
CHUNK_SIZES = {
    f"chunk size {size[:20]!r}": chunks(size + b"\r\n%b\r\n0\r\n\r\n" % BODY)
    for size in (
        *(b"-c", b"+c", b"0xc", b"0Xc", b"c_", b"1_2", b"", b" ", b"g", b"c.0", b" c"),
        *(b"\tc", b"c\x00", b"c\x0b", b"\x0cc", b"c\x7f", b"c\xa0", b"c c", b"c,c"),
        *(b"c\r", b"c;a\x00", b"c;a\rb", b"c;\x7f", b"c \x01;a", b"f" * 40),
        b"\xb9\xb2",
    )
}
#: Ends of chunks and bodies that are none.
CHUNK_ENDS = {
    "a chunk that is longer": chunks(b"b\r\n%b\r\n0\r\n\r\n" % BODY),
    "a chunk that is one byte shorter": chunks(b"d\r\n%b\r\n0\r\n\r\n" % BODY),
    "a chunk that is two bytes shorter": chunks(b"e\r\n%b\r\n0\r\n\r\n" % BODY),
    "a size without carriage return": chunks(b"c\n%b\r\n0\r\n\r\n" % BODY),
    "an end without carriage return": chunks(b"c\r\n%b\n0\r\n\r\n" % BODY),
    "a last chunk without carriage return": chunks(CHUNK + b"0\n\r\n"),
    "a chunk without end": chunks(b"c\r\n%b0\r\n\r\n" % BODY),
    "a chunk with another end": chunks(b"c\r\n%bab0\r\n\r\n" % BODY),
    "a last chunk that is malformed": chunks(CHUNK + b"-0\r\n\r\n"),
    "no last chunk": chunks(CHUNK),
    "a last chunk that breaks off": chunks(CHUNK + b"0"),
    "no empty line": chunks(CHUNK + b"0\r\n"),
    "a trailer that breaks off": chunks(CHUNK + b"0\r\nX-A: a\r\n"),
}
TRAILERS = {
    f"trailer {line[:30]!r}": chunks(CHUNK + b"0\r\n%b\r\n\r\n" % line)
    for line in NO_FIELDS
    # A carriage return beside the one of the line's end.
    if line != b"\r"
}

HEADS = CONTENT_LENGTHS | TRANSFER_ENCODINGS | LINES | STATUS_LINES | INTERIM
BODIES = CHUNK_SIZES | CHUNK_ENDS | TRAILERS

#: Answers that follow the grammar and have :data:`BODY`.
PROPER = {
    "length": answer(LENGTH),
    "no length": answer(),
    "chunks": chunks(CHUNKS),
    "several chunks": chunks(b"6\r\ndata: \r\n6\r\nabcd\n\n\r\n0\r\n\r\n"),
    "chunks with extensions": chunks(b'00C;a=b;c="d e"\r\n%b\r\n0;last\r\n\r\n' % BODY),
    "chunks with blanks": chunks(b"c \t;a\r\n%b\r\n0 \r\n\r\n" % BODY),
    "chunks with trailers": chunks(CHUNK + b"000\r\nX-A: a\r\nX-B:\xff\r\n\r\n"),
    "another case": answer(b"tRANSFER-eNCODING: CHUNKED", body=CHUNKS),
    "an empty reason": answer(LENGTH, status_line=b"HTTP/1.1 200 "),
    "no reason": answer(LENGTH, status_line=b"HTTP/1.1 200"),
    "a reason over 0x7f": answer(LENGTH, status_line=b"HTTP/1.1 200 O\xe9\tK"),
    "blanks around values": answer(b"X-A: \t a b \t", b"Content-Length:\t 12  "),
    "no blanks around values": answer(b"X-A:a", b"Content-Length:12"),
    "an empty value": answer(b"X-A:", b"X-B: ", LENGTH),
    "bytes over 0x7f": answer(b"X-A: \x80\x85\xa0\xff", LENGTH),
    "all bytes of a name": answer(b"!#$%&'*+-.^_`|~09AZaz: a", LENGTH),
    "all bytes of a value": answer(b"X-A: " + bytes(range(0x20, 0x7F)), LENGTH),
    "equal lengths": answer(LENGTH, LENGTH),
    "zeros before a length": answer(b"Content-Length: 0012"),
    "HTTP/1.0": answer(LENGTH, status_line=b"HTTP/1.0 200 OK"),
    "HTTP/1.0 without length": answer(status_line=b"HTTP/1.0 200 OK"),
    "a later minor version": answer(LENGTH, status_line=b"HTTP/1.2 200 OK"),
    "103 before": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answer(LENGTH),
    "lines without carriage return": answer(LENGTH).replace(b"\r\n", b"\n"),
}
