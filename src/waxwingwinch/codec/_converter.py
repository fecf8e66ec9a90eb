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


def make_positional(converter: Converter, cls: type) -> None:
    """
    Have a converter write the fields of a class without their names.

    :param converter: The converter.
    :param cls: An attrs class.
    """
    converter.register_unstructure_hook(cls, converter.unstructure_attrs_astuple)
    converter.register_structure_hook(cls, converter.structure_attrs_fromtuple)
