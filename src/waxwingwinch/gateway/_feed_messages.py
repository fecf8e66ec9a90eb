"""What instances tell one another of the platform's store."""

from attrs import field, frozen

from waxwingwinch.codec import message
from waxwingwinch.gateway._store import KeyedRecord


@message("gateway_feed_record", is_positional=True)
@frozen
class FeedRecord:
    """
    A record of a keyed topic.

    :param key: The key.
    :param value: The value; None if the key was dropped.
    :param offset: Position of the record in its topic.
    """

    key: str
    value: bytes | None = field(repr=False)
    offset: int

    def keyed(self) -> KeyedRecord:
        """Return the record as the store gives it."""
        return KeyedRecord(self.key, self.value, self.offset)


@message("gateway_feed_page", is_positional=True)
@frozen
class FeedPage:
    """
    What an instance has read of a keyed topic.

    :param topic: The topic.
    :param from_offset: Where it goes on; None if it holds the newest records
        of all keys.
    :param end_offset: Where the topic ended.
    :param age_seconds: Time since the store was read.
    :param records: The records that say something new.
    """

    topic: str
    from_offset: int | None
    end_offset: int
    age_seconds: float
    records: tuple[FeedRecord, ...]

    @property
    def is_whole(self) -> bool:
        """Tell whether it stands alone."""
        return self.from_offset is None
