"""Following a keyed topic of the platform's store."""

import enum
import threading
import time
from collections import deque
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._exceptions import (
    PlatformRefused,
    PlatformUnavailable,
    RecordsExpired,
)
from waxwingwinch.gateway._cluster_log_lines import (
    StoreBack,
    StoreHistoryLost,
    StoreLost,
)
from waxwingwinch.gateway._feed_messages import FeedPage
from waxwingwinch.gateway._outage import OutageTracker
from waxwingwinch.gateway._store import KeyedRecord, KeyedSnapshot, PlatformStore
from waxwingwinch.kernel import Clock

#: First pause after a failed call; doubles up to the longest.
MIN_PAUSE_SECONDS = 0.1
#: Longest pause between attempts while the store is away, well below the
#: time within which a change has to be in force.
MAX_PAUSE_SECONDS = 0.5
#: Time beyond the interval of reads after which what others pass on counts as
#: old; it passes through two of them, with one exchange lost.
FEED_MARGIN_SECONDS = 1.2
#: Changes of a topic that are kept for those who ask late; they get all
#: records if more have come.
CHANGES_KEPT = 500


class RecordNews(enum.Enum):
    """What a record says to one who has followed its topic."""

    NEW = "new"
    #: The same as the record of the key before, such as a heartbeat.
    REPEATED = "repeated"
    #: It was written before the one that is in force.
    OUTDATED = "outdated"


class StoreReading(enum.Enum):
    """Who reads the store."""

    #: Each instance for itself.
    ALONE = "alone"
    #: This one, and others rely on it.
    FOR_OTHERS = "for_others"
    #: Others, as long as what they pass on is young enough.
    BY_OTHERS = "by_others"


@frozen
class Pace:
    """
    How often a topic is read.

    :param wait_seconds: How long the store may hold a read.
    :param pause_seconds: Pause between two reads. A topic whose records come
        all the time is read at intervals, since each call has a price.
    """

    wait_seconds: float
    pause_seconds: float = 0.0


@frozen
class FollowPlan:
    """
    How a topic is followed.

    :param topic: The topic.
    :param pace: How often it is read.
    :param shared_pace: The same for an instance that others rely on.
    """

    topic: str
    pace: Pace
    shared_pace: Pace

    @property
    def old_seconds(self) -> float:
        """Age from which on what others have read is no longer relied on."""
        shared = self.shared_pace
        return shared.wait_seconds + shared.pause_seconds + FEED_MARGIN_SECONDS


@frozen
class _Change:
    """
    A record that says something new.

    :param at_offset: Position of the record that brought it.
    :param record: The record.
    """

    at_offset: int
    record: KeyedRecord


class TopicFollower:
    """
    Applies the newest records of a keyed topic and then its changes.

    It reads the store in a thread of its own, or takes what another instance
    has read, and passes on both.

    :param store: The platform's store.
    :param plan: How the topic is followed.
    :param clock: Source of the present time.
    :param apply: Called with each record; returns what it says.
    :param replaced: Called with all keys of a new snapshot, so that the owner
        can drop the others.
    :param after_read: Called after each successful read.
    :param outage: Told when the store goes and comes back.
    """

    def __init__(
        self,
        store: PlatformStore,
        plan: FollowPlan,
        clock: Clock,
        apply: Callable[[KeyedRecord], RecordNews],
        replaced: Callable[[frozenset[str]], None] | None = None,
        after_read: Callable[[float], None] | None = None,
        outage: OutageTracker | None = None,
    ) -> None:
        self._store = store
        self._plan = plan
        self._clock = clock
        self._apply = apply
        self._replaced = replaced
        self._after_read = after_read
        self._outage = outage or OutageTracker()
        #: Tells who reads the store.
        self.reading: Callable[[], StoreReading] = lambda: StoreReading.ALONE
        self._next_offset: int | None = None
        self._read_seconds = clock.now_seconds()
        #: Monotonic time of the first call in a row that failed.
        self._away_seconds: float | None = None
        self._newest: dict[str, KeyedRecord] = {}
        self._changes: deque[_Change] = deque(maxlen=CHANGES_KEPT)
        self._changes_offset = 0
        self._lock = threading.RLock()
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{plan.topic}", daemon=True
        )

    def start(self) -> None:
        """Start following."""
        self._thread.start()

    @property
    def topic(self) -> str:
        """The topic."""
        return self._plan.topic

    @property
    def end_offset(self) -> int | None:
        """Where the topic ended at the last read; None before the first."""
        with self._lock:
            return self._next_offset

    def page_since(self, offset: int | None, now_seconds: float) -> FeedPage | None:
        """
        Return what one needs who has followed the topic up to an offset.

        :param offset: Where it reads on; None if it knows nothing.
        :param now_seconds: Monotonic time.
        :returns: None if nothing was read here either.
        """
        with self._lock:
            if self._next_offset is None:
                return None
            age_seconds = now_seconds - self._read_seconds
            if offset is None or offset < self._changes_offset:
                offset, records = None, list(self._newest.values())
            else:
                records = [
                    change.record
                    for change in self._changes
                    if change.at_offset >= offset
                ]
            return FeedPage(
                self._plan.topic,
                offset,
                self._next_offset,
                age_seconds,
                tuple(records),
            )

    def take_page(self, page: FeedPage, now_seconds: float) -> None:
        """
        Take in what another instance has read.

        :param page: What it passed on.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            known_offset = self._next_offset
            is_ahead = known_offset is None or page.end_offset > known_offset
            is_same = page.end_offset == known_offset
            goes_on = known_offset == page.from_offset and (is_same or is_ahead)
            if not goes_on and not (page.is_whole and is_ahead):
                # This instance has read on meanwhile.
                return
            read_seconds = now_seconds - page.age_seconds
            if read_seconds <= self._read_seconds and is_same:
                return
            if self._away_seconds is not None and read_seconds > self._away_seconds:
                # The store has served another since it failed this one.
                self._note_back()
            snapshot = KeyedSnapshot(page.records, page.end_offset)
            self._take(snapshot, page.is_whole, read_seconds)

    def _run(self) -> None:
        pause_seconds = MIN_PAUSE_SECONDS
        while True:
            unneeded_seconds = self.unneeded_seconds(self._clock.now_seconds())
            if unneeded_seconds > 0:
                time.sleep(unneeded_seconds)
                continue
            try:
                self.step()
            except RecordsExpired as error:
                StoreHistoryLost(
                    topic=self._plan.topic,
                    first_offset=error.first_offset,
                ).write()
                self.restart()
                continue
            except (PlatformUnavailable, PlatformRefused) as error:
                self.note_away(error)
                time.sleep(pause_seconds)
                pause_seconds = min(2 * pause_seconds, MAX_PAUSE_SECONDS)
                continue
            pause_seconds = MIN_PAUSE_SECONDS
            if self._pace().pause_seconds:
                time.sleep(self._pace().pause_seconds)

    def unneeded_seconds(self, now_seconds: float) -> float:
        """
        Return for how long the store need not be read from here.

        :param now_seconds: Monotonic time.
        """
        relies = self.reading() is StoreReading.BY_OTHERS
        if self._next_offset is None or not relies:
            return 0.0
        return self._read_seconds + self._plan.old_seconds - now_seconds

    def restart(self) -> None:
        """Begin with the newest records again at the next step."""
        with self._lock:
            self._next_offset = None

    def step(self) -> None:
        """
        Read once and apply what was read.

        :raises RecordsExpired: If records between were lost.
        :raises PlatformUnavailable: If the store does not answer.
        :raises PlatformRefused: If it turns the call away.
        """
        from_offset = self.end_offset
        if from_offset is None:
            snapshot = self._store.snapshot(self._plan.topic)
        else:
            # A call that began while the store was away may never be answered,
            # and one without a wait is given up sooner.
            is_away = self._away_seconds is not None
            wait_seconds = 0.0 if is_away else self._pace().wait_seconds
            snapshot = self._store.changes(self._plan.topic, from_offset, wait_seconds)
        with self._lock:
            self._note_back()
            if from_offset != self._next_offset:
                # What another instance had read came first.
                return
            self._take(snapshot, from_offset is None, self._clock.now_seconds())

    def _take(
        self, snapshot: KeyedSnapshot, is_whole: bool, read_seconds: float
    ) -> None:
        if is_whole:
            self._newest.clear()
            self._changes.clear()
            self._changes_offset = snapshot.end_offset
            if self._replaced is not None:
                self._replaced(frozenset(record.key for record in snapshot.records))
        for record in snapshot.records:
            self._take_record(record, is_whole)
        self._next_offset = snapshot.end_offset
        self._read_seconds = max(self._read_seconds, read_seconds)
        if self._after_read is not None:
            self._after_read(read_seconds)

    def _take_record(self, record: KeyedRecord, is_whole: bool) -> None:
        news = self._apply(record)
        if news is RecordNews.OUTDATED:
            return
        last = self._newest.pop(record.key, None)
        if record.value is not None:
            self._newest[record.key] = record
        if is_whole or news is RecordNews.REPEATED:
            return
        if record.value is None and last is not None:
            # Whoever is told of changes alone learns how far it had come.
            self._add_change(record.offset, last)
        self._add_change(record.offset, record)

    def _add_change(self, at_offset: int, record: KeyedRecord) -> None:
        if len(self._changes) == CHANGES_KEPT:
            self._changes_offset = self._changes[0].at_offset + 1
        self._changes.append(_Change(at_offset, record))

    def _pace(self) -> Pace:
        is_shared = self.reading() is StoreReading.FOR_OTHERS
        return self._plan.shared_pace if is_shared else self._plan.pace

    def note_away(self, error: Exception) -> None:
        """
        Note that the store did not answer.

        :param error: What happened.
        """
        now_seconds = self._clock.now_seconds()
        self._outage.lost(now_seconds)
        if self._away_seconds is None:
            self._away_seconds = now_seconds
            StoreLost(topic=self._plan.topic, reason=str(error)).write()

    def _note_back(self) -> None:
        away_seconds = self._outage.back(self._clock.now_seconds())
        self._away_seconds = None
        if away_seconds is not None:
            StoreBack(topic=self._plan.topic, away_seconds=away_seconds).write()
