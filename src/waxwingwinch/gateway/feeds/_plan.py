"""How and by whom topics of the platform's store are read."""

import enum

from attrs import frozen

#: Margin beyond the interval of reads after which passed-on records count as
#: outdated. Records pass through two instances, and one exchange may be lost.
FEED_MARGIN_SECONDS = 1.2
#: The same margin for the instances that take the place of the readers; it
#: covers one exchange. Others get their records before they read themselves,
#: which saves most of the calls.
STANDBY_MARGIN_SECONDS = 0.6
#: Time that others leave them once the store refuses the readers: a read and
#: the exchange that brings its records.
STANDBY_READ_SECONDS = 0.4


class RecordEffect(enum.Enum):
    """Effect of a record on the state of a process that follows its topic."""

    #: Any other effect, also that of a record that is malformed or ignored.
    NEW = "new"
    #: Equal to the previous record of its key, such as a heartbeat.
    REPEATED = "repeated"
    #: Superseded: a record with a newer state of the key was applied before.
    OUTDATED = "outdated"


class StoreReadMode(enum.Enum):
    """Which instances read the store."""

    #: Each instance reads the store for itself.
    INDEPENDENT = "independent"
    #: This instance reads the store, and other instances rely on it.
    SHARED = "shared"
    #: This instance reads the store in place of the instances that do, before
    #: all others would.
    STANDBY = "standby"
    #: Other instances read the store, as long as the records that they pass on
    #: are recent enough.
    DELEGATED = "delegated"


@frozen
class Pace:
    """
    How often a topic is read.

    :param wait_seconds: Maximum time for which the store may hold a read that
        waits for new records.
    :param pause_seconds: Pause between two reads. A topic that is written
        constantly is read at intervals, since each call is billed.
    """

    wait_seconds: float
    pause_seconds: float = 0.0


@frozen
class FollowPlan:
    """
    How a topic is followed.

    :param topic: The topic.
    :param pace: How often it is read.
    :param shared_pace: How often it is read by an instance on which others
        rely.
    """

    topic: str
    pace: Pace
    shared_pace: Pace

    @property
    def max_age_seconds(self) -> float:
        """Age of another instance's read from which on it is not relied on."""
        return self._read_interval_seconds + FEED_MARGIN_SECONDS

    @property
    def standby_age_seconds(self) -> float:
        """The same age for an instance that takes the place of a reader."""
        return self._read_interval_seconds + STANDBY_MARGIN_SECONDS

    @property
    def _read_interval_seconds(self) -> float:
        # A read without records is as old as its start when it ends, and the
        # next one takes as long.
        return 2 * self.shared_pace.wait_seconds + self.shared_pace.pause_seconds
