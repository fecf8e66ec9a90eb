"""What cold upstreams get from all instances together, in simulated time."""

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


def keeper_number(fleet, engine):
    keepers = fleet.instances[0].cold_keeper.keepers(engine.upstream)
    assert keepers is not None
    return int(keepers.primary.instance_id[1:])


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


# Guards against several keepers that each grant the whole bound while the
# instances are cut into groups, and after the cut.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("groups", [2, 3, INSTANCES])
def test_the_bound_holds_while_instances_are_cut_into_groups(groups, seed):
    fleet = ColdFleet(INSTANCES, 1, seed)
    fleet.send_traffic(TRAFFIC_PER_SECOND, 30.0)
    fleet.run(8.0)
    for number in range(INSTANCES):
        fleet.cut_from_all([number], number % groups)
    fleet.run(12.0)
    for number in range(INSTANCES):
        fleet.cut_from_all([number], 0)
    fleet.run(10.0)
    assert most_in_a_second(fleet.engines[0]) <= BOUND


# Guards against a former keeper that is cut off and goes on granting after the
# records name another instance as the keeper.
@pytest.mark.parametrize("seed", SEEDS)
def test_the_bound_holds_when_a_cut_off_keeper_is_replaced(seed):
    fleet = ColdFleet(INSTANCES, 1, seed)
    keeper = keeper_number(fleet, fleet.engines[0])
    fleet.send_traffic(600.0, 25.0)
    fleet.run(7.0)
    fleet.cut_from_all([keeper], 1)
    for instance in fleet.instances:
        if not instance.group:
            instance.directory.remove(fleet.instances[keeper].member.instance_id)
            instance.cold_keeper.record_members(fleet.clock.seconds)
    fleet.run(18.0)
    assert most_in_a_second(fleet.engines[0]) <= BOUND


# Guards against a keeper whose end leaves its upstream without any request, or
# whose successor doesn't know what it granted.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("is_recorded", [True, False])
def test_the_bound_holds_when_the_keeper_ends(is_recorded, seed):
    fleet = ColdFleet(INSTANCES, 1, seed)
    keeper = keeper_number(fleet, fleet.engines[0])
    fleet.send_traffic(TRAFFIC_PER_SECOND, 25.0)
    fleet.run(8.0)
    if is_recorded:
        fleet.kill(keeper)
    else:
        fleet.withdraw(keeper)
    ended_seconds = fleet.clock.seconds
    fleet.run(4.0)
    engine = fleet.engines[0]
    assert any(arrival.at_seconds > ended_seconds + 1.0 for arrival in engine.arrivals)
    fleet.start(keeper)
    fleet.run(13.0)
    assert most_in_a_second(engine) <= BOUND


# Guards against requests that a suspended process, keeper or not, sends with
# permits from before, or grants anew at once.
@pytest.mark.parametrize("seed", SEEDS)
def test_the_bound_holds_when_instances_resume(seed):
    fleet = ColdFleet(INSTANCES, 1, seed)
    keeper = keeper_number(fleet, fleet.engines[0])
    fleet.send_traffic(600.0, 25.0)
    fleet.run(8.0)
    frozen = [keeper, *(number for number in range(6) if number != keeper)]
    for number in frozen:
        fleet.freeze(number)
    fleet.run(5.0)
    for number in frozen:
        fleet.thaw(number)
    fleet.run(12.0)
    assert most_in_a_second(fleet.engines[0]) <= BOUND


# Guards against a share for instances that start late, beyond the others'.
def test_the_bound_holds_when_an_instance_starts_late():
    fleet = ColdFleet(INSTANCES, 1, seed=5)
    for number in range(6):
        fleet.withdraw(number)
    fleet.send_traffic(TRAFFIC_PER_SECOND, 20.0)
    fleet.run(7.0)
    for number in range(6):
        fleet.start(number)
    fleet.run(13.0)
    assert most_in_a_second(fleet.engines[0]) <= BOUND


# Guards against upstreams that turn cold while all instances send to them: the
# requests from before the entry has arrived must not be followed by as many
# as it can handle.
@pytest.mark.parametrize("seed", SEEDS)
def test_the_bound_holds_once_all_know_that_an_upstream_turned_cold(seed):
    fleet = ColdFleet(INSTANCES, 3, seed, cold_seconds=0.0)
    fleet.send_traffic(TRAFFIC_PER_SECOND, 20.0)
    fleet.run(8.0)
    for number, engine in enumerate(fleet.engines):
        fleet.announce(number, engine.upstream, 6.0)
    known_seconds = fleet.clock.seconds + FEED_SECONDS
    fleet.run(6.0)
    for engine in fleet.engines:
        assert most_in_a_second(engine, known_seconds) <= BOUND
    warm = len(fleet.engines[0].arrivals)
    fleet.run(5.0)
    assert len(fleet.engines[0].arrivals) - warm > 5 * BOUND


# Guards against a zone whose upstreams crash, or lie idle, when all of them
# come back at once, and against callers that wait for them.
@pytest.mark.parametrize("seed", SEEDS)
def test_many_upstreams_that_return_at_once_share_the_load(seed):
    fleet = ColdFleet(INSTANCES, 0, seed)
    fleet.run(8.0)
    fleet.send_traffic(200.0, 6.0)
    for number in range(20):
        fleet.add_upstream(number, 4.0)
    fleet.run(7.0)
    cold = [most_in_a_second(engine) for engine in fleet.engines]
    returned = [min(a.at_seconds for a in engine.arrivals) for engine in fleet.engines]
    until_seconds = min(engine.upstream.cold_until_seconds for engine in fleet.engines)
    assert len(cold) == 20 and max(returned) < until_seconds
    for engine in fleet.engines:
        engine.arrivals = [a for a in engine.arrivals if a.at_seconds < until_seconds]
        assert most_in_a_second(engine) <= BOUND
    assert sum(len(engine.arrivals) for engine in fleet.engines) > 0.5 * 20 * 7.3 * 3
