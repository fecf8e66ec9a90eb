"""Compression of change sets, whose reports resemble one another."""

import zlib

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.gateway._report_messages import ChangeSet

#: The fastest level: traffic between availability zones is billed, but so is
#: processor time.
COMPRESSION_LEVEL = 1
#: Maximum decompressed size; a full change set of hundreds of instances takes
#: a tenth of it.
MAX_CHANGES_BYTES = 4 * 1_024 * 1_024


def pack_changes(changes: ChangeSet) -> bytes:
    """
    Encode and compress a change set.

    :param changes: The change set.
    """
    return zlib.compress(encode_message(changes), COMPRESSION_LEVEL)


def unpack_changes(payload: bytes) -> ChangeSet:
    """
    Decompress and decode a change set.

    :param payload: The compressed change set, as received from a peer.
    :raises MalformedMessage: If the payload is not a change set, is truncated
        or is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(payload, MAX_CHANGES_BYTES)
    except zlib.error as error:
        raise MalformedMessage(f"change set cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise MalformedMessage(
            f"change set is truncated or larger than {MAX_CHANGES_BYTES} bytes"
        )
    changes = decode_message(encoded)
    if not isinstance(changes, ChangeSet):
        raise MalformedMessage("expected a change set, got another message")
    return changes
