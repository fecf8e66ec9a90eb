"""CherryPy handler that converts WSGI requests and sends replies."""

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
from waxwingwinch.entry._gate import RequestGate, RequestSlot
from waxwingwinch.entry._headers import caller_headers
from waxwingwinch.entry._http import (
    CALLER_REQUEST_ID_HEADER,
    REQUEST_ID_HEADER,
    IncomingRequest,
    Reply,
)
from waxwingwinch.entry._services import EntryServices

#: Paths that bypass the request gate, and so are served during a planned
#: stop and under overload as well.
UNGATED_PATHS = frozenset({"/discovery", "/healthz", "/metrics"})
#: Status of a request whose caller has disconnected and can't receive it.
CLIENT_CLOSED_REQUEST_STATUS = 499
#: Number of random bytes in a request id.
REQUEST_ID_BYTES = 16
#: Largest number of bytes per read of a body.
READ_BYTES = 65_536

Dispatch = Callable[[IncomingRequest], Reply]


class _Readable(Protocol):
    """Source of the body of a request."""

    def read(self, size: int) -> bytes:
        """Read at most ``size`` bytes."""


class _CountedBody:
    """
    Iterates over a streamed body and holds the request's slot until the end.

    :param parts: Parts of the body.
    :param slot: Released at the end of the body, at an error, or when the
        caller has disconnected.
    """

    def __init__(self, parts: Iterator[bytes], slot: RequestSlot) -> None:
        self._parts = parts
        self._slot = slot

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._parts)
        except BaseException:
            self._slot.release()
            raise

    def close(self) -> None:
        """Release the slot; CherryPy calls this if sending fails."""
        try:
            close = getattr(self._parts, "close", None)
            if close is not None:
                close()
        finally:
            self._slot.release()


class EntryRoot:
    """
    CherryPy handler of all paths.

    :param services: Shared services of the entry.
    :param gate: Limits and counts the requests in progress.
    :param deadlines: Limits the time in which a request must be received.
    :param dispatch: Passes a request to the handler of its path.
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
        """Serve a request that CherryPy routes to no other handler."""
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        headers = cherrypy.response.headers
        headers[REQUEST_ID_HEADER] = request_id
        request = self._build_request(request_id)
        caller_request_id_echo = request.caller_request_id()
        if caller_request_id_echo is not None:
            headers[CALLER_REQUEST_ID_HEADER] = caller_request_id_echo
        try:
            return self._serve(request)
        except RequestFailed as error:
            return self._send_error(error, request_id)
        except CallerDisconnected:
            cherrypy.response.status = CLIENT_CLOSED_REQUEST_STATUS
            return b""
        except Exception as fault:
            _log_fault(request_id, fault)
            text = "internal error; it is unknown whether the request ran"
            unknown = RequestFailed(500, ErrorCode.INTERNAL, text, Outcome.UNKNOWN)
            return self._send_error(unknown, request_id)

    def _build_request(self, request_id: str) -> IncomingRequest:
        incoming = cherrypy.serving.request
        environ = incoming.wsgi_environ
        # The path as sent, before CherryPy decodes percent-encoding.
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
            return self._send_reply(self._dispatch(request), None)
        slot = self._gate.acquire()
        try:
            request_with_body = self._with_body(request)
            reply = self._dispatch(request_with_body)
        except BaseException:
            slot.release()
            raise
        return self._send_reply(reply, slot)

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

    def _send_reply(self, reply: Reply, slot: RequestSlot | None) -> Any:
        response = cherrypy.serving.response
        response.status = reply.status
        for name, value in caller_headers(reply.headers):
            response.headers[name] = value
        if isinstance(reply.body, bytes):
            if slot is not None:
                # A planned stop joins the server's threads, one of which sends
                # this body, so the slot can be released before it is sent.
                slot.release()
            return reply.body
        response.stream = True
        if slot is None:
            return reply.body
        return _CountedBody(reply.body, slot)

    def _send_error(self, error: RequestFailed, request_id: str) -> bytes:
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
    :param source: Stream from which the body is read.
    :param limit_bytes: Largest accepted size of the body.
    :raises RequestFailed: If the body is too large, truncated or received
        too slowly.
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
        raise _truncated() from error
    if expected is not None and body.tell() < expected:
        raise _truncated()
    return body.getvalue()


def _too_large(limit_bytes: int) -> RequestFailed:
    text = f"the request body exceeds the limit of {limit_bytes} bytes"
    return RequestFailed(413, ErrorCode.BODY_TOO_LARGE, text)


def _truncated() -> RequestFailed:
    text = "the request body was truncated or not received in time"
    return RequestFailed(408, ErrorCode.BODY_TIMEOUT, text)


def _log_fault(request_id: str, fault: Exception) -> None:
    # Logs code locations only, no values, since these could contain prompts.
    frames = traceback.extract_tb(fault.__traceback__)
    places = [f"{frame.name}:{frame.lineno}" for frame in frames]
    kind = type(fault).__name__
    eliot.log_message("http:fault", request_id=request_id, kind=kind, places=places)


def _error_page(status: str, message: str, **_: object) -> bytes:
    """Return an error of CherryPy in the application's error format."""
    cherrypy.serving.response.headers["Content-Type"] = "application/json"
    number = int(status.split(" ", 1)[0])
    code = ErrorCode.NOT_FOUND if number == 404 else ErrorCode.INVALID_REQUEST
    outcome = Outcome.NOT_RUN
    if number >= 500:
        code, outcome = ErrorCode.INTERNAL, Outcome.UNKNOWN
        message = "internal error"
    request_id = str(cherrypy.serving.response.headers.get(REQUEST_ID_HEADER, ""))
    return RequestFailed(number, code, message, outcome).body(request_id)


def application_configuration(has_operators: bool) -> dict[str, dict[str, Any]]:
    """
    Return the CherryPy configuration of the application.

    :param has_operators: True if ``/operator`` is mounted.
    """
    configuration: dict[str, dict[str, Any]] = {
        "/": {
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "request.show_mismatched_params": False,
            "error_page.default": _error_page,
            "tools.trailing_slash.on": False,
            # The tool wraps a stream of text and never closes it.
            "tools.encode.on": False,
        }
    }
    if has_operators:
        configuration["/operator"] = {
            "request.process_request_body": True,
            "tools.encode.on": True,
        }
    return configuration
