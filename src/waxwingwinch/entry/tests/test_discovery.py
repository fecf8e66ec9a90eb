"""Tests of the order in which discovery returns instances."""

from hypothesis import given, strategies as st

from waxwingwinch._types import Address, CustomerId, InstanceId, ZoneName
from waxwingwinch.entry import KnownEntry
from waxwingwinch.entry._discovery import preferred_entries
from waxwingwinch.placement import home_instances

ZONES = [ZoneName(name) for name in ("iloilo", "cebu", "bacolod")]


@given(
    st.lists(st.tuples(st.sampled_from(ZONES), st.booleans()), max_size=9),
    st.sampled_from(ZONES),
    st.integers(1, 5),
)
def test_draining_entries_are_omitted_and_caller_zone_is_first(
    rows, caller_zone, count
):
    entries = tuple(
        KnownEntry(InstanceId(f"i{n}"), zone, Address("127.0.0.1", n), draining)
        for n, (zone, draining) in enumerate(rows)
    )
    customer = CustomerId("c")
    chosen = preferred_entries(customer, caller_zone, entries, home_instances, count)
    usable = [entry for entry in entries if not entry.draining]
    assert len(chosen) == len(set(chosen)) == min(count, len(usable))
    assert not any(entry.draining for entry in chosen)
    foreign = [entry.zone != caller_zone for entry in chosen]
    assert foreign == sorted(foreign)
    reversed_entries = entries[::-1]
    again = preferred_entries(
        customer, caller_zone, reversed_entries, home_instances, count
    )
    assert again == chosen
