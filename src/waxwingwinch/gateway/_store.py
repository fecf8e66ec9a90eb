"""What the gateway asks of the platform's store, apart from the wire."""

from collections.abc import Sequence
from typing import Protocol

from attrs import field, frozen

from waxwingwinch._exceptions import WaxwingError
from waxwingwinch._types import LogPage
from waxwingwinch.codec import message


class AppendConflict(WaxwingError):
    """
    The topic does not end where the append expected.

    :param end_offset: Where it ends.
    """

    def __init__(self, end_offset: int) -> None:
        super().__init__(f"the topic ends at offset {end_offset}")
        #: Where it ends.
        self.end_offset = end_offset


@message("gateway_keyed_record", is_positional=True)
@frozen
class KeyedRecord:
    """
    The newest value of a key.

    :param key: The key.
    :param value: The value; None if the key was dropped.
    :param offset: Position of the record in its topic.
    """

    key: str
    value: bytes | None = field(repr=False)
    offset: int


@frozen
class KeyedSnapshot:
    """
    The newest values of all keys of a topic.

    :param records: One for each key.
    :param end_offset: Where to read on for changes.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int


class PlatformStore(Protocol):
    """
    Reads and appends to topics.

    Every method raises ``PlatformUnavailable`` if no answer came, and
    ``PlatformRefused`` if the store turned the call away.
    """

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

    def read(self, topic: str, from_offset: int, wait_seconds: float) -> LogPage:
        """
        Read records, waiting for the first if there are none.

        :param topic: The topic.
        :param from_offset: The first wanted offset.
        :param wait_seconds: How long the store may hold the call.
        :raises RecordsExpired: If ``from_offset`` is no longer held.
        """

    def snapshot(self, topic: str) -> KeyedSnapshot:
        """
        Read the newest value of each key of a keyed topic.

        :param topic: The topic.
        """

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
