"""Calls to upstreams in the platform's wire format."""

import json
import re

from urllib3 import HTTPResponse

from waxwingwinch.gateway import (
    Cancellation,
    Cancelled,
    ConnectionPool,
    DecodeFromCache,
    FullExecution,
    KvHandleNotReleased,
    PrefillOnly,
    PromptPart,
    ResponseHead,
    Upstream,
    UpstreamCall,
    UpstreamConnection,
    UpstreamResponse,
)
from waxwingwinch.http import AnswerMissing, HttpRequest, NotSent, exchange
from waxwingwinch.kernel import Clock
from waxwingwinch.platform._headers import (
    DEADLINE_MS,
    EXPECT_INSTANCE,
    KV_SOURCE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    ONE_CONNECTION,
    PRIORITY,
    REQUEST_ID,
    RESPONSE_STAMP,
    SERVING_STAGE,
    TENANT,
)

#: Largest priority number that engines know.
PRIORITY_MAX = 9
#: Status of an upstream that is not the expected one.
MISDIRECTED_STATUS = 421
#: Longest wait for the list of what an engine holds.
LIST_SECONDS = 1.0
#: Longest wait when a KV cache is freed.
DROP_SECONDS = 1.0

_MILLISECONDS_PER_SECOND = 1_000
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")


class PlatformAnswer:
    """
    An answer of an upstream whose head has arrived.

    :param pool: Takes the connection back.
    :param name: The upstream's incarnation.
    :param connection: Carries the answer.
    :param response: The head.
    :param cancellation: Aborts the connection.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        name: str,
        connection: UpstreamConnection,
        response: HTTPResponse,
        cancellation: Cancellation,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._name = name
        self._connection = connection
        self._cancellation = cancellation
        self._clock = clock
        headers = response.headers
        self._idle_seconds = _idle_seconds(headers.get("Keep-Alive", ""))
        self._is_kept = headers.get("Connection", "").lower() != "close"
        not_executed = NOT_EXECUTED in headers
        #: Status and headers.
        self.head = ResponseHead(
            status=response.status,
            headers=tuple(
                (key, value)
                for key, value in headers.items()
                if key.lower() not in ONE_CONNECTION
            ),
            request_id=headers.get(REQUEST_ID),
            not_executed=not_executed or response.status == MISDIRECTED_STATUS,
            is_signed=RESPONSE_STAMP in headers,
        )

    def read_some(self, timeout_seconds: float) -> bytes:
        """
        Read what has arrived of the body, waiting for the first byte.

        :param timeout_seconds: Longest wait.
        :returns: Empty at the end of the body.
        :raises AnswerMissing: If the body was cut short or did not come.
        """
        return self._connection.read_some(timeout_seconds)

    def read_all(self, timeout_seconds: float) -> bytes:
        """
        Read the whole body.

        :param timeout_seconds: Longest wait.
        :raises AnswerMissing: If the body was cut short or did not come.
        """
        return self._connection.read_all(timeout_seconds)

    def finish(self) -> None:
        """Give the connection back after the whole body was read."""
        self._cancellation.detach()
        if self._is_kept and self._connection.has_no_unread_data():
            self._pool.put(
                self._name,
                self._connection,
                self._idle_seconds,
                self._clock.now_seconds(),
            )
        else:
            self._connection.close()

    def abort(self) -> None:
        """Close the connection, which ends the work on the request."""
        self._cancellation.detach()
        self._connection.close()


class PlatformTransport:
    """
    Carries calls to upstreams.

    :param clock: Source of the present time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pool = ConnectionPool()

    def open(
        self,
        upstream: Upstream,
        call: UpstreamCall,
        cancellation: Cancellation,
        now_seconds: float,
        wait_seconds: float,
    ) -> UpstreamResponse:
        """
        Send a request and wait for the head of its answer.

        :param upstream: Where to send it.
        :param call: What to send.
        :param cancellation: Ends the call early.
        :param now_seconds: Monotonic time.
        :param wait_seconds: Longest wait.
        :raises NotSent: If no byte of the request left the process.
        :raises AnswerMissing: If no answer to this request came.
        :raises Cancelled: If it was cancelled before it was sent.
        """
        name = f"{upstream.upstream_id}/{upstream.started_ms}"
        connection = None
        if not call.needs_new_connection:
            connection = self._pool.take(name, now_seconds)
        if connection is None:
            connection = UpstreamConnection(upstream.address, wait_seconds)
        try:
            cancellation.attach(connection)
            left_seconds = wait_seconds - (self._clock.now_seconds() - now_seconds)
            if left_seconds <= 0:
                raise NotSent("the time was up before the request was sent")
            response = connection.exchange(
                call.request.method,
                call.request.target,
                _headers(upstream, call, self._clock.now_seconds()),
                call.request.body,
                left_seconds,
            )
            answer = PlatformAnswer(
                self._pool, name, connection, response, cancellation, self._clock
            )
            answered_id = answer.head.request_id
            if answered_id is not None and answered_id != call.request.request_id:
                raise AnswerMissing(f"the answer is to request {answered_id}")
            return answer
        except (AnswerMissing, Cancelled, NotSent):
            cancellation.detach()
            connection.close()
            raise

    def read_handle(self, answer: UpstreamResponse, timeout_seconds: float) -> str:
        """
        Read the name of a KV cache from the answer to a prompt's reading.

        :param answer: The answer.
        :param timeout_seconds: Longest wait.
        :raises AnswerMissing: If there is none.
        """
        try:
            body = answer.read_all(timeout_seconds)
        except AnswerMissing:
            answer.abort()
            raise
        answer.finish()
        try:
            return str(json.loads(body)["kvHandle"])
        except (ValueError, KeyError, TypeError) as error:
            text = f"status {answer.head.status} without a handle: {error!r}"
            raise AnswerMissing(text) from error

    def cached_parts(self, upstream: Upstream) -> tuple[PromptPart, ...]:
        """
        Ask an engine which parts of prompts it holds.

        :param upstream: The engine.
        :raises NotSent: If it could not be reached.
        :raises AnswerMissing: If it gave no list.
        """
        request = HttpRequest(
            "GET", "/v1/kv-list", ((EXPECT_INSTANCE, upstream.upstream_id),)
        )
        reply = exchange(upstream.address, request, LIST_SECONDS)
        try:
            return tuple(
                PromptPart(str(part_id), int(tokens))
                for _, part_id, tokens, *_ in reply.json()["held"]
            )
        except (ValueError, KeyError, TypeError) as error:
            raise AnswerMissing(f"status {reply.status}: {error!r}") from error

    def release_handle(self, upstream: Upstream, handle: str) -> None:
        """
        Free a KV cache that won't be fetched.

        :param upstream: The engine that read the prompt.
        :param handle: Names the KV cache.
        """
        request = HttpRequest(
            "DELETE",
            f"/v1/kv-handle/{handle}",
            ((EXPECT_INSTANCE, upstream.upstream_id),),
        )
        try:
            exchange(upstream.address, request, DROP_SECONDS)
        except (NotSent, AnswerMissing) as error:
            # It lapses by itself after a few seconds.
            KvHandleNotReleased(
                upstream_id=upstream.upstream_id,
                reason=str(error),
            ).write()


def _headers(
    upstream: Upstream, call: UpstreamCall, now_seconds: float
) -> list[tuple[str, str]]:
    headers = list(call.request.headers)
    left_ms = int((call.end_seconds - now_seconds) * _MILLISECONDS_PER_SECOND)
    headers.append((DEADLINE_MS, str(max(left_ms, 1))))
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


def _idle_seconds(keep_alive: str) -> float | None:
    found = _KEEP_ALIVE.search(keep_alive)
    return float(found[1]) if found else None
