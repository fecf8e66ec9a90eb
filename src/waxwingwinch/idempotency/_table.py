"""Which claims stand on which key: a pure fold of one stream."""

import enum
from collections import OrderedDict, deque

from attrs import evolve, frozen

from waxwingwinch._types import ProcessId
from waxwingwinch.contracts import StoredAnswer
from waxwingwinch.idempotency._records import (
    Claim,
    ClaimAnswered,
    ClaimNotRun,
    ClaimUnknown,
)
from waxwingwinch.streams import AppliedRecord

#: Claims given up whose record may still turn up.
MAX_GIVEN_UP_CLAIMS = 65_536


class ClaimState(enum.Enum):
    """What is known about a claim."""

    PENDING = "pending"
    ANSWERED = "answered"
    #: It ran, but its answer was too large to keep.
    ANSWER_DROPPED = "answer_dropped"
    UNKNOWN = "unknown"


@frozen
class KeyClaim:
    """
    A claim that stands on a key.

    :param claim_id: The claim.
    :param fingerprint: Hash of the request.
    :param runner: Who claimed; None if the claim's own record is gone.
    :param has_won: True if no other claim stood on the key before it.
    :param state: What is known.
    :param answer: The answer, if it is kept.
    :param offset: Offset of the last record about it.
    """

    claim_id: str
    fingerprint: str
    runner: ProcessId | None
    has_won: bool
    state: ClaimState
    answer: StoredAnswer | None
    offset: int


class ClaimTable:
    """
    The claims that stand on each key, in log order.

    A claim wins if no other stands on its key when it is read, and runs only
    then; one that lost never wins afterwards. A claim stands until its own
    record of not having run, or until the last record about it has left the
    log. So the claims that stand follow from the retained records alone, and
    readers agree on them whenever they began to read.
    """

    def __init__(self) -> None:
        self._claims: dict[bytes, tuple[KeyClaim, ...]] = {}
        self._by_offset: deque[tuple[int, bytes]] = deque()
        self._given_up: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def holder(self, key_digest: bytes) -> KeyClaim | None:
        """
        Return the claim that tells most about a key.

        :param key_digest: Digest of customer and key.
        :returns: One that ran, else the first that stands.
        """
        claims = self._claims.get(key_digest, ())
        ran = [claim for claim in claims if claim.state is not ClaimState.PENDING]
        return next(iter(ran or claims), None)

    def find(self, key_digest: bytes, claim_id: str) -> KeyClaim | None:
        """
        Return a claim that stands on a key.

        :param key_digest: Digest of customer and key.
        :param claim_id: The claim.
        """
        for claim in self._claims.get(key_digest, ()):
            if claim.claim_id == claim_id:
                return claim
        return None

    def apply(self, applied: AppliedRecord) -> None:
        """
        Apply the next record.

        :param applied: A record in log order.
        """
        offset = applied.offset
        match applied.body:
            case Claim() as claim:
                self._apply_claim(claim, offset)
            case ClaimAnswered(claim_id, key_digest, fingerprint, answer):
                state = ClaimState.ANSWERED if answer else ClaimState.ANSWER_DROPPED
                found = self._outcome(claim_id, key_digest, fingerprint, offset)
                self._put(key_digest, evolve(found, state=state, answer=answer))
            case ClaimUnknown(claim_id, key_digest, fingerprint):
                found = self._outcome(claim_id, key_digest, fingerprint, offset)
                if found.state is ClaimState.PENDING:
                    self._put(key_digest, evolve(found, state=ClaimState.UNKNOWN))
            case ClaimNotRun(claim_id, key_digest):
                self._apply_not_run(claim_id, key_digest)

    def expire(self, first_offset: int) -> None:
        """
        Forget what has left the log.

        :param first_offset: The oldest offset that the log holds.
        """
        while self._by_offset and self._by_offset[0][0] < first_offset:
            _, key_digest = self._by_offset.popleft()
            claims = self._claims.get(key_digest, ())
            kept = tuple(claim for claim in claims if claim.offset >= first_offset)
            self._replace(key_digest, kept)

    def _apply_claim(self, claim: Claim, offset: int) -> None:
        if claim.claim_id in self._given_up:
            return
        self._put(
            claim.key_digest,
            KeyClaim(
                claim_id=claim.claim_id,
                fingerprint=claim.fingerprint,
                runner=claim.runner,
                has_won=claim.key_digest not in self._claims,
                state=ClaimState.PENDING,
                answer=None,
                offset=offset,
            ),
        )

    def _apply_not_run(self, claim_id: str, key_digest: bytes) -> None:
        found = self.find(key_digest, claim_id)
        if found is None:
            # Its writer gave it up, but the record may turn up later.
            self._given_up[claim_id] = None
            while len(self._given_up) > MAX_GIVEN_UP_CLAIMS:
                self._given_up.popitem(last=False)
        elif found.state is ClaimState.PENDING:
            claims = self._claims[key_digest]
            kept = tuple(claim for claim in claims if claim is not found)
            self._replace(key_digest, kept)

    def _outcome(
        self, claim_id: str, key_digest: bytes, fingerprint: str, offset: int
    ) -> KeyClaim:
        """Return the claim that an outcome belongs to, moved to its offset."""
        found = self.find(key_digest, claim_id)
        if found is not None:
            return evolve(found, offset=offset)
        # The claim's own record has left the log before its outcome.
        state = ClaimState.PENDING
        return KeyClaim(claim_id, fingerprint, None, True, state, None, offset)

    def _put(self, key_digest: bytes, claim: KeyClaim) -> None:
        """Add a claim, or replace the one of the same name in its place."""
        claims = list(self._claims.get(key_digest, ()))
        names = [other.claim_id for other in claims]
        if claim.claim_id in names:
            claims[names.index(claim.claim_id)] = claim
        else:
            claims.append(claim)
        self._claims[key_digest] = tuple(claims)
        self._by_offset.append((claim.offset, key_digest))

    def _replace(self, key_digest: bytes, claims: tuple[KeyClaim, ...]) -> None:
        if claims:
            self._claims[key_digest] = claims
        else:
            self._claims.pop(key_digest, None)
