"""Requests and answers, apart from how they are spelled on the wire."""

import socket

from attrs import field, frozen


@frozen
class PromptPart:
    """
    A part of a prompt that requests may share.

    :param part_id: Names the part and its content.
    :param tokens: Its length.
    """

    part_id: str
    tokens: int


@frozen
class Prompt:
    """
    What a caller announces about a generation.

    :param model: Name of the model.
    :param input_tokens: Tokens of the whole prompt.
    :param max_output_tokens: Most tokens that are generated.
    :param parts: The parts in order; the last is the request's own.
    """

    model: str
    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_prefix_id(self) -> str:
        """Name the prompt's shared beginning, for affinity."""
        if len(self.parts) > 1:
            return self.parts[-2].part_id
        return self.parts[0].part_id if self.parts else ""


@frozen
class GatewayRequest:
    """
    A request of a caller.

    :param request_id: The caller's name of this attempt.
    :param method: HTTP method.
    :param target: Path and query as the caller wrote them.
    :param path: Path without the query.
    :param host: Host name.
    :param headers: Headers to pass on, names as written.
    :param body: The whole body.
    :param arrived_seconds: Monotonic time at which it was read.
    :param deadline_seconds: Monotonic time at which the caller gives up;
        None if it didn't say.
    :param key: The caller's key, if one came.
    :param prompt: None unless it asks for a generation.
    :param last_event_id: The last event that the caller has, if it resumes.
    :param connection: The caller's socket.
    """

    request_id: str
    method: str
    target: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes = field(repr=False)
    arrived_seconds: float = 0.0
    deadline_seconds: float | None = None
    key: str | None = field(default=None, repr=False)
    prompt: Prompt | None = None
    last_event_id: str | None = None
    connection: socket.socket | None = field(default=None, repr=False)


@frozen
class ResponseHead:
    """
    Status and headers of an upstream's answer.

    :param status: HTTP status.
    :param headers: Headers to pass on to the caller.
    :param request_id: The request that the upstream says it answers.
    :param not_executed: True if the upstream says that it did not run the
        request.
    :param is_signed: True if the upstream signed the answer.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    request_id: str | None
    not_executed: bool
    is_signed: bool

    @property
    def is_success(self) -> bool:
        """Tell whether the status is a success."""
        return 200 <= self.status < 300
