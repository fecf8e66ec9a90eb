"""What cold upstreams get from all instances together, in simulated time."""

from functools import partial

import pytest

from waxwingwinch.gateway.cold import ROLE_WAIT_SECONDS
from waxwingwinch.gateway.cold.tests.cold_fleet import (
    BOUND,
    FEED_SECONDS,
    ColdFleet,
    most_in_a_second,
)

INSTANCES = 18
#: Requests per second, far more than a cold upstream can handle.
TRAFFIC_PER_SECOND = 120.0
SEEDS = range(4)


# Guards against a cold upstream that gets more than it survives, and against
# one that lies idle while callers are refused.
@pytest.mark.parametrize("count", [1, 2, 7, INSTANCES, 60])
def test_one_cold_upstream_gets_what_it_can_handle(count):
    fleet = ColdFleet(count, 1, seed=1)
    fleet.send_traffic(TRAFFIC_PER_SECOND, 12.0)
    fleet.run(13.0)
    assert most_in_a_second(fleet.engines[0]) <= BOUND
    assert fleet.sent >= 0.5 * 7.3 * (12.0 - ROLE_WAIT_SECONDS)
    assert fleet.refused > 0


def cut_into_groups(groups, fleet, keeper):
    for number in range(INSTANCES):
        fleet.cut([number], number % groups)
    fleet.run(12.0)
    fleet.cut(range(INSTANCES), 0)
    fleet.run(10.0)


def cut_off_and_replace(fleet, keeper):
    fleet.cut([keeper], 1)
    fleet.remove_record(keeper)
    fleet.run(18.0)


def end(fleet, keeper):
    fleet.kill(keeper)
    ended_seconds = fleet.clock.seconds
    fleet.run(4.0)
    # The reserve keepers go on.
    assert fleet.engines[0].arrivals[-1].at_seconds > ended_seconds + 1.0
    fleet.start(keeper)
    fleet.run(13.0)


def withdraw(fleet, keeper):
    fleet.kill(keeper)
    fleet.remove_record(keeper)
    fleet.run(18.0)


def freeze_several(fleet, keeper):
    frozen = {keeper, 0, 1, 2, 3, 4}
    for number in frozen:
        fleet.freeze(number)
    fleet.run(5.0)
    for number in frozen:
        fleet.thaw(number)
    fleet.run(12.0)


def start_late(fleet, keeper):
    for number in range(6):
        fleet.kill(number)
        fleet.remove_record(number)
    fleet.run(7.0)
    for number in range(6):
        fleet.start(number)
    fleet.run(12.0)


# Guards against several keepers that each grant the whole bound, as groups
# that are cut off from one another or former keepers might, against the end of
# a keeper that leaves its upstream without any request, and against shares, or
# permits from before, of processes that start or resume.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "disturb",
    [
        *[partial(cut_into_groups, groups) for groups in (2, 3, INSTANCES)],
        cut_off_and_replace,
        end,
        withdraw,
        freeze_several,
        start_late,
    ],
)
def test_the_bound_holds_when_keepers_change(disturb, seed):
    fleet = ColdFleet(INSTANCES, 1, seed)
    fleet.send_traffic(600.0, 45.0)
    fleet.run(7.0)
    keepers = fleet.instances[0].cold_keeper.keepers(fleet.engines[0].upstream)
    disturb(fleet, int(keepers.primary.instance_id[1:]))
    assert most_in_a_second(fleet.engines[0]) <= BOUND


# Guards against upstreams that turn cold while all instances send to them: the
# requests from before the entry has arrived must not be followed by as many
# as it can handle. With as many requests as a usual upstream gets, the bound
# holds from the entry on, otherwise once all instances have the entry.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("requests_per_second", "is_usual"), [(15, True), (120, False)]
)
def test_the_bound_holds_when_upstreams_turn_cold(requests_per_second, is_usual, seed):
    fleet = ColdFleet(INSTANCES, 3, seed, cold_seconds=0.0)
    fleet.send_traffic(requests_per_second, 20.0)
    fleet.run(8.0)
    for engine in fleet.engines:
        fleet.announce(engine, 6.0)
    since_seconds = fleet.clock.seconds + (-1.0 if is_usual else FEED_SECONDS)
    fleet.run(6.0)
    for engine in fleet.engines:
        assert most_in_a_second(engine, since_seconds) <= BOUND
    before = len(fleet.engines[0].arrivals)
    fleet.run(5.0)
    warm = len(fleet.engines[0].arrivals) - before
    assert warm > requests_per_second


# Guards against a zone whose upstreams crash, or lie idle, when all of them
# come back at once, and against callers that wait for them.
@pytest.mark.parametrize("seed", SEEDS)
def test_many_upstreams_that_return_at_once_share_the_load(seed):
    fleet = ColdFleet(INSTANCES, 20, seed, cold_seconds=None)
    fleet.run(8.0)
    fleet.send_traffic(200.0, 4.0)
    for engine in fleet.engines:
        fleet.announce(engine, 4.0)
    fleet.run(3.9)
    assert max(most_in_a_second(engine) for engine in fleet.engines) <= BOUND
    assert all(engine.arrivals for engine in fleet.engines)
    assert fleet.sent > 0.5 * 20 * 7.3 * 3
