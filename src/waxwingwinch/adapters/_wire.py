"""The converter between attrs classes and JSON values."""

import re
from typing import TypeVar

from cattrs import Converter
from cattrs.strategies import configure_tagged_union

from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch.codec import make_converter
from waxwingwinch.interfaces import GiveBack, OrderAction, OrderUpstream

T = TypeVar("T")

#: Field that names the class of an order's action.
ACTION_TAG = "kind"


def _snake_case(cls: type) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", cls.__name__).lower()


def make_wire_converter() -> Converter:
    """Build a converter that writes the actions of orders with their kind."""
    converter = make_converter()
    for union in (OrderAction, OrderUpstream | GiveBack):
        configure_tagged_union(
            union, converter, tag_name=ACTION_TAG, tag_generator=_snake_case
        )
    return converter


def structure_answer(converter: Converter, value: object, kind: type[T]) -> T:
    """
    Read a value that the platform sent.

    :param converter: Made by :func:`make_wire_converter`.
    :param value: Decoded JSON.
    :param kind: The expected type.
    :raises PlatformUnavailable: If the value is not of the type.
    """
    try:
        return converter.structure(value, kind)
    except Exception as error:
        # The converter raises errors of many kinds, all with one meaning.
        raise PlatformUnavailable(
            f"malformed answer: {error!r}", may_have_taken_effect=True
        ) from error
