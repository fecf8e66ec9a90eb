"""Tests of what requests are blamed for crashes."""

import pytest

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.entry._crash_guard import (
    CRASH_MEMORY_SECONDS,
    CRASH_SETTLE_SECONDS,
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


class SlowMesh:
    """Three instances whose notices take their time on the way."""

    def __init__(self, way_seconds):
        self.seconds = 1.0
        self._way_seconds = way_seconds
        self._on_the_way = []
        self.guards = [
            CrashGuard(InstanceId(f"i{number}"), self._broadcast) for number in range(3)
        ]

    def now_seconds(self):
        return self.seconds

    def wall_seconds(self):
        return self.seconds

    def pause(self, seconds):
        self.seconds += seconds
        for due_seconds, notice in list(self._on_the_way):
            if due_seconds <= self.seconds:
                self._on_the_way.remove((due_seconds, notice))
                for guard in self.guards:
                    guard.learn(notice, due_seconds)

    def _broadcast(self, notice):
        self._on_the_way.append((self.seconds + self._way_seconds, notice))


def test_a_prompt_sent_to_all_instances_at_once_crashes_one_engine_of_each():
    """Pattern: a client sends the same prompt to all instances at once."""
    mesh = SlowMesh(way_seconds=0.03)
    for number, guard in enumerate(mesh.guards):
        guard.crashed("poison", UpstreamId(f"engine-{number}"), mesh.seconds)
    for guard in mesh.guards:
        verdict = guard.judge_settled("poison", mesh, mesh.pause)
        assert isinstance(verdict, Quarantined)


def test_a_prompt_sent_again_elsewhere_at_once_is_known_there():
    """Pattern: a client tries the next instance before its peers heard."""
    mesh = SlowMesh(way_seconds=0.03)
    first, second, _ = mesh.guards
    first.crashed("poison", FIRST, mesh.seconds)
    mesh.pause(0.03)
    first.crashed("poison", SECOND, mesh.seconds)
    assert isinstance(second.judge("poison", mesh.seconds), Suspect)
    verdict = second.judge_settled("poison", mesh, mesh.pause)
    assert isinstance(verdict, Quarantined)


def test_a_stream_that_got_on_is_resumed_at_once(guard):
    guard.crashed("stream", FIRST, 1.0, had_progress=True)
    assert guard.judge("stream", 1.0) == Suspect(frozenset({FIRST}), 0.0)


def test_a_suspect_waits_no_longer_than_the_notices_take(guard):
    guard.crashed("lone", FIRST, 1.0)
    verdict = guard.judge("lone", 1.0)
    assert verdict.settle_seconds == pytest.approx(CRASH_SETTLE_SECONDS)
    assert guard.judge("lone", 1.0 + CRASH_SETTLE_SECONDS).settle_seconds == 0.0
