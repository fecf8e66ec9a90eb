"""Claims on idempotency keys, agreed on through the log."""

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
    ClaimPending,
    ClaimResult,
    ClaimUnavailable,
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

#: Records that go together in one append.
MAX_BATCH_RECORDS = 256
#: Largest body that is kept with an answer.
MAX_ANSWER_BYTES = 64 * 1_024
#: Age of the last complete read at which the log counts as down.
MAX_READ_AGE_SECONDS = 3.0
#: Longest time that one claim may take.
MAX_CLAIM_SECONDS = 15.0
#: Time within which a won request must be sent; far below the time that the
#: log keeps records.
SEND_WITHIN_SECONDS = 30.0
#: How long outcomes are tried if the log is down.
OUTCOME_TIMEOUT_SECONDS = 600.0
#: How long the recording of an answer is waited for.
ANSWER_WAIT_SECONDS = 1.0
#: When callers are asked to come back.
RETRY_AFTER_SECONDS = 1.0

#: Given instead of an answer that was too large to keep.
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
class _OwnClaim:
    """
    A claim that this process won.

    :param key_digest: Digest of customer and key.
    :param fingerprint: Hash of the request.
    """

    key_digest: bytes
    fingerprint: str


class LogIdempotencyStore:
    """
    Lets the first claim on a key in log order run.

    :param log: The platform's log.
    :param clock: Source of the present time.
    :param runner: This process.
    :param is_alive: Tells whether a process is known to live.
    :param shard_count: Number of streams that the keys are spread over; the
        same in all processes.
    :param max_batch_records: Most records in one append; 1 turns group
        commit off.
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
        self._own: dict[str, _OwnClaim] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start reading and appending."""
        for shard in self._shards:
            shard.start()

    def stop(self) -> None:
        """Append outcomes that are pending and end the threads."""
        for shard in self._shards:
            shard.stop()

    def health(self) -> Health:
        """Return the worst state of the shards."""
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
        Claim a key; returns once the claim's place in the log is known.

        :param customer_id: The customer; keys of others never collide.
        :param key: The key of the caller.
        :param fingerprint: Hash of method, path and body.
        :param timeout_seconds: How long to wait for the log.
        :param now_seconds: Monotonic time.
        """
        key_digest = digest_key(customer_id, key)
        shard = self._shard(key_digest)
        if not shard.is_current(MAX_READ_AGE_SECONDS, now_seconds):
            return ClaimUnavailable(RETRY_AFTER_SECONDS)
        shard.forget(now_seconds)
        deadline_seconds = now_seconds + min(timeout_seconds, MAX_CLAIM_SECONDS)
        holder = shard.holder(key_digest)
        if holder is None:
            own = _OwnClaim(key_digest, fingerprint)
            result = self._append_claim(shard, own, now_seconds, deadline_seconds)
            if result is not None:
                return result
        return self._resolve(shard, key_digest, fingerprint, deadline_seconds)

    def record_answer(self, claim_id: str, answer: StoredAnswer) -> None:
        """
        Keep the answer of a claim; waits for the log a limited time.

        :param claim_id: A claim that was won here.
        :param answer: The whole answer.
        """
        own = self._pop_own(claim_id)
        shard = self._shard(own.key_digest)
        kept = answer if len(answer.body) <= MAX_ANSWER_BYTES else None
        record = ClaimAnswered(claim_id, own.key_digest, own.fingerprint, kept)
        shard.submit(record, OUTCOME_TIMEOUT_SECONDS)

        def is_recorded() -> bool:
            found = shard.find(own.key_digest, claim_id)
            return found is not None and found.state is not ClaimState.PENDING

        shard.wait_until(is_recorded, ANSWER_WAIT_SECONDS)

    def record_not_run(self, claim_id: str) -> None:
        """
        Give up a claim of which no byte was sent.

        :param claim_id: A claim that was won here.
        """
        own = self._pop_own(claim_id)
        record = ClaimNotRun(claim_id, own.key_digest)
        self._shard(own.key_digest).submit(record, OUTCOME_TIMEOUT_SECONDS)

    def record_unknown(self, claim_id: str) -> None:
        """
        Mark a claim whose outcome can't be known.

        :param claim_id: A claim that was won here.
        """
        own = self._pop_own(claim_id)
        record = ClaimUnknown(claim_id, own.key_digest, own.fingerprint)
        self._shard(own.key_digest).submit(record, OUTCOME_TIMEOUT_SECONDS)

    def _append_claim(
        self,
        shard: ClaimShard,
        own: _OwnClaim,
        now_seconds: float,
        deadline_seconds: float,
    ) -> ClaimResult | None:
        """
        Append a claim and read it back.

        :returns: None if another claim stands before it.
        """
        claim_id = uuid.uuid4().hex
        gaps = shard.gaps
        key_digest = own.key_digest
        record = Claim(claim_id, key_digest, own.fingerprint, self._runner)
        shard.submit(record, deadline_seconds - now_seconds)
        shard.wait_until(
            lambda: shard.find(key_digest, claim_id) is not None,
            deadline_seconds - now_seconds,
        )
        found = shard.find(key_digest, claim_id)
        is_whole = shard.gaps == gaps
        if found is not None and found.has_won and is_whole:
            with self._lock:
                self._own[claim_id] = own
            return ClaimHeld(claim_id, now_seconds + SEND_WITHIN_SECONDS)
        # This process will never run it, also if it turns up later.
        shard.submit(ClaimNotRun(claim_id, key_digest), OUTCOME_TIMEOUT_SECONDS)
        if found is None or not is_whole:
            return ClaimUnavailable(RETRY_AFTER_SECONDS)
        return None

    def _resolve(
        self,
        shard: ClaimShard,
        key_digest: bytes,
        fingerprint: str,
        deadline_seconds: float,
    ) -> ClaimResult:
        """Wait for the outcome of the claim that stands on a key."""

        def is_settled() -> bool:
            holder = shard.holder(key_digest)
            return holder is None or self._outcome(holder, fingerprint) is not None

        left_seconds = deadline_seconds - self._clock.now_seconds()
        shard.wait_until(is_settled, max(0.0, left_seconds))
        holder = shard.holder(key_digest)
        result = None if holder is None else self._outcome(holder, fingerprint)
        return result or ClaimPending(RETRY_AFTER_SECONDS)

    def _outcome(self, holder: KeyClaim, fingerprint: str) -> ClaimResult | None:
        """Return what a claim tells a caller; None if it is to wait."""
        if holder.fingerprint != fingerprint:
            return ClaimPending(None, same_request=False)
        match holder.state:
            case ClaimState.ANSWERED if holder.answer is not None:
                return ClaimedOutcome(holder.answer)
            case ClaimState.ANSWERED | ClaimState.ANSWER_DROPPED:
                return ClaimedOutcome(ANSWER_NOT_KEPT)
            case ClaimState.UNKNOWN:
                return ClaimPending(None)
            case ClaimState.PENDING:
                return None if self._may_answer(holder) else ClaimPending(None)

    def _may_answer(self, holder: KeyClaim) -> bool:
        runner = holder.runner
        if runner is None:
            return False
        return runner == self._runner or self._is_alive(runner)

    def _pop_own(self, claim_id: str) -> _OwnClaim:
        with self._lock:
            own = self._own.pop(claim_id, None)
        if own is None:
            raise WaxwingError(f"claim {claim_id!r} is not open here")
        return own

    def _shard(self, key_digest: bytes) -> ClaimShard:
        number = int.from_bytes(key_digest[:8]) % len(self._shards)
        return self._shards[number]


def digest_key(customer_id: CustomerId, key: str) -> bytes:
    """
    Return the digest under which a key is claimed.

    :param customer_id: The customer.
    :param key: The key of the caller.
    """
    customer = customer_id.encode()
    hashed = hashlib.blake2b(digest_size=16)
    hashed.update(len(customer).to_bytes(4))
    hashed.update(customer)
    hashed.update(key.encode())
    return hashed.digest()
