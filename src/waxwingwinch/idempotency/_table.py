"""Active claims of each key, derived from the records of one stream."""

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

#: Largest number of remembered abandoned claims whose records may still be
#: read.
MAX_ABANDONED_CLAIMS = 65_536


class ClaimState(enum.Enum):
    """What is known about the outcome of a claim."""

    PENDING = "pending"
    ANSWERED = "answered"
    #: The request was executed, but its response was too large to store.
    ANSWER_DROPPED = "answer_dropped"
    UNKNOWN = "unknown"


@frozen
class KeyClaim:
    """
    An active claim on a key.

    :param claim_id: Id of the claim.
    :param fingerprint: Hash of method, path and body.
    :param runner: Process that claimed; None if the claim's own record is no
        longer in the log.
    :param has_won: True if no other claim on the key was active before it.
    :param state: What is known about the outcome.
    :param answer: The response, if it is stored.
    :param offset: Offset of the newest record about the claim.
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
    The active claims on each key, in log order.

    A claim wins if no other claim on its key is active when it is read, and
    only the request of a winning claim is executed. A claim that lost never
    wins later. A claim is active until a record says that its request was not
    executed, or until the newest record about it has expired from the log. The
    active claims thus depend on the retained records alone, and all readers
    agree on them, whenever they began to read.
    """

    def __init__(self) -> None:
        self._claims: dict[bytes, tuple[KeyClaim, ...]] = {}
        self._by_offset: deque[tuple[int, bytes]] = deque()
        self._abandoned: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def deciding_claim(self, key_digest: bytes) -> KeyClaim | None:
        """
        Return the claim that determines the result for a key.

        :param key_digest: Digest of customer id and idempotency key.
        :returns: The first active claim that is no longer pending, else the
            first active claim.
        """
        claims = self._claims.get(key_digest, ())
        decided = [claim for claim in claims if claim.state is not ClaimState.PENDING]
        return next(iter(decided or claims), None)

    def find(self, key_digest: bytes, claim_id: str) -> KeyClaim | None:
        """
        Return an active claim on a key.

        :param key_digest: Digest of customer id and idempotency key.
        :param claim_id: Id of the claim.
        """
        for claim in self._claims.get(key_digest, ()):
            if claim.claim_id == claim_id:
                return claim
        return None

    def apply(self, applied: AppliedRecord) -> None:
        """
        Apply the next record of the stream.

        :param applied: A record in log order.
        """
        offset = applied.offset
        match applied.body:
            case Claim() as claim:
                self._apply_claim(claim, offset)
            case ClaimAnswered(claim_id, key_digest, fingerprint, answer):
                state = ClaimState.ANSWERED if answer else ClaimState.ANSWER_DROPPED
                found = self._claim_at_offset(claim_id, key_digest, fingerprint, offset)
                self._put(key_digest, evolve(found, state=state, answer=answer))
            case ClaimUnknown(claim_id, key_digest, fingerprint):
                found = self._claim_at_offset(claim_id, key_digest, fingerprint, offset)
                if found.state is ClaimState.PENDING:
                    self._put(key_digest, evolve(found, state=ClaimState.UNKNOWN))
            case ClaimNotRun(claim_id, key_digest):
                self._apply_not_run(claim_id, key_digest)

    def expire(self, first_offset: int) -> None:
        """
        Remove claims whose newest record has expired from the log.

        :param first_offset: Oldest offset that the log retains.
        """
        while self._by_offset and self._by_offset[0][0] < first_offset:
            _, key_digest = self._by_offset.popleft()
            claims = self._claims.get(key_digest, ())
            retained = tuple(claim for claim in claims if claim.offset >= first_offset)
            self._set_claims(key_digest, retained)

    def _apply_claim(self, claim: Claim, offset: int) -> None:
        if claim.claim_id in self._abandoned:
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
            # The writer abandoned the claim, but its record may still be read.
            self._abandoned[claim_id] = None
            while len(self._abandoned) > MAX_ABANDONED_CLAIMS:
                self._abandoned.popitem(last=False)
        elif found.state is ClaimState.PENDING:
            claims = self._claims[key_digest]
            retained = tuple(claim for claim in claims if claim is not found)
            self._set_claims(key_digest, retained)

    def _claim_at_offset(
        self, claim_id: str, key_digest: bytes, fingerprint: str, offset: int
    ) -> KeyClaim:
        """Return the claim of an outcome record, with that record's offset."""
        found = self.find(key_digest, claim_id)
        if found is not None:
            return evolve(found, offset=offset)
        # The claim's own record expired before its outcome was read. Only a
        # claim that has won gets an outcome record with a fingerprint.
        state = ClaimState.PENDING
        return KeyClaim(claim_id, fingerprint, None, True, state, None, offset)

    def _put(self, key_digest: bytes, claim: KeyClaim) -> None:
        """Add a claim, or replace the one with the same id in its position."""
        claims = list(self._claims.get(key_digest, ()))
        claim_ids = [other.claim_id for other in claims]
        if claim.claim_id in claim_ids:
            claims[claim_ids.index(claim.claim_id)] = claim
        else:
            claims.append(claim)
        self._claims[key_digest] = tuple(claims)
        self._by_offset.append((claim.offset, key_digest))

    def _set_claims(self, key_digest: bytes, claims: tuple[KeyClaim, ...]) -> None:
        if claims:
            self._claims[key_digest] = claims
        else:
            self._claims.pop(key_digest, None)
