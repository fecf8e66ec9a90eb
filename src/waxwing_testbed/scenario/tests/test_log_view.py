"""The view of the log keeps up with records that expire meanwhile."""

from waxwing_testbed.fakes import MemoryLog
from waxwing_testbed.scenario._log_view import LogView

STREAM = "s"


class ShrinkingLog(MemoryLog):
    """A log that drops a record before each of its first reads."""

    def __init__(self, shrinking_reads: int) -> None:
        super().__init__()
        self._shrinking_reads = shrinking_reads
        self._first = 0

    def read(self, stream, from_offset, wait_seconds, timeout_seconds):
        if self._first < self._shrinking_reads:
            self._first += 1
            self.expire(stream, self._first)
        return super().read(stream, from_offset, wait_seconds, timeout_seconds)


def test_records_that_expire_between_two_reads_are_left_out():
    log = ShrinkingLog(shrinking_reads=3)
    log.append(STREAM, [bytes([number]) for number in range(6)], 1.0)
    records = LogView(log).records(STREAM)
    assert [record.offset for record in records] == [3, 4, 5]
