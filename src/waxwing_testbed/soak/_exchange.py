"""One exchange of a caller with an instance, over HTTP."""

import http.client
import json
import socket
import time

from waxwing_testbed.soak._events import Answered, Cut, GaveUp, Kind, Result
from waxwing_testbed.soak._recorder import make_body, make_event
from waxwing_testbed.soak._requests import DEADLINE_SECONDS, EVENTS, SoakRequest
from waxwing_testbed.soak._standins import ZONE
from waxwingwinch.platform.tests.standin import HOST

CALLER_HOST = "shop.example"
_RESOLVE_TIMEOUT_SECONDS = 1.0
_CONNECT_TIMEOUT_SECONDS = 1.0
_PARTS = 8
_PART_PAUSE_SECONDS = 0.03
_READ_BYTES = 65_536
#: Pause after each read of a large answer: some 2 MB a second.
_READ_PAUSE_SECONDS = 0.03


def ask_directory(port: int) -> tuple[list[int], float] | None:
    """
    Return the ports for requests, and how long they may be used.

    :param port: Port of an instance's directory.
    """
    connection = http.client.HTTPConnection(HOST, port, _RESOLVE_TIMEOUT_SECONDS)
    try:
        query = f"name={CALLER_HOST}&region=region&zone={ZONE}"
        connection.request("GET", f"/v1/resolve?{query}")
        response = connection.getresponse()
        body = response.read()
        if response.status != 200:
            return None
        answer = json.loads(body)
        ports = [int(text.rpartition(":")[2]) for text in answer["addresses"]]
        return (ports, float(answer["ttlS"])) if ports else None
    except (OSError, http.client.HTTPException, ValueError, KeyError):
        return None
    finally:
        connection.close()


def connect(port: int) -> http.client.HTTPConnection | None:
    """
    Open a connection; return None if that fails.

    :param port: An instance's port for requests.
    """
    sock = socket.socket()
    # A small window, so that a slow reader holds up its answer.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _READ_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(_CONNECT_TIMEOUT_SECONDS)
    try:
        sock.connect((HOST, port))
    except OSError:
        sock.close()
        return None
    connection = http.client.HTTPConnection(HOST, port)
    connection.sock = sock
    # A connection that the instance has closed isn't opened again unseen.
    connection.auto_open = 0
    return connection


def send_request(
    connection: http.client.HTTPConnection, request: SoakRequest, request_id: str
) -> None:
    """
    Send a whole request.

    :param connection: An open connection.
    :param request: What to send.
    :param request_id: Its id.
    :raises OSError: If the connection fails before the last byte.
    """
    body = make_body(request_id, request.body_bytes)
    try:
        connection.sock.settimeout(DEADLINE_SECONDS)
        connection.putrequest(request.method, request.target, skip_host=True)
        connection.putheader("Host", CALLER_HOST)
        connection.putheader("X-Waxwingwinch-Request-Id", request_id)
        deadline_ms = round(DEADLINE_SECONDS * 1_000)
        connection.putheader("X-Waxwingwinch-Deadline-Ms", str(deadline_ms))
        connection.putheader("X-Waxwingwinch-Key", request.key)
        connection.putheader("Content-Length", str(len(body)))
        if request.kind is not Kind.UPLOAD:
            connection.endheaders(body)
            return
        connection.endheaders()
        step = -(-len(body) // _PARTS)
        for start in range(0, len(body), step):
            time.sleep(_PART_PAUSE_SECONDS)
            connection.send(body[start : start + step])
    except http.client.HTTPException as error:
        raise ConnectionError(repr(error)) from error


def read_answer(
    connection: http.client.HTTPConnection, request: SoakRequest, request_id: str
) -> tuple[Result, str]:
    """
    Read an answer; return it with what is wrong about its body.

    :param connection: The connection of the request.
    :param request: The request.
    :param request_id: Its id.
    """
    status, received = 0, bytearray()
    try:
        connection.sock.settimeout(DEADLINE_SECONDS)
        response = connection.getresponse()
        status = response.status
        while piece := response.read1(_READ_BYTES):
            received += piece
            if request.kind is Kind.DOWNLOAD:
                time.sleep(_READ_PAUSE_SECONDS)
        # http.client closes none that was read in pieces.
        response.close()
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)
    except TimeoutError:
        connection.close()
        return GaveUp(), ""
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        is_noise = type(error) is http.client.BadStatusLine
        flaw = "bytes that are no answer" if is_noise else ""
        flaw = flaw or _flaw(request, request_id, status, bytes(received), False)
        return Cut(status, repr(error)[:200]), flaw
    own_id = response.headers.get("X-Waxwingwinch-Request-Id", request_id)
    stamp = response.headers.get("X-Waxwingwinch-Response-Stamp", "")
    flaw = "" if own_id == request_id else f"the answer to {own_id}"
    flaw = flaw or _flaw(request, request_id, status, bytes(received), True)
    return Answered(status, stamp), flaw


def _flaw(
    request: SoakRequest, request_id: str, status: int, body: bytes, is_complete: bool
) -> str:
    """Return how a success differs from the upstream's; empty if not."""
    if not 200 <= status < 300:
        return ""
    if request.kind is Kind.STREAM:
        numbers = range(1, EVENTS + 1)
        whole = b"".join(make_event(request_id, number) for number in numbers)
    else:
        whole = make_body(request_id, request.answer_bytes)
    if body == whole or (not is_complete and whole.startswith(body)):
        return ""
    same = next(
        (
            place
            for place, pair in enumerate(zip(body, whole, strict=False))
            if pair[0] != pair[1]
        ),
        min(len(body), len(whole)),
    )
    return f"{len(body)} bytes for {len(whole)}, other ones from byte {same}"
