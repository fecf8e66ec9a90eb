"""The upstream directory with late, lapsed and replaced entries."""

from attrs import evolve

from waxwingwinch._types import Address, EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._upstreams import (
    FIRST_EJECTION_SECONDS,
    LAPSED_GRACE_SECONDS,
    MAX_EJECTION_SECONDS,
    MAX_REMOVED,
    RegisteredState,
    Upstream,
    UpstreamDirectory,
)

SHOP = "shop"
ENTRY = Upstream(
    UpstreamId("u"),
    1_000,
    SHOP,
    Address("10.0.0.1", 80),
    ZoneName("z"),
    RegisteredState.READY,
    6,
    sequence=5,
)
DRAINING = evolve(ENTRY, state=RegisteredState.DRAINING, sequence=6)


def usable(directory, now_seconds=0.0):
    return [upstream.upstream_id for upstream in directory.usable(SHOP, now_seconds)]


def test_late_entry_does_not_revive_draining_upstream():
    directory = UpstreamDirectory()
    directory.put(DRAINING)
    directory.put(ENTRY)
    assert usable(directory) == []


def test_late_entry_does_not_revive_removed_upstream():
    directory = UpstreamDirectory()
    directory.put(DRAINING)
    directory.remove(ENTRY.upstream_id)
    directory.put(ENTRY)
    assert usable(directory) == []


def test_restarted_upstream_with_same_id_is_used():
    directory = UpstreamDirectory()
    directory.put(DRAINING)
    directory.remove(ENTRY.upstream_id)
    directory.put(evolve(ENTRY, started_ms=2_000, sequence=1))
    assert usable(directory) == ["u"]


def test_entry_lapsed_in_outage_is_kept_for_grace_period():
    directory = UpstreamDirectory()
    directory.put(ENTRY)
    directory.mark_lapsed(ENTRY.upstream_id, 10.0)
    assert directory.expire_lapsed(10.0 + LAPSED_GRACE_SECONDS - 0.1) == []
    assert usable(directory) == ["u"]
    assert directory.expire_lapsed(10.0 + LAPSED_GRACE_SECONDS) == ["u"]
    assert usable(directory) == []


def test_entry_restored_after_outage_is_kept():
    directory = UpstreamDirectory()
    directory.put(ENTRY)
    directory.mark_lapsed(ENTRY.upstream_id, 10.0)
    directory.put(evolve(ENTRY, sequence=9))
    assert directory.expire_lapsed(20.0) == []
    assert usable(directory) == ["u"]


def test_consecutive_failures_lengthen_ejection():
    directory = UpstreamDirectory()
    directory.put(ENTRY)
    directory.put(evolve(ENTRY, upstream_id=UpstreamId("v")))
    assert directory.record_failure(ENTRY.upstream_id, 0.0) == FIRST_EJECTION_SECONDS
    assert usable(directory, 0.1) == ["v"]
    assert usable(directory, FIRST_EJECTION_SECONDS) == ["u", "v"]
    for _ in range(6):
        ejection_seconds = directory.record_failure(ENTRY.upstream_id, 1.0)
    assert ejection_seconds == MAX_EJECTION_SECONDS
    directory.record_success(ENTRY.upstream_id)
    assert usable(directory, 1.1) == ["u", "v"]


def test_last_upstream_is_usable_despite_failure():
    directory = UpstreamDirectory()
    directory.put(ENTRY)
    directory.record_failure(ENTRY.upstream_id, 0.0)
    assert usable(directory, 0.1) == ["u"]


def test_failed_decode_engines_are_usable_beside_healthy_prefill_engine():
    directory = UpstreamDirectory()
    decoder = evolve(ENTRY, role=EngineRole.DECODE)
    directory.put(decoder)
    prefill = UpstreamId("p")
    directory.put(evolve(ENTRY, upstream_id=prefill, role=EngineRole.PREFILL))
    directory.record_failure(decoder.upstream_id, 0.0)
    assert usable(directory, 0.1) == ["u", "p"]
    excluded = frozenset({decoder.upstream_id})
    assert [
        upstream.upstream_id for upstream in directory.usable(SHOP, 0.1, excluded)
    ] == ["p"]


def test_engine_gets_no_work_during_role_change():
    directory = UpstreamDirectory()
    decoder = evolve(ENTRY, role=EngineRole.DECODE)
    directory.put(decoder)
    directory.record_role_change(decoder.upstream_id, EngineRole.PREFILL, 3.0)
    # Its next entry may still have the previous role.
    directory.put(evolve(decoder, sequence=9))
    assert usable(directory, 2.9) == []
    (engine,) = directory.usable(SHOP, 3.0)
    assert engine.role is EngineRole.PREFILL


def test_misdirected_address_is_not_used():
    directory = UpstreamDirectory()
    directory.put(ENTRY)
    directory.mark_misdirected(ENTRY)
    assert usable(directory) == []
    directory.put(evolve(ENTRY, started_ms=2_000, sequence=1))
    assert usable(directory) == ["u"]


def test_age_of_entries_is_known_after_first_read():
    directory = UpstreamDirectory()
    assert directory.age_seconds(5.0) is None
    directory.record_read(5.0)
    assert directory.age_seconds(7.5) == 2.5


# Guards against work for a leaving upstream whose entries still say ready.
def test_an_upstream_that_says_that_it_leaves_is_not_used_again():
    directory = UpstreamDirectory()
    directory.put(ENTRY)
    assert directory.record_leaving(ENTRY.upstream_id, 1_000, is_local=True)
    assert usable(directory) == []
    assert directory.ready(ENTRY.upstream_id, 0.0) is None
    directory.put(evolve(ENTRY, sequence=7))
    directory.record_role_change(ENTRY.upstream_id, EngineRole.DECODE, 1.0)
    assert usable(directory, 2.0) == []


# Guards against a statement that a lapsed and restored entry undoes.
def test_a_statement_outlasts_the_removal_of_the_entry():
    directory = UpstreamDirectory()
    directory.put(ENTRY)
    directory.record_leaving(ENTRY.upstream_id, 1_000, is_local=True)
    directory.remove(ENTRY.upstream_id)
    directory.put(evolve(ENTRY, sequence=7))
    assert usable(directory) == []


def test_a_restarted_upstream_is_not_bound_by_what_it_said_before():
    directory = UpstreamDirectory()
    directory.put(ENTRY)
    directory.record_leaving(ENTRY.upstream_id, 1_000, is_local=True)
    directory.put(evolve(ENTRY, started_ms=2_000, sequence=1))
    assert usable(directory) == ["u"]
    # A late answer of the incarnation before.
    directory.record_leaving(ENTRY.upstream_id, 1_000, is_local=True)
    assert usable(directory) == ["u"]


def test_only_what_an_answer_said_first_is_reported():
    directory = UpstreamDirectory()
    other = evolve(ENTRY, upstream_id=UpstreamId("v"))
    directory.put(ENTRY)
    directory.put(other)
    assert directory.record_leaving(ENTRY.upstream_id, 1_000, is_local=True)
    assert directory.record_leaving(other.upstream_id, 1_000, is_local=False)
    assert not directory.record_leaving(other.upstream_id, 1_000, is_local=True)
    assert directory.local_leaving() == (("u", 1_000),)
    directory.remove(ENTRY.upstream_id)
    assert directory.local_leaving() == ()


def test_the_number_of_remembered_leaving_upstreams_is_bounded():
    directory = UpstreamDirectory()
    for number in range(MAX_REMOVED + 1):
        directory.record_leaving(UpstreamId(f"u{number}"), 1_000, is_local=True)
    directory.put(evolve(ENTRY, upstream_id=UpstreamId("u0")))
    directory.put(evolve(ENTRY, upstream_id=UpstreamId("u1")))
    assert usable(directory) == ["u0"]
