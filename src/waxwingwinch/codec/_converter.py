"""Conversion between attrs classes and plain data."""

import types
from collections.abc import Callable
from typing import Any, Union, get_args, get_origin

from attrs import fields, frozen
from cattrs import Converter

from waxwingwinch._types import Address

#: Classes whose values are encoded without conversion.
UNCONVERTED_CLASSES = (str, int, float, bool, bytes, types.NoneType)


def make_converter() -> Converter:
    """
    Build a converter with hooks for ``Address`` and ``bytes``.

    Unknown fields are ignored, so that a newer process may add fields to a
    message that older processes still read.
    """
    converter = Converter()
    converter.register_unstructure_hook(Address, str)
    converter.register_structure_hook(Address, lambda text, _: Address.parse(text))
    converter.register_structure_hook(bytes, lambda value, _: bytes(value))
    return converter


@frozen
class _UnconvertedField:
    """
    A field whose value is encoded without conversion.

    :param classes: Accepted classes of the value.
    """

    classes: tuple[type, ...]

    def read(self, value: Any) -> Any:
        """
        Check and return a decoded value.

        :param value: The value.
        :raises TypeError: If the value is not an instance of ``classes``.
        """
        if not isinstance(value, self.classes):
            raise TypeError(
                f"got {type(value).__name__}, expected one of {self.classes}"
            )
        return value


@frozen
class _HookField:
    """
    A field whose value the converter's hooks convert to and from plain data.

    :param type: The field's type.
    :param structure: Structure hook; takes the plain data and the type.
    """

    type: Any
    structure: Callable[[Any, Any], Any]

    def read(self, value: Any) -> Any:
        """
        Convert decoded plain data to the field's type.

        :param value: The decoded plain data.
        """
        return self.structure(value, self.type)


@frozen
class _TupleField:
    """
    A field that holds a tuple of any number of items of one type.

    :param item: Type of the items.
    :param structure: Structure hook of the items; takes the plain data and
        the type. None if items need no conversion.
    """

    item: Any
    structure: Callable[[Any, Any], Any] | None

    def read(self, value: Any) -> Any:
        """
        Convert a decoded list to a tuple.

        Items that need no conversion are not checked.

        :param value: The decoded list.
        :raises TypeError: If ``value`` is not a list or tuple.
        """
        if not isinstance(value, list | tuple):
            raise TypeError(f"expected a list, got {type(value).__name__}")
        if self.structure is None:
            return tuple(value)
        return tuple([self.structure(item_value, self.item) for item_value in value])


def make_positional(converter: Converter, cls: type) -> None:
    """
    Make a converter encode the fields of a class by position.

    Instances send hundreds of such messages per second, so the values of
    fields that need no conversion are passed through; keys and values of
    their dictionaries are not checked.

    :param converter: The converter.
    :param cls: An attrs class.
    """
    names = tuple(attribute.name for attribute in fields(cls))
    readers = tuple(
        _field_reader(converter, attribute.type) for attribute in fields(cls)
    )
    written_fields = tuple(
        (name, _is_unconverted(reader))
        for name, reader in zip(names, readers, strict=True)
    )
    unstructure = converter.unstructure

    def write(value: Any) -> list[Any]:
        return [
            getattr(value, name)
            if is_unconverted
            else unstructure(getattr(value, name))
            for name, is_unconverted in written_fields
        ]

    def read(values: Any, _: type) -> Any:
        if not isinstance(values, list | tuple):
            raise TypeError(f"expected a list of fields, got {type(values).__name__}")
        # Additional fields of a newer sender are ignored; fields missing from
        # an older sender get their defaults.
        return cls(
            *[
                reader.read(value)
                for reader, value in zip(readers, values, strict=False)
            ]
        )

    converter.register_unstructure_hook(cls, write)
    converter.register_structure_hook(cls, read)


_FieldReader = _UnconvertedField | _HookField | _TupleField


def _is_unconverted(reader: _FieldReader) -> bool:
    match reader:
        case _UnconvertedField():
            return True
        case _TupleField(structure=structure):
            return structure is None
        case _HookField():
            return False


def _field_reader(converter: Converter, field_type: Any) -> _FieldReader:
    classes = _unconverted_classes(field_type)
    if classes is not None:
        return _UnconvertedField(classes)
    arguments = get_args(field_type)
    if get_origin(field_type) is tuple and len(arguments) == 2 and arguments[1] is ...:
        item = arguments[0]
        is_unconverted = _unconverted_classes(item) is not None
        hook = None if is_unconverted else converter.get_structure_hook(item)
        return _TupleField(item, hook)
    return _HookField(field_type, converter.get_structure_hook(field_type))


def _unconverted_classes(field_type: Any) -> tuple[type, ...] | None:
    """
    Return the classes of the values of a type.

    None if values of the type may need conversion.
    """
    field_type = getattr(field_type, "__supertype__", field_type)
    if field_type is float:
        return (float, int)
    if field_type in UNCONVERTED_CLASSES:
        return (field_type,)
    origin, arguments = get_origin(field_type), get_args(field_type)
    if origin in (Union, types.UnionType):
        argument_classes = [_unconverted_classes(argument) for argument in arguments]
        if None in argument_classes:
            return None
        return tuple(cls for classes in argument_classes if classes for cls in classes)
    if origin is dict and all(_unconverted_classes(argument) for argument in arguments):
        return (dict,)
    return None
