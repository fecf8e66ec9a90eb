"""Feed of store topics that instances read on behalf of one another."""

import threading
from collections.abc import Iterable

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.gateway._feed_messages import FeedPage
from waxwingwinch.gateway._follower import TopicFollower
from waxwingwinch.gateway._history import HistoryWatch
from waxwingwinch.gateway.feeds import LargePageBudget, PageMalformed, ValuePacker
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
        self._packer = ValuePacker()
        self._budget = LargePageBudget()
        #: Topics of which a large page is being applied.
        self._applying: set[str] = set()

    def offsets(self) -> dict[str, int]:
        """Return the next offset of each topic that was read."""
        offsets = {
            topic: follower.end_offset for topic, follower in self._followers.items()
        }
        return {
            topic: offset for topic, offset in offsets.items() if offset is not None
        }

    def pages(
        self, offsets: dict[str, int], accepts_packed: bool = False
    ) -> tuple[FeedPage, ...]:
        """
        Return the records that an instance at given offsets lacks.

        A large page that can't be sent yet is left out; the instance asks for
        it again.

        :param offsets: Next offset of that instance in each topic.
        :param accepts_packed: True if that instance can decompress records.
        """
        now_seconds = self._clock.now_seconds()
        pages = [
            self._followers[topic].page_since(offset, now_seconds)
            for topic, offset in offsets.items()
            if topic in self._followers
        ]
        known_pages = [
            page.pack(self._packer.pack) if accepts_packed else page
            for page in pages
            if page is not None
        ]
        return tuple(page for page in known_pages if self._may_send(page, now_seconds))

    def _may_send(self, page: FeedPage, now_seconds: float) -> bool:
        large_bytes = page.large_bytes
        return not large_bytes or self._budget.take(large_bytes, now_seconds)

    def apply_pages(
        self,
        pages: Iterable[FeedPage],
        sender_id: str,
        is_collector: bool,
        asked_seconds: float,
    ) -> None:
        """
        Apply the records that another instance has read.

        Large pages are applied by a thread of their own, since decoding a
        configuration takes longer than the hub may be held up.

        :param pages: The pages from the other instance.
        :param sender_id: That instance.
        :param is_collector: True if it is the collector of the own cell.
        :param asked_seconds: Monotonic time at which they were asked for. The
            ages in the pages are counted from it: counted from the arrival,
            records would become younger on each way, and instances that pass
            them on to one another would never find them outdated.
        """
        now_seconds = self._clock.now_seconds()
        for page in pages:
            self._history.observe(page.end_offset)
            follower = self._followers.get(page.topic)
            if follower is None:
                continue
            follower.hear_reader(page, sender_id, is_collector, now_seconds)
            if not page.large_bytes:
                follower.prepare(page.records)
                follower.apply_page(page, asked_seconds, sender_id)
            elif page.topic not in self._applying:
                self._applying.add(page.topic)
                threading.Thread(
                    target=self._apply_large,
                    args=(follower, page, asked_seconds, sender_id),
                    name=f"apply-{page.topic}",
                    daemon=True,
                ).start()

    def _apply_large(
        self,
        follower: TopicFollower,
        page: FeedPage,
        asked_seconds: float,
        sender_id: str,
    ) -> None:
        try:
            unpacked = page.unpack()
            follower.prepare(unpacked.records)
            follower.apply_page(unpacked, asked_seconds, sender_id)
        except MalformedMessage as error:
            PageMalformed(page.topic, str(error)).write()
        finally:
            self._applying.discard(page.topic)
