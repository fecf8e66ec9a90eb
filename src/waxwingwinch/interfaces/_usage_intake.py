"""The platform's interface for usage reports."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import CustomerId, Epoch


@frozen
class CustomerUsage:
    """
    What one customer used in one window.

    :param customer: The customer.
    :param requests: Requests that ran.
    :param refused_requests: Requests that were refused.
    :param prompt_tokens: Prompt tokens read.
    :param output_tokens: Tokens generated.
    :param plain_calls: Calls to plain services that ran.
    :param carried_requests: Of ``requests``, those from earlier windows that
        arrived after their report was fixed.
    """

    customer: CustomerId
    requests: int = 0
    refused_requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    plain_calls: int = 0
    carried_requests: int = 0


@frozen
class UsageReport:
    """
    The one report of a window.

    :param window_start_seconds: Start of the window, Unix time.
    :param window_seconds: Length of the window.
    :param epoch: Fencing token of the reporting process.
    :param customers: One row a customer, ordered by name.
    """

    window_start_seconds: int
    window_seconds: int
    epoch: Epoch
    customers: tuple[CustomerUsage, ...]


class UsageIntake(Protocol):
    """Takes usage reports."""

    def submit(self, report: UsageReport) -> None:
        """
        Send a report; the same report may be sent any number of times.

        :raises PlatformUnavailable: If no answer came; it may have arrived.
        :raises PlatformRefused: If the intake rejects it.
        """
