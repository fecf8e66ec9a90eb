"""Decoding of what answers of upstreams state about the upstreams."""

import math
import re
from collections.abc import Mapping

from waxwingwinch.gateway import (
    OnStatements,
    StatementMalformed,
    Upstream,
    UpstreamStatements,
)
from waxwingwinch.platform._headers import (
    COLD_MS,
    INSTANCE_ID,
    RETRY_AFTER,
    SERVER_LEAVING,
    SERVER_LIMIT,
)
from waxwingwinch.platform._upstreams import MAX_COLD_MS

#: HTTP status with which an upstream refuses a request meant for another one.
MISDIRECTED_STATUS = 421
#: HTTP status of an upstream that turns a request away for now.
UNAVAILABLE_STATUS = 503
#: Longest time for which an upstream is left alone after one answer.
MAX_RETURN_SECONDS = 3_600.0
#: Characters of a malformed value that are logged.
MAX_LOGGED_CHARACTERS = 64

_MILLISECONDS_PER_SECOND = 1_000
_MILLISECONDS = re.compile(r"[0-9]{1,18}")
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


def read_statements(
    upstream: Upstream, status: int, headers: Mapping[str, str], is_own_call: bool
) -> UpstreamStatements | None:
    """
    Decode what an answer states about its upstream.

    A malformed value is logged and counts as absent.

    :param upstream: The upstream that was called.
    :param status: HTTP status of the answer.
    :param headers: Headers of the answer; the values of a repeated header are
        joined by commas.
    :param is_own_call: True for a call of the gateway itself, such as orders.
    :returns: None if another upstream has answered.
    """
    answered_id = headers.get(INSTANCE_ID, upstream.upstream_id)
    if status == MISDIRECTED_STATUS or answered_id != upstream.upstream_id:
        return None
    return UpstreamStatements(
        may_end_limit=200 <= status < 300 and not is_own_call,
        limit_per_second=_read_decimal(upstream, headers, SERVER_LIMIT),
        is_leaving=_read_leaving(upstream, headers),
        return_seconds=_read_return(upstream, status, headers),
        cold_seconds=_read_cold(upstream, headers),
    )


def report_statements(
    on_statements: OnStatements,
    upstream: Upstream,
    sent_seconds: float,
    status: int,
    headers: Mapping[str, str],
    is_own_call: bool,
) -> None:
    """
    Decode what an answer states about its upstream, and pass it on.

    :param on_statements: Receives the statements.
    :param upstream: The upstream that was called.
    :param sent_seconds: Monotonic time at which the request was sent.
    :param status: HTTP status of the answer.
    :param headers: Headers of the answer; the values of a repeated header are
        joined by commas.
    :param is_own_call: True for a call of the gateway itself, such as orders.
    """
    statements = read_statements(upstream, status, headers, is_own_call)
    if statements is not None:
        on_statements(upstream, statements, sent_seconds)


def _read_leaving(upstream: Upstream, headers: Mapping[str, str]) -> bool:
    value = headers.get(SERVER_LEAVING)
    if value is None:
        return False
    if value.strip() != "1":
        _log_malformed(upstream, SERVER_LEAVING, value)
        return False
    return True


def _read_return(
    upstream: Upstream, status: int, headers: Mapping[str, str]
) -> float | None:
    if status != UNAVAILABLE_STATUS:
        return None
    seconds = _read_decimal(upstream, headers, RETRY_AFTER)
    return None if seconds is None else min(seconds, MAX_RETURN_SECONDS)


def _read_cold(upstream: Upstream, headers: Mapping[str, str]) -> float | None:
    value = headers.get(COLD_MS)
    if value is None:
        return None
    text = value.strip()
    if not _MILLISECONDS.fullmatch(text):
        _log_malformed(upstream, COLD_MS, value)
        return None
    return min(int(text), MAX_COLD_MS) / _MILLISECONDS_PER_SECOND


def _read_decimal(
    upstream: Upstream, headers: Mapping[str, str], name: str
) -> float | None:
    """Return a non-negative decimal number; None if there is none."""
    value = headers.get(name)
    if value is None:
        return None
    text = value.strip()
    number = float(text) if _DECIMAL.fullmatch(text) else math.nan
    if not math.isfinite(number):
        _log_malformed(upstream, name, value)
        return None
    return number


def _log_malformed(upstream: Upstream, name: str, value: str) -> None:
    StatementMalformed(
        upstream_id=upstream.upstream_id,
        statement=name,
        value=value[:MAX_LOGGED_CHARACTERS],
    ).write()
