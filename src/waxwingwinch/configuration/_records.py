"""Records of the stream ``configuration``."""

from attrs import fields, frozen

from waxwingwinch._types import CustomerId, ModelName
from waxwingwinch.codec import message
from waxwingwinch.configuration._model import (
    Configuration,
    ExceptionRule,
    KeyRecord,
    Model,
    Route,
)

#: Name of the stream that holds the configuration.
CONFIGURATION_STREAM = "configuration"


@frozen
class PutCustomer:
    """
    Create a customer, or change it and keep its keys.

    :param customer_id: Id of the customer.
    :param rate_per_second: Requests per second, summed over all instances.
    :param burst_requests: Largest burst of requests above the rate.
    :param weight: Weight relative to other customers under overload.
    """

    customer_id: CustomerId
    rate_per_second: float
    burst_requests: float
    weight: float = 1.0


@frozen
class RemoveCustomer:
    """
    Remove a customer with its keys.

    :param customer_id: Id of the customer.
    """

    customer_id: CustomerId


@frozen
class AddKey:
    """
    Add a key to a customer.

    :param customer_id: Id of the customer.
    :param key: Record of the key.
    """

    customer_id: CustomerId
    key: KeyRecord


@frozen
class PutModel:
    """
    Create or change a model.

    :param model: The model.
    """

    model: Model


@frozen
class RemoveModel:
    """
    Remove a model.

    :param name: Name of the model.
    """

    name: ModelName


@frozen
class PutRoute:
    """
    Create a route, or change the one with the same path.

    :param route: The route.
    """

    route: Route


@frozen
class RemoveRoute:
    """
    Remove a route.

    :param path: Path of the route.
    """

    path: str


@frozen
class SetDefault:
    """
    Change a default setting.

    :param setting: Name of a field of ``Defaults``.
    :param value: The new value; 0 or 1 for a flag.
    """

    setting: str
    value: float


@frozen
class PutException:
    """
    Create or change an exception.

    :param rule: The exception.
    """

    rule: ExceptionRule


@frozen
class RemoveException:
    """
    Remove an exception.

    :param exception_id: Id of the exception.
    """

    exception_id: str


@frozen
class ReplaceConfiguration:
    """
    Replace the whole configuration except the keys.

    Keys of a customer that stays are kept, also if not listed; only a
    withdrawal ends their use. A customer that the new content doesn't list is
    removed with its keys.

    :param configuration: The new content; its version is ignored and its keys
        are added to the existing ones.
    """

    configuration: Configuration


Change = (
    PutCustomer
    | RemoveCustomer
    | AddKey
    | PutModel
    | RemoveModel
    | PutRoute
    | RemoveRoute
    | SetDefault
    | PutException
    | RemoveException
    | ReplaceConfiguration
)


@frozen
class ChangeItem:
    """
    A change in its encoded form; exactly one field is set.

    One field per class of the union makes the encoding explicit.
    """

    put_customer: PutCustomer | None = None
    remove_customer: RemoveCustomer | None = None
    add_key: AddKey | None = None
    put_model: PutModel | None = None
    remove_model: RemoveModel | None = None
    put_route: PutRoute | None = None
    remove_route: RemoveRoute | None = None
    set_default: SetDefault | None = None
    put_exception: PutException | None = None
    remove_exception: RemoveException | None = None
    replace: ReplaceConfiguration | None = None

    def change(self) -> Change | None:
        """Return the change; None if not exactly one field is set."""
        values = [getattr(self, attribute.name) for attribute in fields(ChangeItem)]
        present = [value for value in values if value is not None]
        return present[0] if len(present) == 1 else None


def wrap_change(change: Change) -> ChangeItem:
    """
    Wrap a change in its encoded form.

    :param change: The change.
    """
    match change:
        case PutCustomer():
            return ChangeItem(put_customer=change)
        case RemoveCustomer():
            return ChangeItem(remove_customer=change)
        case AddKey():
            return ChangeItem(add_key=change)
        case PutModel():
            return ChangeItem(put_model=change)
        case RemoveModel():
            return ChangeItem(remove_model=change)
        case PutRoute():
            return ChangeItem(put_route=change)
        case RemoveRoute():
            return ChangeItem(remove_route=change)
        case _:
            return _wrap_other_change(change)


def _wrap_other_change(
    change: SetDefault | PutException | RemoveException | ReplaceConfiguration,
) -> ChangeItem:
    match change:
        case SetDefault():
            return ChangeItem(set_default=change)
        case PutException():
            return ChangeItem(put_exception=change)
        case RemoveException():
            return ChangeItem(remove_exception=change)
        case ReplaceConfiguration():
            return ChangeItem(replace=change)


@message("configuration_change")
@frozen
class ConfigurationChange:
    """
    Changes that are accepted together or not at all.

    :param supersedes_version: Configuration version to which they apply.
    :param operator: Operator who made the changes.
    :param change_id: Unique id, equal in all retries.
    :param reason: Reason for the changes; never empty.
    :param changes: The changes, in order of application.
    """

    supersedes_version: int
    operator: str
    change_id: str
    reason: str
    changes: tuple[ChangeItem, ...]


@message("configuration_snapshot")
@frozen
class ConfigurationSnapshot:
    """
    The full state after all records before an offset.

    :param version: Version of the configuration.
    :param next_offset: First stream offset that is not included.
    :param configuration: The configuration.
    :param withdrawn_key_ids: Public names of all withdrawn keys.
    """

    version: int
    next_offset: int
    configuration: Configuration
    withdrawn_key_ids: tuple[str, ...]


@message("key_withdrawal")
@frozen
class KeyWithdrawal:
    """
    Withdraws keys; can't be undone.

    :param key_ids: Public names of the keys.
    :param operator: Operator who withdrew them; empty if unknown.
    :param reason: Reason for the withdrawal; empty if unknown.
    """

    key_ids: tuple[str, ...]
    operator: str = ""
    reason: str = ""
