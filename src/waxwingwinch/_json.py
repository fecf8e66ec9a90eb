"""Decoding of JSON that other processes have written."""

import json
import math
from typing import Any, NoReturn

#: Maximum nesting of arrays and objects.
MAX_NESTING_LEVELS = 32
#: Bounds of integers: those of signed and unsigned 64-bit integers.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
#: Maximum length of an integer within those bounds, with its sign.
MAX_INTEGER_CHARACTERS = 20


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
    _check_values(value)
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


def _check_values(value: Any) -> None:
    """Check nesting and texts level by level, without recursion."""
    level = [value]
    for _ in range(MAX_NESTING_LEVELS + 1):
        children: list[Any] = []
        for item in level:
            match item:
                case str():
                    _check_text(item)
                case list():
                    children.extend(item)
                case dict():
                    children.extend(item.keys())
                    children.extend(item.values())
        if not children:
            return
        level = children
    raise ValueError(_nesting_problem())


def _check_text(text: str) -> None:
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise ValueError("a text holds a lone surrogate") from error


def _nesting_problem() -> str:
    return f"JSON is nested deeper than {MAX_NESTING_LEVELS} levels"
