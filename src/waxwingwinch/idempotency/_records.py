"""Records of the streams ``claims-<shard>``."""

from attrs import frozen

from waxwingwinch._types import ProcessId
from waxwingwinch.codec import message
from waxwingwinch.contracts import StoredAnswer


@message("claim")
@frozen
class Claim:
    """
    Claims a key; the first claim in log order wins it.

    :param claim_id: Unique id of the claim.
    :param key_digest: Digest of customer id and idempotency key.
    :param fingerprint: Hash of method, path and body.
    :param runner: Process that is to execute the request.
    """

    claim_id: str
    key_digest: bytes
    fingerprint: str
    runner: ProcessId


@message("claim_answered")
@frozen
class ClaimAnswered:
    """
    Records that the request was executed, with its response.

    :param claim_id: Id of the claim.
    :param key_digest: Digest of customer id and idempotency key.
    :param fingerprint: Hash of method, path and body.
    :param answer: Complete response; None if it is too large to store.
    """

    claim_id: str
    key_digest: bytes
    fingerprint: str
    answer: StoredAnswer | None


@message("claim_not_run")
@frozen
class ClaimNotRun:
    """
    Releases a key: no byte of the request was sent or will be sent.

    :param claim_id: Id of the claim.
    :param key_digest: Digest of customer id and idempotency key.
    """

    claim_id: str
    key_digest: bytes


@message("claim_unknown")
@frozen
class ClaimUnknown:
    """
    Records that the outcome of the request can never be known.

    :param claim_id: Id of the claim.
    :param key_digest: Digest of customer id and idempotency key.
    :param fingerprint: Hash of method, path and body.
    """

    claim_id: str
    key_digest: bytes
    fingerprint: str
