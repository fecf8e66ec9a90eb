"""Propagation of key withdrawals until all instances enforce them."""

import threading
from typing import Protocol

from waxwingwinch._types import InstanceId
from waxwingwinch.configuration import KeyWithdrawal, WithdrawalNotice
from waxwingwinch.configuration.service._bounds import FreshnessBounds
from waxwingwinch.configuration.service._service import ConfigurationService
from waxwingwinch.configuration.service._withdrawal_progress import (
    WithdrawalProgress,
    next_progress,
)
from waxwingwinch.kernel import Clock, Health

#: Interval between rounds while a withdrawal is not enforced by all instances.
ROUND_INTERVAL_SECONDS = 0.25
#: How long one round waits for confirmations.
CONFIRM_TIMEOUT_SECONDS = 1.0
#: How long an append is tried before it is submitted again; short, since a
#: planned stop waits for it.
APPEND_TIMEOUT_SECONDS = 5.0
#: How long this process waits for a peer to append a withdrawal that the peer
#: sent, before it appends the withdrawal itself.
RECEIVED_GRACE_SECONDS = 10.0
#: Number of withdrawals kept in memory for ``waxwing-ctl`` after all instances
#: enforce them.
MAX_FINISHED_WITHDRAWALS = 256


class WithdrawalPeers(Protocol):
    """Connection to the other instances."""

    def expected_instances(self) -> int:
        """Return how many instances should be running, including this one."""

    def broadcast(
        self, notice: WithdrawalNotice, timeout_seconds: float
    ) -> frozenset[InstanceId]:
        """
        Send a notice to all other instances in parallel.

        :param notice: The notice.
        :param timeout_seconds: How long to wait for confirmations.
        :returns: Instances that confirmed within the time-out.
        """


class WithdrawalCoordinator:
    """
    Sends withdrawals to all peers and to the log, in one thread.

    It also appends withdrawals that this process received from peers but
    didn't read in the log, so that a withdrawal isn't lost if the instance
    that received it from the operator fails.

    :param service: The configuration service.
    :param peers: The other instances.
    :param clock: Source of the current time for the thread.
    :param instance_id: Id of this instance.
    :param drift_ratio: Largest relative difference between clock rates.
    """

    def __init__(
        self,
        service: ConfigurationService,
        peers: WithdrawalPeers,
        clock: Clock,
        instance_id: InstanceId,
        drift_ratio: float,
    ) -> None:
        self._service = service
        self._peers = peers
        self._clock = clock
        self._instance_id = instance_id
        self._drift_ratio = drift_ratio
        self._progress: dict[str, WithdrawalProgress] = {}
        self._bounds = FreshnessBounds()
        self._records: dict[str, KeyWithdrawal] = {}
        self._next_append_seconds: dict[str, float] = {}
        self._condition = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="withdrawals", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread after the current round."""
        with self._condition:
            self._stopping = True
            self._condition.notify_all()
        self._thread.join()

    def health(self) -> Health:
        """Return ``DEGRADED`` while a withdrawal was not read in the log."""
        if self._service.unlogged_withdrawals():
            return Health.DEGRADED
        return Health.HEALTHY

    def begin(self, key_id: str, operator: str, reason: str) -> WithdrawalProgress:
        """
        Refuse a key on this instance at once and start its propagation.

        :param key_id: Public name of the key.
        :param operator: Operator who withdraws the key.
        :param reason: Reason for the withdrawal.
        """
        self._service.merge_withdrawals((key_id,))
        with self._condition:
            known_progress = self._progress.get(key_id)
            if known_progress is not None:
                return known_progress
            progress = WithdrawalProgress(
                key_id,
                frozenset({self._instance_id}),
                self._peers.expected_instances(),
            )
            self._records[key_id] = KeyWithdrawal((key_id,), operator, reason)
            self._progress[key_id] = progress
            self._condition.notify_all()
        return progress

    def progress(self, key_id: str) -> WithdrawalProgress | None:
        """
        Return the progress of a withdrawal; None if this process has none.

        :param key_id: Public name of the key.
        """
        with self._condition:
            return self._progress.get(key_id)

    def withdraw(
        self, key_id: str, operator: str, reason: str, timeout_seconds: float
    ) -> WithdrawalProgress:
        """
        Withdraw a key and wait until all instances enforce the withdrawal.

        :param key_id: Public name of the key.
        :param operator: Operator who withdraws the key.
        :param reason: Reason for the withdrawal.
        :param timeout_seconds: How long to wait; the withdrawal continues
            after the time-out.
        :returns: The latest progress, also after a time-out.
        """
        self.begin(key_id, operator, reason)
        with self._condition:
            self._condition.wait_for(
                lambda: self._progress[key_id].is_accepted, timeout_seconds
            )
            return self._progress[key_id]

    def run_round(self, now_seconds: float) -> None:
        """
        Append withdrawals missing in the log and collect confirmations.

        :param now_seconds: Monotonic time.
        """
        self._append_unlogged(now_seconds)
        staleness_delay_seconds = self._staleness_delay_seconds(now_seconds)
        with self._condition:
            open_key_ids = tuple(
                name for name, item in self._progress.items() if not item.is_accepted
            )
        if not open_key_ids:
            return
        notice = WithdrawalNotice(open_key_ids)
        confirmed = self._peers.broadcast(notice, CONFIRM_TIMEOUT_SECONDS)
        # The broadcast took time; the staleness delay starts at its end.
        now_seconds = max(now_seconds, self._clock.now_seconds())
        unlogged = self._service.unlogged_withdrawals()
        with self._condition:
            for key_id in open_key_ids:
                self._progress[key_id] = next_progress(
                    self._progress[key_id],
                    confirmed | {self._instance_id},
                    key_id not in unlogged,
                    staleness_delay_seconds,
                    now_seconds,
                )
            self._remove_finished()
            self._condition.notify_all()

    def _run(self) -> None:
        while True:
            with self._condition:
                self._condition.wait(ROUND_INTERVAL_SECONDS)
                if self._stopping:
                    return
            self.run_round(self._clock.now_seconds())

    def _staleness_delay_seconds(self, now_seconds: float) -> float:
        """Return the time without contact after which an instance is stale."""
        bound_seconds = self._service.current().defaults.freshness_seconds
        largest_seconds = self._bounds.update_and_get_largest(
            bound_seconds, now_seconds
        )
        return largest_seconds * (1 + self._drift_ratio)

    def _append_unlogged(self, now_seconds: float) -> None:
        if not self._service.is_ready():
            return
        key_ids = self._service.unlogged_withdrawals()
        for key_id in key_ids:
            record = self._records.get(key_id)
            grace_seconds = 0.0 if record is not None else RECEIVED_GRACE_SECONDS
            due_seconds = self._next_append_seconds.setdefault(
                key_id, now_seconds + grace_seconds
            )
            if now_seconds >= due_seconds:
                self._next_append_seconds[key_id] = now_seconds + APPEND_TIMEOUT_SECONDS
                record = record or KeyWithdrawal((key_id,))
                self._service.submit(record, APPEND_TIMEOUT_SECONDS)
        for key_id in self._next_append_seconds.keys() - set(key_ids):
            del self._next_append_seconds[key_id]

    def _remove_finished(self) -> None:
        finished = [name for name, item in self._progress.items() if item.is_accepted]
        for key_id in finished[: max(0, len(finished) - MAX_FINISHED_WITHDRAWALS)]:
            del self._progress[key_id]
            self._records.pop(key_id, None)
