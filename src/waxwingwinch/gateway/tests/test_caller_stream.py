"""The end of reading a body."""

import io
import socket

import pytest

from waxwingwinch.gateway._caller_stream import (
    BODY_SECONDS,
    CallerStream,
    body_end_seconds,
)
from waxwingwinch.gateway.tests.fakes import FakeClock


class SlowSource(io.BytesIO):
    """A caller that sends a byte a second."""

    def __init__(self, data, clock):
        super().__init__(data)
        self.clock = clock

    def readinto1(self, buffer):
        self.clock.seconds += 1.0
        return super().readinto1(buffer[:1])


def slow_stream(data, end_seconds):
    clock = FakeClock(seconds=0.0)
    return CallerStream(
        SlowSource(data, clock), socket.socket(), clock, end_seconds, 3.0
    )


# Guards against a body that holds memory without end, as each of its bytes
# arrives in time.
def test_a_body_by_the_byte_has_an_end():
    stream = slow_stream(bytes(100), 20.0)
    buffer = memoryview(bytearray(100))
    with pytest.raises(TimeoutError, match="timed out"):
        for _ in range(100):
            stream.readinto1(buffer)
    assert stream._stream.tell() == 20


# Guards against a line of a chunk by the byte.
def test_a_line_by_the_byte_has_an_end():
    with pytest.raises(TimeoutError, match="timed out"):
        slow_stream(b"0" * 100, 20.0).readline(256)


def test_a_line_is_read_to_its_end_and_no_further():
    stream = slow_stream(b"5\r\nabc", 20.0)
    assert stream.readline(256) == b"5\r\n"
    assert stream.readline(2) == b"ab"
    assert stream.readline(256) == b"c"


@pytest.mark.parametrize(
    ("deadline_seconds", "route_seconds", "end_seconds"),
    [
        (None, 0.0, 100.0 + BODY_SECONDS),
        (None, 60.0, 160.0),
        (108.0, 4.0, 108.0),
        (1e9, 4.0, 100.0 + BODY_SECONDS),
        (100.5, 4.0, 103.0),
    ],
)
def test_a_body_may_take_until_the_deadline_of_its_caller(
    deadline_seconds, route_seconds, end_seconds
):
    end = body_end_seconds(100.0, deadline_seconds, route_seconds, 3.0)
    assert end == end_seconds
