"""Result of publishing a change, and validation before the append."""

from collections.abc import Iterator

from attrs import frozen

from waxwingwinch.configuration import (
    AddKey,
    Configuration,
    ConfigurationChange,
    ConfigurationState,
    Finding,
    Refused,
    ReplaceConfiguration,
    apply_changes,
)


@frozen
class Published:
    """
    Result of an accepted change.

    :param version: Configuration version created by the change.
    """

    version: int


def check_before_append(
    configuration: Configuration,
    withdrawn_key_ids: frozenset[str],
    change: ConfigurationChange,
) -> Refused | None:
    """
    Return the reasons for refusing a change; None if it is acceptable now.

    Readers ignore withdrawals when they decide about a change, since
    withdrawals have no order relative to changes. The reuse of the public name
    of a withdrawn key is therefore refused here.

    :param configuration: The configuration in force.
    :param withdrawn_key_ids: Public names of all withdrawn keys.
    :param change: The change.
    """
    findings: list[Finding] = []
    result = apply_changes(ConfigurationState(configuration), change)
    if isinstance(result, Refused):
        findings.extend(result.findings)
    configured_key_ids = {
        key.key_id
        for customer in configuration.customers.values()
        for key in customer.keys
    }
    for place, key_id in _added_keys(change):
        if key_id in withdrawn_key_ids and key_id not in configured_key_ids:
            findings.append(Finding(place, f"key_id {key_id!r} was withdrawn for good"))
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
