"""Choices by learned capacity, against the choices of before."""

import random

import pytest

from waxwingwinch.gateway.capacity.tests.upstream_model import Fleet

SECONDS = 30.0


def by_zone(number, _, __):
    return (0.7, 0.7, 1.7)[number % 3]


def in_spells(number, now_seconds, _):
    spell = number * 100_003 + int(now_seconds / 0.6)
    return 2.5 if random.Random(spell).random() < 0.15 else 1.0


def when_half_full(number, _, used_part):
    return 1.0 + 3.0 * max(used_part - 0.5, 0.0) if number == 1 else 1.0


def for_six_seconds(number, now_seconds, _):
    return 4.0 if number == 2 and 16.0 < now_seconds < 22.0 else 1.0


def alike(_, __, ___):
    return 1.0


def waits(slowness, is_learning, is_plain, per_second, instances=6):
    fleet = Fleet(slowness, is_learning, is_plain, instances=instances)
    return fleet.run(per_second, SECONDS), fleet


@pytest.mark.parametrize("per_second", [250, 400])
@pytest.mark.parametrize("slowness", [by_zone, when_half_full, for_six_seconds])
def test_plain_calls_avoid_slow_upstreams(slowness, per_second):
    """Guards against calls that wait at slow upstreams beside idle ones."""
    before, _ = waits(slowness, False, True, per_second)
    after, _ = waits(slowness, True, True, per_second)
    assert after.mean < before.mean
    assert after.p99 < before.p99


@pytest.mark.parametrize("slowness", [by_zone, when_half_full, for_six_seconds])
def test_plain_calls_of_many_instances_avoid_slow_upstreams(slowness):
    """Guards against instances that all go to the same idle upstream."""
    before, _ = waits(slowness, False, True, 400, 24)
    after, _ = waits(slowness, True, True, 400, 24)
    assert after.mean < before.mean
    assert after.p99 < before.p99


@pytest.mark.parametrize("slowness", [by_zone, when_half_full, for_six_seconds])
def test_prompts_avoid_slow_engines(slowness):
    """Guards against prompts that wait at slow engines beside idle ones."""
    before, _ = waits(slowness, False, False, 25)
    after, _ = waits(slowness, True, False, 25)
    assert after.mean < before.mean
    assert after.p99 < before.p99


@pytest.mark.parametrize(
    ("slowness", "instances"),
    [(alike, 6), (alike, 24), (in_spells, 6), (in_spells, 24)],
)
def test_nothing_is_lost_where_nothing_can_be_learned(slowness, instances):
    """
    Guards against choices that follow noise, or disturbances that have passed.

    Spells of 0.6 s are over when the instances know of them.
    """
    before, _ = waits(slowness, False, True, 250, instances)
    after, _ = waits(slowness, True, True, 250, instances)
    assert after.mean < 1.03 * before.mean
    assert after.p99 < 1.05 * before.p99


def test_choices_are_those_of_before_where_upstreams_are_alike():
    """Guards against noise that moves calls between equal upstreams."""
    _, before = waits(alike, False, True, 250)
    _, after = waits(alike, True, True, 250)
    choices = zip(after.choices, before.choices, strict=True)
    # pytest would compare thousands of choices line by line, for minutes.
    differing = [call for call, (one, other) in enumerate(choices) if one != other]
    assert not differing


def test_slow_upstream_is_tried_again_and_then_used_as_before():
    """Guards against an upstream that is avoided after it has recovered."""
    _, fleet = waits(for_six_seconds, True, True, 250)
    share = len(fleet.choices) / len(fleet.servers)
    per_second = len(fleet.choices) / SECONDS
    slow = fleet.choices[int(18 * per_second) : int(22 * per_second)]
    late = fleet.choices[int(26 * per_second) :]
    assert slow.count(2) < 0.5 * share * 4 / SECONDS
    assert late.count(2) > 0.5 * share * 4 / SECONDS
