"""Counting what customers use."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import CustomerId


@frozen
class UsageDelta:
    """
    What one request adds to its customer's usage.

    :param customer_id: The customer.
    :param requests: Requests that ran.
    :param refused_requests: Requests that were refused.
    :param prompt_tokens: Prompt tokens read.
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
    """Adds up usage by window."""

    def add(self, delta: UsageDelta, wall_seconds: float) -> None:
        """
        Count.

        :param delta: What to add.
        :param wall_seconds: Unix time, which chooses the window.
        """
