"""CBOR encoding of messages between processes and of records in logs."""

from waxwingwinch.codec._codec import decode_message, encode_message, message
from waxwingwinch.codec._converter import make_converter

__all__ = ["decode_message", "encode_message", "make_converter", "message"]
