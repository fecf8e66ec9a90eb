from attrs import frozen
from hypothesis import given, strategies as st

from waxwingwinch._types import CustomerId, InstanceId, ZoneName
from waxwingwinch.placement import home_count, home_instances


@frozen
class FakeInstance:
    instance_id: InstanceId
    zone: ZoneName


def fake_instances(count, zones=3):
    return [
        FakeInstance(InstanceId(f"i{number}"), ZoneName(f"z{number % zones}"))
        for number in range(count)
    ]


customers = st.text(min_size=1).map(CustomerId)


@given(customers, st.integers(0, 9), st.integers(0, 9), st.randoms())
def test_homes_do_not_depend_on_the_order_of_instances(customer, count, wanted, rng):
    instances = fake_instances(count)
    homes = home_instances(customer, instances, wanted)
    rng.shuffle(instances)
    assert home_instances(customer, instances, wanted) == homes
    assert len(homes) == len(set(homes)) == min(count, wanted)


@given(customers, st.integers(3, 9))
def test_the_first_homes_are_spread_over_all_zones(customer, count):
    zone_of = {
        instance.instance_id: instance.zone for instance in fake_instances(count)
    }
    homes = home_instances(customer, fake_instances(count), 3)
    assert len({zone_of[home] for home in homes}) == 3


@given(customers, st.integers(0, 8))
def test_removing_an_instance_moves_only_its_customers(customer, removed):
    before = home_instances(customer, fake_instances(9, zones=1), 3)
    remaining = [
        instance
        for number, instance in enumerate(fake_instances(9, zones=1))
        if number != removed
    ]
    after = home_instances(customer, remaining, 3)
    assert [home for home in before if home != f"i{removed}"] == [
        home for home in after if home in before
    ]


def test_a_higher_rate_gives_more_homes():
    assert home_count(1.0, 7) == 2
    assert home_count(40.0, 7) == 4
    assert home_count(1_000.0, 7) == 7
    assert home_count(1.0, 1) == 1
