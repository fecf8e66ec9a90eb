"""Small HTTP servers for questions about the instance."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from attrs import frozen
from cheroot.wsgi import Server

from waxwingwinch._types import Address
from waxwingwinch.gateway._thread_pool import ElasticThreadPoolMixin

#: Threads of each server; questions are few and answered at once.
INFO_MIN_THREADS = 1
#: The same when many ask together, as callers do after a start.
INFO_MAX_THREADS = 16


@frozen
class InfoReply:
    """
    An answer to a question.

    :param status: HTTP status and reason.
    :param body: The body.
    :param content_type: Its type.
    """

    status: str
    body: bytes = b""
    content_type: str = "application/json"


#: Answers a path with its query.
InfoHandler = Callable[[str, str], InfoReply]


class _InfoWsgiServer(ElasticThreadPoolMixin, Server):  # type: ignore[misc]
    """A WSGI server with few threads."""


class InfoServer:
    """
    Answers questions with short replies.

    :param address: Where to listen.
    :param answer: Answers a path with its query.
    """

    def __init__(self, address: Address, handler: InfoHandler) -> None:
        self._handler = handler
        self._server = _InfoWsgiServer(
            (address.host, address.port),
            self._application,
            request_queue_size=64,
            timeout=5,
        )
        self._server.configure_threads(INFO_MIN_THREADS, INFO_MAX_THREADS)
        # None means no limit.
        self._server.keep_alive_conn_limit = None  # type: ignore[assignment]

    def start(self) -> None:
        """Listen and serve in threads of its own."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        reply = self._handler(
            str(environ.get("PATH_INFO", "/")), str(environ.get("QUERY_STRING", ""))
        )
        start_response(
            reply.status,
            [
                ("Content-Type", reply.content_type),
                ("Content-Length", str(len(reply.body))),
            ],
        )
        return [reply.body]
