"""Interface to plain services, whose calls are relayed unchanged."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import Address


@frozen
class PlainCall:
    """
    One call to relay.

    :param request_id: Identifies the call; sent with it and expected in the
        response.
    :param method: HTTP method.
    :param path: Path and query.
    :param headers: Header names and values, without the caller's credentials.
    :param body: Request body.
    :param timeout_seconds: Longest wait for the complete response.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_seconds: float


@frozen
class PlainAnswer:
    """
    The complete response to a call.

    :param status: HTTP status.
    :param headers: Header names and values.
    :param body: Response body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainService(Protocol):
    """Client of plain services."""

    def call(self, address: Address, call: PlainCall) -> PlainAnswer:
        """
        Send one call and wait for the complete response.

        :param address: The upstream to call.
        :raises UpstreamFailed: With ``Outcome.NOT_RUN`` only if no byte of
            the call was sent, with ``Outcome.UNKNOWN`` if no response was
            received, or it was truncated or belongs to another request id.
        """

    def is_listening(self, address: Address) -> bool:
        """
        Return whether an upstream accepts connections.

        :param address: The upstream.
        """
