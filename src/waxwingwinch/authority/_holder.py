"""Claiming duties, renewing their leases and stepping down."""

import threading
import uuid
from collections.abc import Iterator
from contextlib import contextmanager

import eliot
from attrs import frozen

from waxwingwinch._types import Address, Epoch, InstanceId
from waxwingwinch.authority._directory import DutyDirectory, DutyHolderInfo
from waxwingwinch.authority._fence import Fence
from waxwingwinch.authority._leases import RENEWALS_PER_LEASE, Lease, LeaseTracker
from waxwingwinch.authority._records import (
    DUTIES_STREAM,
    DutyClaim,
    DutyRelease,
    DutyRenewal,
)
from waxwingwinch.authority._snapshots import SnapshotScheduler
from waxwingwinch.contracts import DecisionKind, DecisionLog, Reason
from waxwingwinch.interfaces import PlatformLog
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.streams import AppliedRecord, StreamWriter

#: Interval between two checks of the leases.
TICK_INTERVAL_SECONDS = 0.1
#: No duty is claimed if the log was last read to its end longer ago.
MAX_READ_AGE_SECONDS = 2.0
#: Pause between two checks of whether a release was read back.
RELEASE_POLL_SECONDS = 0.02


@frozen
class _Submission:
    """
    The last claim or release of a duty that was passed to the writer.

    :param version: Version of the duty that the record is based on.
    :param until_seconds: Monotonic time before which no further record based
        on this version is submitted.
    """

    version: int
    until_seconds: float


class DutyHolder:
    """
    A service that claims duties and renews the leases of those it holds.

    It is registered after its directory and stopped before it.

    :param log: The platform's log.
    :param clock: Source of the present time.
    :param directory: Follows the stream ``duties``.
    :param fence: Terminates the process at the end of its earliest lease.
    :param instance_id: Id of this instance.
    :param address: Peer address of this process.
    :param lease_seconds: Length of a lease, the same in all processes.
    :param drift_ratio: Bound on the relative drift of two clocks.
    :param decisions: Log of the reasons for decisions.
    :param order_lifetime_seconds: Longest time for which TCP retransmits
        unacknowledged bytes of an order (``TCP_USER_TIMEOUT``).
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
        self._tracker = LeaseTracker(
            self._token,
            lease_seconds,
            drift_ratio,
            order_lifetime_seconds,
            directory.table,
        )
        self._writer = StreamWriter(log, DUTIES_STREAM, clock)
        self._snapshots = SnapshotScheduler(self._token, directory.table, self._writer)
        self._duties: tuple[str, ...] = ()
        self._submissions: dict[str, _Submission] = {}
        self._first_caught_up_seconds: float | None = None
        self._next_renewal_seconds = 0.0
        self._step_ended = threading.Condition(self._lock)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="duties", daemon=True)

    def add_duty(self, duty: str) -> None:
        """
        Add a duty to claim; call it before :meth:`start`.

        :param duty: Name of the duty.
        """
        if duty not in self._duties:
            self._duties = (*self._duties, duty)

    def start(self) -> None:
        """Start claiming duties."""
        self._directory.set_listener(self._on_changes)
        self._writer.start()
        self._thread.start()

    def stop(self) -> None:
        """Wait for steps in progress, release all duties and stop."""
        self._stopping.set()
        self._thread.join()
        with self._lock:
            for lease in self._tracker.leases():
                lease.closed = True
        self._await_steps()
        with self._lock:
            self._remove_closed()
        self._await_release()
        self._writer.stop()

    def health(self) -> Health:
        """Return ``STOPPED`` without the thread, else the writer's health."""
        if not self._thread.is_alive():
            return Health.STOPPED
        return self._writer.health()

    def holder_of(self, duty: str) -> DutyHolderInfo | None:
        """Return the last holder of a duty according to the log."""
        return self._directory.holder_of(duty)

    def epoch_of(self, duty: str, now_seconds: float) -> Epoch:
        """
        Return the fencing token of a duty that this process holds.

        :param duty: Name of the duty.
        :param now_seconds: Monotonic time.
        :raises AuthorityLost: If the process may not send orders now.
        """
        with self._lock:
            return self._tracker.epoch(duty, now_seconds)

    @contextmanager
    def lease_guard(self, duty: str, now_seconds: float) -> Iterator[Epoch]:
        """
        Guard a step that sends orders.

        The holder doesn't step down before the step has returned. If the
        step is still running at the end of the lease, the fence terminates
        the process. Each order uses a separate connection that is closed
        with the call, so no connection stays open after the step.

        :param duty: Name of the duty.
        :param now_seconds: Monotonic time.
        :raises AuthorityLost: If the process may not send orders now.
        """
        with self._lock:
            lease = self._tracker.begin_step(duty, now_seconds)
        try:
            yield lease.epoch
        finally:
            with self._lock:
                lease.running_steps -= 1
                self._step_ended.notify_all()

    def tick(self, now_seconds: float) -> None:
        """
        Step down, release, renew and claim as due; called by the thread.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            self._tracker.close_expiring(now_seconds)
            self._remove_closed()
            self._release(now_seconds)
            self._renew(now_seconds)
            self._claim(now_seconds)
            if self._first_caught_up_seconds is not None:
                holds_duty = bool(self._tracker.leases())
                self._snapshots.step(
                    holds_duty, self._first_caught_up_seconds, now_seconds
                )

    def _run(self) -> None:
        while not self._stopping.wait(TICK_INTERVAL_SECONDS):
            self.tick(self._clock.now_seconds())

    def _on_changes(self, duties: list[str], applied: AppliedRecord) -> None:
        before = {lease.duty for lease in self._tracker.leases()}
        for duty in duties:
            self._tracker.record_change(duty, applied.record_id, applied.now_seconds)
        self._set_fence()
        for lease in self._tracker.leases():
            if lease.duty not in before:
                self._record_reason(
                    DecisionKind.DUTY_TAKEN,
                    lease,
                    "its claim was read back as the first that names the"
                    " current version",
                )

    def _remove_closed(self) -> None:
        """Remove closed leases without a step in progress."""
        removed = self._tracker.remove_closed()
        if not removed:
            return
        self._set_fence()
        for lease in removed:
            remaining_seconds = lease.end_seconds - self._clock.now_seconds()
            text = f"stepped down {remaining_seconds:.1f} s before the end of the lease"
            self._record_reason(DecisionKind.DUTY_LOST, lease, text)

    def _set_fence(self) -> None:
        end_seconds = self._tracker.earliest_end_seconds()
        if end_seconds is None:
            self._fence.disarm()
        else:
            self._fence.arm(end_seconds)

    def _renew(self, now_seconds: float) -> None:
        items = self._tracker.renewable()
        if not items or now_seconds < self._next_renewal_seconds:
            return
        interval_seconds = self._tracker.lease_seconds / RENEWALS_PER_LEASE
        self._next_renewal_seconds = now_seconds + interval_seconds
        ticket = self._writer.submit(DutyRenewal(items), interval_seconds)
        self._tracker.record_sent(ticket.record_id, now_seconds)

    def _claim(self, now_seconds: float) -> None:
        caught_up_seconds = self._directory.caught_up_seconds()
        if caught_up_seconds is None:
            return
        if self._first_caught_up_seconds is None:
            self._first_caught_up_seconds = now_seconds
        if now_seconds - caught_up_seconds > MAX_READ_AGE_SECONDS:
            return
        for duty in self._duties:
            claim_due_seconds = self._tracker.claim_due_seconds(
                duty, self._first_caught_up_seconds
            )
            if claim_due_seconds is not None and now_seconds >= claim_due_seconds:
                self._submit_claim(duty, now_seconds)

    def _submit_claim(self, duty: str, now_seconds: float) -> None:
        version = self._directory.table.version(duty)
        if not self._record_submission(duty, version, now_seconds):
            return
        orders_allowed_seconds = self._tracker.orders_allowed_seconds(duty, now_seconds)
        claim = DutyClaim(duty, self._instance_id, self._address, self._token, version)
        ticket = self._writer.submit(claim, self._tracker.lease_seconds)
        self._tracker.record_sent(ticket.record_id, now_seconds, orders_allowed_seconds)

    def _release(self, now_seconds: float) -> None:
        items = tuple(
            item
            for item in self._tracker.releasable(self._duties)
            if self._record_submission(item.duty, item.supersedes, now_seconds)
        )
        if items:
            self._writer.submit(DutyRelease(items), self._tracker.lease_seconds)

    def _record_submission(self, duty: str, version: int, now_seconds: float) -> bool:
        """Record a submission; return False if one is pending already."""
        submission = self._submissions.get(duty)
        if (
            submission
            and submission.version == version
            and now_seconds < submission.until_seconds
        ):
            return False
        until_seconds = now_seconds + self._tracker.lease_seconds
        self._submissions[duty] = _Submission(version, until_seconds)
        return True

    def _await_release(self) -> None:
        """Release all duties until that is read back from the log.

        A renewal may be appended before a release and void it, so the release
        is submitted again.
        """
        deadline_seconds = self._clock.now_seconds() + self._tracker.lease_seconds / 3
        while True:
            now_seconds = self._clock.now_seconds()
            with self._lock:
                self._release(now_seconds)
                remaining = self._tracker.releasable(self._duties)
            if not remaining or now_seconds >= deadline_seconds:
                return
            threading.Event().wait(RELEASE_POLL_SECONDS)

    def _await_steps(self) -> None:
        """Wait for steps in progress; the fence bounds the time."""
        with self._lock:
            self._step_ended.wait_for(
                lambda: (
                    not any(lease.running_steps for lease in self._tracker.leases())
                ),
                self._tracker.lease_seconds,
            )

    def _record_reason(self, kind: DecisionKind, lease: Lease, text: str) -> None:
        eliot.log_message(
            f"duty:{kind.value}", duty=lease.duty, epoch=lease.epoch, reason=text
        )
        reason = Reason(kind, lease.duty, self._clock.wall_seconds(), text)
        self._decisions.add(reason)
