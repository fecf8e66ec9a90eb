"""The frame that pairs requests with replies on one link."""

from typing import Any

from attrs import frozen

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.codec import decode_message, encode_message, message

#: Correlation of a message that expects no reply.
NO_REPLY = 0
#: Largest message between peers.
MAX_FRAME_BYTES = 16 * 1_024 * 1_024


@message("peer_frame")
@frozen
class Frame:
    """
    One message on a link.

    :param correlation: Pairs a reply with its request; ``NO_REPLY`` if no
        reply is expected.
    :param payload: The encoded message; empty in a reply that only
        acknowledges.
    """

    correlation: int
    payload: bytes


def encode_one_way(body: object) -> bytes:
    """
    Encode a message that expects no reply.

    The encoded frame can be sent over any number of links.

    :param body: The message.
    """
    return encode_message(Frame(NO_REPLY, encode_message(body)))


def decode_frame(data: Any) -> Frame:
    """
    Decode a frame that a link received.

    :param data: One message of the websocket connection.
    :raises MalformedMessage: If ``data`` is not an encoded frame.
    """
    if not isinstance(data, bytes):
        raise MalformedMessage(f"expected a binary frame, got {type(data).__name__}")
    frame = decode_message(data)
    if not isinstance(frame, Frame):
        raise MalformedMessage(f"expected a frame, got {type(frame).__name__}")
    return frame
