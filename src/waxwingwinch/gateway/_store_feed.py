"""Feed of store topics that instances read on behalf of one another."""

from collections.abc import Iterable

from waxwingwinch.gateway._feed_messages import FeedPage
from waxwingwinch.gateway._follower import TopicFollower
from waxwingwinch.gateway._history import HistoryWatch
from waxwingwinch.kernel import Clock


class StoreFeed:
    """
    Passes on the records of topics, and applies those that others have read.

    :param followers: The followers of the topics.
    :param clock: Source of the present time.
    :param history: Is told of the positions that others have read.
    """

    def __init__(
        self,
        followers: Iterable[TopicFollower],
        clock: Clock,
        history: HistoryWatch | None = None,
    ) -> None:
        self._history = history or HistoryWatch(clock)
        self._followers = {follower.topic: follower for follower in followers}
        self._clock = clock

    def offsets(self) -> dict[str, int]:
        """Return the next offset of each topic that was read."""
        offsets = {
            topic: follower.end_offset for topic, follower in self._followers.items()
        }
        return {
            topic: offset for topic, offset in offsets.items() if offset is not None
        }

    def pages(self, offsets: dict[str, int]) -> tuple[FeedPage, ...]:
        """
        Return the records that an instance at given offsets lacks.

        :param offsets: Next offset of that instance in each topic.
        """
        now_seconds = self._clock.now_seconds()
        pages = [
            self._followers[topic].page_since(offset, now_seconds)
            for topic, offset in offsets.items()
            if topic in self._followers
        ]
        return tuple(page for page in pages if page is not None)

    def apply_pages(self, pages: Iterable[FeedPage]) -> None:
        """
        Apply the records that another instance has read.

        :param pages: The pages from the other instance.
        """
        now_seconds = self._clock.now_seconds()
        for page in pages:
            self._history.observe(page.end_offset)
            follower = self._followers.get(page.topic)
            if follower is not None:
                follower.apply_page(page, now_seconds)
