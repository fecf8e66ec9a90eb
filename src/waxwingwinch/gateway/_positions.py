"""
Positions in topics of the platform's store.

A store that returns from an older copy gives out the same offsets again. A
position therefore also holds the era of the store, the number of its returns,
in its upper bits. Positions rise over returns; those of different eras differ.
"""

#: Bits of a position that hold the offset.
OFFSET_BITS = 32
#: Largest era; positions up to it are exact in JSON numbers.
MAX_ERA = 2**20

#: Largest offset that a position holds.
MAX_OFFSET = 2**OFFSET_BITS - 1


def make_position(era: int, offset: int) -> int:
    """
    Return the position of an offset.

    :param era: Era of the store.
    :param offset: Offset of a record in its topic.
    """
    return era << OFFSET_BITS | offset


def era_of(position: int) -> int:
    """
    Return the era of a position.

    :param position: The position.
    """
    return position >> OFFSET_BITS


def offset_of(position: int) -> int:
    """
    Return the offset of a position within its era.

    :param position: The position.
    """
    offset: int = position & MAX_OFFSET
    return offset
