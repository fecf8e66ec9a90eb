"""Whether the instances that read the store for others are served by it."""

import enum
import random

from attrs import frozen

#: Time after which a call of the store without a response counts as refused,
#: beyond the time for which the store may hold it. The store normally responds
#: within a few milliseconds.
OVERDUE_SECONDS = 0.5
#: The same for calls that the store does not hold. They may return many
#: records each time, such as the heartbeats of 2,000 upstreams, some 600 KB a
#: second, which take 0.4 s on a link of 5 Mbit/s if they are read every 0.4 s.
OVERDUE_UNHELD_SECONDS = 0.8
#: Time for which the last call of an instance that seldom reads the store says
#: whether the store serves it. Reads without new records take up to 2 s.
OWN_CALL_SECONDS = 3.0
#: Time for which what a reader has said about itself is relied on: three
#: exchanges, of which two may be lost.
HEARD_SECONDS = 1.0
#: Time over which the instances that relied on a reader spread their reads.
SPREAD_SECONDS = 0.2


class ReaderState(enum.IntEnum):
    """Whether the sender of a page reads the store on behalf of others."""

    #: It does not.
    NO_READER = 0
    #: It does, and the store serves it.
    SERVED = 1
    #: It does, but the store refuses it or does not respond.
    REFUSED = 2


class StoreCalls:
    """Results of the calls with which this instance reads a topic."""

    def __init__(self) -> None:
        self._overdue_seconds: float | None = None
        self._ended_seconds: float | None = None
        self._has_failed = False

    def begin(self, wait_seconds: float, now_seconds: float) -> None:
        """
        Record the start of a call.

        :param wait_seconds: Time for which the store may hold the call.
        :param now_seconds: Monotonic time.
        """
        margin_seconds = OVERDUE_SECONDS if wait_seconds else OVERDUE_UNHELD_SECONDS
        self._overdue_seconds = now_seconds + wait_seconds + margin_seconds

    def end(self, has_failed: bool, now_seconds: float) -> None:
        """
        Record the end of a call.

        :param has_failed: True if the store refused it or did not respond.
        :param now_seconds: Monotonic time.
        """
        self._overdue_seconds = None
        self._has_failed = has_failed
        self._ended_seconds = now_seconds

    def is_refused(self, now_seconds: float) -> bool:
        """
        Tell whether the last call failed or the present one is overdue.

        :param now_seconds: Monotonic time.
        """
        is_overdue = (
            self._overdue_seconds is not None and now_seconds > self._overdue_seconds
        )
        return self._has_failed or is_overdue

    def is_recent(self, now_seconds: float) -> bool:
        """
        Tell whether a call has ended recently.

        :param now_seconds: Monotonic time.
        """
        ended_seconds = self._ended_seconds
        return (
            ended_seconds is not None and now_seconds - ended_seconds < OWN_CALL_SECONDS
        )


@frozen
class _Heard:
    """
    What an instance has said with its last page.

    :param is_refused: True if the store refuses the readers it speaks of.
    :param heard_seconds: Monotonic time of the page.
    """

    is_refused: bool
    heard_seconds: float


class ReaderWatch:
    """
    What this instance knows of the readers that it relies on, for one topic.

    A collector hears the readers themselves. The other instances of its cell
    hear from it whether the store refuses all of them; that is not passed on
    further, so that no two instances confirm it to each other.
    """

    def __init__(self) -> None:
        self._readers: dict[str, _Heard] = {}
        self._collector: _Heard | None = None
        self._lost_since_seconds: float | None = None
        self._delay_seconds = 0.0

    def hear_reader(
        self, sender_id: str, state: ReaderState, now_seconds: float
    ) -> None:
        """
        Record what an instance of another cell says about itself.

        :param sender_id: The instance.
        :param state: Whether it is a reader, and the store serves it.
        :param now_seconds: Monotonic time.
        """
        if state is ReaderState.NO_READER:
            self._readers.pop(sender_id, None)
        else:
            is_refused = state is ReaderState.REFUSED
            self._readers[sender_id] = _Heard(is_refused, now_seconds)
        self._update(now_seconds)

    def hear_collector(self, is_lost: bool, now_seconds: float) -> None:
        """
        Record what the collector of this instance's cell says.

        :param is_lost: True if the store refuses all readers it knows of.
        :param now_seconds: Monotonic time.
        """
        self._collector = _Heard(is_lost, now_seconds)
        self._update(now_seconds)

    def are_all_refused(self, own: bool | None, now_seconds: float) -> bool:
        """
        Tell whether the store refuses all readers that this instance hears.

        :param own: Whether it refuses this instance; None if that is unknown.
        :param now_seconds: Monotonic time.
        """
        states = [heard.is_refused for heard in self._heard_readers(now_seconds)]
        if own is not None:
            states.append(own)
        return bool(states) and all(states)

    def seconds_until_read(self, now_seconds: float) -> float | None:
        """
        Return the time until this instance has to read the store itself.

        None if the store serves one of its readers, as far as is known.

        :param now_seconds: Monotonic time.
        """
        self._update(now_seconds)
        if self._lost_since_seconds is None:
            return None
        due_seconds = self._lost_since_seconds + self._delay_seconds
        return max(due_seconds - now_seconds, 0.0)

    def _heard_readers(self, now_seconds: float) -> list[_Heard]:
        return [
            heard
            for heard in self._readers.values()
            if now_seconds - heard.heard_seconds < HEARD_SECONDS
        ]

    def _update(self, now_seconds: float) -> None:
        if not self._has_lost_readers(now_seconds):
            self._lost_since_seconds = None
        elif self._lost_since_seconds is None:
            self._lost_since_seconds = now_seconds
            self._delay_seconds = random.uniform(0.0, SPREAD_SECONDS)

    def _has_lost_readers(self, now_seconds: float) -> bool:
        if self._heard_readers(now_seconds):
            return self.are_all_refused(None, now_seconds)
        collector = self._collector
        return (
            collector is not None
            and collector.is_refused
            and now_seconds - collector.heard_seconds < HEARD_SECONDS
        )
