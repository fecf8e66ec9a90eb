"""The frame that pairs requests with replies on one link."""

from attrs import frozen

from waxwingwinch.codec import message

#: Correlation of a message that expects no reply.
NO_REPLY = 0
#: Largest message between peers.
MAX_FRAME_BYTES = 16 * 1_024 * 1_024


@message("peer_frame")
@frozen
class Frame:
    """
    One message on a link.

    :param correlation: Pairs a reply with its request; ``NO_REPLY`` if none
        is expected.
    :param payload: The encoded message; empty in a reply that only
        acknowledges.
    """

    correlation: int
    payload: bytes
