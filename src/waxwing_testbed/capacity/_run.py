"""The result of one run, and its file."""

import json
import pathlib

from attrs import frozen
from cattrs import Converter

from waxwing_testbed.capacity._figures import Figure
from waxwing_testbed.capacity._slopes import Slope


@frozen
class CapacityRun:
    """
    Everything that one run measured.

    :param command: What was run.
    :param load_average: Load of the machine at start and end.
    :param slopes: The lines.
    :param figures: The single values.
    """

    command: str
    load_average: tuple[float, float]
    slopes: tuple[Slope, ...]
    figures: tuple[Figure, ...]

    def slope(self, name: str) -> Slope:
        """
        Return a line.

        :param name: Its name.
        :raises KeyError: If it was not measured.
        """
        for slope in self.slopes:
            if slope.name == name:
                return slope
        raise KeyError(name)

    def figure(self, name: str) -> Figure:
        """
        Return a single value.

        :param name: Its name.
        :raises KeyError: If it was not measured.
        """
        for figure in self.figures:
            if figure.name == name:
                return figure
        raise KeyError(name)


def write_run(run: CapacityRun, path: pathlib.Path) -> None:
    """
    Write a run as JSON.

    :param path: The file.
    """
    value = Converter().unstructure(run)
    path.write_text(json.dumps(value, indent=1) + "\n")


def read_run(path: pathlib.Path) -> CapacityRun:
    """
    Read a run.

    :param path: A file made by :func:`write_run`.
    """
    return Converter().structure(json.loads(path.read_text()), CapacityRun)
