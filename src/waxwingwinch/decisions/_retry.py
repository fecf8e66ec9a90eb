"""How often and how long a request may be tried again."""

from attrs import evolve, frozen

#: Retries that may be saved up.
RETRIES_SAVED_MAX = 20.0
#: Least time that must be left before the deadline for another try.
RETRY_TIME_LEFT_MIN_SECONDS = 0.05
#: Tries of one request, the first one included.
TRIES_MAX = 4


@frozen
class RetryBudget:
    """
    Retries that an instance may still make.

    :param retries: What is left; grows with each request.
    """

    retries: float = RETRIES_SAVED_MAX


@frozen
class RetryAllowed:
    """
    Another try may be made.

    :param budget: The budget after it.
    """

    budget: RetryBudget


@frozen
class RetryRefused:
    """
    No other try is made.

    :param reason: Why, in one sentence.
    """

    reason: str


RetryDecision = RetryAllowed | RetryRefused


def after_request(budget: RetryBudget, retry_budget_ratio: float) -> RetryBudget:
    """
    Return the budget after a request came in.

    :param budget: The budget before.
    :param retry_budget_ratio: Retries allowed for each request.
    """
    retries = min(RETRIES_SAVED_MAX, budget.retries + retry_budget_ratio)
    return evolve(budget, retries=retries)


def decide_retry(
    budget: RetryBudget, tries: int, deadline_seconds: float, now_seconds: float
) -> RetryDecision:
    """
    Decide whether a failed request is tried again.

    :param budget: What is left for all requests.
    :param tries: Tries of this request so far.
    :param deadline_seconds: Monotonic time by which it must be answered.
    :param now_seconds: Monotonic time.
    """
    if tries >= TRIES_MAX:
        return RetryRefused(f"tried {tries} times")
    if deadline_seconds - now_seconds < RETRY_TIME_LEFT_MIN_SECONDS:
        return RetryRefused("the deadline is too near")
    if budget.retries < 1.0:
        return RetryRefused("the retry budget is used up")
    return RetryAllowed(evolve(budget, retries=budget.retries - 1.0))
