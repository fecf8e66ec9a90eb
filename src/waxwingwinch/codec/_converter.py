"""The converter between attrs classes and plain data."""

import types
from collections.abc import Callable
from typing import Any, Union, get_args, get_origin

from attrs import fields, frozen
from cattrs import Converter

from waxwingwinch._types import Address

#: Classes whose values are written and read as they are.
PLAIN_CLASSES = (str, int, float, bool, bytes, types.NoneType)


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


@frozen
class _PlainField:
    """
    A field whose value is written and read as it is.

    :param classes: What its value may be.
    """

    classes: tuple[type, ...]

    def read(self, value: Any) -> Any:
        """
        Check a value that was decoded.

        :param value: The value.
        :raises TypeError: If it is of another class.
        """
        if not isinstance(value, self.classes):
            raise TypeError(f"{type(value).__name__} in place of {self.classes}")
        return value


@frozen
class _HookField:
    """
    A field whose value is made of plain data, and the other way round.

    :param type: The field's type.
    :param structure: Makes its value; takes the type as well.
    """

    type: Any
    structure: Callable[[Any, Any], Any]

    def read(self, value: Any) -> Any:
        """
        Make the value.

        :param value: What was decoded.
        """
        return self.structure(value, self.type)


@frozen
class _TupleField:
    """
    A field that holds any number of values of one type.

    :param item: The type.
    :param structure: Makes a value; takes the type as well. None if values
        are plain.
    """

    item: Any
    structure: Callable[[Any, Any], Any] | None

    def read(self, value: Any) -> Any:
        """
        Make the values.

        :param value: What was decoded.
        :raises TypeError: If it is no list.
        """
        if not isinstance(value, list | tuple):
            raise TypeError(f"{type(value).__name__} in place of a list")
        if self.structure is None:
            return tuple(value)
        return tuple([self.structure(one, self.item) for one in value])


def make_positional(converter: Converter, cls: type) -> None:
    """
    Have a converter write the fields of a class without their names.

    Instances send hundreds of these a second, so what plain fields hold is
    passed through; the keys and values of their dictionaries are not looked
    at.

    :param converter: The converter.
    :param cls: An attrs class.
    """
    names = tuple(one.name for one in fields(cls))
    readers = tuple(_field_reader(converter, one.type) for one in fields(cls))
    written = tuple(
        (name, _is_written_as_it_is(reader))
        for name, reader in zip(names, readers, strict=True)
    )
    unstructure = converter.unstructure

    def write(value: Any) -> list[Any]:
        return [
            getattr(value, name) if is_plain else unstructure(getattr(value, name))
            for name, is_plain in written
        ]

    def read(values: Any, _: type) -> Any:
        if not isinstance(values, list | tuple):
            raise TypeError(f"{type(values).__name__} in place of fields")
        # Fields of a newer sender are passed over; those that an older one
        # does not know have defaults.
        return cls(
            *[
                reader.read(value)
                for reader, value in zip(readers, values, strict=False)
            ]
        )

    converter.register_unstructure_hook(cls, write)
    converter.register_structure_hook(cls, read)


_FieldReader = _PlainField | _HookField | _TupleField


def _is_written_as_it_is(reader: _FieldReader) -> bool:
    match reader:
        case _PlainField():
            return True
        case _TupleField(structure=structure):
            return structure is None
        case _HookField():
            return False


def _field_reader(converter: Converter, kind: Any) -> _FieldReader:
    classes = _plain_classes(kind)
    if classes is not None:
        return _PlainField(classes)
    arguments = get_args(kind)
    if get_origin(kind) is tuple and len(arguments) == 2 and arguments[1] is ...:
        item = arguments[0]
        is_plain = _plain_classes(item) is not None
        hook = None if is_plain else converter.get_structure_hook(item)
        return _TupleField(item, hook)
    return _HookField(kind, converter.get_structure_hook(kind))


def _plain_classes(kind: Any) -> tuple[type, ...] | None:
    """Return the classes of plain values of a type; None if it has others."""
    kind = getattr(kind, "__supertype__", kind)
    if kind is float:
        return (float, int)
    if kind in PLAIN_CLASSES:
        return (kind,)
    origin, arguments = get_origin(kind), get_args(kind)
    if origin in (Union, types.UnionType):
        found = [_plain_classes(one) for one in arguments]
        if None in found:
            return None
        return tuple(cls for classes in found if classes for cls in classes)
    if origin is dict and all(_plain_classes(one) for one in arguments):
        return (dict,)
    return None
