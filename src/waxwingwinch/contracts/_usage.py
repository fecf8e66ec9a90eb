"""Protocol of usage accounting for customers."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import CustomerId


@frozen
class UsageDelta:
    """
    The usage that one request adds to its customer's account.

    :param customer_id: The customer.
    :param requests: Requests that ran.
    :param refused_requests: Requests that were refused.
    :param prompt_tokens: Prompt tokens processed.
    :param output_tokens: Tokens generated.
    :param plain_calls: Calls to plain services that ran.
    """

    customer_id: CustomerId
    requests: int = 0
    refused_requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    plain_calls: int = 0


class UsageLedger(Protocol):
    """Sums usage by usage window."""

    def add(self, delta: UsageDelta, wall_seconds: float) -> None:
        """
        Add usage to a window.

        :param delta: The usage to add.
        :param wall_seconds: Unix time that determines the window.
        """
