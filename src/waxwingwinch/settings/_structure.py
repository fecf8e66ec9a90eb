"""Turning YAML nodes into attrs classes, collecting every finding."""

import difflib
import types
import typing
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from attrs import NOTHING, Attribute, fields, has
from ruamel.yaml.nodes import MappingNode, Node, SequenceNode

from waxwingwinch._types import Address
from waxwingwinch.findings import SettingFinding
from waxwingwinch.settings._converter import make_strict_converter
from waxwingwinch.settings._nodes import kind_of, place_of, plain_value


class InvalidValue(Exception):
    """A value with findings, which are already noted."""


_CONVERTER = make_strict_converter()


class Structurer:
    """
    Builds values from nodes and keeps what is wrong with them.

    :param file: The file, for the findings.
    """

    def __init__(self, file: Path) -> None:
        self._file = file
        #: What was found so far.
        self.findings: list[SettingFinding] = []

    def build(self, node: Node, kind: Any, key: str) -> Any:
        """
        Build a value of a type.

        :param node: The node that holds it.
        :param kind: The type.
        :param key: Dotted path of the node.
        :raises InvalidValue: If something is wrong; it is in ``findings``.
        """
        origin = typing.get_origin(kind)
        if origin in (types.UnionType, typing.Union):
            return self._build_optional(node, kind, key)
        if origin in (tuple, list):
            return self._build_items(node, typing.get_args(kind)[0], key)
        if origin is dict:
            return self._build_mapping(node, typing.get_args(kind), key)
        if has(kind) and kind is not Address:
            return self._build_class(node, kind, key)
        return self._build_leaf(node, kind, key)

    def note(
        self, node: Node, key: str, problem: str, suggestion: str | None = None
    ) -> None:
        """
        Keep a finding.

        :param node: Where.
        :param key: Dotted path.
        :param problem: What is wrong.
        :param suggestion: What was probably meant.
        """
        place = place_of(node)
        finding = SettingFinding(
            self._file, place.line, place.column, key, problem, suggestion
        )
        self.findings.append(finding)

    def _build_optional(self, node: Node, kind: Any, key: str) -> Any:
        if (node.tag or "").endswith(":null"):
            return None
        choices = [item for item in typing.get_args(kind) if item is not type(None)]
        return self.build(node, choices[0], key)

    def _build_items(self, node: Node, kind: Any, key: str) -> tuple[Any, ...]:
        if not isinstance(node, SequenceNode):
            self.note(node, key, f"must be a list, is {kind_of(node)}")
            raise InvalidValue
        names = [f"{key}[{index}]" for index in range(len(node.value))]
        return tuple(self._build_all(node.value, [kind] * len(names), names))

    def _build_mapping(
        self, node: Node, kinds: tuple[Any, ...], key: str
    ) -> dict[Any, Any]:
        children = self._children(node, key)
        names = [f"{key}.{name}" if key else name for name in children]
        nodes = [value for _, value in children.values()]
        values = self._build_all(nodes, [kinds[1]] * len(nodes), names)
        return dict(zip(children, values, strict=True))

    def _build_class(self, node: Node, kind: type, key: str) -> Any:
        children = self._children(node, key)
        hints = typing.get_type_hints(kind)
        attributes = {item.name: item for item in fields(kind)}
        prefix = f"{key}." if key else ""
        before = len(self.findings)
        self._note_unknown(children, attributes, prefix)
        values = {}
        for name, attribute in attributes.items():
            if name not in children:
                if attribute.default is NOTHING:
                    self.note(node, f"{prefix}{name}", "is missing")
                continue
            value_node = children[name][1]
            try:
                value = self.build(value_node, hints[name], f"{prefix}{name}")
            except InvalidValue:
                continue
            if self._is_valid(value_node, attribute, value, f"{prefix}{name}"):
                values[name] = value
        if len(self.findings) > before:
            raise InvalidValue
        try:
            return kind(**values)
        except (ValueError, TypeError) as error:
            self.note(node, key, str(error))
            raise InvalidValue from error

    def _build_leaf(self, node: Node, kind: Any, key: str) -> Any:
        try:
            return _CONVERTER.structure(plain_value(node), kind)
        except (ValueError, TypeError, KeyError) as error:
            self.note(node, key, _explain(error, node, kind))
            raise InvalidValue from error

    def _build_all(
        self, nodes: Iterable[Node], kinds: Iterable[Any], names: Iterable[str]
    ) -> list[Any]:
        """Build values, going on after a wrong one."""
        values = []
        before = len(self.findings)
        for node, kind, name in zip(nodes, kinds, names, strict=True):
            try:
                values.append(self.build(node, kind, name))
            except InvalidValue:
                continue
        if len(self.findings) > before:
            raise InvalidValue
        return values

    def _children(self, node: Node, key: str) -> dict[str, tuple[Node, Node]]:
        """Return key and value nodes by key, noting keys that come twice."""
        if not isinstance(node, MappingNode):
            self.note(node, key, f"must be a mapping, is {kind_of(node)}")
            raise InvalidValue
        children: dict[str, tuple[Node, Node]] = {}
        for key_node, value_node in node.value:
            name = str(key_node.value)
            if name in children:
                first = place_of(children[name][0])
                path = f"{key}.{name}" if key else name
                self.note(key_node, path, f"duplicate key, first on line {first.line}")
                continue
            children[name] = (key_node, value_node)
        return children

    def _note_unknown(
        self,
        children: dict[str, tuple[Node, Node]],
        attributes: dict[str, "Attribute[Any]"],
        prefix: str,
    ) -> None:
        for name, (key_node, _) in children.items():
            if name in attributes:
                continue
            close = difflib.get_close_matches(name, attributes, n=1)
            suggestion = close[0] if close else None
            self.note(key_node, f"{prefix}{name}", "unknown key", suggestion)

    def _is_valid(
        self, node: Node, attribute: "Attribute[Any]", value: Any, key: str
    ) -> bool:
        if attribute.validator is None:
            return True
        try:
            attribute.validator(None, attribute, value)
        except (ValueError, TypeError) as error:
            self.note(node, key, str(error.args[0]))
            return False
        return True


def _explain(error: Exception, node: Node, kind: Any) -> str:
    members = getattr(kind, "__members__", None)
    if members is not None:
        accepted = ", ".join(str(member.value) for member in members.values())
        return f"must be one of {accepted}, is {kind_of(node)}"
    return str(error)
