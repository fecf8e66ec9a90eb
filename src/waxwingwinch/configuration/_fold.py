"""The state of the configuration as a pure fold over its records."""

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

#: Place of the finding about a change that lost a race.
STALE_PLACE = "supersedes_version"


@frozen
class FoldState:
    """
    What the records so far amount to.

    :param configuration: The configuration in force.
    :param withdrawn_key_ids: Keys withdrawn in the stream; they only grow,
        and no change is accepted or refused because of them.
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
    A record that was taken.

    :param state: The state after it.
    """

    state: FoldState


@frozen
class Refused:
    """
    A record without effect.

    :param findings: Why.
    """

    findings: tuple[Finding, ...]


def apply(state: FoldState, record: Any) -> Accepted | Refused:
    """
    Apply one record.

    :param state: The state before it.
    :param record: A record of the stream; unknown classes have no effect.
    """
    match record:
        case ConfigurationChange():
            return apply_changes(state, record)
        case KeyWithdrawal():
            return Accepted(_withdraw(state, frozenset(record.key_ids)))
        case ConfigurationSnapshot():
            # Content of a snapshot is repeated state. Only withdrawals can
            # be news, from an instance that took them while the log was down.
            return Accepted(_withdraw(state, frozenset(record.withdrawn_key_ids)))
        case _:
            finding = Finding("record", f"unknown class {type(record).__name__}")
            return Refused((finding,))


def apply_changes(state: FoldState, record: ConfigurationChange) -> Accepted | Refused:
    """
    Apply the changes of one record together, or none of them.

    :param state: The state before them.
    :param record: The changes.
    """
    if record.supersedes_version != state.version:
        problem = (
            f"made for version {record.supersedes_version}, "
            f"but version {state.version} is in force"
        )
        return Refused((Finding(STALE_PLACE, problem),))
    findings = list(_check_envelope(record))
    configuration = state.configuration
    for index, item in enumerate(record.changes):
        change = item.change()
        if change is None:
            findings.append(Finding(f"changes[{index}]", "unknown kind of change"))
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


def take_snapshot(state: FoldState, next_offset: int) -> ConfigurationSnapshot:
    """
    Make the record from which a new reader can start.

    :param state: The state.
    :param next_offset: First offset that is not in the state.
    """
    return ConfigurationSnapshot(
        version=state.version,
        next_offset=next_offset,
        configuration=state.configuration,
        withdrawn_key_ids=tuple(sorted(state.withdrawn_key_ids)),
    )


def state_of(snapshot: ConfigurationSnapshot) -> FoldState:
    """
    Return the state that a snapshot holds.

    :param snapshot: The snapshot.
    """
    return FoldState(snapshot.configuration, frozenset(snapshot.withdrawn_key_ids))


def _withdraw(state: FoldState, key_ids: frozenset[str]) -> FoldState:
    return evolve(state, withdrawn_key_ids=state.withdrawn_key_ids | key_ids)


def _check_envelope(record: ConfigurationChange) -> tuple[Finding, ...]:
    findings = []
    if not record.reason.strip():
        findings.append(Finding("reason", "a change needs a reason"))
    if not record.operator.strip():
        findings.append(Finding("operator", "a change needs its operator"))
    if not record.changes:
        findings.append(Finding("changes", "nothing changes"))
    return tuple(findings)
