"""Tests of what requests are blamed for crashes."""

import pytest

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.entry._crash_guard import (
    CRASH_MEMORY_SECONDS,
    CrashGuard,
    NotSuspect,
    Quarantined,
    Suspect,
)

FIRST, SECOND, THIRD = (UpstreamId(f"engine-{number}") for number in (1, 2, 3))


@pytest.fixture
def messages():
    return []


@pytest.fixture
def guard(messages):
    return CrashGuard(InstanceId("i1"), messages.append)


def test_two_crashes_without_progress_are_refused(guard):
    guard.crashed("poison", FIRST, 1.0)
    assert isinstance(guard.judge("poison", 1.0), Suspect)
    guard.crashed("poison", FIRST, 2.0)
    assert isinstance(guard.judge("poison", 2.0), Suspect)
    guard.crashed("poison", SECOND, 3.0)
    assert isinstance(guard.judge("poison", 3.0), Quarantined)


def test_a_stream_that_got_on_is_not_refused(guard):
    for upstream_id in (FIRST, SECOND, THIRD):
        guard.crashed("stream", upstream_id, 1.0, had_progress=True)
    assert isinstance(guard.judge("stream", 1.0), Suspect)


def test_crashes_are_blamed_on_the_request_with_more_of_them(guard):
    guard.crashed("poison", FIRST, 1.0)
    guard.crashed("stream", FIRST, 1.1, had_progress=True)
    guard.crashed("stream", SECOND, 1.5)
    assert isinstance(guard.judge("stream", 1.5), Suspect)
    guard.crashed("poison", SECOND, 1.6)
    assert isinstance(guard.judge("stream", 1.7), Suspect)
    assert isinstance(guard.judge("poison", 1.7), Quarantined)


def test_crashes_at_other_times_explain_nothing(guard):
    guard.crashed("poison", FIRST, 1.0)
    guard.crashed("poison", SECOND, 2.0)
    guard.crashed("later", FIRST, 50.0)
    guard.crashed("later", THIRD, 51.0)
    assert isinstance(guard.judge("later", 51.0), Quarantined)


def test_peers_learn_and_forget(guard, messages):
    guard.crashed("poison", FIRST, 1.0)
    guard.crashed("poison", SECOND, 1.0)
    peer = CrashGuard(InstanceId("i2"), messages.append)
    for notice in messages[:2]:
        peer.learn(notice, 10.0)
    assert isinstance(peer.judge("poison", 10.0), Quarantined)
    late_seconds = 10.0 + CRASH_MEMORY_SECONDS
    assert isinstance(peer.judge("poison", late_seconds), NotSuspect)
