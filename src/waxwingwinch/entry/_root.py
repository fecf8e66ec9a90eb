"""The CherryPy side: from a WSGI request to a reply and back."""

import io
import secrets
import traceback
from collections.abc import Callable, Iterator
from typing import Any, Protocol
from urllib.parse import urlsplit

import cherrypy
import eliot
from cheroot.errors import MaxSizeExceeded

from waxwingwinch._exceptions import Outcome
from waxwingwinch.entry._callers import CallerDisconnected
from waxwingwinch.entry._connections import SOCKET_KEY, ReadDeadlines
from waxwingwinch.entry._errors import ErrorCode, RequestFailed
from waxwingwinch.entry._gate import RequestGate, RequestPass
from waxwingwinch.entry._headers import caller_headers
from waxwingwinch.entry._http import (
    CALLER_REQUEST_ID_HEADER,
    REQUEST_ID_HEADER,
    IncomingRequest,
    Reply,
)
from waxwingwinch.entry._services import EntryServices

#: Paths that are served during a planned stop as well.
UNGATED_PATHS = frozenset({"/discovery", "/healthz", "/metrics"})
#: Status of a request whose caller has gone; nobody sees it.
CALLER_GONE_STATUS = 499
#: Bytes of a request id.
REQUEST_ID_BYTES = 16
#: Size of one read of a body.
READ_BYTES = 65_536

Dispatch = Callable[[IncomingRequest], Reply]


class _Readable(Protocol):
    """What carries the body of a request."""

    def read(self, size: int) -> bytes:
        """Read at most so many bytes."""


class _CountedBody:
    """
    Iterates over a streamed body and counts the request until its end.

    :param parts: The parts.
    :param request_pass: Released at the end, or when the caller has gone.
    """

    def __init__(self, parts: Iterator[bytes], request_pass: RequestPass) -> None:
        self._parts = parts
        self._pass = request_pass

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._parts)
        except BaseException:
            self._pass.release()
            raise

    def close(self) -> None:
        """End the request; CherryPy calls this when sending fails."""
        try:
            close = getattr(self._parts, "close", None)
            if close is not None:
                close()
        finally:
            self._pass.release()


class EntryRoot:
    """
    The CherryPy handler of all paths.

    :param services: The services of the entry.
    :param gate: Counts the requests under way.
    :param deadlines: Bounds the time in which a request arrives.
    :param dispatch: Serves a request.
    :param operators: A CherryPy handler for ``/operator``, if any.
    """

    def __init__(
        self,
        services: EntryServices,
        gate: RequestGate,
        deadlines: ReadDeadlines,
        dispatch: Dispatch,
        operators: object | None,
    ) -> None:
        self._services = services
        self._gate = gate
        self._deadlines = deadlines
        self._dispatch = dispatch
        self.operators_mounted = operators is not None
        if operators is not None:
            self.operator = operators

    @cherrypy.expose  # type: ignore[untyped-decorator]
    def default(self, *_: str, **__: object) -> Any:
        """Serve a request."""
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        headers = cherrypy.response.headers
        headers[REQUEST_ID_HEADER] = request_id
        request = self._incoming(request_id)
        echoed = request.caller_request_id()
        if echoed is not None:
            headers[CALLER_REQUEST_ID_HEADER] = echoed
        try:
            return self._serve(request)
        except RequestFailed as error:
            return self._answer_error(error, request_id)
        except CallerDisconnected:
            cherrypy.response.status = CALLER_GONE_STATUS
            return b""
        except Exception as fault:
            _log_fault(request_id, fault)
            text = "an internal fault; whether the request ran is not known"
            unknown = RequestFailed(500, ErrorCode.INTERNAL, text, Outcome.UNKNOWN)
            return self._answer_error(unknown, request_id)

    def _incoming(self, request_id: str) -> IncomingRequest:
        incoming = cherrypy.serving.request
        environ = incoming.wsgi_environ
        # The path as written, before CherryPy resolves escapes.
        uri = urlsplit(environ.get("REQUEST_URI", incoming.path_info))
        return IncomingRequest(
            request_id=request_id,
            method=incoming.method,
            path=uri.path or "/",
            query=uri.query,
            headers={name.lower(): value for name, value in incoming.headers.items()},
            arrived_seconds=self._services.clock.now_seconds(),
            connection=environ.get(SOCKET_KEY),
        )

    def _serve(self, request: IncomingRequest) -> Any:
        if request.path in UNGATED_PATHS:
            self._deadlines.end(request.connection)
            return self._answer(self._dispatch(request), None)
        request_pass = self._gate.enter()
        try:
            complete = self._with_body(request)
            reply = self._dispatch(complete)
        except BaseException:
            request_pass.release()
            raise
        return self._answer(reply, request_pass)

    def _with_body(self, request: IncomingRequest) -> IncomingRequest:
        limit_bytes = self._services.configuration.current().defaults.max_body_bytes
        body = read_body(request, cherrypy.serving.request.rfile, limit_bytes)
        self._deadlines.end(request.connection)
        return IncomingRequest(
            request_id=request.request_id,
            method=request.method,
            path=request.path,
            query=request.query,
            headers=request.headers,
            body=body,
            arrived_seconds=request.arrived_seconds,
            connection=request.connection,
        )

    def _answer(self, reply: Reply, request_pass: RequestPass | None) -> Any:
        response = cherrypy.serving.response
        response.status = reply.status
        for name, value in caller_headers(reply.headers):
            response.headers[name] = value
        if isinstance(reply.body, bytes):
            if request_pass is not None:
                # The bytes that are left are sent by the server's thread,
                # which a planned stop joins.
                request_pass.release()
            return reply.body
        response.stream = True
        if request_pass is None:
            return reply.body
        return _CountedBody(reply.body, request_pass)

    def _answer_error(self, error: RequestFailed, request_id: str) -> bytes:
        response = cherrypy.serving.response
        response.status = error.status
        response.headers["Content-Type"] = "application/json"
        for name, value in error.headers():
            response.headers[name] = value
        return error.body(request_id)


def read_body(request: IncomingRequest, source: _Readable, limit_bytes: int) -> bytes:
    """
    Read the body of a request.

    :param request: The request without its body.
    :param source: Gives the bytes.
    :param limit_bytes: Largest accepted body.
    :raises RequestFailed: If it is too large, cut short or comes too slowly.
    """
    length = request.header("Content-Length")
    expected = int(length) if length is not None and length.isdigit() else None
    if expected is not None and expected > limit_bytes:
        raise _too_large(limit_bytes)
    if expected is None and "transfer-encoding" not in request.headers:
        return b""
    body = io.BytesIO()
    try:
        while part := source.read(READ_BYTES):
            body.write(part)
            if body.tell() > limit_bytes:
                raise _too_large(limit_bytes)
    except MaxSizeExceeded as error:
        raise _too_large(limit_bytes) from error
    except (OSError, ValueError) as error:
        raise _cut_short() from error
    if expected is not None and body.tell() < expected:
        raise _cut_short()
    return body.getvalue()


def _too_large(limit_bytes: int) -> RequestFailed:
    text = f"the body may have at most {limit_bytes} bytes"
    return RequestFailed(413, ErrorCode.BODY_TOO_LARGE, text)


def _cut_short() -> RequestFailed:
    text = "the body did not arrive whole in time"
    return RequestFailed(408, ErrorCode.BODY_TIMEOUT, text)


def _log_fault(request_id: str, fault: Exception) -> None:
    # Only places, no values: these could hold prompts.
    frames = traceback.extract_tb(fault.__traceback__)
    places = [f"{frame.name}:{frame.lineno}" for frame in frames]
    kind = type(fault).__name__
    eliot.log_message("http:fault", request_id=request_id, kind=kind, places=places)


def _error_page(status: str, message: str, **_: object) -> bytes:
    """Return CherryPy's own errors in the usual shape."""
    cherrypy.serving.response.headers["Content-Type"] = "application/json"
    number = int(status.split(" ", 1)[0])
    code = ErrorCode.NOT_FOUND if number == 404 else ErrorCode.INVALID_REQUEST
    outcome = Outcome.NOT_RUN
    if number >= 500:
        code, outcome = ErrorCode.INTERNAL, Outcome.UNKNOWN
        message = "an internal fault"
    request_id = str(cherrypy.serving.response.headers.get(REQUEST_ID_HEADER, ""))
    return RequestFailed(number, code, message, outcome).body(request_id)


def application_configuration(has_operators: bool) -> dict[str, dict[str, Any]]:
    """
    Return CherryPy's configuration of the application.

    :param has_operators: True if ``/operator`` is mounted.
    """
    configuration: dict[str, dict[str, Any]] = {
        "/": {
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "request.show_mismatched_params": False,
            "error_page.default": _error_page,
            "tools.trailing_slash.on": False,
        }
    }
    if has_operators:
        configuration["/operator"] = {"request.process_request_body": True}
    return configuration
