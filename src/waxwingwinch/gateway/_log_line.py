"""What a line of the log is."""

from collections.abc import Callable
from typing import ClassVar, TypeVar, dataclass_transform

import eliot
from attrs import fields, frozen


class LogLine:
    """A line of the log; its fields are written as they are."""

    __slots__ = ()

    #: Tells the lines apart: a subject, a colon, and what happened to it.
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
    Make an attrs class of a kind of line, and name it.

    Lines are only written, never compared or shown; without the methods for
    that a process starts sooner.

    :param message_type: Subject and event, as ``subject:event``.
    """

    def decorate(line: LineClass) -> LineClass:
        line_class = frozen(line, eq=False, repr=False)
        line_class.message_type = message_type
        line_class.field_names = tuple(attr.name for attr in fields(line_class))  # type: ignore[arg-type]
        return line_class

    return decorate
