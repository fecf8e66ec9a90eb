"""Application of single changes to a configuration."""

from typing import TypeVar

from attrs import evolve

from waxwingwinch._exceptions import WaxwingError
from waxwingwinch.configuration._findings import Finding, closest_name
from waxwingwinch.configuration._model import (
    Configuration,
    Customer,
    KeyRecord,
)
from waxwingwinch.configuration._ranges import check_setting
from waxwingwinch.configuration._records import (
    AddKey,
    Change,
    PutCustomer,
    PutException,
    PutModel,
    PutRoute,
    RemoveCustomer,
    RemoveException,
    RemoveModel,
    RemoveRoute,
    ReplaceConfiguration,
    SetDefault,
)

K = TypeVar("K", bound=str)
V = TypeVar("V")


class ChangeRefused(WaxwingError):
    """
    A change can't be applied.

    :param finding: Reason for the refusal.
    """

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        #: Reason for the refusal.
        self.finding = finding


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """
    Apply one change, without validation of the resulting configuration.

    :param configuration: Configuration before the change.
    :param change: The change.
    :raises ChangeRefused: If the change refers to an object that doesn't
        exist, or gives an invalid value for a default.
    """
    match change:
        case PutCustomer() | RemoveCustomer() | AddKey():
            return _change_customers(configuration, change)
        case PutModel():
            models = {**configuration.models, change.model.name: change.model}
            return evolve(configuration, models=models)
        case RemoveModel():
            models = _remove_item("models", configuration.models, change.name)
            return evolve(configuration, models=models)
        case PutRoute() | RemoveRoute():
            return _change_routes(configuration, change)
        case SetDefault():
            return _set_default(configuration, change)
        case PutException():
            rules = {**configuration.exceptions, change.rule.exception_id: change.rule}
            return evolve(configuration, exceptions=rules)
        case RemoveException():
            name = change.exception_id
            rules = _remove_item("exceptions", configuration.exceptions, name)
            return evolve(configuration, exceptions=rules)
        case ReplaceConfiguration():
            return _replace(configuration, change.configuration)


def _remove_item(place: str, items: dict[K, V], name: K) -> dict[K, V]:
    if name not in items:
        suggestion = closest_name(name, items)
        raise ChangeRefused(Finding(f"{place}.{name}", "does not exist", suggestion))
    return {key: value for key, value in items.items() if key != name}


def _change_customers(
    configuration: Configuration, change: PutCustomer | RemoveCustomer | AddKey
) -> Configuration:
    customers = configuration.customers
    match change:
        case PutCustomer():
            customer = _put_customer(customers.get(change.customer_id), change)
            customers = {**customers, change.customer_id: customer}
        case RemoveCustomer():
            customers = _remove_item("customers", customers, change.customer_id)
        case AddKey():
            others = _remove_item("customers", customers, change.customer_id)
            current = customers[change.customer_id]
            customer = evolve(current, keys=(*current.keys, change.key))
            customers = {**others, change.customer_id: customer}
    return evolve(configuration, customers=customers)


def _put_customer(current: Customer | None, change: PutCustomer) -> Customer:
    return Customer(
        customer_id=change.customer_id,
        rate_per_second=change.rate_per_second,
        burst_requests=change.burst_requests,
        weight=change.weight,
        keys=() if current is None else current.keys,
    )


def _change_routes(
    configuration: Configuration, change: PutRoute | RemoveRoute
) -> Configuration:
    routes = {route.path: route for route in configuration.routes}
    match change:
        case PutRoute(route):
            routes[route.path] = route
        case RemoveRoute(path):
            routes = _remove_item("routes", routes, path)
    return evolve(configuration, routes=tuple(routes.values()))


def _set_default(configuration: Configuration, change: SetDefault) -> Configuration:
    place = f"defaults.{change.setting}"
    findings = check_setting(place, change.setting, change.value)
    if findings:
        raise ChangeRefused(findings[0])
    current = getattr(configuration.defaults, change.setting)
    # Values are encoded as numbers; convert to the type of the field.
    value = type(current)(change.value)
    defaults = evolve(configuration.defaults, **{change.setting: value})
    return evolve(configuration, defaults=defaults)


def _replace(current: Configuration, document: Configuration) -> Configuration:
    customers = {
        name: _merge_keys(customer, current.customers.get(name))
        for name, customer in document.customers.items()
    }
    return evolve(document, version=current.version, customers=customers)


def _merge_keys(customer: Customer, current: Customer | None) -> Customer:
    """
    Add the existing keys that a document doesn't list.

    Only a withdrawal ends the use of a key of a customer that stays; a
    document that was written before the key was created must not lock its
    owner out.
    """
    if current is None:
        return customer
    keys = {key.key_id: key for key in current.keys}
    listed = {
        key.key_id: _merge_key(key, keys.get(key.key_id)) for key in customer.keys
    }
    return evolve(customer, keys=tuple({**keys, **listed}.values()))


def _merge_key(key: KeyRecord, current: KeyRecord | None) -> KeyRecord:
    if current is None:
        return key
    return evolve(key, withdrawn=key.withdrawn or current.withdrawn)
