"""Compressing digests, whose reports are much alike."""

import zlib

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.gateway._report_messages import Digest, PackedDigest

#: The fastest level; traffic between availability zones has a price, and so
#: has processor time.
COMPRESSION_LEVEL = 1
#: Largest digest; that of a cell of some tens of instances takes a hundredth.
MAX_DIGEST_BYTES = 4 * 1_024 * 1_024


def pack_digest(digest: Digest) -> PackedDigest:
    """
    Compress a digest.

    :param digest: The digest.
    """
    return PackedDigest(zlib.compress(encode_message(digest), COMPRESSION_LEVEL))


def unpack_digest(packed: PackedDigest) -> Digest:
    """
    Return the digest that was compressed.

    :param packed: What a peer sent.
    :raises MalformedMessage: If it is no digest, or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(packed.payload, MAX_DIGEST_BYTES)
    except zlib.error as error:
        raise MalformedMessage(f"the digest can't be decompressed: {error}") from error
    if not decompressor.eof:
        raise MalformedMessage(
            f"the digest is cut or has more than {MAX_DIGEST_BYTES} bytes"
        )
    digest = decode_message(payload)
    if not isinstance(digest, Digest):
        raise MalformedMessage("expected a digest")
    return digest
