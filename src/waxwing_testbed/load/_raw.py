"""Requests that no well-behaved caller would send."""

import json
import socket

import urllib3
from attrs import frozen

from waxwingwinch._types import Address

#: How long an answer may take; longer than a slow request is waited for.
ANSWER_TIMEOUT_SECONDS = 30.0
_READ_BYTES = 65_536


@frozen
class RawRequest:
    """
    A request as a caller may write it.

    :param method: HTTP method.
    :param path: Path and query.
    :param body: The body.
    :param headers: Header names and values.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@frozen
class RawAnswer:
    """
    What came back.

    :param status: HTTP status; 0 if none came.
    :param outcome: From the error; empty without one.
    :param code: From the error; empty without one.
    :param body: The whole body.
    """

    status: int
    outcome: str
    code: str
    body: bytes


def send_raw(address: Address, request: RawRequest) -> RawAnswer:
    """
    Send a request and wait for the whole answer.

    :param address: The instance.
    :param request: What to send.
    """
    try:
        answer = urllib3.request(
            request.method,
            f"http://{address}{request.path}",
            body=request.body,
            headers=dict(request.headers),
            timeout=ANSWER_TIMEOUT_SECONDS,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return RawAnswer(0, "", "", b"")
    return _answer(answer.status, answer.data)


def send_bytes(address: Address, payload: bytes) -> RawAnswer:
    """
    Send bytes and read until the instance closes the connection.

    :param address: The instance.
    :param payload: What to send; the connection then stays open.
    """
    target = (address.host, address.port)
    received = bytearray()
    with socket.create_connection(target, ANSWER_TIMEOUT_SECONDS) as connection:
        try:
            connection.sendall(payload)
            while part := connection.recv(_READ_BYTES):
                received += part
        except (ConnectionError, TimeoutError):
            pass
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    status = int(words[1]) if len(words) > 1 and words[1].isdigit() else 0
    return _answer(status, body)


def _answer(status: int, body: bytes) -> RawAnswer:
    try:
        error = json.loads(body)["error"]
        return RawAnswer(status, str(error["outcome"]), str(error["code"]), body)
    except (ValueError, KeyError, TypeError):
        return RawAnswer(status, "", "", body)
