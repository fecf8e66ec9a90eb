"""Records of floors on their way to the log."""

from attrs import frozen

from waxwingwinch._types import ProcessId
from waxwingwinch.limits._messages import (
    Floor,
    FloorGranted,
    FloorReleased,
    FloorWanted,
)
from waxwingwinch.streams import AppendFuture


@frozen
class Recording:
    """
    A floor on its way to the log.

    :param granted: The record.
    :param ticket: Its fate.
    :param decided_seconds: Monotonic time before it was submitted.
    """

    granted: FloorGranted
    ticket: AppendFuture
    decided_seconds: float


def floor_message(granted: FloorGranted, offset: int, term_seconds: float) -> Floor:
    """
    Return what a holder is told about its floor.

    :param granted: The record.
    :param offset: Where it stands.
    :param term_seconds: What is left of its term.
    """
    return Floor(
        customer_id=granted.customer_id,
        offset=offset,
        rate_per_second=granted.rate_per_second,
        burst_tokens=granted.burst_tokens,
        customer_rate_per_second=granted.customer_rate_per_second,
        customer_burst_requests=granted.customer_burst_requests,
        term_seconds=term_seconds,
    )


def released_record(holder: ProcessId, wanted: FloorWanted) -> FloorReleased:
    """
    Return the record of what a holder has released.

    :param holder: The holder.
    :param wanted: What it said.
    """
    return FloorReleased(wanted.customer_id, holder, wanted.released_offset)
