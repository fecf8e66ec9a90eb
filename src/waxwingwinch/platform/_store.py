"""Client of the platform's store."""

import base64
import contextlib
import json
import math
import struct
import threading
from collections.abc import Iterator, Sequence
from typing import Any
from urllib.parse import urlencode

from attrs import define, field, frozen

from waxwingwinch._exceptions import (
    PlatformRefused,
    PlatformUnavailable,
    RecordsExpired,
)
from waxwingwinch._types import Address, LogPage, LogRecord
from waxwingwinch.gateway import (
    MAX_ERA,
    MAX_OFFSET,
    AppendConflict,
    HistoryReplaced,
    KeyedRecord,
    KeyedSnapshot,
    StoreEraMalformed,
    era_of,
    make_position,
    offset_of,
)
from waxwingwinch.http import AnswerMissing, HttpReply, HttpRequest, NotSent, exchange
from waxwingwinch.platform._fields import read_integer, read_list
from waxwingwinch.platform._headers import STORE_ERA

#: Time-out of a call, in addition to the time for which the store may hold a
#: long poll. The store normally responds within a few milliseconds but can be
#: many times slower under load.
RESPONSE_TIMEOUT_SECONDS = 1.0
#: Rate at which the received bytes of an answer prolong this time-out: half of
#: what the slowest links of instances carry (5 Mbit/s), on which the newest
#: records of a topic, up to 1.4 MB in base64, take over two seconds.
MIN_ANSWER_BYTES_PER_SECOND = 300_000.0
#: Largest answer of the store. A read is asked for 1,024 kB of records, and a
#: page of newest records holds 1 MB, a third more in base64; the first record
#: of either may be longer.
MAX_ANSWER_BYTES = 8 * 1_024 * 1_024
#: Prefix of keyed topics, which retain the newest record of each key.
KEYED_TOPIC_PREFIX = "keyed."
#: Partition of all records: the gateway's own topics have a single partition.
PARTITION = 0
#: Maximum length of a malformed header in the logs.
MAX_LOGGED_CHARACTERS = 40
#: Maximum number of digits of an era.
ERA_DIGITS = 9

_MILLISECONDS_PER_SECOND = 1_000
_RECORD_LENGTH = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")


@define(eq=False)
class PlatformStoreClient:
    """
    Calls the store, with a new connection for each call.

    A connection that stops responding therefore affects a single call only.
    Offsets outside this class are positions, which rise when the store returns
    from an older copy.

    :param address: Address of the store.
    """

    address: Address
    _era: int = field(default=0, init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False, repr=False)

    def append(
        self, topic: str, payloads: Sequence[bytes], at_offset: int | None = None
    ) -> int:
        """
        Append records atomically.

        :param topic: The topic; created on first use.
        :param payloads: Payloads of the records.
        :param at_offset: If given, append only if the topic ends at this
            offset.
        :returns: The offset of the first appended record.
        :raises AppendConflict: If the topic does not end at ``at_offset``. If
            the store has returned since, it may have appended the records.
        """
        query: dict[str, object] = {"topic": topic, "part": PARTITION}
        if at_offset is not None:
            query["at"] = offset_of(at_offset)
        body = b"".join(
            _RECORD_LENGTH.pack(len(payload)) + payload for payload in payloads
        )
        reply = self._call("POST", "log-append", query, body)
        with _checked_response():
            result = reply.json()
            if reply.status == 412:
                raise AppendConflict(reply.position(result["end"]))
            offset = reply.position(result["offset"])
            # An empty topic has no history to which the condition could refer.
            if at_offset and era_of(at_offset) != reply.era:
                raise AppendConflict(reply.position(result["end"]))
            return offset

    def read(self, topic: str, from_offset: int, wait_seconds: float) -> LogPage:
        """
        Read records; if there are none yet, wait for the first.

        :param topic: The topic.
        :param from_offset: Offset of the first record to read.
        :param wait_seconds: Maximum time for which the store holds the call
            until there is a record.
        :raises RecordsExpired: If the record at ``from_offset`` has expired.
        """
        query: dict[str, object] = {
            "topic": topic,
            "part": PARTITION,
            "from": offset_of(from_offset),
        }
        if wait_seconds > 0:
            query["waitMs"] = math.ceil(wait_seconds * _MILLISECONDS_PER_SECOND)
        reply = self._call("GET", "log-read", query, wait_seconds=wait_seconds)
        with _checked_response():
            if reply.era != era_of(from_offset):
                # Whether the offset exists again says nothing.
                raise HistoryReplaced(make_position(reply.era, 0))
            if reply.status == 410:
                raise RecordsExpired(reply.position(reply.json()["first"]))
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
                "topic": KEYED_TOPIC_PREFIX + topic,
                "part": PARTITION,
            }
            if after is not None:
                query["after"] = after
            reply = self._call("GET", "log-newest", query)
            with _checked_response():
                page = reply.json()
                items = [_decode_item(item, reply) for item in read_list(page["items"])]
                page_end_offset = reply.position(page["end"])
                has_more = bool(page["hasMore"])
            records += items
            # The topic may grow between pages. Changes are then read from the
            # end offset of the first page, so that none is missed.
            end_offset = page_end_offset if end_offset is None else end_offset
            if era_of(end_offset) != reply.era:
                raise PlatformUnavailable("the store returned during a snapshot", False)
            if not has_more or not items:
                return KeyedSnapshot(tuple(records), end_offset)
            after = items[-1].key

    def changes(
        self, topic: str, from_offset: int, wait_seconds: float
    ) -> KeyedSnapshot:
        """
        Read the records of a keyed topic in order.

        :param topic: The topic.
        :param from_offset: Offset of the first record to read.
        :param wait_seconds: Maximum time for which the store holds the call
            until there is a record.
        :raises RecordsExpired: If the record at ``from_offset`` has expired.
        """
        page = self.read(KEYED_TOPIC_PREFIX + topic, from_offset, wait_seconds)
        records = tuple(_decode_keyed_record(record) for record in page.records)
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
        Set or delete a key of a keyed topic.

        :param topic: The topic.
        :param key: The key.
        :param value: The value; None or an empty value deletes the key.
        :param at_offset: If given, write only if the topic ends at this
            offset; 0 requires an empty topic.
        :raises AppendConflict: If the topic does not end at ``at_offset``.
        """
        payload = _encode_keyed_record(key, value or b"")
        self.append(KEYED_TOPIC_PREFIX + topic, [payload], at_offset)

    def _call(
        self,
        method: str,
        name: str,
        query: dict[str, object],
        body: bytes | None = None,
        wait_seconds: float = 0.0,
    ) -> "_StoreReply":
        request = HttpRequest(method, f"/v1/{name}?{urlencode(query)}", body=body)
        try:
            reply = exchange(
                self.address,
                request,
                wait_seconds + RESPONSE_TIMEOUT_SECONDS,
                max_body_bytes=MAX_ANSWER_BYTES,
                min_bytes_per_second=MIN_ANSWER_BYTES_PER_SECOND,
            )
        except NotSent as error:
            raise PlatformUnavailable(str(error), False) from error
        except AnswerMissing as error:
            raise PlatformUnavailable(str(error), True) from error
        era = self._read_era(reply)
        # ``append`` handles status 412 and ``read`` handles status 410.
        if reply.status in (200, 410, 412):
            return _StoreReply(reply, era)
        if reply.status == 503:
            raise PlatformUnavailable(f"store answered {name} with status 503", False)
        raise PlatformRefused(
            f"store answered {name} with status {reply.status},"
            " expected 200, 410 or 412"
        )

    def _read_era(self, reply: HttpReply) -> int:
        """
        Return the era of a response; the last one if it states none.

        :raises PlatformUnavailable: If the response is from an earlier era.
        """
        value = reply.header(STORE_ERA)
        if value is None:
            return self._era
        is_valid = value.isascii() and value.isdigit() and len(value) <= ERA_DIGITS
        era = int(value) if is_valid else MAX_ERA + 1
        if era > MAX_ERA:
            StoreEraMalformed(value[:MAX_LOGGED_CHARACTERS]).write()
            return self._era
        with self._lock:
            if era < self._era:
                raise PlatformUnavailable(
                    f"response of era {era} after one of era {self._era}", True
                )
            self._era = era
        return era


@frozen
class _StoreReply:
    """
    A response of the store.

    :param reply: The response.
    :param era: Era of the store.
    """

    reply: HttpReply
    era: int

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.reply.status

    @property
    def body(self) -> bytes:
        """The complete body."""
        return self.reply.body

    def json(self) -> Any:
        """Return the body decoded as JSON."""
        return self.reply.json()

    def position(self, offset: Any) -> int:
        """
        Return the position of an offset in the response.

        :param offset: The decoded offset.
        :raises ValueError: If it is not a valid offset.
        """
        return make_position(self.era, read_integer(offset, maximum=MAX_OFFSET))


@contextlib.contextmanager
def _checked_response() -> Iterator[None]:
    """Report a malformed response as one that may have taken effect."""
    try:
        yield
    except (ValueError, KeyError, TypeError) as error:
        raise PlatformUnavailable(
            f"malformed response of the store: {error!r}", True
        ) from error


def _decode_item(item: Any, reply: _StoreReply) -> KeyedRecord:
    key = item["key"]
    if not isinstance(key, str):
        raise ValueError(f"expected a key, got {type(key).__name__}")
    value = base64.b64decode(item["value"], validate=True)
    return KeyedRecord(key, value, reply.position(item["offset"]))


def _encode_keyed_record(key: str, value: bytes) -> bytes:
    encoded = key.encode()
    return bytes([len(encoded)]) + encoded + value


def _decode_keyed_record(record: LogRecord) -> KeyedRecord:
    payload = record.payload
    length = payload[0] if payload else 0
    key = payload[1 : 1 + length].decode("utf-8", "replace")
    return KeyedRecord(key, payload[1 + length :] or None, record.offset)


def _decode_page(body: bytes, from_offset: int) -> LogPage:
    if not body:
        # A long poll timed out without a record.
        return LogPage(0, from_offset, ())
    if len(body) < _PAGE_HEADER.size:
        raise ValueError(f"a page of {len(body)} bytes has no header")
    era = era_of(from_offset)
    end_offset, first_offset = _PAGE_HEADER.unpack_from(body)
    if max(end_offset, first_offset) > MAX_OFFSET:
        raise ValueError(f"a page ends at offset {end_offset}")
    records: list[LogRecord] = []
    position = _PAGE_HEADER.size
    while position < len(body):
        start = position + _RECORD_LENGTH.size
        if start > len(body):
            raise ValueError("a page ends inside the length of a record")
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position = start + length
        if position > len(body):
            raise ValueError("a page ends inside a record")
        records.append(LogRecord(from_offset + len(records), body[start:position]))
    return LogPage(
        make_position(era, first_offset),
        make_position(era, end_offset),
        tuple(records),
    )


def encode_json(value: object) -> bytes:
    """
    Encode the JSON body of a call.

    :param value: A JSON-serializable value.
    """
    return json.dumps(value, separators=(",", ":")).encode()
