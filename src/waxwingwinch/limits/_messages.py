"""Messages between entries and the grantor, and records of floors."""

from attrs import frozen

from waxwingwinch._types import CustomerId, Epoch, ProcessId
from waxwingwinch.codec import message


@frozen
class ReturnedTokens:
    """
    Idle tokens of one floor that its holder gave back in one epoch.

    :param floor_offset: Offset of the floor; -1 if there is none.
    :param tokens: All since the holder took over floor and epoch.
    """

    floor_offset: int = -1
    tokens: float = 0.0


@frozen
class CustomerTokens:
    """
    What an entry asks for one customer.

    :param customer_id: The customer.
    :param wanted_tokens: Tokens asked for.
    :param held_tokens: Unused tokens of the named epoch held when the
        message was made.
    :param received_sequence: The highest grant of that epoch received by
        then; the entry accepts no lower one afterwards.
    :param arrivals_per_second: Recent demand at this entry.
    :param returned: Tokens of the floor given back to the grantor.
    """

    customer_id: CustomerId
    wanted_tokens: int
    held_tokens: int
    received_sequence: int
    arrivals_per_second: float
    returned: ReturnedTokens


@message("extra_request")
@frozen
class ExtraRequest:
    """
    Asks for short-term tokens of any number of customers.

    :param holder: Who asks.
    :param epoch: Epoch that the held tokens and sequences belong to.
    :param wanted: One row a customer.
    """

    holder: ProcessId
    epoch: Epoch
    wanted: tuple[CustomerTokens, ...]


@frozen
class GrantedTokens:
    """
    Tokens for one customer.

    :param customer_id: The customer.
    :param tokens: How many; may be 0.
    :param sequence: Grows with each grant of an epoch.
    :param over_rate: True if the customer's demand over all entries exceeds
        its rate.
    :param retry_after_seconds: When there may be more.
    :param returned: The returned tokens that the grantor knows of.
    """

    customer_id: CustomerId
    tokens: int
    sequence: int
    over_rate: bool
    retry_after_seconds: float
    returned: ReturnedTokens


@message("extra_reply")
@frozen
class ExtraReply:
    """
    Answer to :class:`ExtraRequest`.

    :param epoch: Epoch of the grantor; None if the process is none.
    :param granted: One row for each customer asked for.
    :param term_seconds: How long the tokens last, counted from before the
        request was sent.
    """

    epoch: Epoch | None
    granted: tuple[GrantedTokens, ...]
    term_seconds: float


@frozen
class FloorWanted:
    """
    What an entry says about its floor of one customer.

    :param customer_id: The customer.
    :param applied_offset: Offset of the floor in use; older ones are never
        used again. -1 if none was used yet.
    :param released_offset: No floor at or below this offset is used again.
    """

    customer_id: CustomerId
    applied_offset: int
    released_offset: int


@message("floor_request")
@frozen
class FloorRequest:
    """
    Asks for floors, confirms and releases them.

    :param holder: Who asks.
    :param customers: One row a customer.
    :param is_stopping: True to get no floors any more.
    """

    holder: ProcessId
    customers: tuple[FloorWanted, ...]
    is_stopping: bool = False


@frozen
class Floor:
    """
    A long-term share of a customer's rate and burst.

    :param customer_id: The customer.
    :param offset: Offset of its record.
    :param rate_per_second: Tokens a second.
    :param burst_tokens: Cap of the bucket.
    :param customer_rate_per_second: The customer's rate that it was cut
        from; the entry scales it down with a lower rate.
    :param customer_burst_requests: The burst that it was cut from.
    :param term_seconds: How long it lasts, counted from before the request.
    """

    customer_id: CustomerId
    offset: int
    rate_per_second: float
    burst_tokens: float
    customer_rate_per_second: float
    customer_burst_requests: float
    term_seconds: float


@message("floor_reply")
@frozen
class FloorReply:
    """
    Answer to :class:`FloorRequest`.

    :param epoch: Epoch of the grantor; None if the process is none.
    :param floors: Floors to use from now on.
    :param withdrawn: Customers whose floors are to be given up.
    """

    epoch: Epoch | None
    floors: tuple[Floor, ...]
    withdrawn: tuple[CustomerId, ...]


@message("grantor_began")
@frozen
class GrantorBegan:
    """
    First record of a grantor; records of lower epochs after it are void.

    :param epoch: Fencing token of the grantor.
    :param extra_term_seconds: Longest term of its short-term tokens.
    """

    epoch: Epoch
    extra_term_seconds: float


@message("floor_granted")
@frozen
class FloorGranted:
    """
    A floor, recorded before it is used.

    :param customer_id: The customer.
    :param holder: Who may use it.
    :param rate_per_second: Tokens a second.
    :param burst_tokens: Cap of the bucket.
    :param customer_rate_per_second: The customer's rate it was cut from.
    :param customer_burst_requests: The customer's burst it was cut from.
    :param term_seconds: How long it lasts.
    :param epoch: Fencing token of the grantor.
    """

    customer_id: CustomerId
    holder: ProcessId
    rate_per_second: float
    burst_tokens: float
    customer_rate_per_second: float
    customer_burst_requests: float
    term_seconds: float
    epoch: Epoch


@message("floor_released")
@frozen
class FloorReleased:
    """
    The holder has stopped using its floors up to an offset.

    :param customer_id: The customer.
    :param holder: Who used them.
    :param offset: Floors at or below are released.
    """

    customer_id: CustomerId
    holder: ProcessId
    offset: int
