"""Encoding of attrs classes as CBOR arrays of a kind tag and the fields."""

from collections.abc import Callable
from typing import Any, TypeVar

import cbor2
from attrs import has

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.codec._converter import make_converter, make_positional

T = TypeVar("T")

#: Maximum length of the text of an error, which may quote the message.
MAX_REASON_CHARACTERS = 500

_CONVERTER = make_converter()
_KIND_BY_CLASS: dict[type, str] = {}
_CLASS_BY_KIND: dict[str, type] = {}


def message(kind: str, is_positional: bool = False) -> Callable[[type[T]], type[T]]:
    """
    Register an attrs class as a message.

    :param kind: The tag of the class on the wire; never reused.
    :param is_positional: True to encode fields by position, which is shorter
        than by name. Fields may then only be added at the end, with defaults.
    :returns: A class decorator that returns the class itself.
    """

    def register(cls: type[T]) -> type[T]:
        is_attrs_class: bool = has(cls)
        if not is_attrs_class:
            raise TypeError(f"{cls.__name__} is not an attrs class")
        if kind in _CLASS_BY_KIND:
            raise TypeError(f"message kind {kind!r} is already registered")
        _KIND_BY_CLASS[cls] = kind
        _CLASS_BY_KIND[kind] = cls
        if is_positional:
            make_positional(_CONVERTER, cls)
        return cls

    return register


def encode_message(value: object) -> bytes:
    """
    Encode a message.

    :param value: An instance of a class registered with :func:`message`.
    :returns: A CBOR array of the kind and the fields.
    :raises KeyError: If the class is not registered.
    """
    kind = _KIND_BY_CLASS[type(value)]
    return bytes(cbor2.dumps([kind, _CONVERTER.unstructure(value)]))


def decode_message(payload: bytes) -> Any:
    """
    Decode a message.

    :param payload: Bytes from any source, also an untrusted one.
    :returns: An instance of a registered class.
    :raises MalformedMessage: If the bytes are not a message as encoded by
        :func:`encode_message`, or its kind is not registered.
    """
    try:
        kind, fields = cbor2.loads(payload)
        cls = _CLASS_BY_KIND[kind]
        return _CONVERTER.structure(fields, cls)
    except Exception as error:
        # Any decoder error means that the sender is faulty or runs an
        # incompatible version.
        reason = str(error)[:MAX_REASON_CHARACTERS]
        raise MalformedMessage(f"{type(error).__name__}: {reason}") from error
