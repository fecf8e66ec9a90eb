"""Single measured values."""

from attrs import frozen


@frozen
class Figure:
    """
    A measured value that no line was fitted to.

    :param name: Short name, unique.
    :param value: The value.
    :param unit: Its unit.
    :param method: How it was taken.
    """

    name: str
    value: float
    unit: str
    method: str
