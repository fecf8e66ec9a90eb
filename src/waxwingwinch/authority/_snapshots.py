"""Snapshots of the duties, for readers that start after records expired."""

from waxwingwinch.authority._records import DutyReset
from waxwingwinch.authority._table import DutyTable
from waxwingwinch.streams import StreamWriter

#: Interval of snapshots by a process that holds a duty; far below the
#: retention time of the log.
SNAPSHOT_INTERVAL_SECONDS = 30.0
#: Interval of snapshots by a process without a duty, which writes one only
#: if the holders don't.
STANDBY_SNAPSHOT_INTERVAL_SECONDS = 45.0
#: A reader without a usable snapshot for this long, twice the standby
#: interval, resets the duties.
RESET_TIMEOUT_SECONDS = 90.0
#: Timeout of appending a snapshot or reset.
SNAPSHOT_TIMEOUT_SECONDS = 5.0


class SnapshotScheduler:
    """
    Appends snapshots at intervals or, without a usable one, a reset.

    :param token: Unique id of the process, new at each start; not the fencing
        token.
    :param table: State of all duties according to the log.
    :param writer: Appends to the stream.
    """

    def __init__(self, token: str, table: DutyTable, writer: StreamWriter) -> None:
        self._token = token
        self._table = table
        self._writer = writer
        self._submitted_seconds: float | None = None

    def step(
        self, holds_duty: bool, first_caught_up_seconds: float, now_seconds: float
    ) -> None:
        """
        Append a snapshot or reset if due.

        :param holds_duty: True if this process holds a duty.
        :param first_caught_up_seconds: When it first read the log to its end.
        :param now_seconds: Monotonic time.
        """
        read_seconds = self._table.snapshot_seconds
        times = [first_caught_up_seconds, read_seconds, self._submitted_seconds]
        last_seconds = max(time for time in times if time is not None)
        waited_seconds = now_seconds - last_seconds
        if not self._table.anchored:
            self._reset_if_due(waited_seconds, now_seconds)
            return
        interval_seconds = STANDBY_SNAPSHOT_INTERVAL_SECONDS
        if holds_duty:
            interval_seconds = SNAPSHOT_INTERVAL_SECONDS
        if waited_seconds >= interval_seconds:
            self._submitted_seconds = now_seconds
            self._writer.submit(self._table.snapshot(), SNAPSHOT_TIMEOUT_SECONDS)

    def _reset_if_due(self, waited_seconds: float, now_seconds: float) -> None:
        if waited_seconds < RESET_TIMEOUT_SECONDS:
            return
        self._submitted_seconds = now_seconds
        self._writer.submit(DutyReset(self._token), SNAPSHOT_TIMEOUT_SECONDS)
