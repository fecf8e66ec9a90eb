"""The operators' interface as a CherryPy application."""

from http import HTTPStatus
from typing import Any

import cherrypy
import eliot

from waxwingwinch.configuration import Finding
from waxwingwinch.kernel import Clock
from waxwingwinch.operators_api._messages import FindingsView, write_body
from waxwingwinch.operators_api._requests import (
    ApiAnswer,
    ApiRequest,
    OperatorRequests,
)

#: Largest accepted body.
MAX_BODY_BYTES = 16 * 1_024 * 1_024
#: Start of the header that carries a token.
BEARER_PREFIX = "bearer "


class OperatorApi:
    """
    Maps HTTP to the requests; mounted at ``/operator``.

    :param requests: Answers the requests.
    :param clock: Source of the present time.
    """

    def __init__(self, requests: OperatorRequests, clock: Clock) -> None:
        self._requests = requests
        self._clock = clock

    @cherrypy.expose  # type: ignore[untyped-decorator]
    def default(self, *path: str, name: str = "", **query: Any) -> bytes:
        """
        Answer any path below the mount point.

        :param path: Segments of the path.
        :param name: What a question is about.
        :param query: Other parameters, which are ignored.
        """
        operator = self._requests.find_operator(_bearer_token())
        if operator is None:
            return _write(_unauthorized())
        body = _read()
        if body is None:
            finding = Finding("body", f"is larger than {MAX_BODY_BYTES} bytes")
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return _write(ApiAnswer(status, FindingsView((finding,))))
        request = ApiRequest(cherrypy.request.method, "/".join(path), name, body)
        answer = self._requests.answer(request, operator, self._clock.now_seconds())
        eliot.log_message(
            "operator:request",
            operator=operator,
            method=request.method,
            path=request.path,
            status=int(answer.status),
        )
        return _write(answer)


def _bearer_token() -> str:
    header = cherrypy.request.headers.get("Authorization", "")
    if not header.lower().startswith(BEARER_PREFIX):
        return ""
    return str(header[len(BEARER_PREFIX) :].strip())


def _read() -> bytes | None:
    if cherrypy.request.method not in ("POST", "PUT"):
        return b""
    # One byte more than allowed tells whether there is more.
    body = cherrypy.request.body.read(MAX_BODY_BYTES + 1)
    return None if len(body) > MAX_BODY_BYTES else bytes(body)


def _unauthorized() -> ApiAnswer:
    cherrypy.response.headers["WWW-Authenticate"] = "Bearer"
    finding = Finding("Authorization", "an operator's token is needed")
    return ApiAnswer(HTTPStatus.UNAUTHORIZED, FindingsView((finding,)))


def _write(answer: ApiAnswer) -> bytes:
    cherrypy.response.status = int(answer.status)
    cherrypy.response.headers["Content-Type"] = "application/json"
    return write_body(answer.body)
