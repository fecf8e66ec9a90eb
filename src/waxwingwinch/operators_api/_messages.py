"""Bodies of the operators' interface, in JSON."""

import json
from typing import TypeVar

from attrs import frozen
from cattrs import BaseValidationError, transform_error

from waxwingwinch._exceptions import Outcome, WaxwingError
from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.configuration import ChangeItem, Configuration, Finding
from waxwingwinch.contracts import Reason
from waxwingwinch.kernel import Health
from waxwingwinch.settings import make_strict_converter

T = TypeVar("T")

_CONVERTER = make_strict_converter()


class BodyInvalid(WaxwingError):
    """
    A body that is not of the expected class.

    :param findings: What is wrong.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        #: What is wrong.
        self.findings = findings


def write_body(value: object) -> bytes:
    """
    Return a message as JSON.

    :param value: An instance of an attrs class.
    """
    return json.dumps(_CONVERTER.unstructure(value)).encode()


def read_body(body: bytes, cls: type[T]) -> T:
    """
    Read a message.

    :param body: JSON text.
    :param cls: The expected attrs class.
    :raises BodyInvalid: With everything that is wrong.
    """
    try:
        return _CONVERTER.structure(json.loads(body), cls)
    except (json.JSONDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BodyInvalid((Finding("body", f"is not JSON: {error}"),)) from error
    except BaseValidationError as error:
        findings = tuple(_read_finding(text) for text in transform_error(error))
        raise BodyInvalid(findings) from error
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise BodyInvalid((Finding("body", str(error)),)) from error


def _read_finding(text: str) -> Finding:
    problem, _, place = text.rpartition(" @ ")
    return Finding(place.removeprefix("$.").replace("$", "body"), problem)


@frozen
class ConfigurationView:
    """
    The configuration in force.

    :param version: Its version.
    :param configuration: Its content.
    :param withdrawn_key_ids: All withdrawn keys.
    """

    version: int
    configuration: Configuration
    withdrawn_key_ids: tuple[str, ...] = ()


@frozen
class ChangeRequest:
    """
    Changes to publish together.

    :param supersedes_version: The version they were made for.
    :param change_id: Unique name; a retry under it has no second effect.
    :param reason: Why.
    :param changes: What changes, in order.
    """

    supersedes_version: int
    change_id: str
    reason: str
    changes: tuple[ChangeItem, ...]


@frozen
class PublishedView:
    """
    A change was accepted.

    :param version: The version that it made.
    """

    version: int


@frozen
class FindingsView:
    """
    A request was refused.

    :param findings: Why.
    """

    findings: tuple[Finding, ...]


@frozen
class UnavailableView:
    """
    This instance could not do what was asked.

    :param problem: Why.
    :param outcome: ``unknown`` if it may be done later nevertheless.
    """

    problem: str
    outcome: Outcome


@frozen
class WithdrawRequest:
    """
    A key to withdraw.

    :param key_id: Public name of the key.
    :param reason: Why.
    """

    key_id: str
    reason: str


@frozen
class WithdrawalView:
    """
    How far a withdrawal has come.

    :param key_id: Public name of the key.
    :param confirmed: Instances that refuse the key.
    :param expected_instances: How many instances there should be.
    :param is_logged: True once it is in the log.
    :param is_accepted: True once no instance can still take the key.
    """

    key_id: str
    confirmed: tuple[InstanceId, ...]
    expected_instances: int
    is_logged: bool
    is_accepted: bool


@frozen
class InstanceView:
    """
    One instance as the answering one sees it.

    :param instance_id: Its name.
    :param zone: Its availability zone.
    :param entry_address: Where it serves callers.
    :param configuration_version: Version in force there.
    :param withdrawals_digest: Digest of the withdrawn keys known there.
    :param is_draining: True once its planned stop has begun.
    :param silence_seconds: Time since its last heartbeat; None if none was
        heard.
    """

    instance_id: InstanceId
    zone: ZoneName
    entry_address: Address
    configuration_version: int
    withdrawals_digest: bytes
    is_draining: bool
    silence_seconds: float | None


@frozen
class StatusView:
    """
    State of the system as one instance sees it.

    :param answered_by: The instance.
    :param configuration_version: Version in force there.
    :param withdrawals_digest: Digest of the withdrawn keys known there.
    :param expected_instances: How many instances there should be.
    :param instances: All known ones, the answering one included.
    :param health: State of the services of the answering one.
    """

    answered_by: InstanceId
    configuration_version: int
    withdrawals_digest: bytes
    expected_instances: int
    instances: tuple[InstanceView, ...]
    health: dict[str, Health]


@frozen
class HistoryEntry:
    """
    One accepted change.

    :param version: The version that it made.
    :param operator: Who made it.
    :param change_id: Its name.
    :param reason: Why.
    :param summary: One line for each change.
    """

    version: int
    operator: str
    change_id: str
    reason: str
    summary: tuple[str, ...]


@frozen
class HistoryView:
    """
    Accepted changes.

    :param entries: Oldest first, as far as the instance read them.
    """

    entries: tuple[HistoryEntry, ...]


@frozen
class ReasonsView:
    """
    Reasons of decisions.

    :param reasons: Oldest first.
    """

    reasons: tuple[Reason, ...]


@frozen
class DrainedView:
    """
    A planned stop has begun.

    :param instance_id: The instance that stops.
    """

    instance_id: InstanceId
