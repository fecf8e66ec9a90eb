"""Monotone counters of usage."""

from attrs import astuple, frozen

from waxwingwinch._types import CustomerId, ProcessId
from waxwingwinch.contracts import UsageDelta


@frozen
class UsageCounts:
    """
    What was used.

    :param requests: Requests that ran.
    :param refused_requests: Requests that were refused.
    :param prompt_tokens: Prompt tokens read.
    :param output_tokens: Tokens generated.
    :param plain_calls: Calls to plain services that ran.
    """

    requests: int = 0
    refused_requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    plain_calls: int = 0

    def plus(self, other: "UsageCounts") -> "UsageCounts":
        """Return the sum."""
        pairs = zip(astuple(self), astuple(other), strict=True)
        return UsageCounts(*(one + two for one, two in pairs))

    def merged(self, other: "UsageCounts") -> "UsageCounts":
        """Return the larger of each counter."""
        pairs = zip(astuple(self), astuple(other), strict=True)
        return UsageCounts(*(max(one, two) for one, two in pairs))

    def beyond(self, other: "UsageCounts") -> "UsageCounts":
        """Return by how much each counter exceeds another, at least 0."""
        pairs = zip(astuple(self), astuple(other), strict=True)
        return UsageCounts(*(max(0, one - two) for one, two in pairs))

    def is_zero(self) -> bool:
        """Tell whether nothing was used."""
        return self == UsageCounts()


def counts_of(delta: UsageDelta) -> UsageCounts:
    """
    Return the counts of one request.

    :param delta: What it adds.
    """
    return UsageCounts(
        requests=delta.requests,
        refused_requests=delta.refused_requests,
        prompt_tokens=delta.prompt_tokens,
        output_tokens=delta.output_tokens,
        plain_calls=delta.plain_calls,
    )


@frozen
class CounterName:
    """
    Which usage a counter counts.

    :param source: Who counts.
    :param window_start_seconds: Start of the window, Unix time.
    :param customer_id: The customer.
    """

    source: ProcessId
    window_start_seconds: int
    customer_id: CustomerId


@frozen
class UsageRow:
    """
    A counter and its value.

    :param name: Which usage it counts.
    :param counts: The value; it only grows.
    """

    name: CounterName
    counts: UsageCounts
