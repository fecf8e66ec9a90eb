"""Checks of decoded JSON values, which other processes have written."""

from typing import Any

#: Maximum of a number without a closer bound: the largest integer that a
#: 64-bit float represents exactly.
MAX_EXACT_INTEGER = 2**53 - 1
#: Maximum length of a text without a closer bound.
MAX_TEXT_CHARACTERS = 256


def read_text(value: Any, max_characters: int = MAX_TEXT_CHARACTERS) -> str:
    """
    Return a text that is not empty and can be printed.

    :param value: The decoded value.
    :param max_characters: Maximum length.
    :raises ValueError: If the value is anything else.
    """
    if not isinstance(value, str):
        raise ValueError(f"expected a string, got {type(value).__name__}")
    if not 0 < len(value) <= max_characters:
        raise ValueError(f"expected 1 to {max_characters} characters, got {len(value)}")
    if not value.isprintable():
        raise ValueError("a text holds characters that are not printable")
    return value


def read_integer(value: Any, minimum: int = 0, maximum: int = MAX_EXACT_INTEGER) -> int:
    """
    Return an integer within bounds.

    :param value: The decoded value.
    :param minimum: Smallest valid integer.
    :param maximum: Largest valid integer.
    :raises ValueError: If the value is anything else, such as a boolean.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"expected an integer, got {type(value).__name__}")
    if not minimum <= value <= maximum:
        raise ValueError(
            f"expected an integer from {minimum} to {maximum}, got {value}"
        )
    return value


def read_number(value: Any, maximum: float = MAX_EXACT_INTEGER) -> float:
    """
    Return a number of at least 0.

    :param value: The decoded value.
    :param maximum: Largest valid number.
    :raises ValueError: If the value is anything else, such as a boolean.
    """
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"expected a number, got {type(value).__name__}")
    if not 0 <= value <= maximum:
        raise ValueError(f"expected a number from 0 to {maximum}, got {value}")
    return value


def read_flag(value: Any) -> bool:
    """
    Return a boolean.

    :param value: The decoded value.
    :raises ValueError: If the value is anything else.
    """
    if not isinstance(value, bool):
        raise ValueError(f"expected true or false, got {type(value).__name__}")
    return value


def read_list(value: Any) -> list[Any]:
    """
    Return a list; its items are not checked.

    :param value: The decoded value.
    :raises ValueError: If the value is anything else.
    """
    if not isinstance(value, list):
        raise ValueError(f"expected a list, got {type(value).__name__}")
    return value


def read_object(value: Any) -> dict[str, Any]:
    """
    Return a JSON object; its values are not checked.

    :param value: The decoded value.
    :raises ValueError: If the value is anything else.
    """
    if not isinstance(value, dict):
        raise ValueError(f"expected a JSON object, got {type(value).__name__}")
    return value
