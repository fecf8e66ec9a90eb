"""Idempotency store whose claims are ordered by the platform's log."""

import hashlib
import threading
import uuid
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._exceptions import WaxwingError
from waxwingwinch._types import CustomerId, ProcessId
from waxwingwinch.contracts import (
    ClaimedOutcome,
    ClaimHeld,
    ClaimResult,
    ClaimUnavailable,
    ClaimWithoutOutcome,
    StoredAnswer,
)
from waxwingwinch.idempotency._records import (
    Claim,
    ClaimAnswered,
    ClaimNotRun,
    ClaimUnknown,
)
from waxwingwinch.idempotency._shard import ClaimShard
from waxwingwinch.idempotency._table import ClaimState, KeyClaim
from waxwingwinch.interfaces import PlatformLog
from waxwingwinch.kernel import Clock, Health

#: Largest number of records in one append.
MAX_BATCH_RECORDS = 256
#: Largest response body that is stored.
MAX_ANSWER_BYTES = 64 * 1_024
#: Age of the last complete read above which the log counts as unavailable.
MAX_READ_AGE_SECONDS = 3.0
#: Longest duration of one claim.
MAX_CLAIM_SECONDS = 15.0
#: Time within which the request of a winning claim must be sent; far below
#: the retention period of the log.
SEND_WITHIN_SECONDS = 30.0
#: How long the append of an outcome is tried while the log is unavailable.
OUTCOME_TIMEOUT_SECONDS = 600.0
#: How long to wait until a response is read back from the log.
ANSWER_WAIT_SECONDS = 1.0
#: Delay after which callers are asked to retry.
RETRY_AFTER_SECONDS = 1.0

#: Returned instead of a response that was too large to store.
ANSWER_NOT_KEPT = StoredAnswer(
    status=410,
    headers=(("Content-Type", "application/json"),),
    body=(
        b'{"error": {"message": "The request ran; its answer was too large to '
        b'keep.", "type": "idempotency", "code": "answer_not_kept", '
        b'"outcome": "ran"}}'
    ),
)


@frozen
class _LocalClaim:
    """
    A claim of this process.

    :param key_digest: Digest of customer id and idempotency key.
    :param fingerprint: Hash of method, path and body.
    """

    key_digest: bytes
    fingerprint: str


class LogIdempotencyStore:
    """
    Admits only the request of the first claim on a key in log order.

    :param log: The platform's log.
    :param clock: Source of the current time.
    :param runner: Id of this process.
    :param is_alive: Tells whether a process is known to be running.
    :param shard_count: Number of streams over which the keys are distributed;
        must be equal in all processes.
    :param max_batch_records: Largest number of records in one append; 1 turns
        group commit off.
    """

    def __init__(
        self,
        log: PlatformLog,
        clock: Clock,
        runner: ProcessId,
        is_alive: Callable[[ProcessId], bool],
        shard_count: int = 1,
        max_batch_records: int = MAX_BATCH_RECORDS,
    ) -> None:
        self._clock = clock
        self._runner = runner
        self._is_alive = is_alive
        self._shards = [
            ClaimShard(number, log, clock, max_batch_records)
            for number in range(shard_count)
        ]
        self._local_claims: dict[str, _LocalClaim] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the threads that read and append records."""
        for shard in self._shards:
            shard.start()

    def stop(self) -> None:
        """Append pending outcomes and end the threads."""
        for shard in self._shards:
            shard.stop()

    def health(self) -> Health:
        """Return ``STARTING`` or ``DEGRADED`` if a shard is, in this order."""
        states = [shard.health() for shard in self._shards]
        for state in (Health.STARTING, Health.DEGRADED):
            if state in states:
                return state
        return Health.HEALTHY

    def claim(
        self,
        customer_id: CustomerId,
        key: str,
        fingerprint: str,
        timeout_seconds: float,
        now_seconds: float,
    ) -> ClaimResult:
        """
        Claim a key.

        Waits, for a limited time, until the claim is read back from the log
        or, if another claim on the key is active, until its outcome is known.

        :param customer_id: The customer; equal keys of different customers are
            independent.
        :param key: The caller's idempotency key.
        :param fingerprint: Hash of method, path and body.
        :param timeout_seconds: How long to wait for the log.
        :param now_seconds: Monotonic time.
        """
        key_digest = digest_idempotency_key(customer_id, key)
        shard = self._shard(key_digest)
        if not shard.is_current(MAX_READ_AGE_SECONDS, now_seconds):
            return ClaimUnavailable(RETRY_AFTER_SECONDS)
        shard.remove_expired(now_seconds)
        deadline_seconds = now_seconds + min(timeout_seconds, MAX_CLAIM_SECONDS)
        deciding_claim = shard.deciding_claim(key_digest)
        if deciding_claim is None:
            local_claim = _LocalClaim(key_digest, fingerprint)
            result = self._append_claim(
                shard, local_claim, now_seconds, deadline_seconds
            )
            if result is not None:
                return result
        return self._wait_for_outcome(shard, key_digest, fingerprint, deadline_seconds)

    def record_answer(self, claim_id: str, answer: StoredAnswer) -> None:
        """
        Store the response to the request of a claim.

        Waits up to ``ANSWER_WAIT_SECONDS`` until the record is read back.

        :param claim_id: Id of a claim that this process won.
        :param answer: The complete response.
        """
        local_claim = self._pop_local_claim(claim_id)
        shard = self._shard(local_claim.key_digest)
        retained_answer = answer if len(answer.body) <= MAX_ANSWER_BYTES else None
        record = ClaimAnswered(
            claim_id, local_claim.key_digest, local_claim.fingerprint, retained_answer
        )
        shard.submit(record, OUTCOME_TIMEOUT_SECONDS)

        def is_recorded() -> bool:
            found = shard.find(local_claim.key_digest, claim_id)
            return found is not None and found.state is not ClaimState.PENDING

        shard.wait_until(is_recorded, ANSWER_WAIT_SECONDS)

    def record_not_run(self, claim_id: str) -> None:
        """
        Release the key of a claim; no byte of its request was sent.

        :param claim_id: Id of a claim that this process won.
        """
        local_claim = self._pop_local_claim(claim_id)
        record = ClaimNotRun(claim_id, local_claim.key_digest)
        self._shard(local_claim.key_digest).submit(record, OUTCOME_TIMEOUT_SECONDS)

    def record_unknown(self, claim_id: str) -> None:
        """
        Record that the outcome of a claim can't be known.

        :param claim_id: Id of a claim that this process won.
        """
        local_claim = self._pop_local_claim(claim_id)
        record = ClaimUnknown(claim_id, local_claim.key_digest, local_claim.fingerprint)
        self._shard(local_claim.key_digest).submit(record, OUTCOME_TIMEOUT_SECONDS)

    def _append_claim(
        self,
        shard: ClaimShard,
        local_claim: _LocalClaim,
        now_seconds: float,
        deadline_seconds: float,
    ) -> ClaimResult | None:
        """
        Append a claim and read it back.

        :returns: None if another claim on the key was active before it.
        """
        claim_id = uuid.uuid4().hex
        gap_count = shard.gap_count
        key_digest = local_claim.key_digest
        record = Claim(claim_id, key_digest, local_claim.fingerprint, self._runner)
        shard.submit(record, deadline_seconds - now_seconds)
        shard.wait_until(
            lambda: shard.find(key_digest, claim_id) is not None,
            deadline_seconds - now_seconds,
        )
        found = shard.find(key_digest, claim_id)
        # Records that expired unread may contain an earlier claim on the key.
        is_complete = shard.gap_count == gap_count
        if found is not None and found.has_won and is_complete:
            with self._lock:
                self._local_claims[claim_id] = local_claim
            return ClaimHeld(claim_id, now_seconds + SEND_WITHIN_SECONDS)
        # This process never executes the request, even if the claim is read
        # later.
        shard.submit(ClaimNotRun(claim_id, key_digest), OUTCOME_TIMEOUT_SECONDS)
        if found is None or not is_complete:
            return ClaimUnavailable(RETRY_AFTER_SECONDS)
        return None

    def _wait_for_outcome(
        self,
        shard: ClaimShard,
        key_digest: bytes,
        fingerprint: str,
        deadline_seconds: float,
    ) -> ClaimResult:
        """Wait for the outcome of the active claims on a key."""

        def is_decided() -> bool:
            deciding_claim = shard.deciding_claim(key_digest)
            return (
                deciding_claim is None
                or self._result_for(deciding_claim, fingerprint) is not None
            )

        remaining_seconds = deadline_seconds - self._clock.now_seconds()
        shard.wait_until(is_decided, max(0.0, remaining_seconds))
        deciding_claim = shard.deciding_claim(key_digest)
        result = (
            None
            if deciding_claim is None
            else self._result_for(deciding_claim, fingerprint)
        )
        return result or ClaimWithoutOutcome(RETRY_AFTER_SECONDS)

    def _result_for(
        self, deciding_claim: KeyClaim, fingerprint: str
    ) -> ClaimResult | None:
        """Return the result for a caller; None if the caller has to wait."""
        if deciding_claim.fingerprint != fingerprint:
            return ClaimWithoutOutcome(None, same_request=False)
        match deciding_claim.state:
            case ClaimState.ANSWERED if deciding_claim.answer is not None:
                return ClaimedOutcome(deciding_claim.answer)
            case ClaimState.ANSWERED | ClaimState.ANSWER_DROPPED:
                return ClaimedOutcome(ANSWER_NOT_KEPT)
            case ClaimState.UNKNOWN:
                return ClaimWithoutOutcome(None)
            case ClaimState.PENDING:
                return (
                    None
                    if self._may_complete(deciding_claim)
                    else ClaimWithoutOutcome(None)
                )

    def _may_complete(self, deciding_claim: KeyClaim) -> bool:
        runner = deciding_claim.runner
        if runner is None:
            return False
        return runner == self._runner or self._is_alive(runner)

    def _pop_local_claim(self, claim_id: str) -> _LocalClaim:
        with self._lock:
            local_claim = self._local_claims.pop(claim_id, None)
        if local_claim is None:
            raise WaxwingError(
                f"claim {claim_id!r} is not an open claim of this process"
            )
        return local_claim

    def _shard(self, key_digest: bytes) -> ClaimShard:
        number = int.from_bytes(key_digest[:8]) % len(self._shards)
        return self._shards[number]


def digest_idempotency_key(customer_id: CustomerId, key: str) -> bytes:
    """
    Return the digest that identifies a customer's key in claims.

    :param customer_id: The customer.
    :param key: The caller's idempotency key.
    """
    customer = customer_id.encode()
    hashed = hashlib.blake2b(digest_size=16)
    hashed.update(len(customer).to_bytes(4))
    hashed.update(customer)
    hashed.update(key.encode())
    return hashed.digest()
