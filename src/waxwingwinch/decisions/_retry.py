"""Retry budget: whether a failed request may be retried."""

from attrs import evolve, frozen

#: Maximum number of retries in the budget.
MAX_SAVED_RETRIES = 20.0
#: Minimum time before the deadline for another attempt.
MIN_RETRY_REMAINING_SECONDS = 0.05
#: Maximum number of attempts of a request, including the first.
MAX_ATTEMPTS = 4


@frozen
class RetryBudget:
    """
    Retries that an instance may still make.

    :param retries: Remaining retries; replenished by each request.
    """

    retries: float = MAX_SAVED_RETRIES


@frozen
class RetryAllowed:
    """
    The request may be retried.

    :param budget: The budget after the retry.
    """

    budget: RetryBudget


@frozen
class RetryRefused:
    """
    The request is not retried.

    :param reason: Reason of the decision, in one sentence.
    """

    reason: str


RetryDecision = RetryAllowed | RetryRefused


def after_request(budget: RetryBudget, retry_budget_ratio: float) -> RetryBudget:
    """
    Return the budget after the arrival of a request.

    :param budget: The budget before.
    :param retry_budget_ratio: Retries added to the budget by each request.
    """
    retries = min(MAX_SAVED_RETRIES, budget.retries + retry_budget_ratio)
    return evolve(budget, retries=retries)


def decide_retry(
    budget: RetryBudget, attempts: int, deadline_seconds: float, now_seconds: float
) -> RetryDecision:
    """
    Decide whether a failed request is retried.

    :param budget: Retry budget of the instance, shared by all its requests.
    :param attempts: Attempts of this request so far.
    :param deadline_seconds: Monotonic deadline of the request.
    :param now_seconds: Monotonic time.
    """
    if attempts >= MAX_ATTEMPTS:
        return RetryRefused(f"attempted {attempts} times already")
    if deadline_seconds - now_seconds < MIN_RETRY_REMAINING_SECONDS:
        return RetryRefused(
            f"less than {MIN_RETRY_REMAINING_SECONDS} s remain before the deadline"
        )
    if budget.retries < 1.0:
        return RetryRefused("the retry budget of the instance is exhausted")
    return RetryAllowed(evolve(budget, retries=budget.retries - 1.0))
