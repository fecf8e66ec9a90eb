"""Messages in which instances pass on records of the platform's store."""

from collections.abc import Callable

from attrs import evolve, frozen

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.codec import message
from waxwingwinch.gateway._store import KeyedRecord
from waxwingwinch.gateway.feeds import (
    LARGE_VALUE_BYTES,
    ReaderState,
    unpack_value,
)


@message("gateway_feed_page", is_positional=True)
@frozen
class FeedPage:
    """
    Records of a keyed topic that an instance has read.

    :param topic: The topic.
    :param from_offset: Offset at which the page begins; None for a full page,
        which holds the newest record of every key.
    :param end_offset: End offset of the topic at the time of the read.
    :param age_seconds: Time since the read.
    :param records: The records, except those that only repeat their
        predecessor.
    :param packed: Indices of the records whose value is compressed.
    :param reader_state: Whether the sender reads the store on behalf of
        others, as the number of a `ReaderState`.
    :param is_reader_lost: True if the store refuses all readers that the
        sender knows of.
    :param reader_id: The instance that read the records from the store; empty
        if it is the sender.
    """

    topic: str
    from_offset: int | None
    end_offset: int
    age_seconds: float
    records: tuple[KeyedRecord, ...]
    packed: tuple[int, ...] = ()
    reader_state: int = ReaderState.NO_READER.value
    is_reader_lost: bool = False
    reader_id: str = ""

    @property
    def is_full(self) -> bool:
        """Tell whether the page holds the newest record of every key."""
        return self.from_offset is None

    @property
    def large_bytes(self) -> int:
        """Length of the page's large or compressed values."""
        return sum(
            len(record.value)
            for index, record in enumerate(self.records)
            if record.value and (index in self.packed or _is_large(record))
        )

    def pack(self, pack_value: Callable[[bytes], bytes]) -> "FeedPage":
        """
        Return the page with its large values compressed.

        :param pack_value: Compresses a value.
        """
        large = tuple(
            index for index, record in enumerate(self.records) if _is_large(record)
        )
        return self._with_values(large, pack_value, large) if large else self

    def unpack(self) -> "FeedPage":
        """
        Return the page with no value compressed.

        :raises MalformedMessage: If a value cannot be decompressed.
        """
        if not self.packed:
            return self
        if not all(type(index) is int for index in self.packed):
            raise MalformedMessage("an index of a compressed record is no integer")
        return self._with_values(self.packed, unpack_value, ())

    def _with_values(
        self,
        indices: tuple[int, ...],
        convert: Callable[[bytes], bytes],
        packed: tuple[int, ...],
    ) -> "FeedPage":
        records = tuple(
            evolve(record, value=convert(record.value))
            if index in indices and record.value
            else record
            for index, record in enumerate(self.records)
        )
        return evolve(self, records=records, packed=packed)


def _is_large(record: KeyedRecord) -> bool:
    return record.value is not None and len(record.value) >= LARGE_VALUE_BYTES
