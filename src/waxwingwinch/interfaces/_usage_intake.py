"""Interface to the platform's intake of usage reports."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import CustomerId, Epoch


@frozen
class CustomerUsage:
    """
    Usage of one customer in one usage window.

    :param customer: The customer.
    :param requests: Requests that ran.
    :param refused_requests: Requests that were refused.
    :param prompt_tokens: Prompt tokens processed.
    :param output_tokens: Tokens generated.
    :param plain_calls: Calls to plain services that ran.
    :param carried_requests: The part of ``requests`` that ran in earlier
        windows and was counted after the reports of these windows were fixed.
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
    The only report of a usage window.

    :param window_start_seconds: Start of the window, Unix time.
    :param window_seconds: Length of the window.
    :param epoch: Fencing token of the reporting process.
    :param customers: One row per customer, ordered by customer name.
    """

    window_start_seconds: int
    window_seconds: int
    epoch: Epoch
    customers: tuple[CustomerUsage, ...]


class UsageIntake(Protocol):
    """Client of the usage intake."""

    def submit(self, report: UsageReport) -> None:
        """
        Send a report; the same report may be sent any number of times.

        :raises PlatformUnavailable: If no valid response was received; the
            report may have arrived.
        :raises PlatformRefused: If the intake rejects the report.
        """
