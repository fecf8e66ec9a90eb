"""Compression of large values of records, such as a configuration."""

import zlib
from collections import OrderedDict

from waxwingwinch._exceptions import MalformedMessage

#: Values from this length on are compressed; shorter ones fit into a few
#: packets in any case.
LARGE_VALUE_BYTES = 4_096
#: Level of the compression. Level 6 takes 2.4 ms for a configuration of 2,000
#: routes, which the packer spends once, and saves a quarter of the bytes that
#: level 1 leaves for each reader.
COMPRESSION_LEVEL = 6
#: Maximum decompressed size, that of an answer of the store.
MAX_VALUE_BYTES = 8 * 1_024 * 1_024
#: Number of compressed values that are kept: a new version and the one before.
MAX_KEPT_VALUES = 2


class ValuePacker:
    """Compresses values, each once for all readers; for one thread."""

    def __init__(self) -> None:
        self._packed: OrderedDict[bytes, bytes] = OrderedDict()

    def pack(self, value: bytes) -> bytes:
        """
        Return the compressed value.

        :param value: The value.
        """
        packed = self._packed.get(value)
        if packed is None:
            packed = zlib.compress(value, COMPRESSION_LEVEL)
            self._packed[value] = packed
            if len(self._packed) > MAX_KEPT_VALUES:
                self._packed.popitem(last=False)
        return packed


def unpack_value(packed: bytes) -> bytes:
    """
    Decompress a value.

    :param packed: The compressed value, as received from a peer.
    :raises MalformedMessage: If it is no compressed value, is truncated or is
        too large.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(packed, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise MalformedMessage(f"value cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise MalformedMessage(
            f"value is truncated or larger than {MAX_VALUE_BYTES} bytes"
        )
    return value
