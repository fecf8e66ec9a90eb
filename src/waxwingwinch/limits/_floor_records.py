"""Log records of floors, and the messages built from them."""

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
class PendingFloorRecord:
    """
    A floor record that was submitted to the log and isn't read back yet.

    :param granted: The record.
    :param ticket: Ticket that reports the result of the append.
    :param decided_seconds: Monotonic time of the decision, before the record
        was submitted.
    """

    granted: FloorGranted
    ticket: AppendFuture
    decided_seconds: float


def floor_message(granted: FloorGranted, offset: int, term_seconds: float) -> Floor:
    """
    Return the message that gives a floor to its holder.

    :param granted: The record.
    :param offset: Log offset of the record.
    :param term_seconds: Remaining term of the floor.
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
    Return the record of the floors that a holder has released.

    :param holder: The holder.
    :param wanted: The holder's report.
    """
    return FloorReleased(wanted.customer_id, holder, wanted.released_offset)
