"""The duty ``limits-<cell>`` in the control process."""

import threading
from collections import OrderedDict
from collections.abc import Callable, Sequence

from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch._types import CustomerId, Epoch, InstanceId, ProcessId
from waxwingwinch.configuration import Configuration
from waxwingwinch.interfaces import InstanceState, ListedInstance, PlatformLog
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.limits._floor_policy import (
    KeepFloor,
    PostponeFloor,
    RecordFloor,
    RefuseFloor,
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
from waxwingwinch.limits._recording import (
    Recording,
    floor_message,
    released_record,
)
from waxwingwinch.limits._terms import limits_of
from waxwingwinch.peers import PeerIdentity
from waxwingwinch.placement import home_count, home_instances
from waxwingwinch.streams import (
    AppliedRecord,
    RecordId,
    StreamFollower,
    StreamWriter,
)

#: How long the record of a floor may take.
FLOOR_TIMEOUT_SECONDS = 2.0
#: How long the first record of a grantor is tried.
BEGIN_TIMEOUT_SECONDS = 60.0
#: Recently applied records whose offsets are kept.
MAX_APPLIED_RECORDS = 4_096


class GrantorDuty:
    """
    Runs the grantor while the process holds the duty.

    :param cell: The cell.
    :param log: The platform's log.
    :param clock: Source of the present time.
    :param configuration: Returns the configuration in force.
    :param instances: Returns the listed instances.
    :param handover_seconds: How long after its begin an earlier grantor may
        still answer; 0 if the duty begins only after the earlier lease.
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
        self._offsets: OrderedDict[RecordId, int] = OrderedDict()
        self._applied_version = -1
        self._busy_holders: set[ProcessId] = set()
        self._writer = StreamWriter(log, self.duty, clock)
        self._follower = StreamFollower(log, self.duty, clock, self._apply)

    def start(self) -> None:
        """Follow the stream of floors; done in every control process."""
        self._writer.start()
        self._follower.start()

    def stop(self) -> None:
        """End the threads."""
        self.end()
        self._follower.stop()
        self._writer.stop()

    def health(self) -> Health:
        """Return the state of the stream."""
        return self._follower.health()

    def begin(self, epoch: Epoch, now_seconds: float) -> None:
        """
        Take up the duty; grants begin once the begin was read back.

        :param epoch: Fencing token of the duty.
        :param now_seconds: Monotonic time.
        """
        configuration = self._configuration()
        with self._lock:
            began = self._grantor.begin(epoch, limits_of(configuration), now_seconds)
            self._applied_version = configuration.version
        self._writer.submit(began, BEGIN_TIMEOUT_SECONDS)

    def step(self, now_seconds: float) -> None:
        """
        Take over a changed configuration.

        :param now_seconds: Monotonic time.
        """
        configuration = self._configuration()
        if configuration.version == self._applied_version:
            return
        with self._lock:
            self._grantor.configure(limits_of(configuration), now_seconds)
            self._applied_version = configuration.version

    def end(self) -> None:
        """Grant nothing any more."""
        with self._lock:
            self._grantor.end()

    def handle_extras(
        self, peer: PeerIdentity, request: ExtraRequest, epoch: Epoch
    ) -> ExtraReply:
        """
        Answer a request for short-term tokens.

        Called within the guard of the lease, so that no grant is dated after
        it. Floors need none: they are fenced by the order of their records.

        :param peer: Who asks.
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
        Answer a request for floors; waits until they are in the log.

        :param peer: Who asks.
        :param request: The request.
        """
        holder = request.holder
        with self._lock:
            epoch = self._grantor.epoch
            is_refused = epoch is None or peer.instance_id != holder.instance_id
            if epoch is None or is_refused or holder in self._busy_holders:
                # One request of a holder at a time: each keeps one share
                # reserved until its record was read back.
                return FloorReply(None if is_refused else epoch, (), ())
            self._busy_holders.add(holder)
        try:
            self._note_statements(request)
            if request.is_stopping:
                return FloorReply(epoch, (), ())
            return self._decide_floors(request, epoch)
        finally:
            with self._lock:
                self._busy_holders.discard(holder)

    def _note_statements(self, request: FloorRequest) -> None:
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
            self._writer.submit(record, FLOOR_TIMEOUT_SECONDS)

    def _decide_floors(self, request: FloorRequest, epoch: Epoch) -> FloorReply:
        floors: list[Floor] = []
        withdrawn: list[CustomerId] = []
        recordings: list[Recording] = []
        for wanted in request.customers:
            homes = self._homes(wanted.customer_id)
            with self._lock:
                now_seconds = self._clock.now_seconds()
                decision = self._grantor.decide_floor(
                    wanted.customer_id, request.holder, homes, now_seconds
                )
            match decision:
                case KeepFloor(floor, term_seconds):
                    floors.append(
                        floor_message(floor.granted, floor.offset, term_seconds)
                    )
                case RecordFloor(granted):
                    recordings.append(self._record(granted, now_seconds))
                case RefuseFloor():
                    withdrawn.append(wanted.customer_id)
                case PostponeFloor():
                    pass
        floors += [floor for floor in map(self._finish, recordings) if floor]
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

    def _record(self, granted: FloorGranted, now_seconds: float) -> Recording:
        ticket = self._writer.submit(granted, FLOOR_TIMEOUT_SECONDS)
        return Recording(granted, ticket, now_seconds)

    def _finish(self, recording: Recording) -> Floor | None:
        """Wait until a floor is read back; None if it was given up."""
        offset = self._wait_applied(recording)
        granted = recording.granted
        with self._lock:
            now_seconds = self._clock.now_seconds()
            decided_seconds = recording.decided_seconds
            self._grantor.settle_floor(granted, offset, decided_seconds, now_seconds)
        if offset is None:
            return None
        left_seconds = decided_seconds + granted.term_seconds - now_seconds
        return floor_message(granted, offset, left_seconds)

    def _wait_applied(self, recording: Recording) -> int | None:
        record_id = recording.ticket.record_id
        try:
            recording.ticket.wait()
        except PlatformUnavailable:
            return None
        left_seconds = recording.ticket.deadline_seconds - self._clock.now_seconds()
        self._follower.wait_until(
            lambda: self._offset(record_id) is not None, max(0.0, left_seconds)
        )
        return self._offset(record_id)

    def _offset(self, record_id: RecordId) -> int | None:
        with self._lock:
            return self._offsets.get(record_id)

    def _apply(self, applied: AppliedRecord) -> None:
        with self._lock:
            self._grantor.apply(applied)
            self._offsets[applied.record_id] = applied.offset
            while len(self._offsets) > MAX_APPLIED_RECORDS:
                self._offsets.popitem(last=False)
