from attrs import frozen
from hypothesis import given, strategies as st

from waxwingwinch._types import CustomerId, InstanceId, ZoneName
from waxwingwinch.placement import home_count, home_instances


@frozen
class Place:
    instance_id: InstanceId
    zone: ZoneName


def places(count, zones=3):
    return [
        Place(InstanceId(f"i{number}"), ZoneName(f"z{number % zones}"))
        for number in range(count)
    ]


customers = st.text(min_size=1).map(CustomerId)


@given(customers, st.integers(0, 9), st.integers(0, 9), st.randoms())
def test_homes_depend_on_the_set_of_instances_only(customer, count, wanted, rng):
    some = places(count)
    homes = home_instances(customer, some, wanted)
    rng.shuffle(some)
    assert home_instances(customer, some, wanted) == homes
    assert len(homes) == len(set(homes)) == min(count, wanted)


@given(customers, st.integers(3, 9))
def test_the_first_homes_lie_in_all_zones(customer, count):
    zone_of = {place.instance_id: place.zone for place in places(count)}
    homes = home_instances(customer, places(count), 3)
    assert len({zone_of[home] for home in homes}) == 3


@given(customers, st.integers(0, 8))
def test_an_instance_that_leaves_moves_only_its_own_customers(customer, gone):
    before = home_instances(customer, places(9, zones=1), 3)
    rest = [place for number, place in enumerate(places(9, zones=1)) if number != gone]
    after = home_instances(customer, rest, 3)
    assert [home for home in before if home != f"i{gone}"] == [
        home for home in after if home in before
    ]


def test_more_rate_has_more_homes():
    assert home_count(1.0, 7) == 2
    assert home_count(40.0, 7) == 4
    assert home_count(1_000.0, 7) == 7
    assert home_count(1.0, 1) == 1
