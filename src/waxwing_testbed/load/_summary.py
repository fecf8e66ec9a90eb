"""What a run of calls came to, by customer."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

from attrs import frozen
from rich.console import Console
from rich.table import Table

from waxwing_testbed.history import CallEvent, CallOutcome


@frozen
class Shortfall:
    """
    Tries that got no whole answer, for one reason.

    :param outcome: How they ended.
    :param detail: Code of the error.
    :param count: How many.
    """

    outcome: CallOutcome
    detail: str
    count: int

    def __str__(self) -> str:
        return f"{self.count} {self.outcome.value} ({self.detail})"


@frozen
class CustomerSummary:
    """
    What one customer got.

    :param customer_id: The customer.
    :param tries: All tries.
    :param served: Those with whole answers.
    :param first_token_p50_seconds: Median; None without one.
    :param first_token_p95_seconds: 95th percentile; None without one.
    :param shortfalls: The others, most frequent first.
    """

    customer_id: str
    tries: int
    served: int
    first_token_p50_seconds: float | None
    first_token_p95_seconds: float | None
    shortfalls: tuple[Shortfall, ...]


def summarize(events: Iterable[CallEvent]) -> tuple[CustomerSummary, ...]:
    """
    Sum events up by customer.

    :param events: What callers saw.
    """
    by_customer: dict[str, list[CallEvent]] = {}
    for event in events:
        by_customer.setdefault(event.customer_id, []).append(event)
    return tuple(_summary(name, by_customer[name]) for name in sorted(by_customer))


def _summary(customer_id: str, events: Sequence[CallEvent]) -> CustomerSummary:
    times = sorted(
        event.first_token_seconds
        for event in events
        if event.first_token_seconds is not None
    )
    reasons = Counter(
        (event.outcome, event.detail)
        for event in events
        if event.outcome is not CallOutcome.WHOLE
    )
    return CustomerSummary(
        customer_id,
        len(events),
        sum(event.outcome is CallOutcome.WHOLE for event in events),
        percentile(times, 0.50),
        percentile(times, 0.95),
        tuple(
            Shortfall(outcome, detail, count)
            for (outcome, detail), count in reasons.most_common()
        ),
    )


def percentile(sorted_values: Sequence[float], ratio: float) -> float | None:
    """
    Return the smallest value that this share of the values doesn't exceed.

    :param sorted_values: In rising order.
    :param ratio: Between 0 and 1.
    :returns: None without values.
    """
    if not sorted_values:
        return None
    rank = math.ceil(ratio * len(sorted_values))
    return sorted_values[max(0, rank - 1)]


def print_summary(summaries: Iterable[CustomerSummary], console: Console) -> None:
    """
    Print the table.

    :param summaries: One for each customer.
    :param console: Where to print it.
    """
    table = Table("customer", box=None, pad_edge=False)
    for name in ("tries", "served", "first token p50", "p95"):
        table.add_column(name, justify="right")
    table.add_column("not served, and why")
    for item in summaries:
        table.add_row(
            item.customer_id,
            str(item.tries),
            str(item.served),
            _seconds_text(item.first_token_p50_seconds),
            _seconds_text(item.first_token_p95_seconds),
            "; ".join(str(one) for one in item.shortfalls),
        )
    console.print(table)


def _seconds_text(seconds: float | None) -> str:
    return "–" if seconds is None else f"{seconds:.3f} s"
