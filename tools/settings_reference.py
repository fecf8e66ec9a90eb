"""
Write ``docs/settings.md`` from the docstrings of the settings classes.

With ``--check`` nothing is written; the exit status is 1 if the page differs.
"""

import enum
import inspect
import pathlib
import re
import sys
import typing
from typing import Any

from attrs import NOTHING, Factory, fields

from waxwingwinch.configuration import SETTING_RANGES, Defaults
from waxwingwinch.settings import (
    ConfigurationDocument,
    ControlSettings,
    CustomerDocument,
    EntrySettings,
    ExceptionDocument,
    KeyDocument,
    ModelDocument,
    OperatorToken,
    RouteDocument,
)

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "settings.md"
INTRODUCTION = """\
# Settings

Written by `tools/settings_reference.py` from the classes; edit those. \
Examples are in `docs/examples/`.
"""


def describe_fields(kind: type) -> dict[str, str]:
    """
    Return the ``:param:`` texts of a class and its bases.

    :param kind: An attrs class.
    """
    texts: dict[str, str] = {}
    for base in reversed(kind.__mro__):
        doc = inspect.cleandoc(base.__doc__ or "")
        for match in re.finditer(
            r"^:param (\w+): (.*?)(?=^:|\Z)", doc, re.MULTILINE | re.DOTALL
        ):
            texts[match.group(1)] = " ".join(match.group(2).split())
    return texts


def summary(kind: type) -> str:
    """
    Return the first paragraph of a class's docstring.

    :param kind: An attrs class.
    """
    doc = inspect.cleandoc(kind.__doc__ or "")
    return " ".join(doc.split("\n\n", 1)[0].split())


def type_name(hint: Any) -> str:
    """
    Return a type as readers of YAML know it.

    :param hint: The annotation.
    """
    arguments = [item for item in typing.get_args(hint) if item is not type(None)]
    origin = typing.get_origin(hint)
    if origin is tuple:
        return f"list of {type_name(arguments[0])}"
    if origin is dict:
        return f"mapping of {type_name(arguments[1])}"
    if arguments:
        return type_name(arguments[0])
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return "one of " + ", ".join(f"`{member.value}`" for member in hint)
    names = {
        "str": "text",
        "int": "whole number",
        "float": "number",
        "bool": "true or false",
        "bytes": "hexadecimal digits",
        "Path": "path of a file",
        "Address": "address",
        "InstanceId": "text",
        "ZoneName": "text",
    }
    return names.get(hint.__name__, hint.__name__.removesuffix("Document"))


def default_text(default: Any) -> str:
    """
    Return a default for the table.

    :param default: As attrs holds it.
    """
    if default is NOTHING:
        return "required"
    if default is None or default == () or isinstance(default, Factory):
        return "none"
    if isinstance(default, bool):
        return str(default).lower()
    if isinstance(default, int | float):
        return f"{default:g}" if default < 1e6 else str(default)
    return (
        str(getattr(default, "value", default)) if _is_short(default) else "see below"
    )


def _is_short(default: Any) -> bool:
    return not hasattr(type(default), "__attrs_attrs__")


def section(title: str, kind: type) -> str:
    """
    Return the section of one class.

    :param title: Its heading.
    :param kind: An attrs class.
    """
    texts = describe_fields(kind)
    hints = typing.get_type_hints(kind)
    lines = [
        f"## {title}",
        "",
        summary(kind).replace("``", "`"),
        "",
        "| key | type | default | accepted | meaning |",
        "|---|---|---|---|---|",
    ]
    for attribute in fields(kind):
        name = attribute.name
        bounds = SETTING_RANGES.get(name) if kind is Defaults else None
        accepted = "" if bounds is None else f"{bounds.lowest:g} to {bounds.highest:g}"
        cells = [
            f"`{name}`",
            type_name(hints[name]),
            default_text(attribute.default),
            accepted,
            texts.get(name, "").replace("``", "`").replace("|", "\\|"),
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def page() -> str:
    """Return the whole page."""
    sections = [
        section("waxwing-entry", EntrySettings),
        section("waxwing-control", ControlSettings),
        section("OperatorToken", OperatorToken),
        section("Configuration", ConfigurationDocument),
        section("Defaults", Defaults),
        section("Customer", CustomerDocument),
        section("Key", KeyDocument),
        section("Model", ModelDocument),
        section("Route", RouteDocument),
        section("Exception", ExceptionDocument),
    ]
    return "\n".join([INTRODUCTION, *sections])


def main(arguments: list[str]) -> int:
    """
    Write or check the page.

    :param arguments: ``--check``, or nothing.
    """
    text = page()
    if "--check" not in arguments:
        PAGE.write_text(text, encoding="utf-8")
        return 0
    is_same = PAGE.exists() and PAGE.read_text(encoding="utf-8") == text
    if not is_same:
        print(f"{PAGE.name} is out of date; run tools/settings_reference.py")
    return 0 if is_same else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
