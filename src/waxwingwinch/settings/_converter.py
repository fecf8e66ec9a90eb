"""The converter of values that people write."""

from pathlib import Path
from typing import Any

from cattrs import Converter

from waxwingwinch._types import Address


def _strict(kind: type, names: str) -> Any:
    def structure(value: Any, _: Any) -> Any:
        is_flag = isinstance(value, bool)
        if not isinstance(value, kind) or (is_flag and kind is not bool):
            raise ValueError(f"must be {names}, is {value!r}")
        return value

    return structure


def _structure_float(value: Any, _: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"must be a number, is {value!r}")
    return float(value)


def _structure_address(value: Any, _: Any) -> Address:
    return Address.parse(_strict(str, "an address like 127.0.0.1:8000")(value, None))


def _structure_bytes(value: Any, _: Any) -> bytes:
    return bytes.fromhex(_strict(str, "hexadecimal digits in quotes")(value, None))


def make_strict_converter() -> Converter:
    """
    Build a converter that changes no value's type.

    Bytes are written as hexadecimal digits and addresses as text. Unknown
    fields are refused.
    """
    converter = Converter(forbid_extra_keys=True)
    converter.register_unstructure_hook(bytes, bytes.hex)
    converter.register_unstructure_hook(Address, str)
    converter.register_structure_hook(str, _strict(str, "text"))
    converter.register_structure_hook(int, _strict(int, "a whole number"))
    converter.register_structure_hook(bool, _strict(bool, "true or false"))
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(bytes, _structure_bytes)
    converter.register_structure_hook(Address, _structure_address)
    converter.register_structure_hook(Path, lambda value, _: Path(value))
    return converter
