"""Standing for duties: claiming, renewing, stepping down."""

import threading
import uuid
from collections.abc import Iterator
from contextlib import contextmanager

import eliot
from attrs import frozen

from waxwingwinch._types import Address, Epoch, InstanceId
from waxwingwinch.authority._directory import DutyDirectory, DutyPosition
from waxwingwinch.authority._fence import Fence
from waxwingwinch.authority._leases import RENEWALS_PER_LEASE, Lease, LeaseKeeper
from waxwingwinch.authority._records import (
    DUTIES_STREAM,
    DutyClaim,
    DutyRelease,
    DutyRenewal,
)
from waxwingwinch.authority._snapshots import SnapshotKeeper
from waxwingwinch.contracts import DecisionKind, DecisionLog, Reason
from waxwingwinch.interfaces import PlatformLog
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.streams import AppliedRecord, StreamWriter

#: Pause between two looks at the leases.
TICK_SECONDS = 0.1
#: A reader that knows the end of the log no newer than this doesn't claim.
MAX_READ_AGE_SECONDS = 2.0
#: Pause between two looks at whether a release was read back.
RELEASE_POLL_SECONDS = 0.02


@frozen
class _Submitted:
    """The last claim or release of a duty, while the writer tries it."""

    version: int
    until_seconds: float


class DutyHolder:
    """
    A service that stands for duties and holds those it wins.

    Registered after its directory and stopped before it.

    :param log: The platform's log.
    :param clock: Source of the present time.
    :param directory: The followed stream ``duties``.
    :param fence: Ends the process at the end of its earliest lease.
    :param instance_id: This instance.
    :param address: Where this process serves peers.
    :param lease_seconds: Length of a lease, the same in all processes.
    :param drift_ratio: Bound on the difference in speed of two clocks.
    :param decisions: Where reasons are kept.
    :param order_lifetime_seconds: Longest time that unacknowledged bytes of
        an order live (``TCP_USER_TIMEOUT``).
    """

    def __init__(
        self,
        log: PlatformLog,
        clock: Clock,
        directory: DutyDirectory,
        fence: Fence,
        instance_id: InstanceId,
        address: Address,
        lease_seconds: float,
        drift_ratio: float,
        decisions: DecisionLog,
        order_lifetime_seconds: float,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._fence = fence
        self._instance_id = instance_id
        self._address = address
        self._decisions = decisions
        self._token = uuid.uuid4().hex
        self._lock = directory.lock
        self._keeper = LeaseKeeper(
            self._token,
            lease_seconds,
            drift_ratio,
            order_lifetime_seconds,
            directory.table,
        )
        self._writer = StreamWriter(log, DUTIES_STREAM, clock)
        self._snapshots = SnapshotKeeper(self._token, directory.table, self._writer)
        self._duties: tuple[str, ...] = ()
        self._submitted: dict[str, _Submitted] = {}
        self._since_seconds: float | None = None
        self._renewal_seconds = 0.0
        self._idle = threading.Condition(self._lock)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="duties", daemon=True)

    def stand_for(self, duty: str) -> None:
        """
        Add a duty, before the start.

        :param duty: Name of the duty.
        """
        if duty not in self._duties:
            self._duties = (*self._duties, duty)

    def start(self) -> None:
        """Start standing."""
        self._directory.listen(self._on_changes)
        self._writer.start()
        self._thread.start()

    def stop(self) -> None:
        """Finish running steps, release all duties at once and end."""
        self._stopping.set()
        self._thread.join()
        with self._lock:
            for lease in self._keeper.leases():
                lease.closed = True
        self._await_idle()
        with self._lock:
            self._finish_closed()
        self._await_release()
        self._writer.stop()

    def health(self) -> Health:
        """Return the state of the thread and of the log behind it."""
        if not self._thread.is_alive():
            return Health.STOPPED
        return self._writer.health()

    def holder_of(self, duty: str) -> DutyPosition | None:
        """Return the last holder that the log shows."""
        return self._directory.holder_of(duty)

    def epoch_of(self, duty: str, now_seconds: float) -> Epoch:
        """
        Return the fencing token of a duty that this process may act on.

        :param duty: Name of the duty.
        :param now_seconds: Monotonic time.
        :raises AuthorityLost: If it may not act now.
        """
        with self._lock:
            return self._keeper.epoch(duty, now_seconds)

    @contextmanager
    def acting(self, duty: str, now_seconds: float) -> Iterator[Epoch]:
        """
        Guard a step that sends orders.

        The lease isn't given up in good order before the step is over. If
        the step is still running at the end of the lease, the fence ends
        the process. Each order has a connection of its own, closed with the
        call, so none is left open after the step.

        :param duty: Name of the duty.
        :param now_seconds: Monotonic time.
        :raises AuthorityLost: If the process may not act now.
        """
        with self._lock:
            lease = self._keeper.enter(duty, now_seconds)
        try:
            yield lease.epoch
        finally:
            with self._lock:
                lease.running -= 1
                self._idle.notify_all()

    def tick(self, now_seconds: float) -> None:
        """
        Do what is due; called by the thread of the service.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            self._keeper.close_ending(now_seconds)
            self._finish_closed()
            self._release(now_seconds)
            self._renew(now_seconds)
            self._claim(now_seconds)
            if self._since_seconds is not None:
                holds_duty = bool(self._keeper.leases())
                self._snapshots.step(holds_duty, self._since_seconds, now_seconds)

    def _run(self) -> None:
        while not self._stopping.wait(TICK_SECONDS):
            self.tick(self._clock.now_seconds())

    def _on_changes(self, duties: list[str], applied: AppliedRecord) -> None:
        before = {lease.duty for lease in self._keeper.leases()}
        for duty in duties:
            self._keeper.applied(duty, applied.record_id, applied.now_seconds)
        self._set_fence()
        for lease in self._keeper.leases():
            if lease.duty not in before:
                self._explain(DecisionKind.DUTY_TAKEN, lease, "claim read back first")

    def _finish_closed(self) -> None:
        """Give up closed leases that have no running step."""
        finished = self._keeper.remove_idle()
        if not finished:
            return
        self._set_fence()
        for lease in finished:
            left_seconds = lease.end_seconds - self._clock.now_seconds()
            text = f"stepped down {left_seconds:.1f} s before the end of the lease"
            self._explain(DecisionKind.DUTY_LOST, lease, text)

    def _set_fence(self) -> None:
        end_seconds = self._keeper.fence_seconds()
        if end_seconds is None:
            self._fence.disarm()
        else:
            self._fence.arm(end_seconds)

    def _renew(self, now_seconds: float) -> None:
        items = self._keeper.renewable()
        if not items or now_seconds < self._renewal_seconds:
            return
        interval_seconds = self._keeper.lease_seconds / RENEWALS_PER_LEASE
        self._renewal_seconds = now_seconds + interval_seconds
        ticket = self._writer.submit(DutyRenewal(items), interval_seconds)
        self._keeper.note_sent(ticket.record_id, now_seconds)

    def _claim(self, now_seconds: float) -> None:
        caught_up_seconds = self._directory.caught_up_seconds()
        if caught_up_seconds is None:
            return
        if self._since_seconds is None:
            self._since_seconds = now_seconds
        if now_seconds - caught_up_seconds > MAX_READ_AGE_SECONDS:
            return
        for duty in self._duties:
            claim_seconds = self._keeper.claim_seconds(duty, self._since_seconds)
            if claim_seconds is not None and now_seconds >= claim_seconds:
                self._submit_claim(duty, now_seconds)

    def _submit_claim(self, duty: str, now_seconds: float) -> None:
        version = self._directory.table.version(duty)
        if not self._note_submitted(duty, version, now_seconds):
            return
        acts_from_seconds = self._keeper.first_order_seconds(duty, now_seconds)
        claim = DutyClaim(duty, self._instance_id, self._address, self._token, version)
        ticket = self._writer.submit(claim, self._keeper.lease_seconds)
        self._keeper.note_sent(ticket.record_id, now_seconds, acts_from_seconds)

    def _release(self, now_seconds: float) -> None:
        items = tuple(
            item
            for item in self._keeper.releasable(self._duties)
            if self._note_submitted(item.duty, item.supersedes, now_seconds)
        )
        if items:
            self._writer.submit(DutyRelease(items), self._keeper.lease_seconds)

    def _note_submitted(self, duty: str, version: int, now_seconds: float) -> bool:
        """Tell whether no record on this version is being tried already."""
        last = self._submitted.get(duty)
        if last and last.version == version and now_seconds < last.until_seconds:
            return False
        until_seconds = now_seconds + self._keeper.lease_seconds
        self._submitted[duty] = _Submitted(version, until_seconds)
        return True

    def _await_release(self) -> None:
        """Release until it is read back; a renewal may come in between."""
        deadline_seconds = self._clock.now_seconds() + self._keeper.lease_seconds / 3
        while True:
            now_seconds = self._clock.now_seconds()
            with self._lock:
                self._release(now_seconds)
                remaining = self._keeper.releasable(self._duties)
            if not remaining or now_seconds >= deadline_seconds:
                return
            threading.Event().wait(RELEASE_POLL_SECONDS)

    def _await_idle(self) -> None:
        """Wait for running steps; the fence bounds the time."""
        with self._lock:
            self._idle.wait_for(
                lambda: not any(lease.running for lease in self._keeper.leases()),
                self._keeper.lease_seconds,
            )

    def _explain(self, kind: DecisionKind, lease: Lease, text: str) -> None:
        eliot.log_message(
            f"duty:{kind.value}", duty=lease.duty, epoch=lease.epoch, reason=text
        )
        reason = Reason(kind, lease.duty, self._clock.wall_seconds(), text)
        self._decisions.add(reason)
