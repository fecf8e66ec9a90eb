"""Messages in which instances pass on records of the platform's store."""

from attrs import frozen

from waxwingwinch.codec import message
from waxwingwinch.gateway._store import KeyedRecord


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
    """

    topic: str
    from_offset: int | None
    end_offset: int
    age_seconds: float
    records: tuple[KeyedRecord, ...]

    @property
    def is_full(self) -> bool:
        """Tell whether the page holds the newest record of every key."""
        return self.from_offset is None
