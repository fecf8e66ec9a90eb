"""Wire format of plain services: HTTP as it came."""

import socket

from waxwingwinch._exceptions import Outcome, UpstreamFailed
from waxwingwinch._types import Address
from waxwingwinch.adapters._calls import upstream_exchange
from waxwingwinch.http import CONNECT_TIMEOUT_SECONDS, HttpReply, HttpRequest
from waxwingwinch.interfaces import PlainAnswer, PlainCall

REQUEST_ID_HEADER = "X-Request-Id"

#: Headers that belong to one connection and are not passed on.
_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        # The body is sent at once.
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        REQUEST_ID_HEADER.lower(),
    }
)
#: Statuses whose answers have no body.
_BODILESS_STATUSES = frozenset({204, 304})


class HttpPlainService:
    """Relays calls to plain services, each on its own connection."""

    def call(self, address: Address, call: PlainCall) -> PlainAnswer:
        """Send a call, see ``PlainService`` in the interfaces."""
        headers = (
            *_end_to_end(call.headers),
            (REQUEST_ID_HEADER, call.request_id),
        )
        body = call.body or None
        request = HttpRequest(call.method, call.path, headers, body)
        reply = upstream_exchange(address, request, call.timeout_seconds)
        _check_answer(call, reply)
        return PlainAnswer(reply.status, _end_to_end(reply.headers), reply.body)

    def is_listening(self, address: Address) -> bool:
        """Try to connect, see ``PlainService`` in the interfaces."""
        target = (address.host, address.port)
        try:
            with socket.create_connection(target, CONNECT_TIMEOUT_SECONDS):
                return True
        except OSError:
            return False


def _end_to_end(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that don't belong to one connection."""
    dropped = set(_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(option.strip().lower() for option in value.split(","))
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def _check_answer(call: PlainCall, reply: HttpReply) -> None:
    """
    Check that the answer is whole and belongs to the call.

    :raises UpstreamFailed: If it doesn't.
    """
    answered_id = reply.header(REQUEST_ID_HEADER)
    if answered_id != call.request_id:
        raise UpstreamFailed(
            f"answer to {answered_id!r} instead of {call.request_id!r}",
            Outcome.UNKNOWN,
        )
    if call.method == "HEAD" or reply.status in _BODILESS_STATUSES:
        return
    chunked = "chunked" in (reply.header("Transfer-Encoding") or "").lower()
    if not chunked and reply.header("Content-Length") is None:
        # Such a body ends with the connection, so a cut looks like its end.
        raise UpstreamFailed("answer of unknown length", Outcome.UNKNOWN)
