"""What a line of the log is."""

from collections.abc import Callable
from typing import ClassVar, TypeVar

import eliot
from attrs import asdict, frozen


@frozen
class LogLine:
    """A line of the log; its fields are written as they are."""

    #: Tells the lines apart: a subject, a colon, and what happened to it.
    message_type: ClassVar[str]

    def write(self) -> None:
        """Write the line."""
        eliot.log_message(self.message_type, **asdict(self))


Line = TypeVar("Line", bound=type[LogLine])


def log_line(message_type: str) -> Callable[[Line], Line]:
    """
    Name a kind of line.

    :param message_type: Subject and event, as ``subject:event``.
    """

    def named(line: Line) -> Line:
        line.message_type = message_type
        return line

    return named
