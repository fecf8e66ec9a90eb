"""Small HTTP servers for questions about the instance."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from attrs import frozen
from cheroot.wsgi import Server

from waxwingwinch._types import Address
from waxwingwinch.gateway._thread_pool import ElasticServer

#: Threads of each server; questions are few and answered at once.
INFO_THREADS_FEWEST = 1
#: The same when many ask together, as callers do after a start.
INFO_THREADS_MOST = 16


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
Answer = Callable[[str, str], InfoReply]


class _QuestionServer(ElasticServer, Server):  # type: ignore[misc]
    """A WSGI server with few threads."""


class InfoServer:
    """
    Answers questions with short replies.

    :param address: Where to listen.
    :param answer: Answers a path with its query.
    """

    def __init__(self, address: Address, answer: Answer) -> None:
        self._answer = answer
        self._server = _QuestionServer(
            (address.host, address.port),
            self._application,
            request_queue_size=64,
            timeout=5,
        )
        self._server.keep_threads(INFO_THREADS_FEWEST, INFO_THREADS_MOST)
        # None means no limit.
        self._server.keep_alive_conn_limit = None  # type: ignore[assignment]

    def start(self) -> None:
        """Listen and serve in threads of its own."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        reply = self._answer(
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
