"""Requests and answers of the stand-ins."""

import json
from collections.abc import Generator
from typing import Any
from urllib.parse import parse_qsl

from attrs import frozen

_JSON_HEADERS = (("Content-Type", "application/json"),)


class ConnectionDropped(Exception):
    """Raised by a handler to close the connection without an answer."""


@frozen
class Request:
    """
    One received request.

    :param method: HTTP method.
    :param path: Path without the query.
    :param query: Parameters of the query; the last of equal names.
    :param raw_query: The query as sent.
    :param headers: Header names and values.
    :param body: The body.
    """

    method: str
    path: str
    query: dict[str, str]
    raw_query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @classmethod
    def parse(
        cls,
        method: str,
        path: str,
        raw_query: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> "Request":
        """
        Build a request from its parts.

        :param method: HTTP method.
        :param path: Path without the query.
        :param raw_query: The query as sent.
        :param headers: Header names and values.
        :param body: The body.
        """
        query = dict(parse_qsl(raw_query))
        return cls(method, path, query, raw_query, headers, body)

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)

    def header(self, name: str) -> str:
        """
        Return the value of a header; empty if it is missing.

        :param name: Name in any case.
        """
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""


@frozen
class Reply:
    """
    A whole answer.

    :param status: HTTP status.
    :param body: The body.
    :param headers: Header names and values.
    :param announced_bytes: Announced length, if it isn't the body's.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    announced_bytes: int | None = None


@frozen
class EventStream:
    """
    An answer of server-sent events.

    :param events: Encoded events, none of them empty; closed at the end.
        Raising :class:`ConnectionDropped` cuts the connection.
    """

    events: Generator[bytes, None, None]


def json_reply(
    value: object,
    status: int = 200,
    headers: tuple[tuple[str, str], ...] = (),
) -> Reply:
    """
    Build an answer with a JSON body.

    :param value: The body's value.
    :param status: HTTP status.
    :param headers: Further headers.
    """
    return Reply(status, json.dumps(value).encode(), _JSON_HEADERS + headers)


def error_reply(
    status: int,
    code: str,
    message: str,
    headers: tuple[tuple[str, str], ...] = (),
) -> Reply:
    """
    Build an error answer.

    :param status: HTTP status.
    :param code: What programs look at.
    :param message: What people read.
    :param headers: Further headers.
    """
    value = {"error": {"code": code, "message": message}}
    return json_reply(value, status, headers)
