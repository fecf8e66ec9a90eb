"""Tables with a bounded number of entries."""

from collections import OrderedDict
from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


def put_newest(
    table: OrderedDict[Key, Value], key: Key, value: Value, max_entries: int
) -> None:
    """
    Set an entry of a table, and drop the one that was set longest ago.

    :param table: The table.
    :param key: Key of the entry.
    :param value: Its value.
    :param max_entries: Entries that the table may have.
    """
    table[key] = value
    table.move_to_end(key)
    if len(table) > max_entries:
        table.popitem(last=False)
