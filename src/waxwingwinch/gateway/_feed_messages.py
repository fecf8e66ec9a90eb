"""What instances tell one another of the platform's store."""

from attrs import frozen

from waxwingwinch.codec import message
from waxwingwinch.gateway._store import KeyedRecord


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
    records: tuple[KeyedRecord, ...]

    @property
    def is_full(self) -> bool:
        """Tell whether it stands alone."""
        return self.from_offset is None
