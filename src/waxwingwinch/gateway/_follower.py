"""Follower of a keyed topic of the platform's store."""

import threading
import time
from collections import deque
from collections.abc import Callable, Sequence

from waxwingwinch._exceptions import (
    PlatformRefused,
    PlatformUnavailable,
    RecordsExpired,
)
from waxwingwinch.gateway._cluster_log_lines import (
    StoreBack,
    StoreHistoryLost,
    StoreLost,
    StoreReturned,
)
from waxwingwinch.gateway._feed_messages import FeedPage
from waxwingwinch.gateway._outage import OutageTracker
from waxwingwinch.gateway._positions import era_of
from waxwingwinch.gateway._record_log_lines import RecordSkipped
from waxwingwinch.gateway._store import KeyedRecord, KeyedSnapshot, PlatformStore
from waxwingwinch.gateway.feeds import (
    OWN_READS,
    STANDBY_READ_SECONDS,
    FollowPlan,
    Pace,
    ReaderState,
    ReaderWatch,
    ReadSource,
    RecordEffect,
    RetainedChange,
    SourceWatch,
    StoreCalls,
    StoreReadMode,
    newest_records,
)
from waxwingwinch.kernel import Clock

#: Minimum pause after a failed call. The time between the starts of two calls
#: begins with it, and doubles up to `MAX_PAUSE_SECONDS`.
MIN_PAUSE_SECONDS = 0.1
#: Maximum time between the starts of calls that fail at once, well below the
#: time within which a change has to be in force.
MAX_PAUSE_SECONDS = 0.5
#: Number of changes of a topic retained for slow readers. A reader that lacks
#: more receives the newest records of all keys.
MAX_CHANGES = 500
#: Maximum length of the key and of the error of a skipped record in the logs.
MAX_LOGGED_CHARACTERS = 200


def pause_after_failure(pause_seconds: float, called_seconds: float) -> float:
    """
    Return the pause before the store is called again.

    A call without a response has taken longer than the pause; the store may
    have become available meanwhile, and changes have to be in force soon.

    :param pause_seconds: Time between the starts of two calls.
    :param called_seconds: Time that the failed call took.
    """
    return max(pause_seconds - called_seconds, MIN_PAUSE_SECONDS)


class TopicFollower:
    """
    Applies the newest records of a keyed topic and then its changes.

    It reads the store in a separate thread, or applies pages that another
    instance has read, and serves the records of both as pages to others.

    :param store: The platform's store.
    :param plan: How the topic is followed.
    :param clock: Source of the present time.
    :param apply: Called with each record; returns its effect. A record for
        which it raises an error is logged and skipped.
    :param on_snapshot: Called with all keys of a new snapshot, so that the
        owner can remove all other keys.
    :param on_return: Called instead of it with the keys of the first snapshot
        after the store has returned from an older copy: keys that it lacks may
        be written again.
    :param after_read: Called with the monotonic time of the read after each
        successful read, also of another instance.
    :param outage: Records when the store becomes unavailable and available.
    :param prepare: Called with records before they are applied. Others may use
        the follower meanwhile, unlike during the application.
    """

    def __init__(
        self,
        store: PlatformStore,
        plan: FollowPlan,
        clock: Clock,
        apply: Callable[[KeyedRecord], RecordEffect],
        on_snapshot: Callable[[frozenset[str]], None] | None = None,
        after_read: Callable[[float], None] | None = None,
        outage: OutageTracker | None = None,
        on_return: Callable[[frozenset[str]], None] | None = None,
        prepare: Callable[[Sequence[KeyedRecord]], None] | None = None,
    ) -> None:
        self._store = store
        self._plan = plan
        self._clock = clock
        self._apply = apply
        self._on_snapshot = on_snapshot
        self._after_read = after_read
        self._on_return = on_return
        self._prepare = prepare
        self._outage = outage or OutageTracker()
        #: Returns which instances read the store.
        self.read_mode: Callable[[], StoreReadMode] = lambda: StoreReadMode.INDEPENDENT
        self._end_offset: int | None = None
        #: Era of the last snapshot; None before the first.
        self._era: int | None = None
        self._read_seconds = clock.now_seconds()
        #: Monotonic time of the first of the latest consecutive failures.
        self._failing_since_seconds: float | None = None
        self._calls = StoreCalls()
        self._readers = ReaderWatch()
        self._sources = SourceWatch(plan.topic, plan.max_age_seconds)
        #: Set when the store refuses all readers this instance relies on.
        self._reader_lost = threading.Event()
        self._newest: dict[str, KeyedRecord] = {}
        self._changes: deque[RetainedChange] = deque(maxlen=MAX_CHANGES)
        #: Changes at earlier offsets are no longer retained.
        self._first_retained_offset = 0
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
        """End offset of the topic at the last read; None before the first."""
        with self._lock:
            return self._end_offset

    def age_seconds(self, now_seconds: float) -> float | None:
        """
        Return the time since the newest read; None before the first.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            is_read = self._sources.source is not None
            return now_seconds - self._read_seconds if is_read else None

    def page_since(self, offset: int | None, now_seconds: float) -> FeedPage | None:
        """
        Return the records that a follower at an offset lacks.

        :param offset: Next offset of that follower; None if it has no records.
        :param now_seconds: Monotonic time.
        :returns: None if this follower has not read the topic either.
        """
        with self._lock:
            if self._end_offset is None:
                return None
            age_seconds = now_seconds - self._read_seconds
            if offset is None or offset < self._first_retained_offset:
                offset, records = None, list(self._newest.values())
            else:
                records = newest_records(
                    change.record
                    for change in self._changes
                    if change.at_offset >= offset
                )
            return FeedPage(
                self._plan.topic,
                offset,
                self._end_offset,
                age_seconds,
                tuple(records),
                reader_state=self._reader_state(now_seconds).value,
                is_reader_lost=self._is_reader_lost(now_seconds),
                reader_id=self._reader_id(),
            )

    def hear_reader(
        self, page: FeedPage, sender_id: str, is_collector: bool, now_seconds: float
    ) -> None:
        """
        Record what the sender of a page says about the readers of the store.

        :param page: The page.
        :param sender_id: The sender.
        :param is_collector: True if it is the collector of the own cell.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if is_collector:
                self._readers.hear_collector(page.is_reader_lost, now_seconds)
            elif page.reader_state in set(ReaderState):
                state = ReaderState(page.reader_state)
                self._readers.hear_reader(sender_id, state, now_seconds)
            if self._readers.seconds_until_read(now_seconds) is not None:
                self._reader_lost.set()

    def _reader_id(self) -> str:
        source = self._sources.source
        return "" if source is None or source.reader == OWN_READS else source.reader

    def _reader_state(self, now_seconds: float) -> ReaderState:
        if self.read_mode() is not StoreReadMode.SHARED:
            return ReaderState.NO_READER
        is_refused = self._calls.is_refused(now_seconds)
        return ReaderState.REFUSED if is_refused else ReaderState.SERVED

    def _is_reader_lost(self, now_seconds: float) -> bool:
        """Tell whether the store refuses all readers, and this instance."""
        is_shared = self.read_mode() is StoreReadMode.SHARED
        is_known = is_shared or self._calls.is_recent(now_seconds)
        own = self._calls.is_refused(now_seconds) if is_known else None
        return self._readers.are_all_refused(own, now_seconds)

    def prepare(self, records: Sequence[KeyedRecord]) -> None:
        """
        Decode records that are about to be applied, where that takes long.

        :param records: The records.
        """
        if self._prepare is not None:
            self._prepare(records)

    def apply_page(
        self, page: FeedPage, asked_seconds: float, sender_id: str = ""
    ) -> None:
        """
        Apply the records that another instance has read.

        A page that neither continues the known records nor is a newer full
        page is ignored.

        :param page: The page from the other instance.
        :param asked_seconds: Monotonic time at which it was asked for.
        :param sender_id: That instance.
        """
        with self._lock:
            if self._is_of_earlier_era(page.end_offset):
                return
            known_offset = self._end_offset
            is_ahead = known_offset is None or page.end_offset > known_offset
            is_same = page.end_offset == known_offset
            is_contiguous = known_offset == page.from_offset and (is_same or is_ahead)
            if not is_contiguous and not (page.is_full and is_ahead):
                # The page is outdated, or there is a gap before its records.
                return
            read_seconds = asked_seconds - page.age_seconds
            if read_seconds <= self._read_seconds and is_same:
                return
            if (
                self._failing_since_seconds is not None
                and read_seconds > self._failing_since_seconds
            ):
                # The store has served another instance since the failure here.
                self._record_recovery()
            read_result = KeyedSnapshot(page.records, page.end_offset)
            source = ReadSource(page.reader_id or sender_id, sender_id)
            self._apply_read(read_result, page.is_full, read_seconds, source)

    def _run(self) -> None:
        pause_seconds = MIN_PAUSE_SECONDS
        while True:
            seconds_until_read = self.seconds_until_read(self._clock.now_seconds())
            if seconds_until_read > 0:
                self._reader_lost.wait(seconds_until_read)
                self._reader_lost.clear()
                continue
            started_seconds = self._clock.now_seconds()
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
                self.record_outage(error)
                called_seconds = self._clock.now_seconds() - started_seconds
                time.sleep(pause_after_failure(pause_seconds, called_seconds))
                pause_seconds = min(2 * pause_seconds, MAX_PAUSE_SECONDS)
                continue
            pause_seconds = MIN_PAUSE_SECONDS
            if self._pace().pause_seconds:
                time.sleep(self._pace().pause_seconds)

    def seconds_until_read(self, now_seconds: float) -> float:
        """
        Return the time until this instance has to read the store itself.

        :param now_seconds: Monotonic time.
        """
        if self._end_offset is None:
            return 0.0
        match self.read_mode():
            case StoreReadMode.DELEGATED:
                max_age_seconds = self._plan.max_age_seconds
                standby_seconds = STANDBY_READ_SECONDS
            case StoreReadMode.STANDBY:
                max_age_seconds = self._plan.standby_age_seconds
                standby_seconds = 0.0
            case _:
                return 0.0
        with self._lock:
            lost_seconds = self._readers.seconds_until_read(
                now_seconds, standby_seconds
            )
        if lost_seconds is not None:
            return lost_seconds
        return self._read_seconds + max_age_seconds - now_seconds

    def restart(self) -> None:
        """Start over with a snapshot of the topic at the next step."""
        with self._lock:
            self._end_offset = None

    def step(self) -> None:
        """
        Read the topic once, and apply the records.

        :raises RecordsExpired: If the store no longer has the next records.
        :raises PlatformUnavailable: If the store does not answer.
        :raises PlatformRefused: If the store rejects the call.
        """
        from_offset, sent_seconds = self.end_offset, self._clock.now_seconds()
        read_result = self._read(from_offset, sent_seconds)
        read_seconds = self._clock.now_seconds()
        self.prepare(read_result.records)
        with self._lock:
            self._record_recovery()
            if from_offset != self._end_offset or self._is_of_earlier_era(
                read_result.end_offset
            ):
                # A page from another instance was applied during the read.
                return
            # The store may answer a held read without the records that were
            # written after it began to turn this instance away.
            if not read_result.records:
                read_seconds = sent_seconds
            self._apply_read(
                read_result,
                from_offset is None,
                read_seconds,
                ReadSource(OWN_READS, OWN_READS),
            )

    def _read(self, from_offset: int | None, now_seconds: float) -> KeyedSnapshot:
        # A call that started while the store was unavailable may never be
        # answered; a call without a wait has a shorter timeout.
        is_unavailable = self._failing_since_seconds is not None
        can_wait = from_offset is not None and not is_unavailable
        wait_seconds = self._pace().wait_seconds if can_wait else 0.0
        self._calls.begin(wait_seconds, now_seconds)
        has_failed = False
        try:
            if from_offset is None:
                return self._store.snapshot(self._plan.topic)
            return self._store.changes(self._plan.topic, from_offset, wait_seconds)
        except (PlatformUnavailable, PlatformRefused):
            has_failed = True
            raise
        finally:
            self._calls.end(has_failed, self._clock.now_seconds())

    def _apply_read(
        self,
        read_result: KeyedSnapshot,
        is_full: bool,
        read_seconds: float,
        source: ReadSource,
    ) -> None:
        if is_full:
            self._newest.clear()
            self._changes.clear()
            self._first_retained_offset = read_result.end_offset
            self._begin_snapshot(read_result)
        for record in read_result.records:
            self._apply_record(record, is_full)
        self._end_offset = read_result.end_offset
        self._read_seconds = max(self._read_seconds, read_seconds)
        is_delegated = self.read_mode() is StoreReadMode.DELEGATED
        line = self._sources.observe(
            source, read_seconds, self._clock.now_seconds(), is_delegated
        )
        if line is not None:
            line.write()
        if self._after_read is not None:
            self._after_read(read_seconds)

    def _is_of_earlier_era(self, offset: int) -> bool:
        return self._era is not None and era_of(offset) < self._era

    def _begin_snapshot(self, read_result: KeyedSnapshot) -> None:
        era = era_of(read_result.end_offset)
        known_era, self._era = self._era, era
        keys = frozenset(record.key for record in read_result.records)
        if known_era is None or known_era == era:
            if self._on_snapshot is not None:
                self._on_snapshot(keys)
            return
        StoreReturned(era=era, known_era=known_era, topic=self._plan.topic).write()
        if self._on_return is not None:
            self._on_return(keys)

    def _apply_record(self, record: KeyedRecord, is_full: bool) -> None:
        effect = self._try_to_apply(record)
        if effect is RecordEffect.OUTDATED:
            return
        previous = self._newest.pop(record.key, None)
        if record.value is not None:
            self._newest[record.key] = record
        if is_full or effect is RecordEffect.REPEATED:
            return
        if record.value is None and previous is not None:
            # Repeated records are not passed on, so readers of changes need
            # the last record before the removal to learn the key's latest
            # state.
            self._add_change(record.offset, previous)
        self._add_change(record.offset, record)

    def _try_to_apply(self, record: KeyedRecord) -> RecordEffect:
        """Apply a record; log and skip it if that fails unexpectedly."""
        try:
            return self._apply(record)
        except Exception as error:
            # Any client of the store may write records, and one of them must
            # not keep the others from being applied.
            RecordSkipped(
                topic=self._plan.topic,
                key=record.key[:MAX_LOGGED_CHARACTERS],
                offset=record.offset,
                reason=repr(error)[:MAX_LOGGED_CHARACTERS],
            ).write()
            return RecordEffect.NEW

    def _add_change(self, at_offset: int, record: KeyedRecord) -> None:
        if len(self._changes) == MAX_CHANGES:
            self._first_retained_offset = self._changes[0].at_offset + 1
        self._changes.append(RetainedChange(at_offset, record))

    def _pace(self) -> Pace:
        is_relied_on = self.read_mode() in (
            StoreReadMode.SHARED,
            StoreReadMode.STANDBY,
        )
        return self._plan.shared_pace if is_relied_on else self._plan.pace

    def record_outage(self, error: Exception) -> None:
        """
        Record that the store did not answer or rejected a call.

        :param error: The error of the call.
        """
        now_seconds = self._clock.now_seconds()
        self._outage.record_failure(now_seconds)
        if self._failing_since_seconds is None:
            self._failing_since_seconds = now_seconds
            StoreLost(topic=self._plan.topic, reason=str(error)).write()

    def _record_recovery(self) -> None:
        away_seconds = self._outage.record_success(self._clock.now_seconds())
        self._failing_since_seconds = None
        if away_seconds is not None:
            StoreBack(topic=self._plan.topic, away_seconds=away_seconds).write()
