"""Monotonically increasing usage counters."""

from attrs import astuple, frozen

from waxwingwinch._types import CustomerId, ProcessId
from waxwingwinch.contracts import UsageDelta


@frozen
class UsageCounts:
    """
    Amounts of usage.

    :param requests: Number of executed requests.
    :param refused_requests: Number of refused requests.
    :param prompt_tokens: Number of prompt tokens processed.
    :param output_tokens: Number of tokens generated.
    :param plain_calls: Number of executed calls to plain services.
    """

    requests: int = 0
    refused_requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    plain_calls: int = 0

    def plus(self, other: "UsageCounts") -> "UsageCounts":
        """Return the sum of each counter."""
        pairs = zip(astuple(self), astuple(other), strict=True)
        return UsageCounts(*(value + other_value for value, other_value in pairs))

    def merged(self, other: "UsageCounts") -> "UsageCounts":
        """Return the maximum of each counter."""
        pairs = zip(astuple(self), astuple(other), strict=True)
        return UsageCounts(*(max(value, other_value) for value, other_value in pairs))

    def excess_over(self, other: "UsageCounts") -> "UsageCounts":
        """Return by how much each counter exceeds the other's, at least 0."""
        pairs = zip(astuple(self), astuple(other), strict=True)
        return UsageCounts(
            *(max(0, value - other_value) for value, other_value in pairs)
        )

    def is_zero(self) -> bool:
        """Return whether all counters are 0."""
        return self == UsageCounts()


def counts_from_delta(delta: UsageDelta) -> UsageCounts:
    """
    Return the usage of one request as counts.

    :param delta: The usage of the request.
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
    Identifies a usage counter.

    :param source: The process that counts.
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

    :param name: Identifies the counter.
    :param counts: The values, which never decrease.
    """

    name: CounterName
    counts: UsageCounts
