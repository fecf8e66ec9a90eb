"""The configuration in force in one process."""

import threading
from collections.abc import Callable
from typing import Any

from attrs import evolve, frozen

from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch.configuration import (
    CONFIGURATION_STREAM,
    Configuration,
    ConfigurationChange,
    ConfigurationReplica,
    ConfigurationReply,
    ConfigurationSnapshot,
    KeyIndex,
    Refused,
    WithdrawnKeys,
    build_snapshot,
    withdrawn_key_ids_in,
)
from waxwingwinch.configuration.service._outcomes import AcceptedChange, OutcomeHistory
from waxwingwinch.configuration.service._publishing import (
    Published,
    check_before_append,
)
from waxwingwinch.contracts import Caller, Freshness, KeyRejected, KeyRejection
from waxwingwinch.interfaces import PlatformLog
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.streams import (
    AppendFuture,
    AppliedRecord,
    StreamFollower,
    StreamWriter,
)

#: How long a change waits until this process has read the version that the
#: change supersedes.
CATCH_UP_TIMEOUT_SECONDS = 2.0


@frozen
class _View:
    """
    Immutable state for readers without a lock; replaced atomically.

    :param configuration: The configuration in force.
    :param index: Index of its keys.
    """

    configuration: Configuration
    index: KeyIndex


class ConfigurationService:
    """
    Follows the configuration stream and serves the newest state.

    :param log: The platform's log.
    :param clock: Source of the current time.
    :param is_fresh: Tells whether this instance reached the log or, counting
        itself, a majority of instances recently, given the monotonic time in
        seconds.
    """

    def __init__(
        self, log: PlatformLog, clock: Clock, is_fresh: Callable[[float], Freshness]
    ) -> None:
        self._clock = clock
        self._is_fresh = is_fresh
        self._replica = ConfigurationReplica()
        self._withdrawn = WithdrawnKeys()
        self._logged_withdrawals: set[str] = set()
        self._outcomes = OutcomeHistory()
        self._view = _View(Configuration(), KeyIndex(Configuration()))
        self._is_ready = False
        self._has_adopted_peer_state = False
        self._lock = threading.RLock()
        self._follower = StreamFollower(
            log,
            CONFIGURATION_STREAM,
            clock,
            self._apply_record,
            on_expired=self._skip_expired,
        )
        self._writer = StreamWriter(log, CONFIGURATION_STREAM, clock)

    def start(self) -> None:
        """Start the threads; :meth:`is_ready` tells when there is a state."""
        self._writer.start()
        self._follower.start()

    def stop(self) -> None:
        """End the threads."""
        self._follower.stop()
        self._writer.stop()

    def health(self) -> Health:
        """Return the health of the service.

        ``STARTING`` until there is a state to serve from, ``DEGRADED`` while
        the state is incomplete, else the health of the follower.
        """
        if not self.is_ready():
            return Health.STARTING
        return Health.DEGRADED if self.needs_state() else self._follower.health()

    @property
    def follower(self) -> StreamFollower:
        """Follower of the stream; its read times determine the freshness."""
        return self._follower

    def is_ready(self) -> bool:
        """Tell whether a complete state was read from the log or a peer."""
        if self._is_ready:
            return True
        # Read outside self._lock: the property takes the follower's lock, and
        # predicates of wait_until() call this method while holding it. Taking
        # both locks in opposite orders could deadlock.
        is_caught_up = self._follower.caught_up_seconds is not None
        with self._lock:
            if is_caught_up:
                self._replica.start_empty()
                self._is_ready = self._replica.state is not None
            elif self._has_adopted_peer_state:
                self._is_ready = True
            if self._is_ready:
                self._refresh_view()
        return self._is_ready

    def needs_state(self) -> bool:
        """Tell whether the state should be requested from a peer."""
        return not self.is_ready() or not self._replica.is_complete

    def current(self) -> Configuration:
        """Return the configuration in force; empty until there is a state."""
        self.is_ready()
        return self._view.configuration

    def freshness(self, now_seconds: float) -> Freshness:
        """
        Tell whether this instance may serve requests that need a key.

        :param now_seconds: Monotonic time.
        """
        if self.needs_state():
            return Freshness.STALE
        return self._is_fresh(now_seconds)

    def authenticate(self, key: str, now_seconds: float) -> Caller | KeyRejected:
        """
        Return the customer of a key, or why the key is rejected.

        :param key: The key as the caller sent it.
        :param now_seconds: Monotonic time.
        """
        if self.freshness(now_seconds) is Freshness.STALE:
            return KeyRejected(KeyRejection.STALE)
        owner = self._view.index.find(key)
        if owner is None:
            return KeyRejected(KeyRejection.UNKNOWN)
        if self.is_withdrawn(owner.key_id):
            return KeyRejected(KeyRejection.WITHDRAWN)
        return Caller(owner.customer_id, owner.key_id)

    def is_withdrawn(self, key_id: str) -> bool:
        """
        Tell whether a key was withdrawn or is no longer configured.

        :param key_id: Public name of the key.
        """
        return key_id in self._withdrawn or key_id not in self._view.index

    def withdrawals_digest(self) -> bytes:
        """Return the digest of the withdrawn keys, for heartbeats."""
        return self._withdrawn.digest

    def withdrawn_key_ids(self) -> frozenset[str]:
        """Return the public names of all withdrawn keys."""
        return self._withdrawn.key_ids

    def merge_withdrawals(self, key_ids: tuple[str, ...]) -> None:
        """
        Refuse withdrawn keys from now on.

        :param key_ids: Public names of the keys.
        """
        self._withdrawn.merge(key_ids)

    def unlogged_withdrawals(self) -> tuple[str, ...]:
        """Return withdrawn keys that were not yet read in the stream."""
        with self._lock:
            return self._withdrawn.missing_from(self._logged_withdrawals)

    def history(self) -> tuple[AcceptedChange, ...]:
        """Return the accepted changes in memory, oldest first."""
        return self._outcomes.history()

    def snapshot(self) -> ConfigurationSnapshot | None:
        """Return the current state; None while it is not complete."""
        if self.needs_state():
            return None
        with self._lock:
            state = self._replica.state
            if state is None or not self._replica.is_complete:
                return None
            state = evolve(state, withdrawn_key_ids=self._withdrawn.key_ids)
            return build_snapshot(state, self._replica.next_offset)

    def adopt(self, reply: ConfigurationReply) -> bool:
        """
        Adopt the state of a peer if it isn't behind the local state.

        :param reply: The peer's reply.
        :returns: True if the local state is complete afterwards.
        """
        if reply.snapshot is not None:
            self._withdrawn.merge(reply.snapshot.withdrawn_key_ids)
            with self._lock:
                outcomes = self._replica.adopt(reply.snapshot)
                self._has_adopted_peer_state = (
                    self._has_adopted_peer_state or self._replica.is_complete
                )
                self._refresh_view()
                self._outcomes.add(outcomes)
        return not self.needs_state()

    def submit(self, record: object, timeout_seconds: float) -> AppendFuture:
        """
        Queue a record for the stream.

        :param record: A withdrawal or a snapshot.
        :param timeout_seconds: How long to try to append it.
        """
        return self._writer.submit(record, timeout_seconds)

    def publish(
        self, change: ConfigurationChange, timeout_seconds: float
    ) -> Published | Refused:
        """
        Append a change and wait until it is read back.

        A retry with the same ``change_id`` returns the first outcome.

        :param change: The change.
        :param timeout_seconds: Time limit of the whole call.
        :raises PlatformUnavailable: If the outcome isn't known in time; the
            change may be accepted later if ``may_have_taken_effect`` is set.
        """
        deadline_seconds = self._clock.now_seconds() + timeout_seconds
        if self.needs_state():
            raise PlatformUnavailable(
                "this instance has no complete configuration", False
            )
        self._follower.wait_until(
            lambda: self.current().version >= change.supersedes_version,
            min(timeout_seconds, CATCH_UP_TIMEOUT_SECONDS),
        )
        known = self._outcomes.result_of(change.change_id)
        if known is not None:
            return known
        refused = check_before_append(self.current(), self._withdrawn.key_ids, change)
        if refused is not None:
            return refused
        remaining_seconds = deadline_seconds - self._clock.now_seconds()
        self._writer.append(change, remaining_seconds)
        remaining_seconds = max(0.0, deadline_seconds - self._clock.now_seconds())
        self._follower.wait_until(
            lambda: change.change_id in self._outcomes, remaining_seconds
        )
        result = self._outcomes.result_of(change.change_id)
        if result is None:
            raise PlatformUnavailable(
                "the change was not read back from the log in time", True
            )
        return result

    def _apply_record(self, applied: AppliedRecord) -> None:
        """Apply a record; called by the thread of the follower."""
        key_ids = withdrawn_key_ids_in(applied.body)
        self._withdrawn.merge(key_ids)
        with self._lock:
            self._logged_withdrawals.update(key_ids)
            outcomes = self._replica.add_record(applied.offset, applied.body)
            if self._is_ready:
                self._refresh_view()
            # Added last, so that a known outcome implies that its change is in
            # force.
            self._outcomes.add(outcomes)

    def _skip_expired(self, first_offset: int) -> None:
        with self._lock:
            self._replica.skip_to(first_offset)

    def _refresh_view(self) -> None:
        state: Any = self._replica.state
        if state is None or state.configuration is self._view.configuration:
            return
        withdrawn = [
            key.key_id
            for customer in state.configuration.customers.values()
            for key in customer.keys
            if key.withdrawn
        ]
        # Withdrawals are merged before the view is replaced, so that no
        # withdrawn key is accepted in between.
        self._withdrawn.merge(withdrawn)
        self._view = _View(state.configuration, KeyIndex(state.configuration))
