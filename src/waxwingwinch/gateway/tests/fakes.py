"""In-process fakes of the clock, the store and the calls of the duty."""

from collections.abc import Callable
from copy import deepcopy
from typing import Any

from attrs import define, field

from waxwingwinch._exceptions import PlatformUnavailable, RecordsExpired
from waxwingwinch._types import LogPage, LogRecord
from waxwingwinch.gateway._positions import era_of, make_position, offset_of
from waxwingwinch.gateway._statements import OnStatements, ignore_statements
from waxwingwinch.gateway._store import (
    AppendConflict,
    HistoryReplaced,
    KeyedRecord,
    KeyedSnapshot,
)


@define
class FakeClock:
    """A clock whose time is set by tests."""

    seconds: float = 100.0
    wall_offset_seconds: float = 1_000_000.0

    def now_seconds(self):
        return self.seconds

    def wall_seconds(self):
        return self.seconds + self.wall_offset_seconds


@define
class _DelayedAppend:
    """An append without a response that may still be executed later."""

    topic: str
    payloads: list[Any]
    at_offset: int | None


@define
class FakeStore:
    """An in-memory store that loses responses, delays appends and returns."""

    topics: dict[Any, Any] = field(factory=dict)
    first_offsets: dict[Any, Any] = field(factory=dict)
    is_down: bool = False
    #: Fault of the next append: with "lost" it is executed without a response,
    #: with "late" ``apply_delayed`` executes it and there is no response.
    next_append: str | None = None
    delayed: list[Any] = field(factory=list)
    before_append: Callable[[], object] | None = None
    calls: int = 0
    #: Number of returns from an older copy.
    era: int = 0

    def copy(self):
        """Return a copy to which the store may return."""
        return deepcopy(self.topics)

    def restore(self, copy):
        """Return from an older copy; the offsets since are given out again."""
        self.topics = deepcopy(copy)
        self.era += 1

    def append(self, topic, payloads, at_offset=None):
        self._call()
        if self.before_append is not None:
            self.before_append()
        fate, self.next_append = self.next_append, None
        if fate == "late":
            self.delayed.append(_DelayedAppend(topic, list(payloads), at_offset))
            raise PlatformUnavailable("no answer", True)
        offset = self._append(topic, payloads, at_offset)
        if at_offset and era_of(at_offset) != self.era:
            # As the client reports it, although the records were appended.
            raise AppendConflict(offset + len(payloads))
        if fate == "lost":
            raise PlatformUnavailable("no answer", True)
        return offset

    def apply_delayed(self):
        """Execute the delayed appends; return how many succeeded."""
        applied_count = 0
        for delayed in self.delayed:
            try:
                self._append(delayed.topic, delayed.payloads, delayed.at_offset)
                applied_count += 1
            except AppendConflict:
                continue
        self.delayed.clear()
        return applied_count

    def read(self, topic, from_offset, wait_seconds):
        self._call()
        if era_of(from_offset) != self.era:
            raise HistoryReplaced(self._position(0))
        first = self.first_offsets.get(topic, 0)
        if offset_of(from_offset) < first:
            raise RecordsExpired(self._position(first))
        records = self.topics.get(topic, [])
        page = tuple(
            LogRecord(self._position(offset), payload)
            for offset, payload in enumerate(records)
            if offset >= offset_of(from_offset)
        )
        return LogPage(self._position(first), self._position(len(records)), page)

    def _position(self, offset):
        return make_position(self.era, offset)

    def snapshot(self, topic):
        self._call()
        newest: dict[str, KeyedRecord] = {}
        records = self.topics.get("keyed." + topic, [])
        for offset, (key, value) in enumerate(records):
            if value is None:
                newest.pop(key, None)
            else:
                newest[key] = KeyedRecord(key, value, self._position(offset))
        return KeyedSnapshot(tuple(newest.values()), self._position(len(records)))

    def changes(self, topic, from_offset, wait_seconds):
        page = self.read("keyed." + topic, from_offset, wait_seconds)
        records = tuple(
            KeyedRecord(record.payload[0], record.payload[1], record.offset)
            for record in page.records
        )
        return KeyedSnapshot(records, page.end_offset)

    def put(self, topic, key, value, at_offset=None):
        self.append("keyed." + topic, [(key, value)], at_offset)

    def _call(self):
        self.calls += 1
        if self.is_down:
            raise PlatformUnavailable("down", False)

    def _append(self, topic, payloads, at_offset):
        records = self.topics.setdefault(topic, [])
        if at_offset is not None and offset_of(at_offset) != len(records):
            raise AppendConflict(self._position(len(records)))
        records.extend(payloads)
        return self._position(len(records) - len(payloads))


@define
class FakeDutyCalls:
    """Records the calls that only the duty's holder makes."""

    usage: list[Any] = field(factory=list)
    orders: list[Any] = field(factory=list)
    role_changes: list[Any] = field(factory=list)
    usage_error: Exception | None = None
    spot_error: Exception | None = None
    on_statements: OnStatements = ignore_statements

    def report_usage(self, window, counts, epoch):
        if self.usage_error is not None:
            raise self.usage_error
        self.usage.append((window, dict(counts), epoch))

    def order_upstreams(self, wanted, epoch):
        if wanted.is_spot and self.spot_error is not None:
            raise self.spot_error
        self.orders.append((wanted, epoch))

    def change_role(self, engine, role, epoch):
        self.role_changes.append((engine.upstream_id, role, epoch))
