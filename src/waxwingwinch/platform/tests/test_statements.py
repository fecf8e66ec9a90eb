"""What answers state about their upstream, as the adapter decodes it."""

import pytest
from urllib3 import HTTPHeaderDict

from waxwingwinch.gateway.tests.relay_harness import upstream
from waxwingwinch.gateway.tests.test_named_limits import logged
from waxwingwinch.platform._statements import MAX_RETURN_SECONDS, read_statements

E1 = upstream("e1")
MALFORMED_NUMBERS = [
    "",
    "fast",
    "-1",
    "nan",
    "inf",
    "1,5",
    "1/s",
    "1_000",
    "1e400",
    "9" * 401,
    "\u0661",
    "Wed, 21 Oct 2026 07:28:00 GMT",
]


def read(status=200, *headers, known=E1):
    return read_statements(known, status, HTTPHeaderDict(headers), is_own_call=False)


@pytest.mark.parametrize(
    ("value", "limit_per_second"),
    [("1.3", 1.3), ("1", 1.0), ("0", 0.0), (" 2.5 ", 2.5)],
)
def test_a_named_limit_is_decoded(value, limit_per_second):
    assert read(200, ("Server-Limit", value)).limit_per_second == limit_per_second


def test_an_answer_without_statements_states_nothing():
    statements = read(200)
    assert statements.limit_per_second is None
    assert not statements.is_leaving
    assert statements.return_seconds is None


@pytest.mark.parametrize("value", MALFORMED_NUMBERS)
def test_a_malformed_limit_is_ignored(value):
    assert read(200, ("Server-Limit", value)).limit_per_second is None


@pytest.mark.parametrize("name", ["Server-Leaving", "server-leaving"])
@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_leaving_is_decoded_in_each_answer(name, status):
    assert read(status, (name, "1")).is_leaving


@pytest.mark.parametrize("value", ["", "0", "-1", "nan", "true", "1.0", "2", "9" * 401])
def test_a_malformed_leaving_is_ignored(value):
    assert not read(200, ("Server-Leaving", value)).is_leaving


def test_repeated_statements_are_ignored():
    leaving = ("Server-Leaving", "1")
    limit, wait = ("Server-Limit", "1"), ("Retry-After", "2")
    statements = read(503, leaving, leaving, limit, limit, wait, wait)
    assert not statements.is_leaving
    assert statements.limit_per_second is None
    assert statements.return_seconds is None


@pytest.mark.parametrize(
    ("value", "return_seconds"),
    [("6", 6.0), ("0.25", 0.25), ("0", 0.0), (" 2 ", 2.0), ("1" * 20, 3600.0)],
)
def test_the_time_of_return_is_decoded_and_bounded(value, return_seconds):
    assert MAX_RETURN_SECONDS == 3600.0
    assert read(503, ("Retry-After", value)).return_seconds == return_seconds


@pytest.mark.parametrize("value", MALFORMED_NUMBERS)
def test_a_malformed_time_of_return_is_ignored(value):
    assert read(503, ("Retry-After", value)).return_seconds is None


@pytest.mark.parametrize("status", [200, 429, 500, 504])
def test_only_an_upstream_that_turns_a_request_away_names_a_return(status):
    assert read(status, ("Retry-After", "2")).return_seconds is None


# Guards against a statement of one upstream that binds the senders of another.
def test_an_answer_of_another_upstream_states_nothing():
    leaving = ("Server-Leaving", "1")
    assert read(421, leaving) is None
    assert read(200, leaving, ("X-Waxwingwinch-Instance-Id", "e2")) is None
    own = read(200, leaving, ("X-Waxwingwinch-Instance-Id", "e1"))
    assert own is not None and own.is_leaving


def test_a_malformed_statement_is_logged_in_a_bounded_line():
    lines = logged(lambda: read(200, ("Server-Limit", "x" * 10_000)))
    (line,) = lines["upstream:statement_malformed"]
    assert (line["upstream_id"], line["statement"]) == ("e1", "Server-Limit")
    assert len(line["value"]) == 64


@pytest.mark.parametrize("status", [200, 404, 503])
@pytest.mark.parametrize(
    ("value", "cold_seconds"),
    [("1500", 1.5), ("0", 0.0), (" 20 ", 0.02), ("9" * 18, 86_400.0)],
)
def test_the_cold_time_is_decoded_and_bounded(status, value, cold_seconds):
    assert read(status, ("X-Waxwingwinch-Cold-Ms", value)).cold_seconds == cold_seconds


# Guards against an upstream that counts as cold by a broken header.
@pytest.mark.parametrize("value", [*MALFORMED_NUMBERS, "1.5", "+5", "5, 5"])
def test_a_malformed_cold_time_is_ignored_and_logged(value):
    lines = logged(lambda: read(200, ("X-Waxwingwinch-Cold-Ms", value)))
    assert read(200, ("X-Waxwingwinch-Cold-Ms", value)).cold_seconds is None
    (line,) = lines["upstream:statement_malformed"]
    assert line["statement"] == "X-Waxwingwinch-Cold-Ms"
