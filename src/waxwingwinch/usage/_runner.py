"""The duty ``usage-<cell>`` in the control process."""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

import eliot
from attrs import frozen

from waxwingwinch._exceptions import (
    MalformedMessage,
    PeerUnavailable,
    PlatformRefused,
    PlatformUnavailable,
)
from waxwingwinch._types import Epoch
from waxwingwinch.configuration import Configuration
from waxwingwinch.interfaces import PlatformLog, UsageIntake
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.streams import AppliedRecord, StreamFollower, StreamWriter
from waxwingwinch.usage._ledger import UsagePeer
from waxwingwinch.usage._messages import (
    REPORTS_STREAM,
    UsageReply,
    UsageRequest,
    WindowAcknowledged,
    WindowFixed,
)
from waxwingwinch.usage._report import (
    REPORT_DEADLINE_SECONDS,
    Window,
    build_report,
    collect_from_seconds,
    fix_window,
    next_window,
)
from waxwingwinch.usage._rows import UsageRow
from waxwingwinch.usage._window_table import WindowTable

#: Timeout of the request for counters to one entry.
COLLECT_TIMEOUT_SECONDS = 1.0
#: Timeout for appending a record, and for reading the stream up to it.
RECORD_TIMEOUT_SECONDS = 5.0
#: Interval between rounds.
ROUND_INTERVAL_SECONDS = 0.5


@frozen
class _CollectedRows:
    """
    Counters collected from the entries.

    :param rows: All counters, each in any number of replicas.
    :param is_complete: True if there are listed entries and each replied.
    """

    rows: tuple[UsageRow, ...]
    is_complete: bool


class UsageReportRunner:
    """
    Fixes windows in the log and reports them until acknowledged.

    The counts of a window are those of its first valid record, regardless of
    which process sends the report and how often. The work is done in a
    dedicated thread, which is active only between :meth:`begin` and
    :meth:`end`.

    :param cell: Name of the cell.
    :param log: The platform's log.
    :param clock: Source of the current time.
    :param configuration: Returns the configuration in force.
    :param entries: Returns all listed entries with their links.
    :param intake: Receives the reports.
    """

    def __init__(
        self,
        cell: str,
        log: PlatformLog,
        clock: Clock,
        configuration: Callable[[], Configuration],
        entries: Callable[[], Sequence[UsagePeer]],
        intake: UsageIntake,
    ) -> None:
        #: Name of the duty.
        self.duty = f"usage-{cell}"
        self._clock = clock
        self._configuration = configuration
        self._entries = entries
        self._intake = intake
        self._table = WindowTable()
        self._lock = threading.Lock()
        #: Sequence number of the last applied record of each writer.
        self._applied: dict[str, int] = {}
        self._epoch: Epoch | None = None
        self._writer = StreamWriter(log, REPORTS_STREAM, clock)
        self._follower = StreamFollower(
            log, REPORTS_STREAM, clock, self._apply, on_expired=self._handle_gap
        )
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="usage-reports", daemon=True
        )

    def start(self) -> None:
        """Start following the stream of reports, in every control process."""
        self._writer.start()
        self._follower.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop the threads."""
        self.end()
        self._stopping.set()
        self._thread.join()
        self._follower.stop()
        self._writer.stop()

    def health(self) -> Health:
        """Return the health of the stream follower."""
        return self._follower.health()

    def begin(self, epoch: Epoch, now_seconds: float) -> None:
        """
        Begin performing the duty.

        :param epoch: Fencing token of the duty.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            self._epoch = epoch

    def step(self, now_seconds: float) -> None:
        """
        Do nothing; the runner's own thread does the work.

        :param now_seconds: Monotonic time.
        """

    def end(self) -> None:
        """Stop performing the duty; no further report is sent."""
        with self._lock:
            self._epoch = None

    def run_round(self, wall_seconds: float, now_seconds: float) -> None:
        """
        Report fixed windows, then fix and report the windows that are over.

        :param wall_seconds: Current Unix time.
        :param now_seconds: Monotonic time; the round is skipped unless the
            stream has been read to its end at or after this time.
        """
        if not self._is_caught_up(now_seconds):
            return
        self._submit_unacknowledged()
        # After a change of the reporting process several windows may be over;
        # one round for each would take nearly as long as the windows do.
        while self._fix_next_window(wall_seconds):
            self._submit_unacknowledged()

    def _fix_next_window(self, wall_seconds: float) -> bool:
        """Fix the next window if it is over; return whether it is fixed."""
        with self._lock:
            epoch = self._epoch
            length_seconds = self._configuration().defaults.usage_window_seconds
            window = next_window(self._table, length_seconds, wall_seconds)
        if epoch is None or window is None:
            return False
        collected = self._collect(window)
        age_seconds = wall_seconds - window.end_seconds
        if not collected.is_complete and age_seconds < REPORT_DEADLINE_SECONDS:
            eliot.log_message(
                "usage:window_waits",
                window=window.start_seconds,
                age_seconds=age_seconds,
            )
            return False
        with self._lock:
            fixed = fix_window(self._table, window, collected.rows, epoch)
        is_applied = self._append_record(fixed)
        with self._lock:
            last = self._table.last
        is_fixed = (
            is_applied
            and last is not None
            and last.window_end_seconds >= window.end_seconds
        )
        eliot.log_message(
            "usage:window_fixed",
            window=window.start_seconds,
            age_seconds=age_seconds,
            is_complete=collected.is_complete,
            is_fixed=is_fixed,
        )
        return is_fixed

    def _run(self) -> None:
        while not self._stopping.wait(ROUND_INTERVAL_SECONDS):
            if self._epoch is None:
                continue
            try:
                self.run_round(self._clock.wall_seconds(), self._clock.now_seconds())
            except PlatformUnavailable as error:
                eliot.log_message("usage:platform_unavailable", reason=str(error))

    def _is_caught_up(self, now_seconds: float) -> bool:
        def is_read() -> bool:
            caught_up_seconds = self._follower.caught_up_seconds
            return caught_up_seconds is not None and caught_up_seconds >= now_seconds

        return self._follower.wait_until(is_read, RECORD_TIMEOUT_SECONDS)

    def _submit_unacknowledged(self) -> None:
        """Send a report of each unacknowledged fixed window, oldest first."""
        with self._lock:
            windows = self._table.unacknowledged()
        for fixed in windows:
            with self._lock:
                epoch = self._epoch
            if epoch is None:
                return
            self._submit_report(fixed, epoch)

    def _submit_report(self, fixed: WindowFixed, epoch: Epoch) -> None:
        start_seconds = fixed.window_start_seconds
        try:
            self._intake.submit(build_report(fixed, epoch))
        except PlatformRefused as error:
            eliot.log_message(
                "usage:report_refused", window=start_seconds, reason=str(error)
            )
            return
        self._append_record(WindowAcknowledged(start_seconds))

    def _append_record(self, record: WindowFixed | WindowAcknowledged) -> bool:
        """Append a record; return whether it was applied in time."""
        future = self._writer.submit(record, RECORD_TIMEOUT_SECONDS)
        future.wait()
        record_id = future.record_id
        return self._follower.wait_until(
            lambda: self._applied.get(record_id.writer_id, 0) >= record_id.sequence,
            RECORD_TIMEOUT_SECONDS,
        )

    def _collect(self, window: Window) -> _CollectedRows:
        """Request the counters of all entries concurrently."""
        with self._lock:
            from_seconds = collect_from_seconds(self._table, window)
        request = UsageRequest(from_seconds, window.end_seconds)
        entries = list(self._entries())
        if not entries:
            return _CollectedRows((), is_complete=False)
        with ThreadPoolExecutor(len(entries)) as pool:
            replies = list(
                pool.map(lambda entry: _request_counters(entry, request), entries)
            )
        rows = tuple(row for reply in replies if reply for row in reply.rows)
        return _CollectedRows(rows, is_complete=None not in replies)

    def _apply(self, applied: AppliedRecord) -> None:
        with self._lock:
            self._table.apply(applied)
            self._applied[applied.record_id.writer_id] = applied.record_id.sequence

    def _handle_gap(self, first_offset: int) -> None:
        with self._lock:
            self._table.reset_after_gap()


def _request_counters(entry: UsagePeer, request: UsageRequest) -> UsageReply | None:
    try:
        reply = entry.link.request(request, COLLECT_TIMEOUT_SECONDS)
    except (PeerUnavailable, MalformedMessage):
        return None
    return reply if isinstance(reply, UsageReply) else None
