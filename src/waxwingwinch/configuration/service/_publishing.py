"""Outcome of publishing a change, and the check before it is appended."""

from collections.abc import Iterator

from attrs import frozen

from waxwingwinch.configuration import (
    AddKey,
    Configuration,
    ConfigurationChange,
    Finding,
    FoldState,
    Refused,
    ReplaceConfiguration,
    apply_changes,
)


@frozen
class Published:
    """
    A change that was accepted.

    :param version: The version that it made.
    """

    version: int


def check_before_append(
    configuration: Configuration,
    withdrawn_key_ids: frozenset[str],
    change: ConfigurationChange,
) -> Refused | None:
    """
    Return why a change would be refused now; None if it would be accepted.

    Readers don't look at withdrawals when they accept a change, since these
    have no order. A name that is already withdrawn is refused here.

    :param configuration: The configuration in force.
    :param withdrawn_key_ids: All withdrawn keys.
    :param change: The change.
    """
    findings: list[Finding] = []
    result = apply_changes(FoldState(configuration), change)
    if isinstance(result, Refused):
        findings.extend(result.findings)
    present = {
        key.key_id
        for customer in configuration.customers.values()
        for key in customer.keys
    }
    for place, key_id in _added_keys(change):
        if key_id in withdrawn_key_ids and key_id not in present:
            findings.append(Finding(place, f"key {key_id!r} was withdrawn for good"))
    return Refused(tuple(findings)) if findings else None


def _added_keys(change: ConfigurationChange) -> Iterator[tuple[str, str]]:
    for item in change.changes:
        match item.change():
            case AddKey(customer_id, key):
                yield f"customers.{customer_id}.keys", key.key_id
            case ReplaceConfiguration(document):
                for customer in document.customers.values():
                    for key in customer.keys:
                        if not key.withdrawn:
                            yield f"customers.{customer.customer_id}.keys", key.key_id
            case _:
                pass
