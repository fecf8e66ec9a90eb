"""Dispatch of requests to handlers."""

from collections.abc import Callable
from http import HTTPStatus

from waxwing_testbed.web._messages import (
    ConnectionDropped,
    EventStream,
    Reply,
    Request,
    error_reply,
)

Answer = Reply | EventStream
Handler = Callable[[Request], Answer]


class Router:
    """
    Calls one handler by method and path.

    :param fallback: Handles what no route matches; None to answer 404.
    :param before: Called with each request ahead of its handler.
    """

    def __init__(
        self,
        fallback: Handler | None = None,
        before: Callable[[Request], None] | None = None,
    ) -> None:
        self._routes: dict[tuple[str, str], Handler] = {}
        self._fallback = fallback
        self._before = before

    def add(self, method: str, path: str, handler: Handler) -> None:
        """
        Add a route.

        :param method: HTTP method.
        :param path: The whole path.
        :param handler: Answers the requests.
        """
        self._routes[method, path] = handler

    def answer(self, request: Request) -> Answer:
        """
        Answer one request.

        :param request: The request.
        :raises ConnectionDropped: If the connection is to be cut.
        """
        if self._before is not None:
            self._before(request)
        handler = self._routes.get((request.method, request.path), self._fallback)
        if handler is None:
            return error_reply(HTTPStatus.NOT_FOUND, "not_found", request.path)
        try:
            return handler(request)
        except ConnectionDropped:
            raise
        except Exception as error:
            # Malformed input is answered instead of ending the thread.
            return error_reply(HTTPStatus.BAD_REQUEST, "malformed", repr(error))
