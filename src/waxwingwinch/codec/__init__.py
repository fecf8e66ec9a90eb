"""CBOR encoding of the typed messages that processes and logs exchange."""

from waxwingwinch.codec._codec import decode_message, encode_message, message
from waxwingwinch.codec._converter import make_converter

__all__ = ["decode_message", "encode_message", "make_converter", "message"]
