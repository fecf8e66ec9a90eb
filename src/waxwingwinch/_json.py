"""Decoding of JSON that other processes have written."""

import json
import math
from collections.abc import Iterator
from itertools import chain
from typing import Any, NoReturn

#: Maximum nesting of arrays and objects.
MAX_NESTING_LEVELS = 32
#: Bounds of integers: those of signed and unsigned 64-bit integers.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
#: Maximum length of an integer within those bounds, with its sign.
MAX_INTEGER_CHARACTERS = 20

_CONTAINERS = (dict, list)


def decode_json(payload: bytes | str, max_bytes: int) -> Any:
    """
    Decode JSON within bounds that keep the result safe to process.

    The result holds no NaN, infinity, integer beyond 64 bits or text that
    UTF-8 can't encode, and can be processed recursively.

    :param payload: The JSON text; untrusted.
    :param max_bytes: Maximum length of the payload.
    :raises ValueError: If the payload is not JSON or exceeds a bound.
    """
    if len(payload) > max_bytes:
        raise ValueError(f"{len(payload)} bytes of JSON exceed {max_bytes}")
    try:
        value = json.loads(
            payload,
            parse_int=_parse_integer,
            parse_float=_parse_float,
            parse_constant=_reject_constant,
        )
    except RecursionError as error:
        raise ValueError(_nesting_problem()) from error
    _check_nesting(value)
    if _may_hold_surrogates(payload):
        _check_texts(value)
    return value


def _parse_integer(text: str) -> int:
    if len(text) > MAX_INTEGER_CHARACTERS:
        raise ValueError(f"an integer of {len(text)} characters exceeds 64 bits")
    number = int(text)
    if not MIN_INTEGER <= number <= MAX_INTEGER:
        raise ValueError(f"integer {number} exceeds 64 bits")
    return number


def _parse_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"a number of {len(text)} characters is too large")
    return number


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def _check_nesting(value: Any) -> None:
    """Check nesting level by level, without recursion."""
    level = [value] if type(value) in _CONTAINERS else []
    for _ in range(MAX_NESTING_LEVELS):
        if not level:
            return
        level = [child for child in _children(level) if type(child) in _CONTAINERS]
    if any(level):
        raise ValueError(_nesting_problem())


def _children(containers: list[Any]) -> Iterator[Any]:
    return chain.from_iterable(
        container.values() if type(container) is dict else container
        for container in containers
    )


def _may_hold_surrogates(payload: bytes | str) -> bool:
    """
    Tell whether a text of the payload may hold a lone surrogate.

    Checking the payload takes a hundredth of the time of checking each text.
    """
    try:
        encoded = payload.encode() if isinstance(payload, str) else payload
        encoded.decode()
    except UnicodeError:
        return True
    # Zero bytes occur in UTF-16 and UTF-32, whose escapes differ.
    return any(sign in encoded for sign in (b"\\ud", b"\\uD", b"\0"))


def _check_texts(value: Any) -> None:
    level = [value]
    while level:
        for item in level:
            match item:
                case str():
                    _check_text(item)
                case dict():
                    for key in item:
                        _check_text(key)
        level = list(_children([item for item in level if type(item) in _CONTAINERS]))


def _check_text(text: str) -> None:
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise ValueError("a text holds a lone surrogate") from error


def _nesting_problem() -> str:
    return f"JSON is nested deeper than {MAX_NESTING_LEVELS} levels"
