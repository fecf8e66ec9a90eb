"""JSON calls whose failures are the errors of the interfaces."""

import json
from typing import Any

from waxwingwinch._exceptions import (
    Outcome,
    PlatformRefused,
    PlatformUnavailable,
    UpstreamFailed,
)
from waxwingwinch._json import decode_json
from waxwingwinch._types import Address
from waxwingwinch.adapters._polling import poll
from waxwingwinch.http import (
    MAX_BODY_BYTES,
    PLAIN_SOCKET_OPTIONS,
    RESPONSE_TIMEOUT_SECONDS,
    AnswerMissing,
    HttpReply,
    HttpRequest,
    NotSent,
    SocketOption,
    exchange,
)

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_TOO_MANY_REQUESTS = 429

_REFUSALS = frozenset({400, 403, 404, STATUS_CONFLICT, STATUS_TOO_MANY_REQUESTS})


def json_request(method: str, path: str, value: object = None) -> HttpRequest:
    """
    Build a request with a JSON body.

    :param method: HTTP method.
    :param path: Path and query.
    :param value: What to send; None for no body.
    """
    if value is None:
        return HttpRequest(method, path)
    headers = (("Content-Type", "application/json"),)
    return HttpRequest(method, path, headers, json.dumps(value).encode())


def platform_exchange(
    address: Address,
    request: HttpRequest,
    timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS,
    socket_options: tuple[SocketOption, ...] = PLAIN_SOCKET_OPTIONS,
) -> HttpReply:
    """
    Call the platform.

    :param address: The platform.
    :param request: What to send.
    :param timeout_seconds: Longest wait for the whole answer.
    :param socket_options: Options of the connection.
    :raises PlatformUnavailable: If no whole answer came.
    """
    try:
        return exchange(
            address, request, timeout_seconds, socket_options=socket_options
        )
    except NotSent as error:
        raise PlatformUnavailable(str(error), may_have_taken_effect=False) from error
    except AnswerMissing as error:
        raise PlatformUnavailable(str(error), may_have_taken_effect=True) from error


def platform_poll(
    address: Address,
    request: HttpRequest,
    timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS,
) -> HttpReply:
    """
    Read from the platform over a kept connection.

    :param address: The platform.
    :param request: What to read; has no effect.
    :param timeout_seconds: Longest wait for the answer.
    :raises PlatformUnavailable: If no whole answer came.
    """
    try:
        return poll(address, request, timeout_seconds)
    except (NotSent, AnswerMissing) as error:
        raise PlatformUnavailable(str(error), may_have_taken_effect=False) from error


def upstream_poll(
    address: Address,
    request: HttpRequest,
    timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS,
) -> HttpReply:
    """
    Read from an upstream over a kept connection.

    :param address: The upstream.
    :param request: What to read; has no effect.
    :param timeout_seconds: Longest wait for the answer.
    :raises UpstreamFailed: If no whole answer came.
    """
    try:
        return poll(address, request, timeout_seconds)
    except (NotSent, AnswerMissing) as error:
        raise UpstreamFailed(str(error), Outcome.NOT_RUN) from error


def platform_value(reply: HttpReply) -> Any:
    """
    Return the JSON value of a successful answer.

    :param reply: The platform's answer.
    :raises PlatformRefused: If the platform declined.
    :raises PlatformUnavailable: If it failed or the answer makes no sense.
    """
    if reply.status in _REFUSALS:
        raise PlatformRefused(_error_text(reply), _retry_after_seconds(reply))
    if reply.status != STATUS_OK:
        reason = f"status {reply.status}: {_error_text(reply)}"
        raise PlatformUnavailable(reason, may_have_taken_effect=True)
    try:
        return reply.json()
    except ValueError as error:
        raise PlatformUnavailable(
            f"malformed answer: {error}", may_have_taken_effect=True
        ) from error


def upstream_exchange(
    address: Address,
    request: HttpRequest,
    timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS,
    socket_options: tuple[SocketOption, ...] = PLAIN_SOCKET_OPTIONS,
) -> HttpReply:
    """
    Call an upstream.

    :param address: The upstream.
    :param request: What to send.
    :param timeout_seconds: Longest wait for the whole answer.
    :param socket_options: Options of the connection.
    :raises UpstreamFailed: If no whole answer came.
    """
    try:
        return exchange(
            address, request, timeout_seconds, socket_options=socket_options
        )
    except NotSent as error:
        raise UpstreamFailed(str(error), Outcome.NOT_RUN) from error
    except AnswerMissing as error:
        raise UpstreamFailed(str(error), Outcome.UNKNOWN) from error


def upstream_value(reply: HttpReply) -> Any:
    """
    Return the JSON value of a successful answer.

    :param reply: The upstream's answer.
    :raises UpstreamFailed: If it failed or the answer makes no sense.
    """
    if reply.status != STATUS_OK:
        reason = f"status {reply.status}: {_error_text(reply)}"
        raise UpstreamFailed(reason, Outcome.UNKNOWN)
    try:
        return reply.json()
    except ValueError as error:
        raise UpstreamFailed(f"malformed answer: {error}", Outcome.UNKNOWN) from error


def error_code(body: bytes) -> str:
    """
    Return the code of an error answer; empty if it has none.

    :param body: The body of the answer.
    """
    try:
        return str(decode_json(body, MAX_BODY_BYTES)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return ""


def _error_text(reply: HttpReply) -> str:
    try:
        return str(reply.json()["error"]["message"])
    except (ValueError, KeyError, TypeError):
        return f"status {reply.status}"


def _retry_after_seconds(reply: HttpReply) -> float | None:
    try:
        return float(reply.header("Retry-After") or "")
    except ValueError:
        return None
