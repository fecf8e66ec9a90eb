"""
Single-threaded simulation of grantors, entries, a log and a network.

Messages are lost, duplicated and delayed, clocks drift, processes pause and
restart, and log records fail or appear late, as a seeded generator decides.
"""

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
#: Longest time until a new configuration is in force at an entry.
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
    visible_limit: CustomerLimit
    paused_until_seconds: float = 0.0


@define
class SubmittedRecord:
    record: object
    control: Control
    epoch: Epoch | None = None
    decided_seconds: float = 0.0
    request: tuple[Any, ...] | None = None
    offset: int | None = None
    is_settled: bool = False


@define
class SimulatedCluster:
    rng: random.Random
    limit: CustomerLimit
    loss_ratio: float = 0.1
    max_delay_seconds: float = 4.0
    true_seconds: float = 0.0
    epoch: int = 0
    log: list[Any] = field(factory=list)
    pending: list[Any] = field(factory=list)
    messages_in_transit: list[Any] = field(factory=list)
    admitted: list[Any] = field(factory=list)
    refused: int = 0
    limits: list[Any] = field(factory=list)
    controls: list[Any] = field(factory=list)
    entries: list[Any] = field(factory=list)
    active: Any = None
    start_count: int = 0

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
        begin_record = control.grantor.begin(Epoch(self.epoch), limits, now)
        self.pending.append(SubmittedRecord(begin_record, control))

    def change_limit(self, limit):
        self.limit = limit
        self.limits.append((self.true_seconds, limit))
        if self.active is not None:
            now = self.active.clock.now(self.true_seconds)
            self.active.grantor.configure({CUSTOMER: limit}, now)

    def restart_entry(self, number):
        self.entries[number] = self._new_entry(HOMES[number])

    def pause(self, number, seconds):
        self.entries[number].paused_until_seconds = self.true_seconds + seconds

    def admit(self, number, count):
        entry = self.entries[number]
        if entry.paused_until_seconds > self.true_seconds:
            return
        now = entry.clock.now(self.true_seconds)
        for _ in range(count):
            entry.holdings.arrival_rate.record_arrival(now)
            if entry.holdings.try_consume(entry.visible_limit, now):
                self.admitted.append(self.true_seconds)
            else:
                self.refused += 1

    def request_tokens(self, number, waiting=0):
        entry = self.entries[number]
        now = entry.clock.now(self.true_seconds)
        report = entry.holdings.prepare_request(entry.visible_limit, waiting, now)
        if report is not None:
            request = ExtraRequest(entry.holder, entry.holdings.epoch, (report,))
            self._send((entry, request, now))

    def request_floor(self, number):
        entry = self.entries[number]
        now = entry.clock.now(self.true_seconds)
        wanted = (entry.holdings.floor_wanted(),)
        self._send((entry, FloorRequest(entry.holder, wanted), now))

    def release_floor(self, number):
        self.entries[number].holdings.release_floor()

    def advance(self, seconds):
        """Advance the time and deliver the messages due, in time order."""
        end_seconds = self.true_seconds + seconds
        while self.messages_in_transit:
            self.messages_in_transit.sort(key=lambda item: item[0])
            if self.messages_in_transit[0][0] > end_seconds:
                break
            due_seconds, item = self.messages_in_transit.pop(0)
            self.true_seconds = max(self.true_seconds, due_seconds)
            self._deliver(item)
        self.true_seconds = end_seconds
        self._propagate_configuration()

    def append_record(self):
        """Append one pending record, chosen at random, to the log."""
        if self.pending:
            submitted_record = self.pending.pop(self.rng.randrange(len(self.pending)))
            submitted_record.offset = len(self.log)
            self.log.append(submitted_record)

    def abandon_record(self):
        """Report a record as failed; it may still appear in the log."""
        waiting = [item for item in self.pending if item.request]
        if waiting:
            submitted_record = self.rng.choice(waiting)
            self._complete_record(submitted_record, None)
            if self.rng.random() < 0.5:
                self.pending.remove(submitted_record)

    def read_log(self, control):
        """Apply the rest of the log to a control process."""
        now = control.clock.now(self.true_seconds)
        while control.next_offset < len(self.log):
            offset = control.next_offset
            submitted_record = self.log[offset]
            applied = AppliedRecord(
                offset, RecordId("w", offset), submitted_record.record, now
            )
            control.grantor.apply(applied)
            control.next_offset += 1
            if submitted_record.control is control and submitted_record.request:
                self._complete_record(submitted_record, offset)

    def _complete_record(self, submitted_record, offset):
        if submitted_record.is_settled:
            return
        submitted_record.is_settled = True
        control = submitted_record.control
        now = control.clock.now(self.true_seconds)
        decided = submitted_record.decided_seconds
        granted = submitted_record.record
        control.grantor.complete_floor_record(granted, offset, decided, now)
        is_valid = control.grantor.epoch == submitted_record.epoch
        if offset is not None and is_valid:
            remaining_seconds = decided + granted.term_seconds - now
            entry, requested_seconds = submitted_record.request
            floor = _floor(granted, offset, remaining_seconds)
            self._send(
                (
                    entry,
                    FloorReply(submitted_record.epoch, (floor,), ()),
                    requested_seconds,
                )
            )

    def _deliver(self, item):
        entry, message, requested_seconds = item
        if isinstance(message, ExtraRequest | FloorRequest):
            if self.active is not None:
                self._handle_request(entry, message, requested_seconds)
            return
        if entry not in self.entries:
            return
        now = entry.clock.now(self.true_seconds)
        match message:
            case ExtraReply(epoch, granted, term_seconds):
                for grant in granted:
                    entry.holdings.add_extra(
                        grant, epoch, requested_seconds + term_seconds
                    )
            case FloorReply(_, floors, withdrawn):
                for floor in floors:
                    entry.holdings.apply_floor(
                        floor, entry.visible_limit, requested_seconds, now
                    )
                if withdrawn:
                    entry.holdings.release_floor()

    def _handle_request(self, entry, message, requested_seconds):
        grantor = self.active.grantor
        now = self.active.clock.now(self.true_seconds)
        if isinstance(message, ExtraRequest):
            reply = grantor.grant(message, now)
            if reply.epoch is not None:
                self._send((entry, reply, requested_seconds))
        elif grantor.epoch is not None:
            self._handle_floor_request(entry, message, requested_seconds, now)

    def _handle_floor_request(self, entry, message, requested_seconds, now):
        grantor, (wanted,) = self.active.grantor, message.customers
        grantor.confirm_floor(message.holder, wanted, now)
        newest = grantor.floors.newest(CUSTOMER, message.holder)
        if newest is not None and newest.offset <= wanted.released_offset:
            released = FloorReleased(CUSTOMER, message.holder, wanted.released_offset)
            self.pending.append(SubmittedRecord(released, self.active))
        busy = [item.request[0] for item in self.pending if item.request]
        if entry in busy:
            return
        epoch = grantor.epoch
        match grantor.decide_floor(CUSTOMER, message.holder, HOMES, now):
            case KeepFloor(kept_floor, term_seconds):
                floor = _floor(kept_floor.granted, kept_floor.offset, term_seconds)
                self._send((entry, FloorReply(epoch, (floor,), ()), requested_seconds))
            case RecordFloor(granted):
                request = (entry, requested_seconds)
                submitted_record = SubmittedRecord(
                    granted, self.active, epoch, now, request
                )
                self.pending.append(submitted_record)

    def _send(self, item):
        if self.rng.random() < self.loss_ratio:
            return
        copies = 2 if self.rng.random() < self.loss_ratio else 1
        for _ in range(copies):
            delay = 0.001
            if self.rng.random() < 2 * self.loss_ratio:
                delay = self.rng.uniform(0, self.max_delay_seconds)
            self.messages_in_transit.append((self.true_seconds + delay, item))

    def _propagate_configuration(self):
        latest_seconds = self.true_seconds - CONFIGURATION_LAG_SECONDS
        old = [limit for since, limit in self.limits if since <= latest_seconds]
        for entry in self.entries:
            if self.rng.random() < 0.2:
                entry.visible_limit = self.limit
            elif old and entry.visible_limit not in [
                x for _, x in self.limits[len(old) - 1 :]
            ]:
                entry.visible_limit = old[-1]

    def _new_entry(self, instance_id):
        self.start_count += 1
        holder = ProcessId(instance_id, f"start{self.start_count}")
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
