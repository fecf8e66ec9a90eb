"""Small HTTP servers, many to a process, whose connections can be cut."""

from waxwing_testbed.web._messages import (
    ConnectionDropped,
    EventStream,
    Reply,
    Request,
    error_reply,
    json_reply,
)
from waxwing_testbed.web._router import Handler, Router
from waxwing_testbed.web._server import WebServer

__all__ = [
    "ConnectionDropped",
    "EventStream",
    "Handler",
    "Reply",
    "Request",
    "Router",
    "WebServer",
    "error_reply",
    "json_reply",
]
