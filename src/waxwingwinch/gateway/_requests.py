"""Requests and response heads, independent of the wire format."""

import socket

from attrs import evolve, field, frozen

from waxwingwinch.gateway._memory_account import Reservation, unbounded_reservation


@frozen
class PromptPart:
    """
    A part of a prompt that requests may share.

    :param part_id: Identifies the part and its content.
    :param tokens: Length of the part in tokens.
    """

    part_id: str
    tokens: int


@frozen
class Prompt:
    """
    The prompt of a generation, as declared by the caller.

    :param model: Name of the model.
    :param input_tokens: Length of the complete prompt in tokens.
    :param max_output_tokens: Maximum number of generated tokens.
    :param parts: The parts in order; the last is specific to the request.
    """

    model: str
    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_prefix_id(self) -> str:
        """Identifies the shared prefix of the prompt, for cache affinity."""
        if len(self.parts) > 1:
            return self.parts[-2].part_id
        return self.parts[0].part_id if self.parts else ""


@frozen
class GatewayRequest:
    """
    A request of a caller.

    :param request_id: Id that the caller gave to this attempt.
    :param method: HTTP method.
    :param target: Path and query as the caller wrote them.
    :param path: Path without the query.
    :param host: Host name that the request is addressed to.
    :param headers: Headers to forward, names as written.
    :param body: The complete body.
    :param arrived_seconds: Monotonic time at which the request was read.
    :param deadline_seconds: Monotonic time at which the caller times out;
        None if the caller sent no deadline.
    :param key: The caller's key; None if the caller sent none.
    :param prompt: None unless the request asks for a generation.
    :param last_event_id: The last event that the caller received, if it
        resumes a stream.
    :param connection: The caller's socket.
    :param reservation: The memory that the request and its answer hold.
    """

    request_id: str
    method: str
    target: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes | bytearray = field(repr=False)
    arrived_seconds: float = 0.0
    deadline_seconds: float | None = None
    key: str | None = field(default=None, repr=False)
    prompt: Prompt | None = None
    last_event_id: str | None = None
    connection: socket.socket | None = field(default=None, repr=False)
    reservation: Reservation = field(
        factory=unbounded_reservation, eq=False, repr=False
    )

    def with_body(
        self, body: bytes | bytearray, now_seconds: float
    ) -> "GatewayRequest":
        """
        Return the request once its body has arrived, from when its time runs.

        :param body: The complete body.
        :param now_seconds: Monotonic time.
        """
        deadline_seconds = self.deadline_seconds
        if deadline_seconds is not None:
            deadline_seconds += now_seconds - self.arrived_seconds
        return evolve(
            self,
            body=body,
            arrived_seconds=now_seconds,
            deadline_seconds=deadline_seconds,
        )


@frozen
class ResponseHead:
    """
    Status and headers of an upstream's response.

    :param status: HTTP status.
    :param headers: Headers to forward to the caller.
    :param request_id: Id of the request according to the response; None if
        the response has none.
    :param not_executed: True if the upstream states that it did not execute
        the request.
    :param is_signed: True if the upstream signed the response.
    :param is_framed: True if the response states where its body ends; a body
        without framing ends with its connection.
    :param body_bytes: Length that the response declares, also if it has no
        body, as one to HEAD; None if it declares none.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    request_id: str | None
    not_executed: bool
    is_signed: bool
    is_framed: bool = True
    body_bytes: int | None = None

    @property
    def media_type(self) -> str | None:
        """Media type of the body; None if the response states none."""
        for name, value in self.headers:
            if name.lower() == "content-type":
                return value.partition(";")[0].strip().lower()
        return None

    @property
    def is_success(self) -> bool:
        """Tell whether the status is 2xx."""
        return 200 <= self.status < 300
