"""The part of a process's memory that requests may hold."""

import pytest

from waxwingwinch.gateway._front import REQUEST_BYTES
from waxwingwinch.gateway._http_parser import BODY_SPARE_FRACTION
from waxwingwinch.gateway._memory_account import MemoryAccount
from waxwingwinch.gateway._process_memory import (
    peak_resident_bytes,
    request_memory_bytes,
    resident_bytes,
)
from waxwingwinch.gateway.callers import REQUEST_SPARE_FRACTION

MB = 1_048_576
#: Resident memory of a process at its start.
START_BYTES = 42 * MB


@pytest.mark.parametrize("memory_mb", [100, 150, 300])
def test_what_requests_may_hold_leaves_room_for_the_process(memory_mb):
    limit_bytes = request_memory_bytes(memory_mb * MB, START_BYTES)
    assert limit_bytes + START_BYTES <= 0.8 * memory_mb * MB


def test_a_process_without_memory_to_spare_still_serves():
    assert request_memory_bytes(40 * MB, START_BYTES) == 5 * MB


# Guards against serving fewer ordinary requests than with a fixed estimate of
# half a megabyte for each.
@pytest.mark.parametrize(
    ("memory_mb", "requests"), [(100, 100), (160, 160), (200, 200), (300, 256)]
)
def test_ordinary_requests_have_room(memory_mb, requests):
    account = MemoryAccount(request_memory_bytes(memory_mb * MB, START_BYTES))
    for _ in range(requests):
        reservation = account.open()
        reservation.grow(REQUEST_BYTES, REQUEST_SPARE_FRACTION)
        reservation.grow(1_000, BODY_SPARE_FRACTION)


def test_the_resident_memory_is_known():
    assert 10 * MB < resident_bytes() <= peak_resident_bytes()


# Guards against a process that can't start where the kernel tells no sizes.
def test_the_peak_stands_in_for_an_unknown_resident_memory(monkeypatch, tmp_path):
    module = "waxwingwinch.gateway._process_memory"
    monkeypatch.setattr(f"{module}.STATM", tmp_path / "absent")
    assert resident_bytes() == peak_resident_bytes()
