"""The client of the platform's store."""

import base64
import json
import math
import struct
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

from attrs import define

from waxwingwinch._exceptions import (
    PlatformRefused,
    PlatformUnavailable,
    RecordsExpired,
)
from waxwingwinch._types import Address, LogPage, LogRecord
from waxwingwinch.gateway import AppendConflict, KeyedRecord, KeyedSnapshot
from waxwingwinch.http import AnswerMissing, HttpReply, HttpRequest, NotSent, exchange

#: Longest wait for the answer to a call, besides the time for which the
#: store may hold it. The store answers within a few milliseconds in calm
#: times and may be many times slower.
ANSWER_SECONDS = 1.0
#: Topics with this prefix keep the newest record of each key.
KEYED_PREFIX = "keyed."
#: The topics of the gateway's own have one partition.
PARTITION = 0

_MILLISECONDS_PER_SECOND = 1_000
_LENGTH = struct.Struct(">I")
_PAGE_HEAD = struct.Struct(">QQ")


@define(eq=False)
class PlatformStoreClient:
    """
    Calls the store, each time on a connection of its own.

    A connection that fell silent is thereby given up with its call.

    :param address: The store.
    """

    address: Address

    def append(
        self, topic: str, payloads: Sequence[bytes], at_offset: int | None = None
    ) -> int:
        """
        Append records, all or none.

        :param topic: The topic; made on first use.
        :param payloads: One entry for each record.
        :param at_offset: Append only if the topic ends there.
        :returns: The offset of the first of the records.
        :raises AppendConflict: If the topic does not end at ``at_offset``.
        """
        query: dict[str, object] = {"topic": topic, "part": PARTITION}
        if at_offset is not None:
            query["at"] = at_offset
        body = b"".join(_LENGTH.pack(len(one)) + one for one in payloads)
        reply = self._call("POST", "log-append", query, body)
        answer = _json(reply)
        if reply.status == 412:
            raise AppendConflict(int(answer["end"]))
        return int(answer["offset"])

    def read(self, topic: str, from_offset: int, wait_seconds: float) -> LogPage:
        """
        Read records, waiting for the first if there are none.

        :param topic: The topic.
        :param from_offset: The first wanted offset.
        :param wait_seconds: How long the store may hold the call.
        :raises RecordsExpired: If ``from_offset`` is no longer held.
        """
        query: dict[str, object] = {
            "topic": topic,
            "part": PARTITION,
            "from": from_offset,
        }
        if wait_seconds > 0:
            query["waitMs"] = math.ceil(wait_seconds * _MILLISECONDS_PER_SECOND)
        reply = self._call("GET", "log-read", query, wait_seconds=wait_seconds)
        if reply.status == 410:
            raise RecordsExpired(int(_json(reply)["first"]))
        return _decode_page(reply.body, from_offset)

    def snapshot(self, topic: str) -> KeyedSnapshot:
        """
        Read the newest value of each key of a keyed topic.

        :param topic: The topic.
        """
        records: list[KeyedRecord] = []
        end_offset: int | None = None
        after: str | None = None
        while True:
            query: dict[str, object] = {
                "topic": KEYED_PREFIX + topic,
                "part": PARTITION,
            }
            if after is not None:
                query["after"] = after
            page = _json(self._call("GET", "log-newest", query))
            for item in page["items"]:
                value = base64.b64decode(item["value"])
                records.append(KeyedRecord(item["key"], value, item["offset"]))
            # Pages are read one after the other; changes are read on from
            # the end that the first one saw.
            end_offset = page["end"] if end_offset is None else end_offset
            if not page["hasMore"] or not page["items"]:
                return KeyedSnapshot(tuple(records), end_offset)
            after = page["items"][-1]["key"]

    def changes(
        self, topic: str, from_offset: int, wait_seconds: float
    ) -> KeyedSnapshot:
        """
        Read the records of a keyed topic in order.

        :param topic: The topic.
        :param from_offset: The first wanted offset.
        :param wait_seconds: How long the store may hold the call.
        :raises RecordsExpired: If ``from_offset`` is no longer held.
        """
        page = self.read(KEYED_PREFIX + topic, from_offset, wait_seconds)
        records = tuple(_keyed(record) for record in page.records)
        end_offset = from_offset + len(page.records)
        return KeyedSnapshot(records, end_offset)

    def put(
        self,
        topic: str,
        key: str,
        value: bytes | None,
        at_offset: int | None = None,
    ) -> None:
        """
        Set or drop a key of a keyed topic.

        :param topic: The topic.
        :param key: The key.
        :param value: The value; None drops the key.
        :param at_offset: Write only if the topic ends there; 0 if it holds
            nothing yet.
        :raises AppendConflict: If the topic does not end at ``at_offset``.
        """
        payload = _pack_keyed(key, value or b"")
        self.append(KEYED_PREFIX + topic, [payload], at_offset)

    def _call(
        self,
        method: str,
        name: str,
        query: dict[str, object],
        body: bytes | None = None,
        wait_seconds: float = 0.0,
    ) -> HttpReply:
        request = HttpRequest(method, f"/v1/{name}?{urlencode(query)}", body=body)
        try:
            reply = exchange(self.address, request, wait_seconds + ANSWER_SECONDS)
        except NotSent as error:
            raise PlatformUnavailable(str(error), False) from error
        except AnswerMissing as error:
            raise PlatformUnavailable(str(error), True) from error
        if reply.status in (200, 410, 412):
            return reply
        if reply.status == 503:
            raise PlatformUnavailable(f"{name} was answered 503", False)
        raise PlatformRefused(f"{name} was answered {reply.status}")


def _json(reply: HttpReply) -> Any:
    try:
        return reply.json()
    except ValueError as error:
        raise PlatformUnavailable(f"malformed answer: {error}", True) from error


def _pack_keyed(key: str, value: bytes) -> bytes:
    encoded = key.encode()
    return bytes([len(encoded)]) + encoded + value


def _keyed(record: LogRecord) -> KeyedRecord:
    payload = record.payload
    length = payload[0] if payload else 0
    key = payload[1 : 1 + length].decode("utf-8", "replace")
    return KeyedRecord(key, payload[1 + length :] or None, record.offset)


def _decode_page(body: bytes, from_offset: int) -> LogPage:
    if len(body) < _PAGE_HEAD.size:
        # A read that was held until its time was up may be empty.
        return LogPage(0, from_offset, ())
    end_offset, first_offset = _PAGE_HEAD.unpack_from(body)
    records: list[LogRecord] = []
    position = _PAGE_HEAD.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        payload = body[position : position + length]
        records.append(LogRecord(from_offset + len(records), payload))
        position += length
    return LogPage(first_offset, end_offset, tuple(records))


def encode_json(value: object) -> bytes:
    """
    Encode the body of a call.

    :param value: Plain data.
    """
    return json.dumps(value, separators=(",", ":")).encode()
