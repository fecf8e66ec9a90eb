"""Configuration state, derived from the records of the stream alone."""

from typing import Any

from attrs import evolve, frozen

from waxwingwinch.configuration._apply import ChangeRefused, apply_change
from waxwingwinch.configuration._findings import Finding
from waxwingwinch.configuration._model import Configuration
from waxwingwinch.configuration._records import (
    ConfigurationChange,
    ConfigurationSnapshot,
    KeyWithdrawal,
)
from waxwingwinch.configuration._validation import validate_configuration

#: Place of the finding about a change made for a version that is not in force,
#: for example because a concurrent change was accepted first.
STALE_VERSION_PLACE = "supersedes_version"


@frozen
class ConfigurationState:
    """
    State after the records applied so far.

    :param configuration: The configuration in force.
    :param withdrawn_key_ids: Keys withdrawn in the stream; a grow-only set
        that has no influence on the acceptance of changes.
    """

    configuration: Configuration = Configuration()
    withdrawn_key_ids: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """Number of accepted changes."""
        return self.configuration.version


@frozen
class Accepted:
    """
    An accepted record.

    :param state: State after the record.
    """

    state: ConfigurationState


@frozen
class Refused:
    """
    A refused record, which has no effect.

    :param findings: Reasons for the refusal.
    """

    findings: tuple[Finding, ...]


def apply_record(state: ConfigurationState, record: Any) -> Accepted | Refused:
    """
    Apply a record to a state.

    :param state: State before the record.
    :param record: A record of the stream; unknown classes have no effect.
    """
    match record:
        case ConfigurationChange():
            return apply_changes(state, record)
        case KeyWithdrawal():
            return Accepted(_withdraw(state, frozenset(record.key_ids)))
        case ConfigurationSnapshot():
            # A snapshot repeats the state of earlier records, except for
            # withdrawals: these can be new, if the writer of the snapshot
            # received them while the log was unavailable.
            return Accepted(_withdraw(state, frozenset(record.withdrawn_key_ids)))
        case _:
            finding = Finding("record", f"unknown record class {type(record).__name__}")
            return Refused((finding,))


def apply_changes(
    state: ConfigurationState, record: ConfigurationChange
) -> Accepted | Refused:
    """
    Apply all changes of a record, or none of them.

    :param state: State before the changes.
    :param record: The changes.
    """
    if record.supersedes_version != state.version:
        problem = (
            f"made for version {record.supersedes_version}, "
            f"but version {state.version} is in force"
        )
        return Refused((Finding(STALE_VERSION_PLACE, problem),))
    findings = list(_check_metadata(record))
    configuration = state.configuration
    for index, item in enumerate(record.changes):
        change = item.change()
        if change is None:
            findings.append(
                Finding(f"changes[{index}]", "expected exactly one known change")
            )
            continue
        try:
            configuration = apply_change(configuration, change)
        except ChangeRefused as refusal:
            findings.append(refusal.finding)
    findings.extend(validate_configuration(configuration))
    if findings:
        return Refused(tuple(findings))
    accepted = evolve(configuration, version=state.version + 1)
    return Accepted(evolve(state, configuration=accepted))


def build_snapshot(
    state: ConfigurationState, next_offset: int
) -> ConfigurationSnapshot:
    """
    Build the record from which a new reader can start.

    :param state: The state.
    :param next_offset: First offset that is not included in the state.
    """
    return ConfigurationSnapshot(
        version=state.version,
        next_offset=next_offset,
        configuration=state.configuration,
        withdrawn_key_ids=tuple(sorted(state.withdrawn_key_ids)),
    )


def state_from_snapshot(snapshot: ConfigurationSnapshot) -> ConfigurationState:
    """
    Return the state contained in a snapshot.

    :param snapshot: The snapshot.
    """
    return ConfigurationState(
        snapshot.configuration, frozenset(snapshot.withdrawn_key_ids)
    )


def _withdraw(state: ConfigurationState, key_ids: frozenset[str]) -> ConfigurationState:
    return evolve(state, withdrawn_key_ids=state.withdrawn_key_ids | key_ids)


def _check_metadata(record: ConfigurationChange) -> tuple[Finding, ...]:
    findings = []
    if not record.reason.strip():
        findings.append(Finding("reason", "a change needs a reason"))
    if not record.operator.strip():
        findings.append(Finding("operator", "a change needs its operator"))
    if not record.changes:
        findings.append(Finding("changes", "a change needs at least one item"))
    return tuple(findings)
