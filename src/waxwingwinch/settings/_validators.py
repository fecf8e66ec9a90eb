"""Validators of settings, beside those of attrs."""

import ipaddress
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from attrs import Attribute

from waxwingwinch._types import Address

#: Highest TCP port.
MAX_PORT = 65_535


def not_blank(_: Any, attribute: "Attribute[Any]", value: str) -> None:
    """
    Refuse empty text.

    :raises ValueError: If there is nothing but spaces.
    """
    if not value.strip():
        raise ValueError("must not be empty")


def ip_address(_: Any, attribute: "Attribute[Any]", value: Address) -> None:
    """
    Refuse an address that isn't an IP number with a port.

    :raises ValueError: If it isn't.
    """
    try:
        ipaddress.ip_address(value.host.strip("[]"))
    except ValueError:
        raise ValueError(f"{value.host!r} is not an IP number") from None
    if not 0 < value.port <= MAX_PORT:
        raise ValueError(f"port {value.port} is not within 1 to {MAX_PORT}")


def distinct(name: str) -> Callable[[Any, "Attribute[Any]", Sequence[Any]], None]:
    """
    Return a validator that refuses items with the same field.

    :param name: The field.
    """

    def validate(_: Any, attribute: "Attribute[Any]", value: Sequence[Any]) -> None:
        counts = Counter(getattr(item, name) for item in value)
        twice = [text for text, count in counts.items() if count > 1]
        if twice:
            raise ValueError(f"{name} {twice[0]!r} is used twice")

    return validate
