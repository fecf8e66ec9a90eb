"""No schedule admits more than rate and burst of all instances together."""

import random

from hypothesis import example, given, settings, strategies as st

from waxwingwinch.limits import CustomerLimit
from waxwingwinch.limits.tests._cluster import CONFIGURATION_LAG_SECONDS, Cluster

OPERATIONS = 400


def limit(rate, burst, term=2.0):
    return CustomerLimit(rate, burst, 0.5, 20.0, term)


def excess(cluster, window_seconds):
    """
    Return the largest excess over all windows that begin and end with an
    admission. Limits in force up to ``window_seconds`` before count.
    """
    changes = cluster.limits

    def in_force(seconds):
        first = max(i for i, (since, _) in enumerate(changes) if since <= seconds)
        return first

    def largest(seconds, name):
        first = in_force(max(0.0, seconds - window_seconds))
        return max(getattr(x, name) for _, x in changes[first : in_force(seconds) + 1])

    bounds = {0.0}
    for since, _ in changes:
        bounds |= {since, since + window_seconds}
    times = sorted(bounds | set(cluster.admitted))
    integral = {times[0]: 0.0}
    for start, end in zip(times, times[1:], strict=False):
        rate = largest(start, "rate_per_second")
        integral[end] = integral[start] + rate * (end - start)
    worst, least = float("-inf"), float("inf")
    for number, seconds in enumerate(cluster.admitted):
        burst = largest(seconds, "burst_requests")
        least = min(least, number - integral[seconds] + burst)
        worst = max(worst, number + 1 - integral[seconds] - least)
    return worst


def any_limit(rng):
    return limit(rng.choice([2, 20, 60]), rng.choice([4, 30, 90]))


def operate(cluster, rng, changes_limits):
    number = rng.randrange(3)
    actions = [
        (30, lambda: cluster.admit(number, rng.choice([1, 5, 90]))),
        (25, lambda: cluster.ask(number, rng.choice([0, 3, 40]))),
        (10, lambda: cluster.ask_floor(number)),
        (15, cluster.append),
        (20, lambda: cluster.read(cluster.active)),
        (8, lambda: cluster.read(cluster.controls[number])),
        (1, cluster.give_up),
        (1, lambda: cluster.drop_floor(number)),
        (1, lambda: cluster.kill(number)),
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
    cluster = Cluster(rng, limit(rng.choice([2, 20]), rng.choice([4, 30, 90])))
    cluster.change_grantor(0)
    for _ in range(OPERATIONS):
        operate(cluster, rng, changes_limits)
    return cluster


@settings(max_examples=150, deadline=None)
@given(seed=st.integers(0, 2**32))
@example(seed=979)
def test_every_window_keeps_to_rate_and_burst(seed):
    cluster = run(seed, changes_limits=False)
    assert excess(cluster, 0.0) <= 1e-6


@settings(max_examples=150, deadline=None)
@given(seed=st.integers(0, 2**32))
@example(seed=979)
def test_every_window_keeps_to_changing_limits(seed):
    cluster = run(seed, changes_limits=True)
    window_seconds = CONFIGURATION_LAG_SECONDS + 3.5
    assert excess(cluster, window_seconds) <= 1e-6


def test_the_schedules_do_admit():
    assert sum(len(run(seed, False).admitted) for seed in range(20)) > 1_000


def steady(demand_ratio, shares=(6, 3, 1), seconds=60):
    """Run without faults and return the refused ratio after a warm-up."""
    rng = random.Random(1)
    rate_per_second = 20.0
    cluster = Cluster(rng, limit(rate_per_second, 20.0), loss_ratio=0.0)
    cluster.change_grantor(0)
    steps = int(seconds / 0.05)
    for step in range(steps):
        if step == steps // 2:
            cluster.admitted, cluster.refused = [], 0
        exchange(cluster, step)
        for number, share in enumerate(shares):
            mean = rate_per_second * demand_ratio * 0.05 * share / sum(shares)
            if rng.random() < mean:
                admit_asking(cluster, number)
    return cluster.refused / (cluster.refused + len(cluster.admitted))


def exchange(cluster, step):
    """Pass one step of 50 ms with its regular messages."""
    for number in range(3):
        if step % 20 == 0:
            cluster.ask_floor(number)
        if step % 5 == 0:
            cluster.ask(number)
    cluster.advance(0.01)
    while cluster.pending:
        cluster.append()
    cluster.read(cluster.active)
    cluster.advance(0.04)


def admit_asking(cluster, number):
    """Admit one request; without a token the grantor is asked at once."""
    refused = cluster.refused
    cluster.admit(number, 1)
    if cluster.refused > refused:
        cluster.refused = refused
        cluster.ask(number, 1)
        cluster.advance(0.002)
        cluster.admit(number, 1)


def test_demand_within_the_rate_is_admitted():
    assert steady(0.9) < 0.03


def test_demand_within_the_rate_at_one_instance_is_admitted():
    assert steady(0.8, shares=(1, 0, 0)) < 0.03
