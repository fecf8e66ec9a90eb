"""Messages between entries and the grantor, and log records of floors."""

from attrs import frozen

from waxwingwinch._types import CustomerId, Epoch, ProcessId
from waxwingwinch.codec import message


@frozen
class ReturnedTokens:
    """
    Unused tokens of one floor that its holder returned in one epoch.

    :param floor_offset: Log offset of the floor; -1 if there is no floor.
    :param tokens: Total returned since the holder began to use this floor in
        this epoch.
    """

    floor_offset: int = -1
    tokens: float = 0.0


@frozen
class CustomerTokens:
    """
    An entry's report about its extra tokens of one customer, and its request.

    :param customer_id: The customer.
    :param wanted_tokens: Number of tokens requested.
    :param held_tokens: Unused tokens of the request's epoch that the entry
        held when it built the message.
    :param received_sequence: Highest grant sequence of that epoch received
        when the message was built; the entry accepts no grant at or below it
        afterwards.
    :param arrivals_per_second: Recent request rate at this entry.
    :param returned: Tokens of the floor returned to the grantor.
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
    Requests extra tokens for any number of customers.

    :param holder: The requesting entry process.
    :param epoch: Grantor epoch of the held tokens and received sequences.
    :param wanted: One report per customer.
    """

    holder: ProcessId
    epoch: Epoch
    wanted: tuple[CustomerTokens, ...]


@frozen
class GrantedTokens:
    """
    A grant of extra tokens of one customer.

    :param customer_id: The customer.
    :param tokens: Number of tokens; may be 0.
    :param sequence: Increases with each grant of an epoch.
    :param over_rate: True if the customer's demand over all entries exceeds
        its rate.
    :param retry_after_seconds: Time after which more tokens may be
        available.
    :param returned: The returned tokens that the grantor has credited.
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
    Reply to :class:`ExtraRequest`.

    :param epoch: Epoch of the grantor; None if the process isn't the grantor
        or the peer's instance isn't the holder's.
    :param granted: One grant for each requested customer that the grantor
        knows.
    :param term_seconds: Validity of the tokens, counted from when the holder
        began to prepare the request.
    """

    epoch: Epoch | None
    granted: tuple[GrantedTokens, ...]
    term_seconds: float


@frozen
class FloorWanted:
    """
    An entry's report about its floor of one customer.

    :param customer_id: The customer.
    :param applied_offset: Log offset of the latest floor used; the entry
        never uses an older floor again. -1 if it has used no floor yet.
    :param released_offset: The entry never uses a floor at or below this
        offset again.
    """

    customer_id: CustomerId
    applied_offset: int
    released_offset: int


@message("floor_request")
@frozen
class FloorRequest:
    """
    Requests floors, and confirms and releases earlier ones.

    :param holder: The requesting entry process.
    :param customers: One report per customer.
    :param is_stopping: True if the entry is shutting down and wants no more
        floors.
    """

    holder: ProcessId
    customers: tuple[FloorWanted, ...]
    is_stopping: bool = False


@frozen
class Floor:
    """
    A long-term share of a customer's rate and burst.

    :param customer_id: The customer.
    :param offset: Log offset of the floor's record.
    :param rate_per_second: Refill rate in tokens per second.
    :param burst_tokens: Capacity of the token bucket.
    :param customer_rate_per_second: The customer's rate of which the floor is
        a part; if the configured rate falls below it, the entry scales the
        floor's rate down in proportion.
    :param customer_burst_requests: The customer's burst of which the floor is
        a part; a lower configured burst scales the floor's burst down.
    :param term_seconds: Validity of the floor, counted from when the holder
        began to prepare the request.
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
    Reply to :class:`FloorRequest`.

    :param epoch: Epoch of the grantor; None if the process isn't the grantor
        or the peer's instance isn't the holder's.
    :param floors: Floors to use from now on.
    :param withdrawn: Customers whose floors the entry must release.
    """

    epoch: Epoch | None
    floors: tuple[Floor, ...]
    withdrawn: tuple[CustomerId, ...]


@message("grantor_began")
@frozen
class GrantorBegan:
    """
    First record of a grantor.

    Begin records and floor grants of lower epochs that follow it in the log
    are void.

    :param epoch: Fencing token of the grantor.
    :param extra_term_seconds: Longest term of the extra tokens that
        this grantor grants.
    """

    epoch: Epoch
    extra_term_seconds: float


@message("floor_granted")
@frozen
class FloorGranted:
    """
    Record of a granted floor, written before the floor is used.

    :param customer_id: The customer.
    :param holder: The entry process that may use the floor.
    :param rate_per_second: Refill rate in tokens per second.
    :param burst_tokens: Capacity of the token bucket.
    :param customer_rate_per_second: The customer's rate of which the floor is
        a part.
    :param customer_burst_requests: The customer's burst of which the floor is
        a part.
    :param term_seconds: Validity of the floor.
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
    Record that a holder has released its floors up to an offset.

    :param customer_id: The customer.
    :param holder: The entry process that used the floors.
    :param offset: Floors at or below this log offset are released.
    """

    customer_id: CustomerId
    holder: ProcessId
    offset: int
