"""Compressing change sets, whose reports are much alike."""

import zlib

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.gateway._report_messages import ChangeSet

#: The fastest level; traffic between availability zones has a price, and so
#: has processor time.
COMPRESSION_LEVEL = 1
#: Largest change set; a whole one of hundreds of instances takes a tenth.
MAX_CHANGES_BYTES = 4 * 1_024 * 1_024


def pack_changes(changes: ChangeSet) -> bytes:
    """
    Encode and compress a change set.

    :param changes: The change set.
    """
    return zlib.compress(encode_message(changes), COMPRESSION_LEVEL)


def unpack_changes(payload: bytes) -> ChangeSet:
    """
    Return the change set that was compressed.

    :param payload: What a peer sent.
    :raises MalformedMessage: If it is no change set, or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(payload, MAX_CHANGES_BYTES)
    except zlib.error as error:
        raise MalformedMessage(f"changes can't be decompressed: {error}") from error
    if not decompressor.eof:
        raise MalformedMessage(
            f"changes are cut or have more than {MAX_CHANGES_BYTES} bytes"
        )
    changes = decode_message(encoded)
    if not isinstance(changes, ChangeSet):
        raise MalformedMessage("expected a change set")
    return changes
