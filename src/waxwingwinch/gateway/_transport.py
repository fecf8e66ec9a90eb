"""What the gateway asks of upstreams, apart from the wire format."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import Address, CustomerId
from waxwingwinch.gateway._connections import Cancellation
from waxwingwinch.gateway._requests import GatewayRequest, PromptPart, ResponseHead
from waxwingwinch.gateway._upstreams import Upstream


@frozen
class FullExecution:
    """The upstream runs the whole request."""


@frozen
class PrefillOnly:
    """The engine only reads the prompt and keeps its KV cache."""


@frozen
class DecodeFromCache:
    """
    The engine fetches the KV cache of the prompt and runs the request.

    :param source: The engine that read the prompt.
    :param handle: Names the KV cache there.
    """

    source: Address
    handle: str


Phase = FullExecution | PrefillOnly | DecodeFromCache


@frozen
class UpstreamCall:
    """
    A request as it goes to an upstream.

    :param request: The caller's request.
    :param phase: What the upstream does.
    :param customer_id: Whose request it is; None on public routes.
    :param priority: 0 is the most urgent.
    :param end_seconds: Monotonic time at which the work loses its purpose.
    :param last_event_id: The event after which a stream goes on.
    :param needs_new_connection: True if a request whose connection turns out
        to be closed could not be repeated.
    """

    request: GatewayRequest
    phase: Phase
    customer_id: CustomerId | None
    priority: int
    end_seconds: float
    last_event_id: str | None = None
    needs_new_connection: bool = False


class UpstreamResponse(Protocol):
    """An answer whose head has arrived."""

    @property
    def head(self) -> ResponseHead:
        """Status and headers."""

    def read_some(self, timeout_seconds: float) -> bytes:
        """
        Read what has arrived of the body, waiting for the first byte.

        :param timeout_seconds: Longest wait.
        :returns: Empty at the end of the body.
        :raises AnswerMissing: If the body was cut short or did not come.
        """

    def read_all(self, timeout_seconds: float) -> bytes:
        """
        Read the whole body.

        :param timeout_seconds: Longest wait.
        :raises AnswerMissing: If the body was cut short or did not come.
        """

    def finish(self) -> None:
        """Give the connection back after the whole body was read."""

    def abort(self) -> None:
        """Close the connection, which ends the work on the request."""


class UpstreamTransport(Protocol):
    """Carries calls to upstreams."""

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

    def read_handle(self, answer: UpstreamResponse, timeout_seconds: float) -> str:
        """
        Read the name of a KV cache from the answer to :class:`ReadPrompt`.

        :param answer: The answer.
        :param timeout_seconds: Longest wait.
        :raises AnswerMissing: If there is none.
        """

    def cached_parts(self, upstream: Upstream) -> tuple[PromptPart, ...]:
        """
        Ask an engine which parts of prompts it holds.

        :param upstream: The engine.
        :raises NotSent: If it could not be reached.
        :raises AnswerMissing: If it gave no list.
        """

    def release_handle(self, upstream: Upstream, handle: str) -> None:
        """
        Free a KV cache that won't be fetched.

        :param upstream: The engine that read the prompt.
        :param handle: Names the KV cache.
        """
