"""Loading a settings file into an attrs class."""

from pathlib import Path
from typing import TypeVar, cast

from waxwingwinch.findings import SettingsInvalid
from waxwingwinch.settings._nodes import read_root
from waxwingwinch.settings._structure import InvalidValue, Structurer

T = TypeVar("T")


def load_settings(path: Path, cls: type[T]) -> T:
    """
    Read a YAML file into a class.

    :param path: The file.
    :param cls: An attrs class, whose validators are run.
    :raises SettingsInvalid: With everything that is wrong.
    """
    root = read_root(path)
    structurer = Structurer(path)
    try:
        value = structurer.build(root, cls, "")
    except InvalidValue:
        value = None
    if structurer.findings:
        raise SettingsInvalid(f"{path} is not valid", structurer.findings)
    return cast(T, value)
