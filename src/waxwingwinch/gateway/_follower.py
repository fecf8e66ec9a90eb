"""Following a keyed topic of the platform's store, in one thread."""

import threading
import time
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._exceptions import (
    PlatformRefused,
    PlatformUnavailable,
    RecordsExpired,
)
from waxwingwinch.gateway._belief_lines import StoreBack, StoreHistoryLost, StoreLost
from waxwingwinch.gateway._outage import OutageTracker
from waxwingwinch.gateway._store import KeyedRecord, PlatformStore
from waxwingwinch.kernel import Clock

#: First pause after a failed call; doubles up to the longest.
MIN_PAUSE_SECONDS = 0.1
#: Longest pause between attempts while the store is away, well below the
#: time within which a change has to be in force.
MAX_PAUSE_SECONDS = 0.5


@frozen
class FollowPlan:
    """
    How a topic is followed.

    :param topic: The topic.
    :param wait_seconds: How long the store may hold a read.
    :param pause_seconds: Pause between two reads. A topic whose records come
        all the time is read at intervals, since each call has a price.
    """

    topic: str
    wait_seconds: float
    pause_seconds: float = 0.0


class TopicFollower:
    """
    Applies the newest records of a keyed topic and then its changes.

    :param store: The platform's store.
    :param plan: How the topic is followed.
    :param clock: Source of the present time.
    :param apply: Called with each record.
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
        apply: Callable[[KeyedRecord], None],
        replaced: Callable[[frozenset[str]], None] | None = None,
        after_read: Callable[[], None] | None = None,
        outage: OutageTracker | None = None,
    ) -> None:
        self._store = store
        self._plan = plan
        self._clock = clock
        self._apply = apply
        self._replaced = replaced
        self._after_read = after_read
        self._next_offset: int | None = None
        self._outage = outage or OutageTracker()
        self._is_away = False
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{plan.topic}", daemon=True
        )

    def start(self) -> None:
        """Start following."""
        self._thread.start()

    @property
    def end_offset(self) -> int | None:
        """Where the topic ended at the last read; None before the first."""
        return self._next_offset

    def _run(self) -> None:
        pause_seconds = MIN_PAUSE_SECONDS
        while True:
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
            if self._plan.pause_seconds:
                time.sleep(self._plan.pause_seconds)

    def restart(self) -> None:
        """Begin with the newest records again at the next step."""
        self._next_offset = None

    def step(self) -> None:
        """
        Read once and apply what was read.

        :raises RecordsExpired: If records between were lost.
        :raises PlatformUnavailable: If the store does not answer.
        :raises PlatformRefused: If it turns the call away.
        """
        if self._next_offset is None:
            snapshot = self._store.snapshot(self._plan.topic)
            if self._replaced is not None:
                self._replaced(frozenset(record.key for record in snapshot.records))
        else:
            # A call that began while the store was away may never be answered,
            # and one without a wait is given up sooner.
            wait_seconds = 0.0 if self._is_away else self._plan.wait_seconds
            snapshot = self._store.changes(
                self._plan.topic, self._next_offset, wait_seconds
            )
        self._note_back()
        for record in snapshot.records:
            self._apply(record)
        self._next_offset = snapshot.end_offset
        if self._after_read is not None:
            self._after_read()

    def note_away(self, error: Exception) -> None:
        """
        Note that the store did not answer.

        :param error: What happened.
        """
        self._outage.lost(self._clock.now_seconds())
        if not self._is_away:
            self._is_away = True
            StoreLost(topic=self._plan.topic, reason=str(error)).write()

    def _note_back(self) -> None:
        away_seconds = self._outage.back(self._clock.now_seconds())
        if away_seconds is not None:
            self._is_away = False
            StoreBack(topic=self._plan.topic, away_seconds=away_seconds).write()
