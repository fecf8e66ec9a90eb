"""
Repeated reads over connections that are kept open.

A read has no effect, so it may be sent again on a new connection when a kept
one turns out to be closed. Calls with an effect never come here.
"""

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
)

from waxwingwinch._types import Address
from waxwingwinch.http import (
    CONNECT_TIMEOUT_SECONDS,
    MAX_BODY_BYTES,
    AnswerMalformed,
    AnswerMissing,
    CheckedPools,
    HttpReply,
    HttpRequest,
    NotSent,
)

#: Servers to which connections are kept.
MAX_SERVERS = 256
#: Connections kept to one server, one for each polling thread.
MAX_CONNECTIONS_PER_SERVER = 32

_POOLS = CheckedPools(
    num_pools=MAX_SERVERS, maxsize=MAX_CONNECTIONS_PER_SERVER, retries=False
)


def poll(address: Address, request: HttpRequest, timeout_seconds: float) -> HttpReply:
    """
    Send a request without effect and read the whole answer.

    :param address: The server.
    :param request: What to read.
    :param timeout_seconds: Longest wait for each step.
    :raises NotSent: If no connection was made.
    :raises AnswerMalformed: If the answer violates the grammar of HTTP.
    :raises AnswerMissing: If the whole answer did not come.
    """
    try:
        return _poll_once(address, request, timeout_seconds)
    except (NewConnectionError, ConnectTimeoutError) as error:
        raise NotSent(f"{address}: {error}") from error
    except ProtocolError:
        # Most likely the server closed the kept connection meanwhile.
        return _poll_again(address, request, timeout_seconds)
    except (HTTPError, OSError, ValueError) as error:
        raise AnswerMissing(f"{address}: {error!r}") from error


def _poll_again(
    address: Address, request: HttpRequest, timeout_seconds: float
) -> HttpReply:
    try:
        return _poll_once(address, request, timeout_seconds)
    except (HTTPError, OSError, ValueError) as error:
        raise AnswerMissing(f"{address}: {error!r}") from error


def _poll_once(
    address: Address, request: HttpRequest, timeout_seconds: float
) -> HttpReply:
    connect_seconds = min(CONNECT_TIMEOUT_SECONDS, timeout_seconds)
    try:
        response = _POOLS.request(
            request.method,
            f"http://{address}{request.path}",
            headers=dict(request.headers),
            timeout=urllib3.Timeout(connect=connect_seconds, read=timeout_seconds),
            preload_content=False,
            decode_content=False,
        )
        body = response.read(MAX_BODY_BYTES + 1)
    except AnswerMalformed as error:
        raise AnswerMalformed(f"{address}: {error}") from error
    if len(body) > MAX_BODY_BYTES:
        response.close()
        raise AnswerMissing(f"{address}: body too long")
    # The body was read to its end, so the connection can be used again.
    response.release_conn()
    return HttpReply(response.status, tuple(response.headers.items()), body)
