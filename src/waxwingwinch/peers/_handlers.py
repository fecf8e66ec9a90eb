"""Dispatch of peer messages to handlers."""

from collections.abc import Callable
from typing import Any

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.peers._frames import NO_REPLY, Frame, decode_frame
from waxwingwinch.peers._handshake import PeerIdentity

#: A function that handles a message and returns the reply, if there is one.
Handler = Callable[[PeerIdentity, Any], object | None]


class HandlerTable:
    """The handlers of a server, by message class."""

    def __init__(self) -> None:
        self._handlers: dict[type, Handler] = {}

    def handle(self, message_class: type, handler: Handler) -> None:
        """
        Register the handler of a message class.

        :param message_class: Class of the messages to handle.
        :param handler: Called for each message of this class.
        """
        self._handlers[message_class] = handler

    def dispatch(self, peer: PeerIdentity, data: Any) -> bytes | None:
        """
        Decode a frame, call the handler of its message and encode the reply.

        :param peer: The sender.
        :param data: The frame as the connection received it.
        :returns: The encoded reply frame, with an empty payload if the
            handler returned no reply; None if the sender expects no reply.
        :raises MalformedMessage: If the frame or its message can't be
            decoded or the message class has no handler.
        """
        frame = decode_frame(data)
        body = decode_message(frame.payload)
        handler = self._handlers.get(type(body))
        if handler is None:
            raise MalformedMessage(
                f"no handler is registered for {type(body).__name__}"
            )
        reply = handler(peer, body)
        if frame.correlation == NO_REPLY:
            return None
        payload = b"" if reply is None else encode_message(reply)
        return encode_message(Frame(frame.correlation, payload))
