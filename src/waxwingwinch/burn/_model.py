"""The report as data, before it is written in any format."""

import enum

from attrs import frozen

from waxwingwinch._types import CustomerId, InstanceId
from waxwingwinch.burn._spend import PriceOverrides, Spend

__all__ = [
    "BurnPoint",
    "BurnReport",
    "CustomerBurn",
    "EventCount",
    "Objective",
    "ObjectiveBurn",
    "Quantiles",
    "ReportOptions",
    "Spend",
]


class Objective(enum.Enum):
    """What a service level is promised for."""

    #: Time to the first token, one event for each answer.
    FIRST_TOKEN = "first token"
    #: Time between tokens, one event for each token after the first.
    BETWEEN_TOKENS = "between tokens"
    #: Answers that reached their caller whole.
    WHOLE_ANSWERS = "whole answers"
    #: Requests inside the customer's rate that were not refused.
    ADMISSION = "admission"


@frozen
class EventCount:
    """
    Events of one objective in one window.

    :param total: All events.
    :param bad: Those that missed the objective.
    """

    total: int
    bad: int

    @property
    def bad_ratio(self) -> float:
        """Share of bad events; 0 without events."""
        return self.bad / self.total if self.total else 0.0


@frozen
class ObjectiveBurn:
    """
    How one objective of one customer fares.

    :param objective: The objective.
    :param target_ratio: Share of good events that is promised.
    :param period: Events of the whole period.
    :param long_window: Events of the long window.
    :param short_window: Events of the short window.
    """

    objective: Objective
    target_ratio: float
    period: EventCount
    long_window: EventCount
    short_window: EventCount

    def burn_rate(self, count: EventCount) -> float:
        """
        Return the speed at which the error budget is spent; 1 spends it
        exactly.

        :param count: Events of the window.
        """
        if not count.bad:
            return 0.0
        allowed_ratio = 1.0 - self.target_ratio
        return count.bad_ratio / allowed_ratio if allowed_ratio > 0 else float("inf")

    @property
    def long_burn_rate(self) -> float:
        """Burn rate over the long window."""
        return self.burn_rate(self.long_window)

    @property
    def short_burn_rate(self) -> float:
        """Burn rate over the short window."""
        return self.burn_rate(self.short_window)

    @property
    def budget_left_ratio(self) -> float:
        """Share of the period's error budget that is left; may be negative."""
        return 1.0 - self.burn_rate(self.period)


@frozen
class Quantiles:
    """
    Median and 95th percentile over the period; None without events.

    :param p50_seconds: Median.
    :param p95_seconds: 95th percentile.
    """

    p50_seconds: float | None
    p95_seconds: float | None


@frozen
class BurnPoint:
    """
    Burn between two snapshots.

    :param seconds: Time since the first snapshot, at the later one.
    :param burn_rate: The highest burn rate of the customer's objectives.
    """

    seconds: float
    burn_rate: float


@frozen
class CustomerBurn:
    """
    How one customer fares.

    :param customer_id: The customer; empty for callers of open routes.
    :param objectives: One for each objective.
    :param served: Answers within the promised times.
    :param late: Whole answers that were later.
    :param refused_over_rate: Requests above the customer's rate, which spend
        no error budget.
    :param first_token: Time to the first token.
    :param whole_answer: Time to the end of the answer.
    :param course: Burn over time.
    :param cost: Part of the upstream spend, by time spent answering.
    """

    customer_id: CustomerId
    objectives: tuple[ObjectiveBurn, ...]
    served: int
    late: int
    refused_over_rate: int
    first_token: Quantiles
    whole_answer: Quantiles
    course: tuple[BurnPoint, ...] = ()
    cost: float = 0.0

    @property
    def worst_long_burn_rate(self) -> float:
        """The highest burn rate over the long window."""
        return max(item.long_burn_rate for item in self.objectives)

    @property
    def worst_short_burn_rate(self) -> float:
        """The highest burn rate over the short window."""
        return max(item.short_burn_rate for item in self.objectives)

    @property
    def least_budget_left_ratio(self) -> float:
        """The smallest share of an error budget that is left."""
        return min(item.budget_left_ratio for item in self.objectives)

    @property
    def has_traffic(self) -> bool:
        """Whether any request counted towards an objective."""
        return any(item.period.total for item in self.objectives)


@frozen
class ReportOptions:
    """
    How to report.

    :param short_seconds: Length of the short window.
    :param long_seconds: Length of the long window.
    :param whole_ratio: Promised share of whole answers.
    :param admission_ratio: Promised share of requests inside the rate that
        are not refused.
    :param prices: Prices that replace those of the snapshots.
    """

    short_seconds: float = 300.0
    long_seconds: float = 3_600.0
    whole_ratio: float = 0.999
    admission_ratio: float = 0.99
    prices: PriceOverrides = PriceOverrides()


@frozen
class BurnReport:
    """
    The whole report.

    :param first_wall_seconds: Unix time of the first snapshot.
    :param last_wall_seconds: Unix time of the last snapshot.
    :param options: How it was made.
    :param instances: Instances with snapshots.
    :param customers: The worst served first.
    :param spend: Upstream spend between the first and the last snapshot.
    :param notes: What the reader must know to trust the figures.
    """

    first_wall_seconds: float
    last_wall_seconds: float
    options: ReportOptions
    instances: tuple[InstanceId, ...]
    customers: tuple[CustomerBurn, ...]
    spend: Spend
    notes: tuple[str, ...] = ()

    @property
    def whole_answers(self) -> int:
        """Whole answers of all customers over the period."""
        return sum(item.served + item.late for item in self.customers)
