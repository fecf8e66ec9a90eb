"""The converter between attrs classes and plain data."""

from cattrs import Converter

from waxwingwinch._types import Address


def make_converter() -> Converter:
    """
    Build a converter that knows the shared types.

    Unknown fields are ignored, so that a newer process may add fields to a
    message that an older one still reads.
    """
    converter = Converter()
    converter.register_unstructure_hook(Address, str)
    converter.register_structure_hook(Address, lambda text, _: Address.parse(text))
    converter.register_structure_hook(bytes, lambda value, _: bytes(value))
    return converter
