"""
The interface to the platform's store, independent of its wire format.

All offsets are positions that also hold the era of the store, see
:mod:`waxwingwinch.gateway._positions`.
"""

from collections.abc import Sequence
from typing import Protocol

from attrs import field, frozen

from waxwingwinch._exceptions import RecordsExpired, WaxwingError
from waxwingwinch._types import LogPage
from waxwingwinch.codec import message
from waxwingwinch.gateway._positions import era_of


class AppendConflict(WaxwingError):
    """
    The end offset of the topic differs from the one the append expected.

    :param end_offset: Actual end offset of the topic.
    """

    def __init__(self, end_offset: int) -> None:
        super().__init__(
            f"conditional write failed: the topic ends at offset {end_offset}"
        )
        #: Actual end offset of the topic.
        self.end_offset = end_offset


class HistoryReplaced(RecordsExpired):
    """
    The store has returned from an older copy since an offset was valid.

    :param first_offset: Offset from which the topic can be read now.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(first_offset)
        #: Era of the store's present history.
        self.era = era_of(first_offset)


@message("gateway_keyed_record", is_positional=True)
@frozen
class KeyedRecord:
    """
    The latest value of a key, or its deletion.

    :param key: The key.
    :param value: The value; None if the key was deleted.
    :param offset: Offset of the record in its topic.
    """

    key: str
    value: bytes | None = field(repr=False)
    offset: int


@frozen
class KeyedSnapshot:
    """
    A set of keyed records, and the offset from which to read changes.

    :param records: The latest record of each key in a snapshot; in changes,
        all records in order.
    :param end_offset: Offset from which the next changes are read.
    """

    records: tuple[KeyedRecord, ...]
    end_offset: int


class PlatformStore(Protocol):
    """
    Reads topics and appends to them.

    Every method raises ``PlatformUnavailable`` if the store does not respond
    and ``PlatformRefused`` if the store rejects the call.
    """

    def append(
        self, topic: str, payloads: Sequence[bytes], at_offset: int | None = None
    ) -> int:
        """
        Append records atomically.

        :param topic: The topic, which the first append creates.
        :param payloads: The encoded records, in order.
        :param at_offset: Append only if the topic ends at this offset.
        :returns: The offset of the first appended record.
        :raises AppendConflict: If the topic does not end at ``at_offset``. If
            the store has returned since, it may have appended the records.
        """

    def read(self, topic: str, from_offset: int, wait_seconds: float) -> LogPage:
        """
        Read records; wait for the first one if there are none.

        :param topic: The topic.
        :param from_offset: Offset of the first record to read.
        :param wait_seconds: Longest time that the store may hold the call
            while no record is available.
        :raises RecordsExpired: If the record at ``from_offset`` has expired.
        :raises HistoryReplaced: If the store has returned from an older copy.
        """

    def snapshot(self, topic: str) -> KeyedSnapshot:
        """
        Read the latest value of each key of a keyed topic.

        :param topic: The topic.
        """

    def changes(
        self, topic: str, from_offset: int, wait_seconds: float
    ) -> KeyedSnapshot:
        """
        Read the records of a keyed topic in order.

        :param topic: The topic.
        :param from_offset: Offset of the first record to read.
        :param wait_seconds: Longest time that the store may hold the call
            while no record is available.
        :raises RecordsExpired: If the record at ``from_offset`` has expired.
        :raises HistoryReplaced: If the store has returned from an older copy.
        """

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
        :param value: The value; None deletes the key.
        :param at_offset: Write only if the topic ends at this offset; 0
            requires an empty topic.
        :raises AppendConflict: If the topic does not end at ``at_offset``.
        """
