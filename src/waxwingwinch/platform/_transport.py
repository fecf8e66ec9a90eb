"""Calls to upstreams in the platform's wire format."""

import re
from collections.abc import Callable
from functools import partial
from typing import Any

from urllib3 import HTTPHeaderDict, HTTPResponse

from waxwingwinch._json import decode_json
from waxwingwinch.gateway import (
    CallDropped,
    Cancellation,
    Cancelled,
    ConnectionPool,
    DecodeFromCache,
    FullExecution,
    HandleNotReleased,
    NoColdPermit,
    OnStatements,
    PrefillOnly,
    PromptPart,
    ResponseHead,
    SilentCall,
    Upstream,
    UpstreamCall,
    UpstreamConnection,
    UpstreamResponse,
    ignore_statements,
)
from waxwingwinch.http import (
    MAX_BODY_BYTES,
    AnswerMissing,
    HttpReply,
    HttpRequest,
    NotSent,
    exchange,
)
from waxwingwinch.kernel import Clock
from waxwingwinch.platform._answers import check_identity, check_refusal
from waxwingwinch.platform._fields import read_integer
from waxwingwinch.platform._headers import (
    CONNECTION,
    CONTENT_LENGTH,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    HOP_BY_HOP_HEADERS,
    KV_SOURCE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    PRIORITY,
    REQUEST_ID,
    RESPONSE_STAMP,
    SERVING_STAGE,
    TENANT,
    TRANSFER_ENCODING,
)
from waxwingwinch.platform._statements import (
    MISDIRECTED_STATUS,
    report_statements,
)

#: Highest priority number that engines accept.
PRIORITY_MAX = 9
#: Time-out of the request for the prompt parts cached at an engine.
KV_LIST_TIMEOUT_SECONDS = 1.0
#: Time-out of the request to free a KV cache.
KV_HANDLE_DELETE_TIMEOUT_SECONDS = 1.0

#: Largest answer to a call of the gateway itself: the list of a cache with a
#: part for each few tokens of an engine's memory.
MAX_LIST_BYTES = 4 * 1_024 * 1_024
#: Maximum length of a prompt part; far beyond the KV cache of an engine.
MAX_PART_TOKENS = 10**9

_MILLISECONDS_PER_SECOND = 1_000
_HANDLE = re.compile(r"[\x21-\x7e]{1,256}")
_LENGTH = re.compile(r"[0-9]{1,18}")
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")


class PlatformResponse:
    """
    A response of an upstream whose head has arrived.

    :param pool: Receives the connection after the response.
    :param pool_key: Key of the connection in the pool: id and incarnation of
        the upstream.
    :param connection: Connection of the response.
    :param response: Status and headers.
    :param cancellation: Closes the connection if the call is cancelled.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        pool_key: str,
        connection: UpstreamConnection,
        response: HTTPResponse,
        cancellation: Cancellation,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._pool_key = pool_key
        self._connection = connection
        self._cancellation = cancellation
        self._clock = clock
        headers = response.headers
        self._idle_seconds = _idle_seconds(headers.get("Keep-Alive", ""))
        self._is_persistent = headers.get(CONNECTION, "").lower() != "close"
        not_executed = NOT_EXECUTED in headers
        #: Status and headers, without hop-by-hop headers.
        self.head = ResponseHead(
            status=response.status,
            headers=tuple(
                (key, value)
                for key, value in headers.items()
                if key.lower() not in HOP_BY_HOP_HEADERS
            ),
            request_id=headers.get(REQUEST_ID),
            not_executed=not_executed or response.status == MISDIRECTED_STATUS,
            is_signed=RESPONSE_STAMP in headers,
            is_framed=response.chunked or response.length_remaining is not None,
            body_bytes=_declared_bytes(headers),
        )

    def wait(self, timeout_seconds: float) -> bool:
        """
        Wait until a part of the body, or its end, can be read.

        :param timeout_seconds: Maximum wait.
        :returns: False if there was none in time; the body can still be read.
        :raises AnswerMissing: If the body was truncated.
        """
        return self._connection.wait(timeout_seconds)

    def wait_beside(self, later: UpstreamConnection, overlap_seconds: float) -> None:
        """
        Wait for the response on another connection while this one is silent.

        :param later: Connection of a later call of the same request.
        :param overlap_seconds: Maximum wait, unless this response breaks off.
        :raises CallDropped: If this response goes on, or neither does.
        """
        later.wait_beside(self._connection, overlap_seconds)

    def read_some(self, timeout_seconds: float) -> bytes:
        """
        Read the part of the body that has arrived; wait for at least a byte.

        :param timeout_seconds: Maximum wait.
        :returns: The bytes read; empty at the end of the body.
        :raises AnswerMissing: If the body was truncated or timed out.
        """
        return self._connection.read_some(timeout_seconds)

    def read_all(self, timeout_seconds: float) -> bytes:
        """
        Read the whole body of a response that the gateway itself needs.

        :param timeout_seconds: Maximum wait.
        :raises AnswerMissing: If the body was truncated, timed out or is not
            short.
        """
        return self._connection.read_all(timeout_seconds)

    def finish(self) -> None:
        """Return the connection to the pool after the whole body was read."""
        self._cancellation.detach(self._connection)
        if self._is_persistent and self._connection.has_no_unread_data():
            self._pool.put(
                self._pool_key,
                self._connection,
                self._idle_seconds,
                self._clock.now_seconds(),
            )
        else:
            self._connection.close()

    def abort(self) -> None:
        """Close the connection, which makes the upstream stop its work."""
        self._cancellation.detach(self._connection)
        self._connection.close()


class PlatformCall:
    """
    A call whose response has not been received.

    :param pool: Receives the connection after the response.
    :param pool_key: Key of the connection in the pool.
    :param connection: Connection on which the request was sent.
    :param request_id: Id of the request.
    :param is_kept: True if the connection has carried other requests.
    :param cancellation: Closes the connection if the call is cancelled.
    :param clock: Source of the present time.
    :param observe: Receives the response if it answers the request.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        pool_key: str,
        connection: UpstreamConnection,
        request_id: str,
        is_kept: bool,
        cancellation: Cancellation,
        clock: Clock,
        observe: Callable[[HTTPResponse], None],
    ) -> None:
        self._pool = pool
        self._pool_key = pool_key
        self._connection = connection
        self._request_id = request_id
        self._is_kept = is_kept
        self._cancellation = cancellation
        self._clock = clock
        self._observe = observe

    def wait(self, timeout_seconds: float) -> bool:
        """
        Wait until the response begins or the connection ends.

        :param timeout_seconds: Maximum wait.
        :returns: False if neither happened in time.
        """
        return self._connection.wait(timeout_seconds)

    def wait_beside(self, later: UpstreamConnection, overlap_seconds: float) -> None:
        """
        Wait for the response on another connection while this call is silent.

        :param later: Connection of a later call of the same request.
        :param overlap_seconds: Maximum wait.
        :raises CallDropped: If this call goes on, or neither does.
        """
        later.wait_beside(self._connection, overlap_seconds)

    def wait_unless(self, silent: SilentCall) -> None:
        """
        Wait for the response while an earlier call is silent.

        :param silent: The earlier call.
        :raises CallDropped: If the earlier call is preferred; this one stays
            open.
        """
        silent.call.wait_beside(self._connection, silent.overlap_seconds)

    def receive(self, timeout_seconds: float) -> PlatformResponse:
        """
        Receive the head of the response.

        :param timeout_seconds: Maximum wait.
        :raises AnswerMissing: If no response to this request arrived.
        """
        try:
            wire_response = self._connection.read_head(timeout_seconds)
            response = PlatformResponse(
                self._pool,
                self._pool_key,
                self._connection,
                wire_response,
                self._cancellation,
                self._clock,
            )
            check_identity(response.head, self._request_id, self._is_kept)
            # A refusal without its promise is no answer, but states as much
            # about its upstream as any other.
            self._observe(wire_response)
            check_refusal(response.head, self._request_id)
        except AnswerMissing:
            self.abort()
            raise
        return response

    def abort(self) -> None:
        """Close the connection, which makes the upstream stop its work."""
        self._cancellation.detach(self._connection)
        self._connection.close()


class PlatformTransport:
    """
    Sends calls to upstreams, with pooled connections.

    :param clock: Source of the present time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pool = ConnectionPool()
        self.on_statements: OnStatements = ignore_statements

    def open(
        self,
        upstream: Upstream,
        call: UpstreamCall,
        cancellation: Cancellation,
        now_seconds: float,
        wait_seconds: float,
        silent: SilentCall | None = None,
    ) -> UpstreamResponse:
        """
        Send a request and wait for the head of its response.

        :param upstream: The upstream to call.
        :param call: The request and its options.
        :param cancellation: Allows others to cancel the call.
        :param now_seconds: Monotonic time.
        :param wait_seconds: Maximum wait, connecting included.
        :param silent: An earlier call that is preferred if it goes on before
            the head has arrived.
        :raises NotSent: If no byte of the request left the process.
        :raises AnswerMissing: If no response to this request arrived.
        :raises CallDropped: If the earlier call is preferred.
        :raises Cancelled: If the call was cancelled before it was sent.
        """
        pending = self.send(upstream, call, cancellation, now_seconds, wait_seconds)
        if silent is not None:
            try:
                pending.wait_unless(silent)
            except CallDropped:
                pending.abort()
                raise
        elapsed_seconds = self._clock.now_seconds() - now_seconds
        return pending.receive(wait_seconds - elapsed_seconds)

    def send(
        self,
        upstream: Upstream,
        call: UpstreamCall,
        cancellation: Cancellation,
        now_seconds: float,
        wait_seconds: float,
    ) -> PlatformCall:
        """
        Send a request without waiting for its response.

        :param upstream: The upstream to call.
        :param call: The request and its options.
        :param cancellation: Allows others to cancel the call.
        :param now_seconds: Monotonic time.
        :param wait_seconds: Maximum wait, connecting included.
        :raises NotSent: If no byte of the request left the process.
        :raises AnswerMissing: If the connection failed meanwhile.
        :raises Cancelled: If the call was cancelled before it was sent.
        """
        pool_key = f"{upstream.upstream_id}/{upstream.started_ms}"
        connection = None
        if not call.needs_new_connection:
            connection = self._pool.take(pool_key, now_seconds)
        is_kept = connection is not None
        if connection is None:
            connection = UpstreamConnection(upstream.address, wait_seconds)
        try:
            cancellation.attach(connection)
            remaining_seconds = wait_seconds - (self._clock.now_seconds() - now_seconds)
            if remaining_seconds <= 0:
                raise NotSent(
                    f"timed out after {wait_seconds} s before the request was sent"
                )
            if (
                call.latest_send_seconds is not None
                and self._clock.now_seconds() > call.latest_send_seconds
            ):
                raise NoColdPermit(
                    f"connecting to {upstream.upstream_id} took longer than its"
                    " permit lasts"
                )
            connection.send(
                call.request.method,
                call.request.target,
                _request_headers(upstream, call, self._clock.now_seconds()),
                call.request.body,
                remaining_seconds,
            )
        except (AnswerMissing, Cancelled, NotSent):
            cancellation.detach(connection)
            connection.close()
            raise
        return PlatformCall(
            self._pool,
            pool_key,
            connection,
            call.request.request_id,
            is_kept,
            cancellation,
            self._clock,
            partial(self._report, upstream, now_seconds),
        )

    def _report(
        self, upstream: Upstream, sent_seconds: float, response: HTTPResponse
    ) -> None:
        report_statements(
            self.on_statements,
            upstream,
            sent_seconds,
            response.status,
            response.headers,
            is_own_call=False,
        )

    def _exchange(
        self, upstream: Upstream, method: str, path: str, timeout_seconds: float
    ) -> HttpReply:
        """Send a call of the gateway itself."""
        request = HttpRequest(method, path, ((EXPECT_INSTANCE, upstream.upstream_id),))
        sent_seconds = self._clock.now_seconds()
        reply = exchange(
            upstream.address,
            request,
            timeout_seconds,
            max_body_bytes=MAX_LIST_BYTES,
        )
        report_statements(
            self.on_statements,
            upstream,
            sent_seconds,
            reply.status,
            HTTPHeaderDict(reply.headers),
            is_own_call=True,
        )
        return reply

    def read_handle(self, response: UpstreamResponse, timeout_seconds: float) -> str:
        """
        Read the KV handle from the response to a prefill request.

        :param response: The response.
        :param timeout_seconds: Maximum wait for its body.
        :raises AnswerMissing: If the response has no KV handle.
        """
        try:
            body = response.read_all(timeout_seconds)
        except AnswerMissing:
            response.abort()
            raise
        response.finish()
        try:
            return _read_handle(decode_json(body, MAX_BODY_BYTES)["kvHandle"])
        except (ValueError, KeyError, TypeError) as error:
            text = (
                f"response with status {response.head.status} has no KV handle:"
                f" {error!r}"
            )
            raise AnswerMissing(text) from error

    def cached_parts(self, upstream: Upstream) -> tuple[PromptPart, ...]:
        """
        Request the list of prompt parts in an engine's KV cache.

        :param upstream: The engine.
        :raises NotSent: If the engine could not be reached.
        :raises AnswerMissing: If the engine returned no valid list.
        """
        reply = self._exchange(upstream, "GET", "/v1/kv-list", KV_LIST_TIMEOUT_SECONDS)
        try:
            return tuple(
                PromptPart(
                    _read_part_id(part_id),
                    read_integer(tokens, maximum=MAX_PART_TOKENS),
                )
                for _, part_id, tokens, *_ in reply.json()["held"]
            )
        except (ValueError, KeyError, TypeError) as error:
            raise AnswerMissing(
                f"malformed list of cached prompt parts with status {reply.status}:"
                f" {error!r}"
            ) from error

    def release_handle(self, upstream: Upstream, handle: str) -> None:
        """
        Free an exported KV cache that will not be fetched.

        :param upstream: The prefill engine that exported the KV cache.
        :param handle: KV handle of the KV cache.
        """
        path = f"/v1/kv-handle/{handle}"
        try:
            self._exchange(upstream, "DELETE", path, KV_HANDLE_DELETE_TIMEOUT_SECONDS)
        except (NotSent, AnswerMissing) as error:
            # The engine frees the KV cache by itself after a few seconds.
            HandleNotReleased(
                upstream_id=upstream.upstream_id,
                reason=str(error),
            ).write()


def _request_headers(
    upstream: Upstream, call: UpstreamCall, now_seconds: float
) -> list[tuple[str, str]]:
    headers = list(call.request.headers)
    remaining_ms = int((call.end_seconds - now_seconds) * _MILLISECONDS_PER_SECOND)
    headers.append((DEADLINE_MS, str(max(remaining_ms, 1))))
    headers.append((EXPECT_INSTANCE, upstream.upstream_id))
    if call.customer_id is not None:
        headers.append((TENANT, call.customer_id))
    if call.request.prompt is not None:
        headers.append((PRIORITY, str(min(max(call.priority, 0), PRIORITY_MAX))))
    if call.last_event_id is not None:
        headers.append((LAST_EVENT_ID, call.last_event_id))
    match call.phase:
        case FullExecution():
            pass
        case PrefillOnly():
            headers.append((SERVING_STAGE, "prefill"))
        case DecodeFromCache(source, handle):
            headers.append((KV_SOURCE, f"{source}/{handle}"))
    return headers


def _read_handle(value: Any) -> str:
    """Check a KV handle, which is sent in headers and paths."""
    if not isinstance(value, str) or not _HANDLE.fullmatch(value):
        raise ValueError("expected 1 to 256 printable ASCII characters")
    return value


def _read_part_id(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"expected the id of a part, got {type(value).__name__}")
    return value


def _declared_bytes(headers: HTTPHeaderDict) -> int | None:
    """Return the length that a response declares; None if it has none."""
    # A response with chunks has no other length, whatever it declares.
    if TRANSFER_ENCODING in headers:
        return None
    value = headers.get(CONTENT_LENGTH, "")
    return int(value) if _LENGTH.fullmatch(value) else None


def _idle_seconds(keep_alive: str) -> float | None:
    found = _KEEP_ALIVE.search(keep_alive)
    return float(found[1]) if found else None
