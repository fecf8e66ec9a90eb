"""What is done with the messages of peers."""

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

    def handle(self, kind: type, handler: Handler) -> None:
        """
        Register the handler of a message class.

        :param kind: The message class.
        :param handler: Handles its messages.
        """
        self._handlers[kind] = handler

    def answer(self, peer: PeerIdentity, data: Any) -> bytes | None:
        """
        Handle a message.

        :param peer: Who sent it.
        :param data: The message as the connection received it.
        :returns: What to send back; None if no reply is expected.
        :raises MalformedMessage: If it can't be decoded or has no handler.
        """
        frame = decode_frame(data)
        body = decode_message(frame.payload)
        handler = self._handlers.get(type(body))
        if handler is None:
            raise MalformedMessage(f"no handler for {type(body).__name__}")
        reply = handler(peer, body)
        if frame.correlation == NO_REPLY:
            return None
        payload = b"" if reply is None else encode_message(reply)
        return encode_message(Frame(frame.correlation, payload))
