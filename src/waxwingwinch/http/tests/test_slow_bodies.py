"""Bodies that take long on a slow link, without a network."""

import pytest

from waxwingwinch.http import AnswerMissing
from waxwingwinch.http._exchange import Exchange
from waxwingwinch.platform._store import (
    MIN_ANSWER_BYTES_PER_SECOND,
    RESPONSE_TIMEOUT_SECONDS,
)

#: Rate of the slowest links of instances, 5 Mbit/s.
LINK_BYTES_PER_SECOND = 625_000
#: The newest records of a topic with 2,000 routes, in base64.
BODY_BYTES = 753_000
PIECE_BYTES = 1_460


class SlowExchange(Exchange):
    """An exchange whose body arrives at a given rate."""

    def __init__(self, monkeypatch, bytes_per_second):
        self.now_seconds = 100.0
        self.remaining_bytes = BODY_BYTES
        self._bytes_per_second = bytes_per_second
        monkeypatch.setattr("time.monotonic", lambda: self.now_seconds)

    def read_some(self, timeout_seconds):
        length = min(PIECE_BYTES, self.remaining_bytes)
        if not length:
            return b""
        took_seconds = length / self._bytes_per_second
        self.now_seconds += min(took_seconds, max(timeout_seconds, 0.0))
        if took_seconds > timeout_seconds:
            raise AnswerMissing("timed out before the end of the response body")
        self.remaining_bytes -= length
        return bytes(length)


def read(exchange):
    return exchange.read_all(
        exchange.now_seconds + RESPONSE_TIMEOUT_SECONDS,
        min_bytes_per_second=MIN_ANSWER_BYTES_PER_SECOND,
    )


# Guards against an instance with a slow link that never gets a configuration
# of 2,000 routes, since an answer of the store takes longer than its timeout.
@pytest.mark.parametrize("share", [1.0, 0.6])
def test_a_long_body_on_a_slow_link_is_read(monkeypatch, share):
    exchange = SlowExchange(monkeypatch, share * LINK_BYTES_PER_SECOND)
    assert len(read(exchange)) == BODY_BYTES


# Guards against a thread that waits without end for a store that trickles.
def test_a_body_that_trickles_times_out(monkeypatch):
    exchange = SlowExchange(monkeypatch, 20_000)
    with pytest.raises(AnswerMissing):
        read(exchange)
    assert exchange.now_seconds < 100.0 + 1.2 * RESPONSE_TIMEOUT_SECONDS
