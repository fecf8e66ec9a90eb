"""Finding the node of a YAML file that a finding is about."""

from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode


def locate_node(node: Node, path: str) -> Node:
    """
    Return the innermost node on a dotted path.

    Names may hold dots, so each is matched as a prefix of the rest.

    :param node: Where the path begins.
    :param path: The path, as findings give it.
    """
    for name, child in _named_children(node):
        if path == name:
            return child
        if path.startswith(f"{name}."):
            return locate_node(child, path[len(name) + 1 :])
    return node


def _named_children(node: Node) -> list[tuple[str, Node]]:
    match node:
        case MappingNode():
            return [(str(key.value), value) for key, value in node.value]
        case SequenceNode():
            return _named_items(node)
        case _:
            return []


def _named_items(node: SequenceNode) -> list[tuple[str, Node]]:
    names = [(_item_name(item), item) for item in node.value]
    # Two routes are the same with and without a closing slash, so findings
    # about a pair name them without.
    trimmed = [(name.rstrip("/"), item) for name, item in names]
    return names + trimmed


def _item_name(node: Node) -> str:
    """Return what findings call an item of a list: its path or key_id."""
    if not isinstance(node, MappingNode):
        return ""
    for key, value in node.value:
        if key.value in ("path", "key_id") and isinstance(value, ScalarNode):
            return str(value.value)
    return ""
