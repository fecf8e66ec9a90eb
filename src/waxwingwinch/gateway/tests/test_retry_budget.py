"""Retries of all instances together stay within the budget."""

from waxwingwinch.gateway._retry_budget import RetryBudget

RATIO = 0.2
SLACK = 54.0
WINDOW_SECONDS = 10.0
INSTANCES = 7


def make_budgets():
    budgets = [RetryBudget(RATIO, SLACK, WINDOW_SECONDS) for _ in range(INSTANCES)]
    for budget in budgets:
        budget.set_instances(INSTANCES)
    return budgets


def test_retries_in_service_outage_stay_within_budget():
    budgets = make_budgets()
    requests, retries = [], []
    for step in range(3_000):
        now_seconds = step * 0.01
        budget = budgets[step % INSTANCES]
        budget.record_request("shop", now_seconds)
        requests.append(now_seconds)
        while budget.spend("shop", now_seconds):
            retries.append(now_seconds)
    for start in range(20):
        end = start + WINDOW_SECONDS
        spent = sum(1 for at in retries if start <= at < end)
        requested = sum(1 for at in requests if start <= at < end)
        assert spent <= RATIO * requested + SLACK


def test_restart_of_all_instances_stays_within_slack():
    before, after = make_budgets(), make_budgets()
    spent = 0
    for budget in before + after:
        while budget.spend("shop", 0.0):
            spent += 1
    assert spent <= SLACK


def test_slack_of_process_depends_on_number_of_instances():
    """Case: a process learns of its peers after its first requests."""
    budget = RetryBudget(RATIO, SLACK, WINDOW_SECONDS)
    assert not budget.spend("shop", 0.0)
    for _ in range(10):
        budget.set_instances(1)
        budget.set_instances(INSTANCES)
    spent = 0
    while budget.spend("shop", 0.0):
        spent += 1
    assert 1 < spent <= SLACK / INSTANCES


def test_services_have_separate_budgets():
    budget = RetryBudget(RATIO, 5.0, WINDOW_SECONDS)
    budget.set_instances(1)
    while budget.spend("shop", 0.0):
        pass
    assert budget.spend("other", 0.0)


def test_several_retries_are_consumed_together_or_not_at_all():
    budget = RetryBudget(RATIO, 8.0, WINDOW_SECONDS)
    budget.set_instances(1)
    assert not budget.spend("shop", 0.0, cost=4)
    assert budget.spend("shop", 0.0, cost=3)
    assert not budget.spend("shop", 0.0)


# Guards against retries that many instances save in calm times and spend in
# one window.
def test_retries_that_many_instances_saved_stay_within_budget():
    instances, requests_per_second, calm_seconds = 100, 20, 580.0
    budgets = [RetryBudget(RATIO, SLACK, WINDOW_SECONDS) for _ in range(instances)]
    for budget in budgets:
        budget.set_instances(instances)
    spent = 0
    end_seconds = calm_seconds + WINDOW_SECONDS
    for number in range(int(end_seconds * requests_per_second)):
        now_seconds = number / requests_per_second
        budget = budgets[number % instances]
        budget.record_request("shop", now_seconds)
        if now_seconds >= calm_seconds:
            spent += sum(budget.spend("shop", now_seconds) for _ in range(2))
    requested = requests_per_second * WINDOW_SECONDS
    assert spent <= RATIO * requested + SLACK
