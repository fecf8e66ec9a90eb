"""Records of the streams ``claims-<shard>``."""

from attrs import frozen

from waxwingwinch._types import ProcessId
from waxwingwinch.codec import message
from waxwingwinch.contracts import StoredAnswer


@message("claim")
@frozen
class Claim:
    """
    Claims a key; the first in log order holds it.

    :param claim_id: Unique name of the claim.
    :param key_digest: Digest of customer and key.
    :param fingerprint: Hash of method, path and body.
    :param runner: Who wants to run the request.
    """

    claim_id: str
    key_digest: bytes
    fingerprint: str
    runner: ProcessId


@message("claim_answered")
@frozen
class ClaimAnswered:
    """
    The request ran.

    :param claim_id: The claim.
    :param key_digest: Digest of customer and key.
    :param fingerprint: Hash of method, path and body.
    :param answer: Its whole answer; None if it is too large to keep.
    """

    claim_id: str
    key_digest: bytes
    fingerprint: str
    answer: StoredAnswer | None


@message("claim_not_run")
@frozen
class ClaimNotRun:
    """
    No byte of the request was sent or will be; the key is free again.

    :param claim_id: The claim.
    :param key_digest: Digest of customer and key.
    """

    claim_id: str
    key_digest: bytes


@message("claim_unknown")
@frozen
class ClaimUnknown:
    """
    The outcome of the request will never be known.

    :param claim_id: The claim.
    :param key_digest: Digest of customer and key.
    :param fingerprint: Hash of method, path and body.
    """

    claim_id: str
    key_digest: bytes
    fingerprint: str
