"""Tables that hold what is known of the last upstreams only."""

from collections import OrderedDict
from typing import TypeVar

from waxwingwinch._types import UpstreamId

#: Number of upstreams whose last entries and statements are retained after
#: their removal.
MAX_REMOVED = 1_000

Value = TypeVar("Value")


def retain(
    table: OrderedDict[UpstreamId, Value], upstream_id: UpstreamId, value: Value
) -> None:
    """
    Put a value into a table that holds the last ones only.

    :param table: The table.
    :param upstream_id: Id of the upstream.
    :param value: The value.
    """
    table[upstream_id] = value
    table.move_to_end(upstream_id)
    while len(table) > MAX_REMOVED:
        table.popitem(last=False)
