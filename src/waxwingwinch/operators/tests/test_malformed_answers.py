"""Answers of entries that violate the grammar of HTTP."""

import pytest

from waxwingwinch._exceptions import Outcome
from waxwingwinch._types import InstanceId
from waxwingwinch.adapters.tests._raw_server import raw_server
from waxwingwinch.http.tests.malformed_answers import CHUNKED, answer
from waxwingwinch.operators import AllUnreachable, OperatorClient
from waxwingwinch.operators_api import DrainedView, write_body

VIEW = DrainedView(InstanceId("i0"))
BODY = write_body(VIEW)
LENGTH = b"Content-Length: %d" % len(BODY)
CHUNK = b"%x\r\n%b\r\n" % (len(BODY), BODY)


def drain(address):
    return OperatorClient([str(address)], "token").post("drain", None, DrainedView)


@pytest.mark.parametrize(
    "content",
    [
        answer(LENGTH, b"X-A: \xff", body=BODY),
        answer(CHUNKED, body=CHUNK + b"0\r\nX-A: a\r\n\r\n"),
    ],
    ids=["length", "chunks"],
)
def test_proper_answers_are_read(content):
    with raw_server(content) as address:
        assert drain(address) == VIEW


# Guards against an action that is reported with a body that may not be the
# entry's.
@pytest.mark.parametrize(
    "content",
    [
        answer(LENGTH.replace(b": ", b": +"), body=BODY),
        answer(LENGTH, b"Transfer-Encoding: gzip", body=BODY),
        answer(b"garbage", LENGTH, body=BODY),
        answer(LENGTH, b"X\x01A: a", body=BODY),
        answer(LENGTH, status_line=b"HTTP/1.x 200 OK", body=BODY),
        answer(CHUNKED, body=b"0x" + CHUNK + b"0\r\n\r\n"),
        answer(CHUNKED, body=CHUNK + b"0\r\ngarbage\r\n\r\n"),
    ],
    ids=["length", "coding", "line", "name", "version", "size", "trailer"],
)
def test_the_effect_is_unknown_after_a_malformed_answer(content):
    with raw_server(content) as address:
        with pytest.raises(AllUnreachable, match="no entry answered") as raised:
            drain(address)
    assert raised.value.outcome == Outcome.UNKNOWN
    assert "malformed" in str(raised.value.exceptions[0])
