"""Grantors, entries, a log and a network in one thread, under faults."""

import random
from typing import Any

from attrs import define, field

from waxwingwinch._types import CustomerId, Epoch, InstanceId, ProcessId
from waxwingwinch.limits import (
    CLOCK_DRIFT_RATIO,
    CustomerLimit,
    ExtraReply,
    ExtraRequest,
    Floor,
    FloorReleased,
    FloorReply,
    FloorRequest,
    Grantor,
    Holdings,
    KeepFloor,
    RecordFloor,
)
from waxwingwinch.streams import AppliedRecord, RecordId

CUSTOMER = CustomerId("tahi")
HOMES = tuple(InstanceId(f"i{number}") for number in range(3))
#: Longest time until an entry sees a new configuration.
CONFIGURATION_LAG_SECONDS = 1.0


@define
class DriftingClock:
    offset_seconds: float
    drift_ratio: float

    def now(self, true_seconds):
        return self.offset_seconds + true_seconds * (1 + self.drift_ratio)


@define
class Control:
    clock: DriftingClock
    grantor: Grantor
    next_offset: int = 0


@define
class Entry:
    holder: ProcessId
    clock: DriftingClock
    holdings: Holdings
    seen: CustomerLimit
    paused_until_seconds: float = 0.0


@define
class Recording:
    record: object
    control: Control
    epoch: Epoch | None = None
    decided_seconds: float = 0.0
    request: tuple[Any, ...] | None = None
    offset: int | None = None
    is_given_up: bool = False


@define
class Cluster:
    rng: random.Random
    limit: CustomerLimit
    loss_ratio: float = 0.1
    max_delay_seconds: float = 4.0
    true_seconds: float = 0.0
    epoch: int = 0
    log: list[Any] = field(factory=list)
    pending: list[Any] = field(factory=list)
    mail: list[Any] = field(factory=list)
    admitted: list[Any] = field(factory=list)
    refused: int = 0
    limits: list[Any] = field(factory=list)
    controls: list[Any] = field(factory=list)
    entries: list[Any] = field(factory=list)
    active: Any = None
    starts: int = 0

    def __attrs_post_init__(self):
        self.limits.append((0.0, self.limit))
        for _ in range(3):
            self.controls.append(Control(self._clock(), Grantor(0.0)))
        for instance_id in HOMES:
            self.entries.append(self._new_entry(instance_id))

    def change_grantor(self, number):
        if self.active is not None:
            self.active.grantor.end()
        self.epoch += 1
        self.active = control = self.controls[number]
        now = control.clock.now(self.true_seconds)
        limits = {CUSTOMER: self.limit}
        began = control.grantor.begin(Epoch(self.epoch), limits, now)
        self.pending.append(Recording(began, control))

    def change_limit(self, limit):
        self.limit = limit
        self.limits.append((self.true_seconds, limit))
        if self.active is not None:
            now = self.active.clock.now(self.true_seconds)
            self.active.grantor.configure({CUSTOMER: limit}, now)

    def kill(self, number):
        self.entries[number] = self._new_entry(HOMES[number])

    def pause(self, number, seconds):
        self.entries[number].paused_until_seconds = self.true_seconds + seconds

    def admit(self, number, count):
        entry = self.entries[number]
        if entry.paused_until_seconds > self.true_seconds:
            return
        now = entry.clock.now(self.true_seconds)
        for _ in range(count):
            entry.holdings.arrivals.note(now)
            if entry.holdings.take(entry.seen, now):
                self.admitted.append(self.true_seconds)
            else:
                self.refused += 1

    def ask(self, number, waiting=0):
        entry = self.entries[number]
        now = entry.clock.now(self.true_seconds)
        row = entry.holdings.ask(entry.seen, waiting, now)
        if row is not None:
            request = ExtraRequest(entry.holder, entry.holdings.epoch, (row,))
            self._post((entry, request, now))

    def ask_floor(self, number):
        entry = self.entries[number]
        now = entry.clock.now(self.true_seconds)
        wanted = (entry.holdings.floor_wanted(),)
        self._post((entry, FloorRequest(entry.holder, wanted), now))

    def drop_floor(self, number):
        self.entries[number].holdings.drop_floor()

    def advance(self, seconds):
        """Pass time, delivering what is due in it in its order."""
        end_seconds = self.true_seconds + seconds
        while self.mail:
            self.mail.sort(key=lambda item: item[0])
            if self.mail[0][0] > end_seconds:
                break
            due_seconds, item = self.mail.pop(0)
            self.true_seconds = max(self.true_seconds, due_seconds)
            self._deliver(item)
        self.true_seconds = end_seconds
        self._show_configuration()

    def append(self):
        """Let one record into the log."""
        if self.pending:
            recording = self.pending.pop(self.rng.randrange(len(self.pending)))
            recording.offset = len(self.log)
            self.log.append(recording)

    def give_up(self):
        """Tell the grantor that a record failed; it may still turn up."""
        waiting = [item for item in self.pending if item.request]
        if waiting:
            recording = self.rng.choice(waiting)
            self._settle(recording, None)
            if self.rng.random() < 0.5:
                self.pending.remove(recording)

    def read(self, control):
        """Let a control process read the log to its end."""
        now = control.clock.now(self.true_seconds)
        while control.next_offset < len(self.log):
            offset = control.next_offset
            recording = self.log[offset]
            applied = AppliedRecord(
                offset, RecordId("w", offset), recording.record, now
            )
            control.grantor.apply(applied)
            control.next_offset += 1
            if recording.control is control and recording.request:
                self._settle(recording, offset)

    def _settle(self, recording, offset):
        if recording.is_given_up:
            return
        recording.is_given_up = True
        control = recording.control
        now = control.clock.now(self.true_seconds)
        decided = recording.decided_seconds
        granted = recording.record
        control.grantor.settle_floor(granted, offset, decided, now)
        is_valid = control.grantor.epoch == recording.epoch
        if offset is not None and is_valid:
            left_seconds = decided + granted.term_seconds - now
            entry, asked = recording.request
            floor = _floor(granted, offset, left_seconds)
            self._post((entry, FloorReply(recording.epoch, (floor,), ()), asked))

    def _deliver(self, item):
        entry, message, asked_seconds = item
        if isinstance(message, ExtraRequest | FloorRequest):
            if self.active is not None:
                self._serve(entry, message, asked_seconds)
            return
        if entry not in self.entries:
            return
        now = entry.clock.now(self.true_seconds)
        match message:
            case ExtraReply(epoch, granted, term_seconds):
                for row in granted:
                    entry.holdings.add_extra(row, epoch, asked_seconds + term_seconds)
            case FloorReply(_, floors, withdrawn):
                for floor in floors:
                    entry.holdings.apply_floor(floor, entry.seen, asked_seconds, now)
                if withdrawn:
                    entry.holdings.drop_floor()

    def _serve(self, entry, message, asked_seconds):
        grantor = self.active.grantor
        now = self.active.clock.now(self.true_seconds)
        if isinstance(message, ExtraRequest):
            reply = grantor.grant(message, now)
            if reply.epoch is not None:
                self._post((entry, reply, asked_seconds))
        elif grantor.epoch is not None:
            self._serve_floor(entry, message, asked_seconds, now)

    def _serve_floor(self, entry, message, asked_seconds, now):
        grantor, (wanted,) = self.active.grantor, message.customers
        grantor.confirm_floor(message.holder, wanted, now)
        newest = grantor.floors.newest(CUSTOMER, message.holder)
        if newest is not None and newest.offset <= wanted.released_offset:
            released = FloorReleased(CUSTOMER, message.holder, wanted.released_offset)
            self.pending.append(Recording(released, self.active))
        busy = [item.request[0] for item in self.pending if item.request]
        if entry in busy:
            return
        epoch = grantor.epoch
        match grantor.decide_floor(CUSTOMER, message.holder, HOMES, now):
            case KeepFloor(kept, term_seconds):
                floor = _floor(kept.granted, kept.offset, term_seconds)
                self._post((entry, FloorReply(epoch, (floor,), ()), asked_seconds))
            case RecordFloor(granted):
                request = (entry, asked_seconds)
                recording = Recording(granted, self.active, epoch, now, request)
                self.pending.append(recording)

    def _post(self, item):
        if self.rng.random() < self.loss_ratio:
            return
        copies = 2 if self.rng.random() < self.loss_ratio else 1
        for _ in range(copies):
            delay = 0.001
            if self.rng.random() < 2 * self.loss_ratio:
                delay = self.rng.uniform(0, self.max_delay_seconds)
            self.mail.append((self.true_seconds + delay, item))

    def _show_configuration(self):
        latest_seconds = self.true_seconds - CONFIGURATION_LAG_SECONDS
        old = [limit for since, limit in self.limits if since <= latest_seconds]
        for entry in self.entries:
            if self.rng.random() < 0.2:
                entry.seen = self.limit
            elif old and entry.seen not in [x for _, x in self.limits[len(old) - 1 :]]:
                entry.seen = old[-1]

    def _new_entry(self, instance_id):
        self.starts += 1
        holder = ProcessId(instance_id, f"start{self.starts}")
        return Entry(holder, self._clock(), Holdings(CUSTOMER), self.limit)

    def _clock(self):
        drift = self.rng.uniform(-CLOCK_DRIFT_RATIO, CLOCK_DRIFT_RATIO)
        return DriftingClock(self.rng.uniform(0, 1e4), drift)


def _floor(granted, offset, term_seconds):
    return Floor(
        granted.customer_id,
        offset,
        granted.rate_per_second,
        granted.burst_tokens,
        granted.customer_rate_per_second,
        granted.customer_burst_requests,
        term_seconds,
    )
