from typing import Any

from hypothesis import given, strategies as st

from waxwingwinch._types import CustomerId
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.configuration import (
    Accepted,
    AddKey,
    Change,
    Configuration,
    ConfigurationChange,
    ConfigurationReplica,
    ConfigurationSnapshot,
    ConfigurationState,
    Customer,
    ExceptionRule,
    KeyWithdrawal,
    PutCustomer,
    PutException,
    Refused,
    RemoveCustomer,
    ReplaceConfiguration,
    Scope,
    ScopeKind,
    SetDefault,
    apply_record,
    build_key_record,
    build_snapshot,
    create_key,
    wrap_change,
)


def change(
    version: int, *changes: Change, change_id: str = "c", reason: str = "test"
) -> ConfigurationChange:
    items = tuple(wrap_change(item) for item in changes)
    return ConfigurationChange(version, "ana", change_id, reason, items)


def accepted(state: ConfigurationState, *changes: Change) -> ConfigurationState:
    result = apply_record(state, change(state.version, *changes))
    assert isinstance(result, Accepted), result
    return result.state


def problems(result: Accepted | Refused) -> list[str]:
    assert isinstance(result, Refused)
    return [str(finding) for finding in result.findings]


A, B = CustomerId("a"), CustomerId("b")


#: Concurrent, stale and invalid changes, withdrawals, and snapshots.
records = st.lists(
    st.one_of(
        st.builds(
            lambda version, value: change(
                version, SetDefault("drain_seconds", value), change_id=str(value)
            ),
            st.integers(0, 6),
            st.integers(-5, 40).map(float),
        ),
        st.builds(lambda name: KeyWithdrawal((name,)), st.sampled_from("abc")),
        # Placeholder for a snapshot of the state this many records ago.
        st.integers(0, 5),
    ),
    max_size=30,
)


def state_in(reader: ConfigurationReplica) -> ConfigurationState:
    assert reader.state is not None
    return reader.state


def write_log(drafts: list[Any]) -> tuple[list[Any], list[ConfigurationState]]:
    """Return the records of a log and the states after each of them."""
    log: list[Any] = []
    states = [ConfigurationState()]
    for draft in drafts:
        record = draft
        if isinstance(draft, int):
            snapshot_offset = max(0, len(log) - draft)
            record = build_snapshot(states[snapshot_offset], snapshot_offset)
        log.append(record)
        result = apply_record(states[-1], record)
        state = result.state if isinstance(result, Accepted) else states[-1]
        states.append(state)
    return log, states


@given(records)
def test_two_readers_agree(drafts):
    log, states = write_log(drafts)
    first, second = ConfigurationReplica(), ConfigurationReplica()
    for offset, record in enumerate(log):
        first.add_record(offset, record)
        second.add_record(offset, decode_message(encode_message(record)))
        assert first.state == second.state == states[offset + 1]


@given(records, st.data())
def test_new_reader_agrees_from_any_retained_offset(drafts, data):
    log, states = write_log(drafts)
    first_offset = data.draw(st.integers(0, len(log)))
    reader = ConfigurationReplica()
    if first_offset:
        reader.skip_to(first_offset)
    version = 0
    for offset in range(first_offset, len(log)):
        reader.add_record(offset, log[offset])
        if reader.state is not None:
            assert reader.state == states[offset + 1]
            assert state_in(reader).version >= version
            version = state_in(reader).version


@given(records, st.data())
def test_snapshot_of_a_peer_leads_to_the_same_state(drafts, data):
    log, states = write_log(drafts)
    snapshot_offset = data.draw(st.integers(0, len(log)))
    reader = ConfigurationReplica()
    reader.adopt(build_snapshot(states[snapshot_offset], snapshot_offset))
    assert reader.state == states[snapshot_offset]
    for offset, record in enumerate(log):
        reader.add_record(offset, record)
    assert state_in(reader).configuration == states[-1].configuration


def test_change_between_building_and_appending_of_snapshot_is_kept():
    winner = change(0, SetDefault("drain_seconds", 7.0), change_id="winner")
    rival = change(0, SetDefault("drain_seconds", 9.0), change_id="rival")
    stale = build_snapshot(ConfigurationState(), 1)
    log = [KeyWithdrawal(("a",)), winner, stale, rival]
    reader = ConfigurationReplica()
    reader.skip_to(1)
    for offset in (1, 2, 3):
        reader.add_record(offset, log[offset])
    assert state_in(reader).version == 1
    assert state_in(reader).configuration.defaults.drain_seconds == 7.0


def test_exactly_one_of_racing_operators_wins():
    reader = ConfigurationReplica()
    rivals = [
        change(0, SetDefault("drain_seconds", float(n)), change_id=str(n))
        for n in range(5)
    ]
    outcomes = [
        outcome
        for n, rival in enumerate(rivals)
        for outcome in reader.add_record(n, rival)
    ]
    won = [item for item in outcomes if isinstance(item.result, Accepted)]
    assert [item.change.change_id for item in won] == ["0"]
    assert "version 1 is in force" in problems(outcomes[1].result)[0]


def test_stale_snapshot_has_no_effect():
    state = accepted(ConfigurationState(), SetDefault("drain_seconds", 7.0))
    reader = ConfigurationReplica()
    reader.add_record(0, change(0, SetDefault("drain_seconds", 7.0)))
    reader.add_record(1, build_snapshot(ConfigurationState(), 0))
    reader.adopt(build_snapshot(ConfigurationState(), 0))
    assert reader.state == state


def test_change_for_a_later_version_has_no_effect():
    early = change(1, SetDefault("drain_seconds", 7.0))
    assert (
        "made for version 1" in problems(apply_record(ConfigurationState(), early))[0]
    )


def test_version_never_goes_back():
    reader = ConfigurationReplica()
    reader.add_record(0, change(0, SetDefault("drain_seconds", 7.0)))
    reader.adopt(build_snapshot(ConfigurationState(), 5))
    assert state_in(reader).version == 1


def test_old_state_is_kept_until_a_snapshot_closes_the_gap():
    reader = ConfigurationReplica()
    reader.add_record(0, change(0, SetDefault("drain_seconds", 7.0)))
    reader.skip_to(5)
    assert not reader.is_complete
    reader.add_record(5, change(3, SetDefault("drain_seconds", 9.0)))
    assert state_in(reader).configuration.defaults.drain_seconds == 7.0
    covered = build_snapshot(ConfigurationState(Configuration(version=3)), 5)
    reader.add_record(6, covered)
    assert reader.is_complete
    assert state_in(reader).version == 4


def test_state_is_kept_when_its_records_expire():
    reader = ConfigurationReplica()
    reader.add_record(0, change(0, SetDefault("drain_seconds", 7.0)))
    reader.skip_to(1)
    assert reader.is_complete
    assert state_in(reader).version == 1


def test_all_findings_are_reported_together():
    wrong = change(
        0,
        PutCustomer(A, -1.0, 0.0),
        RemoveCustomer(CustomerId("nobody")),
        SetDefault("drain_second", 1.0),
        PutException(
            ExceptionRule("x", Scope(ScopeKind.CUSTOMER, "aa"), "drain_seconds", 1, " ")
        ),
        reason=" ",
    )
    text = problems(apply_record(ConfigurationState(), wrong))
    assert text == [
        "reason: a change needs a reason",
        "customers.nobody: does not exist",
        "defaults.drain_second: unknown setting 'drain_second' "
        "(did you mean 'drain_seconds'?)",
        "customers.a.rate_per_second: must be finite and above 0, is -1",
        "customers.a.burst_requests: must be finite and above 0, is 0",
        "exceptions.x.reason: an exception needs a reason",
        "exceptions.x.scope: unknown customer 'aa' (did you mean 'a'?)",
    ]


def test_key_names_are_unique_over_customers():
    state = accepted(
        ConfigurationState(), PutCustomer(A, 1.0, 1.0), PutCustomer(B, 1.0, 1.0)
    )
    state = accepted(state, AddKey(A, build_key_record("k", "secret")))
    result = apply_record(state, change(2, AddKey(B, build_key_record("k", "other"))))
    assert "already used by 'a'" in problems(result)[0]


def test_document_keeps_keys_it_does_not_list():
    key = create_key("k").record
    state = accepted(ConfigurationState(), PutCustomer(A, 1.0, 1.0), AddKey(A, key))
    document = Configuration(customers={A: Customer(A, 5.0, 5.0)})
    state = accepted(state, ReplaceConfiguration(document))
    assert state.configuration.customers[A].keys == (key,)
    assert state.configuration.customers[A].rate_per_second == 5.0
    assert state.version == 2


def test_unknown_kind_of_change_is_refused():
    record = ConfigurationChange(
        0,
        "ana",
        "c",
        "test",
        (
            wrap_change(SetDefault("drain_seconds", 1.0)),
            type(wrap_change(RemoveCustomer(A)))(),
        ),
    )
    assert (
        "expected exactly one known change"
        in problems(apply_record(ConfigurationState(), record))[0]
    )


def test_snapshot_carries_withdrawals():
    snapshot = ConfigurationSnapshot(0, 0, Configuration(), ("k",))
    result = apply_record(ConfigurationState(), snapshot)
    assert isinstance(result, Accepted)
    assert result.state.withdrawn_key_ids == {"k"}
