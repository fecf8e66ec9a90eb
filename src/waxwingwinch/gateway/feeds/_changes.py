"""Changes of a topic that are retained for slow readers."""

from collections.abc import Iterable

from attrs import frozen

from waxwingwinch.gateway._store import KeyedRecord


@frozen
class RetainedChange:
    """
    A record that is retained for readers.

    :param at_offset: Offset of the record that caused the retention: the last
        state before a removal is retained at the offset of the removal.
    :param record: The record.
    """

    at_offset: int
    record: KeyedRecord


def newest_records(records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
    """
    Return the newest record of each key.

    A removal keeps the last record before it, from which readers learn the
    key's latest state.

    :param records: Records in the order of their offsets.
    """
    newest: dict[str, list[KeyedRecord]] = {}
    for record in records:
        earlier = newest.pop(record.key, [])
        if record.value is None:
            states = [known for known in earlier if known.value is not None]
            newest[record.key] = [*states, record]
        else:
            newest[record.key] = [record]
    return [record for kept in newest.values() for record in kept]
