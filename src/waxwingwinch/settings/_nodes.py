"""The nodes of a YAML file with their places."""

from pathlib import Path
from typing import Any, cast

from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.nodes import MappingNode, Node, SequenceNode

from waxwingwinch.findings import FilePosition, SettingFinding, SettingsInvalid


def read_root(path: Path) -> Node:
    """
    Read the root node of a file.

    :param path: The file.
    :raises SettingsInvalid: If it can't be read, or is not YAML.
    """
    try:
        text = path.read_text(encoding="utf-8")
        root = YAML(typ="rt").compose(text)
    except (OSError, UnicodeDecodeError) as error:
        raise _invalid(path, FilePosition(1, 1), f"can't be read: {error}") from error
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        place = (
            FilePosition(1, 1)
            if mark is None
            else FilePosition(mark.line + 1, mark.column + 1)
        )
        problem = error.problem or "is not YAML"
        raise _invalid(path, place, f"YAML syntax: {problem}") from error
    except YAMLError as error:
        raise _invalid(path, FilePosition(1, 1), f"YAML syntax: {error}") from error
    if root is None:
        raise _invalid(path, FilePosition(1, 1), "the file is empty")
    return cast(Node, root)


def place_of(node: Node) -> FilePosition:
    """
    Return where a node begins.

    :param node: The node.
    """
    return FilePosition(node.start_mark.line + 1, node.start_mark.column + 1)


def plain_value(node: Node) -> Any:
    """
    Return a node as plain data.

    :param node: The node.
    :raises ValueError: If a scalar isn't what its form announces.
    """
    match node:
        case MappingNode():
            return {plain_value(key): plain_value(value) for key, value in node.value}
        case SequenceNode():
            return [plain_value(item) for item in node.value]
        case _:
            return _scalar_value(node)


def kind_of(node: Node) -> str:
    """
    Return what a node is, in the words of a message.

    :param node: The node.
    """
    match node:
        case MappingNode():
            return "a mapping"
        case SequenceNode():
            return "a list"
        case _:
            return f"{node.value!r}"


def _scalar_value(node: Node) -> Any:
    match (node.tag or "").rpartition(":")[2]:
        case "null":
            return None
        case "bool":
            return node.value.lower() in ("true", "yes", "on")
        case "int":
            return int(node.value.replace("_", ""), 0)
        case "float":
            return _float_value(node.value)
        case _:
            # Times and the like stay text, as they are written.
            return node.value


def _float_value(text: str) -> float:
    return float(
        text.replace("_", "").lower().replace(".inf", "inf").replace(".nan", "nan")
    )


def _invalid(path: Path, place: FilePosition, problem: str) -> SettingsInvalid:
    finding = SettingFinding(path, place.line, place.column, "", problem)
    return SettingsInvalid(f"{path} is not valid", [finding])
