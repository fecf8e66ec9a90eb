"""Base class and decorator of structured log lines."""

from collections.abc import Callable
from typing import ClassVar, TypeVar, dataclass_transform

import eliot
from attrs import fields, frozen


class LogLine:
    """A structured log line; its fields are logged under their own names."""

    __slots__ = ()

    #: Identifies the kind of line as ``subject:event``.
    message_type: ClassVar[str]
    #: Names of the fields.
    field_names: ClassVar[tuple[str, ...]]

    def write(self) -> None:
        """Write the line."""
        values = {name: getattr(self, name) for name in self.field_names}
        eliot.log_message(self.message_type, **values)


LineClass = TypeVar("LineClass", bound=type[LogLine])


@dataclass_transform(frozen_default=True)
def log_line(message_type: str) -> Callable[[LineClass], LineClass]:
    """
    Turn a class into a frozen attrs class with a message type.

    Lines are only written, never compared or printed. Omitting ``__eq__`` and
    ``__repr__`` makes the process start faster.

    :param message_type: Subject and event, as ``subject:event``.
    """

    def decorate(line: LineClass) -> LineClass:
        line_class = frozen(line, eq=False, repr=False)
        line_class.message_type = message_type
        line_class.field_names = tuple(attr.name for attr in fields(line_class))  # type: ignore[arg-type]
        return line_class

    return decorate
