"""Bounds on connections, and which of them are closed first."""

import pytest
from attrs import define

from waxwingwinch.gateway.callers import front_bounds, info_bounds
from waxwingwinch.gateway.callers._bounds import CONNECTION_BYTES, longest_first

MB = 1_048_576


# Guards against bounds that leave no descriptor for upstreams and instances.
@pytest.mark.parametrize("descriptors", [400, 1_024, 4_100, 100_000])
@pytest.mark.parametrize("memory_mb", [100, 200, 300, 2_000])
def test_the_bounds_leave_room(descriptors, memory_mb):
    front = front_bounds(descriptors, memory_mb * MB, min(256, descriptors // 8))
    info = info_bounds(descriptors)
    taken = front.connections + front.lingering
    taken += 3 * (info.connections + info.lingering)
    assert taken <= 0.9 * descriptors
    # A tenth for connections, of the fifth that the process has for itself.
    assert front.connections * CONNECTION_BYTES <= 0.1 * memory_mb * MB


# Guards against bounds below the number of requests that may be under way.
def test_all_requests_have_a_connection():
    assert front_bounds(100, 10 * MB, 256).connections == 256


@define(eq=False)
class Waiting:
    blocked_since_seconds: float | None


# Guards against cutting callers that have just begun while others have waited
# for long.
def test_those_that_wait_longest_are_cut_first():
    none, old, older, young = map(Waiting, (None, 5.0, 1.0, 9.0))
    everyone = (none, old, older, young)
    assert longest_first(everyone, 6.0, 1) == [older]
    assert longest_first(everyone, 6.0, 9) == [older, old]
    assert longest_first(everyone, 0.5, 9) == []
