"""Plain services, whose calls are relayed as they are."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import Address


@frozen
class PlainCall:
    """
    One call to relay.

    :param request_id: Identifies the call; sent along and expected back.
    :param method: HTTP method.
    :param path: Path and query.
    :param headers: Header names and values; credentials of the caller are
        not among them.
    :param body: Request body.
    :param timeout_seconds: How long to wait for the whole answer.
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
    The whole answer to a call.

    :param status: HTTP status.
    :param headers: Header names and values.
    :param body: Response body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainService(Protocol):
    """Calls plain services."""

    def call(self, address: Address, call: PlainCall) -> PlainAnswer:
        """
        Send one call and wait for the whole answer.

        :param address: The upstream to call.
        :raises UpstreamFailed: With ``Outcome.NOT_RUN`` only if no byte of
            the call was sent, with ``Outcome.UNKNOWN`` if the answer did
            not come, was cut short, or belongs to another request id.
        """

    def is_listening(self, address: Address) -> bool:
        """
        Tell whether an upstream takes connections.

        :param address: The upstream.
        """
