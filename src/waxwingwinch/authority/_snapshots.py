"""Snapshots of the duties, for readers that start late."""

from waxwingwinch.authority._records import DutyReset
from waxwingwinch.authority._table import DutyTable
from waxwingwinch.streams import StreamWriter

#: Time after which a holder repeats the snapshot; far below the retention
#: of the log.
SNAPSHOT_INTERVAL_SECONDS = 30.0
#: Time after which a process without a duty does so.
STANDBY_INTERVAL_SECONDS = 45.0
#: Without a usable snapshot for this long a reader resets the duties.
RESET_AFTER_SECONDS = 90.0
#: How long to try to append.
SNAPSHOT_TIMEOUT_SECONDS = 5.0


class SnapshotKeeper:
    """
    Decides when to write a snapshot or, without any, a reset.

    :param token: Unique name of the process.
    :param table: The fold of the duties.
    :param writer: Appends to the stream.
    """

    def __init__(self, token: str, table: DutyTable, writer: StreamWriter) -> None:
        self._token = token
        self._table = table
        self._writer = writer
        self._written_seconds: float | None = None

    def step(self, holds_duty: bool, since_seconds: float, now_seconds: float) -> None:
        """
        Write what is due.

        :param holds_duty: True if this process holds a duty.
        :param since_seconds: When it first saw the end of the log.
        :param now_seconds: Monotonic time.
        """
        read_seconds = self._table.snapshot_seconds
        times = [since_seconds, read_seconds, self._written_seconds]
        last_seconds = max(time for time in times if time is not None)
        waited_seconds = now_seconds - last_seconds
        if not self._table.anchored:
            self._reset_after(waited_seconds, now_seconds)
            return
        interval_seconds = STANDBY_INTERVAL_SECONDS
        if holds_duty:
            interval_seconds = SNAPSHOT_INTERVAL_SECONDS
        if waited_seconds >= interval_seconds:
            self._written_seconds = now_seconds
            self._writer.submit(self._table.snapshot(), SNAPSHOT_TIMEOUT_SECONDS)

    def _reset_after(self, waited_seconds: float, now_seconds: float) -> None:
        if waited_seconds < RESET_AFTER_SECONDS:
            return
        self._written_seconds = now_seconds
        self._writer.submit(DutyReset(self._token), SNAPSHOT_TIMEOUT_SECONDS)
