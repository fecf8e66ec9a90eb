"""HTTP servers for the readiness, discovery and metrics of the instance."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from attrs import frozen
from cheroot.wsgi import Server

from waxwingwinch._types import Address
from waxwingwinch.gateway._closing import ClosingMixin
from waxwingwinch.gateway._listening import ListeningMixin
from waxwingwinch.gateway._thread_pool import ElasticThreadPoolMixin

#: Minimum number of threads of each server; requests are rare and handled
#: without waiting.
INFO_MIN_THREADS = 1
#: Maximum number of threads, for requests that arrive together, as those of
#: callers do after a start.
INFO_MAX_THREADS = 16


@frozen
class InfoReply:
    """
    A response of an :class:`InfoServer`.

    :param status: HTTP status code and reason phrase.
    :param body: The body.
    :param content_type: Media type of the body.
    """

    status: str
    body: bytes = b""
    content_type: str = "application/json"


#: Returns the response for a path and a query string.
InfoHandler = Callable[[str, str], InfoReply]


class _InfoWsgiServer(  # type: ignore[misc]
    ClosingMixin, ListeningMixin, ElasticThreadPoolMixin, Server
):
    """A WSGI server with an elastic thread pool."""


class InfoServer:
    """
    Serves short responses about the instance.

    :param address: Address to listen on.
    :param handler: Returns the response for a path and a query string.
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
        """Listen, once the port is free, and serve in background threads."""
        threading.Thread(target=self._run, daemon=True).start()

    def refuse_handshakes(self) -> None:
        """Begin no further handshake; those under way are completed."""
        self._server.refuse_handshakes()

    def stop_listening(self, timeout_seconds: float) -> None:
        """
        Accept what is in the queue, then let the kernel refuse connections.

        :param timeout_seconds: Maximum wait.
        """
        self._server.stop_listening(timeout_seconds)

    def close_idle(self, timeout_seconds: float) -> None:
        """
        Close the connections on which nothing has arrived.

        :param timeout_seconds: Maximum wait.
        """
        self._server.close_idle(timeout_seconds)

    def _run(self) -> None:
        self._server.prepare()
        self._server.serve()

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
