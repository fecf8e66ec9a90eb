"""Wire format of the append-only log."""

import base64
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

from waxwingwinch._exceptions import PlatformUnavailable, RecordsExpired
from waxwingwinch._types import Address, LogPage, LogRecord
from waxwingwinch.adapters._calls import (
    STATUS_GONE,
    json_request,
    platform_exchange,
    platform_poll,
    platform_value,
)

APPEND_PATH = "/log/append"
READ_PATH = "/log/records"


class HttpPlatformLog:
    """
    The platform's log over HTTP; payloads are base64 in JSON.

    :param address: Where the platform serves.
    """

    def __init__(self, address: Address) -> None:
        self._address = address

    def append(
        self, stream: str, payloads: Sequence[bytes], timeout_seconds: float
    ) -> int:
        """Append records, see ``PlatformLog`` in the interfaces."""
        encoded = [base64.b64encode(payload).decode() for payload in payloads]
        body = {"stream": stream, "payloads": encoded}
        request = json_request("POST", APPEND_PATH, body)
        reply = platform_exchange(self._address, request, timeout_seconds)
        value = platform_value(reply)
        try:
            return int(value["first_offset"])
        except (KeyError, TypeError, ValueError) as error:
            raise _malformed(error) from error

    def read(
        self, stream: str, from_offset: int, wait_seconds: float, timeout_seconds: float
    ) -> LogPage:
        """Read records, see ``PlatformLog`` in the interfaces."""
        query = urlencode(
            {"stream": stream, "from": from_offset, "wait_seconds": wait_seconds}
        )
        request = json_request("GET", f"{READ_PATH}?{query}")
        reply = platform_poll(self._address, request, timeout_seconds)
        try:
            if reply.status == STATUS_GONE:
                raise RecordsExpired(int(reply.json()["first_offset"]))
            return _page(platform_value(reply), from_offset)
        except (KeyError, TypeError, ValueError) as error:
            raise _malformed(error) from error


def _page(value: Any, from_offset: int) -> LogPage:
    """
    Read a page and check that its records are the ones asked for.

    :raises ValueError: If an offset is out of place.
    """
    records = tuple(
        LogRecord(int(row["offset"]), base64.b64decode(row["payload"], validate=True))
        for row in value["records"]
    )
    for position, record in enumerate(records):
        if record.offset != from_offset + position:
            raise ValueError(f"record {record.offset} is out of place")
    return LogPage(int(value["first_offset"]), int(value["end_offset"]), records)


def _malformed(error: Exception) -> PlatformUnavailable:
    return PlatformUnavailable(
        f"malformed answer: {error!r}", may_have_taken_effect=True
    )
