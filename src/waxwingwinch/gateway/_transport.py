"""Interface of calls to upstreams, independent of the wire format."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import Address, CustomerId
from waxwingwinch.gateway._connections import Cancellation, UpstreamConnection
from waxwingwinch.gateway._requests import GatewayRequest, PromptPart, ResponseHead
from waxwingwinch.gateway._statements import OnStatements
from waxwingwinch.gateway._upstreams import Upstream


@frozen
class FullExecution:
    """The upstream executes the complete request."""


@frozen
class PrefillOnly:
    """The engine only prefills the prompt and keeps its KV cache."""


@frozen
class DecodeFromCache:
    """
    The engine fetches the KV cache of the prompt and decodes.

    :param source: Address of the engine that prefilled the prompt.
    :param handle: KV handle at that engine.
    """

    source: Address
    handle: str


Phase = FullExecution | PrefillOnly | DecodeFromCache


@frozen
class UpstreamCall:
    """
    A request as it is sent to an upstream.

    :param request: The caller's request.
    :param phase: Phase of the request that the upstream executes.
    :param customer_id: Customer of the request; None on public routes.
    :param priority: 0 is the most urgent.
    :param end_seconds: Monotonic time of the deadline.
    :param last_event_id: The event after which a resumed stream continues.
    :param needs_new_connection: True if no idle connection may be reused,
        since the request could not be retried if it turned out closed.
    :param latest_send_seconds: Monotonic time after which it must not be sent,
        as its permit for a cold upstream has expired; None for any time.
    """

    request: GatewayRequest
    phase: Phase
    customer_id: CustomerId | None
    priority: int
    end_seconds: float
    last_event_id: str | None = None
    needs_new_connection: bool = False
    latest_send_seconds: float | None = None


class OpenCall(Protocol):
    """A call whose response, or the rest of it, is still to be read."""

    def wait(self, timeout_seconds: float) -> bool:
        """
        Wait until a part of the response, or its end, can be read.

        :param timeout_seconds: Longest wait.
        :returns: False if there was none in time; it can still be read.
        :raises AnswerMissing: If the response was truncated.
        """

    def wait_beside(self, later: UpstreamConnection, overlap_seconds: float) -> None:
        """
        Wait for the response on another connection while this call is silent.

        :param later: Connection of a later call of the same request.
        :param overlap_seconds: Longest wait, unless this call breaks off.
        :raises CallDropped: If this call goes on, or neither does.
        """

    def abort(self) -> None:
        """Close the connection, which cancels the request at the upstream."""


class UpstreamResponse(OpenCall, Protocol):
    """A response whose head has been received."""

    @property
    def head(self) -> ResponseHead:
        """Status and headers."""

    def read_some(self, timeout_seconds: float) -> bytes:
        """
        Read the available bytes of the body; wait for at least one.

        :param timeout_seconds: Longest wait.
        :returns: Empty at the end of the body.
        :raises AnswerMissing: If the body was truncated or timed out.
        """

    def read_all(self, timeout_seconds: float) -> bytes:
        """
        Read the complete body of a response that the gateway itself needs.

        :param timeout_seconds: Longest wait.
        :raises AnswerMissing: If the body was truncated, timed out or is not
            short.
        """

    def finish(self) -> None:
        """Release the connection after the complete body was read."""


class PendingCall(OpenCall, Protocol):
    """A call whose response has not been received."""

    def wait_unless(self, silent: "SilentCall") -> None:
        """
        Wait for the response while an earlier call is silent.

        :param silent: The earlier call.
        :raises CallDropped: If the earlier call is preferred; this one stays
            open.
        """

    def receive(self, timeout_seconds: float) -> UpstreamResponse:
        """
        Receive the head of the response.

        :param timeout_seconds: Longest wait.
        :raises AnswerMissing: If no response to this request was received.
        """


@frozen
class SilentCall:
    """
    An earlier call of the same request, open and silent at present.

    :param call: The call.
    :param overlap_seconds: Longest wait for the head of another response
        while the call stays open.
    """

    call: OpenCall
    overlap_seconds: float


class UpstreamTransport(Protocol):
    """
    Sends calls to upstreams.

    :param on_statements: Receives what each answer states about its upstream.
    """

    on_statements: OnStatements

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

        :param upstream: The upstream to send it to.
        :param call: The call to send.
        :param cancellation: Cancels the call.
        :param now_seconds: Monotonic time.
        :param wait_seconds: Longest wait.
        :param silent: An earlier call that is preferred if it goes on before
            the head has arrived.
        :raises NotSent: If no byte of the request left the process.
        :raises AnswerMissing: If no response to this request was received.
        :raises CallDropped: If the earlier call is preferred.
        :raises Cancelled: If it was cancelled before it was sent.
        """

    def send(
        self,
        upstream: Upstream,
        call: UpstreamCall,
        cancellation: Cancellation,
        now_seconds: float,
        wait_seconds: float,
    ) -> PendingCall:
        """
        Send a request without waiting for its response.

        :param upstream: The upstream to send it to.
        :param call: The call to send.
        :param cancellation: Cancels the call.
        :param now_seconds: Monotonic time.
        :param wait_seconds: Longest wait.
        :raises NotSent: If no byte of the request left the process.
        :raises AnswerMissing: If the connection failed meanwhile.
        :raises Cancelled: If it was cancelled before it was sent.
        """

    def read_handle(self, response: UpstreamResponse, timeout_seconds: float) -> str:
        """
        Read the KV handle from the response to :class:`PrefillOnly`.

        :param response: The response.
        :param timeout_seconds: Longest wait.
        :raises AnswerMissing: If the response has no KV handle.
        """

    def cached_parts(self, upstream: Upstream) -> tuple[PromptPart, ...]:
        """
        Ask an engine which parts of prompts are in its KV cache.

        :param upstream: The engine.
        :raises NotSent: If connecting to the engine failed.
        :raises AnswerMissing: If it returned no list.
        """

    def release_handle(self, upstream: Upstream, handle: str) -> None:
        """
        Release a KV cache that will not be fetched.

        :param upstream: The engine that prefilled the prompt.
        :param handle: The KV handle.
        """
