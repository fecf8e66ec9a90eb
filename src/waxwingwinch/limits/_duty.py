"""The duty ``limits-<cell>`` of the control process."""

import threading
from collections import OrderedDict
from collections.abc import Callable, Sequence

from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch._types import CustomerId, Epoch, InstanceId, ProcessId
from waxwingwinch.configuration import Configuration
from waxwingwinch.interfaces import InstanceState, ListedInstance, PlatformLog
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.limits._customer_limits import limits_of
from waxwingwinch.limits._floor_policy import (
    KeepFloor,
    PostponeFloor,
    RecordFloor,
    RefuseFloor,
)
from waxwingwinch.limits._floor_records import (
    PendingFloorRecord,
    floor_message,
    released_record,
)
from waxwingwinch.limits._grantor import Grantor
from waxwingwinch.limits._messages import (
    ExtraReply,
    ExtraRequest,
    Floor,
    FloorGranted,
    FloorReleased,
    FloorReply,
    FloorRequest,
)
from waxwingwinch.peers import PeerIdentity
from waxwingwinch.placement import home_count, home_instances
from waxwingwinch.streams import (
    AppliedRecord,
    RecordId,
    StreamFollower,
    StreamWriter,
)

#: Time limit for appending a record of a floor and reading it back.
FLOOR_RECORD_TIMEOUT_SECONDS = 2.0
#: How long the append of a grantor's first record is retried.
BEGIN_RECORD_TIMEOUT_SECONDS = 60.0
#: Number of recently applied records whose offsets are kept.
MAX_APPLIED_RECORDS = 4_096


class GrantorDuty:
    """
    Runs the grantor while this process holds the duty.

    :param cell: Name of the cell, part of the name of the duty.
    :param log: The platform's log.
    :param clock: Source of the current time.
    :param configuration: Returns the configuration in force.
    :param instances: Returns the listed instances.
    :param handover_seconds: How long an earlier grantor may still answer
        requests after this one began; 0 if the duty begins only after the
        earlier lease has ended.
    """

    def __init__(
        self,
        cell: str,
        log: PlatformLog,
        clock: Clock,
        configuration: Callable[[], Configuration],
        instances: Callable[[], Sequence[ListedInstance]],
        handover_seconds: float,
    ) -> None:
        #: Name of the duty and of its stream.
        self.duty = f"limits-{cell}"
        self._clock = clock
        self._configuration = configuration
        self._instances = instances
        self._grantor = Grantor(handover_seconds)
        self._lock = threading.Lock()
        self._applied_offsets: OrderedDict[RecordId, int] = OrderedDict()
        self._configuration_version = -1
        self._busy_holders: set[ProcessId] = set()
        self._writer = StreamWriter(log, self.duty, clock)
        self._follower = StreamFollower(log, self.duty, clock, self._apply)

    def start(self) -> None:
        """
        Start writing and following the stream of floors.

        Every control process follows the stream, whether it holds the duty
        or not.
        """
        self._writer.start()
        self._follower.start()

    def stop(self) -> None:
        """Stop granting, and stop the threads of the stream."""
        self.end()
        self._follower.stop()
        self._writer.stop()

    def health(self) -> Health:
        """Return the health of the stream's follower."""
        return self._follower.health()

    def begin(self, epoch: Epoch, now_seconds: float) -> None:
        """
        Start the duty.

        Nothing is granted until the begin record was read back from the log.

        :param epoch: Fencing token of the duty.
        :param now_seconds: Monotonic time.
        """
        configuration = self._configuration()
        with self._lock:
            begin_record = self._grantor.begin(
                epoch, limits_of(configuration), now_seconds
            )
            self._configuration_version = configuration.version
        self._writer.submit(begin_record, BEGIN_RECORD_TIMEOUT_SECONDS)

    def step(self, now_seconds: float) -> None:
        """
        Apply the configuration in force if its version has changed.

        :param now_seconds: Monotonic time.
        """
        configuration = self._configuration()
        if configuration.version == self._configuration_version:
            return
        with self._lock:
            self._grantor.configure(limits_of(configuration), now_seconds)
            self._configuration_version = configuration.version

    def end(self) -> None:
        """Stop granting."""
        with self._lock:
            self._grantor.end()

    def handle_extras(
        self, peer: PeerIdentity, request: ExtraRequest, epoch: Epoch
    ) -> ExtraReply:
        """
        Answer a request for extra tokens.

        Must be called while the duty's lease is guarded against expiry, so
        that no tokens are granted after the lease has ended. Floors need no
        guard: they are fenced by the order of their records in the log.

        :param peer: Authenticated identity of the requesting peer.
        :param request: The request.
        :param epoch: Fencing token of the lease that guards the call.
        """
        if peer.instance_id != request.holder.instance_id:
            return ExtraReply(None, (), 0.0)
        with self._lock:
            if self._grantor.epoch != epoch:
                return ExtraReply(None, (), 0.0)
            return self._grantor.grant(request, self._clock.now_seconds())

    def handle_floors(self, peer: PeerIdentity, request: FloorRequest) -> FloorReply:
        """
        Answer a request for floors.

        Waits until the records of new floors were read back from the log.

        :param peer: Authenticated identity of the requesting peer.
        :param request: The request.
        """
        holder = request.holder
        with self._lock:
            epoch = self._grantor.epoch
            is_refused = epoch is None or peer.instance_id != holder.instance_id
            if epoch is None or is_refused or holder in self._busy_holders:
                # Only one request per holder is served at a time, since each
                # account counts a single pending share per holder until its
                # record was read back.
                return FloorReply(None if is_refused else epoch, (), ())
            self._busy_holders.add(holder)
        try:
            self._apply_holder_reports(request)
            if request.is_stopping:
                return FloorReply(epoch, (), ())
            return self._decide_floors(request, epoch)
        finally:
            with self._lock:
                self._busy_holders.discard(holder)

    def _apply_holder_reports(self, request: FloorRequest) -> None:
        holder = request.holder
        released: list[FloorReleased] = []
        with self._lock:
            for wanted in request.customers:
                now_seconds = self._clock.now_seconds()
                self._grantor.confirm_floor(holder, wanted, now_seconds)
                newest = self._grantor.floors.newest(wanted.customer_id, holder)
                if newest is not None and newest.offset <= wanted.released_offset:
                    released.append(released_record(holder, wanted))
        for record in released:
            self._writer.submit(record, FLOOR_RECORD_TIMEOUT_SECONDS)

    def _decide_floors(self, request: FloorRequest, epoch: Epoch) -> FloorReply:
        floors: list[Floor] = []
        withdrawn: list[CustomerId] = []
        pending_records: list[PendingFloorRecord] = []
        for wanted in request.customers:
            homes = self._homes(wanted.customer_id)
            with self._lock:
                now_seconds = self._clock.now_seconds()
                decision = self._grantor.decide_floor(
                    wanted.customer_id, request.holder, homes, now_seconds
                )
            match decision:
                case KeepFloor(floor, remaining_seconds):
                    floors.append(
                        floor_message(floor.granted, floor.offset, remaining_seconds)
                    )
                case RecordFloor(granted):
                    pending_records.append(self._submit_record(granted, now_seconds))
                case RefuseFloor():
                    withdrawn.append(wanted.customer_id)
                case PostponeFloor():
                    pass
        floors += [
            floor for floor in map(self._complete_record, pending_records) if floor
        ]
        with self._lock:
            if self._grantor.epoch != epoch:
                return FloorReply(None, (), ())
        return FloorReply(epoch, tuple(floors), tuple(withdrawn))

    def _homes(self, customer_id: CustomerId) -> tuple[InstanceId, ...]:
        customer = self._configuration().customers.get(customer_id)
        live = [
            instance
            for instance in self._instances()
            if instance.state is InstanceState.LIVE
        ]
        rate_per_second = customer.rate_per_second if customer else 0.0
        count = home_count(rate_per_second, len(live))
        return home_instances(customer_id, live, count)

    def _submit_record(
        self, granted: FloorGranted, now_seconds: float
    ) -> PendingFloorRecord:
        ticket = self._writer.submit(granted, FLOOR_RECORD_TIMEOUT_SECONDS)
        return PendingFloorRecord(granted, ticket, now_seconds)

    def _complete_record(self, pending_record: PendingFloorRecord) -> Floor | None:
        """
        Wait until the record of a floor is read back.

        Returns None if the record wasn't read back before its deadline.
        """
        offset = self._wait_until_applied(pending_record)
        granted = pending_record.granted
        with self._lock:
            now_seconds = self._clock.now_seconds()
            decided_seconds = pending_record.decided_seconds
            self._grantor.complete_floor_record(
                granted, offset, decided_seconds, now_seconds
            )
        if offset is None:
            return None
        remaining_seconds = decided_seconds + granted.term_seconds - now_seconds
        return floor_message(granted, offset, remaining_seconds)

    def _wait_until_applied(self, pending_record: PendingFloorRecord) -> int | None:
        record_id = pending_record.ticket.record_id
        try:
            pending_record.ticket.wait()
        except PlatformUnavailable:
            return None
        remaining_seconds = (
            pending_record.ticket.deadline_seconds - self._clock.now_seconds()
        )
        self._follower.wait_until(
            lambda: self._applied_offset(record_id) is not None,
            max(0.0, remaining_seconds),
        )
        return self._applied_offset(record_id)

    def _applied_offset(self, record_id: RecordId) -> int | None:
        with self._lock:
            return self._applied_offsets.get(record_id)

    def _apply(self, applied: AppliedRecord) -> None:
        with self._lock:
            self._grantor.apply(applied)
            self._applied_offsets[applied.record_id] = applied.offset
            while len(self._applied_offsets) > MAX_APPLIED_RECORDS:
                self._applied_offsets.popitem(last=False)
