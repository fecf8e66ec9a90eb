"""
Bounds on the requests that all instances together admit of one customer.

In random schedules with faults, no time window may admit more than the
customer's rate and burst. Without faults, demand within the rate must be
admitted also if it is spread unevenly over the instances.
"""

import random

from attrs import evolve
from hypothesis import example, given, settings, strategies as st

from waxwingwinch.configuration import Configuration, Customer
from waxwingwinch.contracts import Limited
from waxwingwinch.limits import CustomerLimit, StaticSplitLimiter
from waxwingwinch.limits.tests._simulated_cluster import (
    CONFIGURATION_LAG_SECONDS,
    CUSTOMER,
    SimulatedCluster,
)

OPERATIONS = 400


def limit(rate, burst, term=2.0):
    return CustomerLimit(rate, burst, 0.5, 20.0, term)


def max_excess(cluster, window_seconds):
    """
    Return the largest excess of admissions over rate and burst.

    Covers all windows that begin and end with an admission. Each moment
    counts with the largest limits in force in the ``window_seconds`` before.
    """
    changes = cluster.limits

    def index_in_force(seconds):
        first = max(i for i, (since, _) in enumerate(changes) if since <= seconds)
        return first

    def max_in_force(seconds, name):
        first = index_in_force(max(0.0, seconds - window_seconds))
        return max(
            getattr(x, name) for _, x in changes[first : index_in_force(seconds) + 1]
        )

    bounds = {0.0}
    for since, _ in changes:
        bounds |= {since, since + window_seconds}
    times = sorted(bounds | set(cluster.admitted))
    integral = {times[0]: 0.0}
    for start, end in zip(times, times[1:], strict=False):
        rate = max_in_force(start, "rate_per_second")
        integral[end] = integral[start] + rate * (end - start)
    worst, least = float("-inf"), float("inf")
    for number, seconds in enumerate(cluster.admitted):
        burst = max_in_force(seconds, "burst_requests")
        least = min(least, number - integral[seconds] + burst)
        worst = max(worst, number + 1 - integral[seconds] - least)
    return worst


def any_limit(rng):
    return limit(rng.choice([2, 20, 60]), rng.choice([4, 30, 90]))


def run_random_operation(cluster, rng, changes_limits):
    number = rng.randrange(3)
    actions = [
        (30, lambda: cluster.admit(number, rng.choice([1, 5, 90]))),
        (25, lambda: cluster.request_tokens(number, rng.choice([0, 3, 40]))),
        (10, lambda: cluster.request_floor(number)),
        (15, cluster.append_record),
        (20, lambda: cluster.read_log(cluster.active)),
        (8, lambda: cluster.read_log(cluster.controls[number])),
        (1, cluster.abandon_record),
        (1, lambda: cluster.release_floor(number)),
        (1, lambda: cluster.restart_entry(number)),
        (1, lambda: cluster.pause(number, rng.uniform(0, 5))),
        (0.7, lambda: cluster.change_grantor(number)),
        (1 if changes_limits else 0, lambda: cluster.change_limit(any_limit(rng))),
    ]
    weights = [weight for weight, _ in actions]
    rng.choices(actions, weights)[0][1]()
    if rng.random() < 0.5:
        cluster.advance(rng.choice([0.0, 0.01, 0.1, 0.3, 1.0]))


def run(seed, changes_limits):
    rng = random.Random(seed)
    cluster = SimulatedCluster(rng, limit(rng.choice([2, 20]), rng.choice([4, 30, 90])))
    cluster.change_grantor(0)
    for _ in range(OPERATIONS):
        run_random_operation(cluster, rng, changes_limits)
    return cluster


@settings(max_examples=150, deadline=None)
@given(seed=st.integers(0, 2**32))
@example(seed=979)
def test_no_window_exceeds_rate_and_burst(seed):
    cluster = run(seed, changes_limits=False)
    assert max_excess(cluster, 0.0) <= 1e-6


@settings(max_examples=150, deadline=None)
@given(seed=st.integers(0, 2**32))
@example(seed=979)
def test_no_window_exceeds_changing_limits(seed):
    cluster = run(seed, changes_limits=True)
    window_seconds = CONFIGURATION_LAG_SECONDS + 3.5
    assert max_excess(cluster, window_seconds) <= 1e-6


def test_random_schedules_admit_requests():
    assert sum(len(run(seed, False).admitted) for seed in range(20)) > 1_000


def refused_ratio(demand_ratio, shares=(6, 3, 1), floor_fraction=0.5, seconds=60):
    """Return the refused ratio in the second half of a run without faults."""
    rng = random.Random(1)
    limits = evolve(limit(20.0, 20.0), floor_fraction=floor_fraction)
    cluster = SimulatedCluster(rng, limits, loss_ratio=0.0)
    cluster.change_grantor(0)
    steps = int(seconds / 0.05)
    for step in range(steps):
        if step == steps // 2:
            cluster.admitted, cluster.refused = [], 0
        run_step(cluster, step)
        for number in arrivals(rng, 20.0 * demand_ratio, shares):
            admit_or_request(cluster, number)
    return cluster.refused / (cluster.refused + len(cluster.admitted))


def static_split_refused_ratio(demand_ratio, shares=(6, 3, 1), seconds=60):
    """Return the refused ratio with a third of the limits at each instance."""
    rng = random.Random(1)
    customer = Customer(CUSTOMER, 20.0, 20.0)
    configuration = Configuration(customers={CUSTOMER: customer})
    limiters = [StaticSplitLimiter(lambda: configuration, 3) for _ in shares]
    steps = int(seconds / 0.05)
    decisions = []
    for step in range(steps):
        for number in arrivals(rng, 20.0 * demand_ratio, shares):
            decision = limiters[number].admit(CUSTOMER, step * 0.05)
            decisions.append((step, isinstance(decision, Limited)))
    counted = [refused for step, refused in decisions if step >= steps // 2]
    return sum(counted) / len(counted)


def arrivals(rng, rate_per_second, shares):
    """Return the instances at which a request arrives in a step of 50 ms."""
    means = [rate_per_second * 0.05 * share / sum(shares) for share in shares]
    return [number for number, mean in enumerate(means) if rng.random() < mean]


def run_step(cluster, step):
    """Advance by one step of 50 ms, with its periodic messages."""
    for number in range(3):
        if step % 20 == 0:
            cluster.request_floor(number)
        if step % 5 == 0:
            cluster.request_tokens(number)
    cluster.advance(0.01)
    while cluster.pending:
        cluster.append_record()
    cluster.read_log(cluster.active)
    cluster.advance(0.04)


def admit_or_request(cluster, number):
    """Admit one request; without a token, request one and try again."""
    refused = cluster.refused
    cluster.admit(number, 1)
    if cluster.refused > refused:
        cluster.refused = refused
        cluster.request_tokens(number, 1)
        cluster.advance(0.002)
        cluster.admit(number, 1)


def test_demand_within_the_rate_is_admitted():
    assert refused_ratio(0.9) < 0.03


def test_demand_within_the_rate_at_one_instance_is_admitted():
    assert refused_ratio(0.8, shares=(1, 0, 0)) < 0.03


def test_uneven_demand_is_refused_less_often_than_by_a_static_split():
    for shares in ((6, 3, 1), (1, 0, 0)):
        assert refused_ratio(0.8, shares) < static_split_refused_ratio(0.8, shares) / 4
