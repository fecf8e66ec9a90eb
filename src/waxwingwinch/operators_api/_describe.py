"""Changes and differences in one line each."""

from collections.abc import Iterator, Mapping
from typing import Any

from attrs import fields

from waxwingwinch.configuration import (
    AddKey,
    Change,
    Configuration,
    ConfigurationChange,
    Customer,
    PutCustomer,
    PutException,
    PutModel,
    PutRoute,
    RemoveCustomer,
    RemoveException,
    RemoveModel,
    RemoveRoute,
    SetDefault,
)


def describe_changes(change: ConfigurationChange) -> tuple[str, ...]:
    """
    Return one line for each change of a record.

    :param change: The record.
    """
    parts = [item.change() for item in change.changes]
    return tuple(_describe(part) for part in parts if part is not None)


def _describe(change: Change) -> str:
    match change:
        case PutCustomer():
            rate = f"{change.rate_per_second:g}/s, burst {change.burst_requests:g}"
            return f"put customer {change.customer_id} ({rate})"
        case RemoveCustomer():
            return f"remove customer {change.customer_id}"
        case AddKey():
            return f"add key {change.key.key_id} to {change.customer_id}"
        case SetDefault():
            return f"set {change.setting} to {change.value:g}"
        case PutException():
            rule = change.rule
            scope = f"{rule.scope.kind.value} {rule.scope.name}"
            text = f"{rule.setting} = {rule.value:g} for {scope}: {rule.reason}"
            return f"put exception {rule.exception_id} ({text})"
        case RemoveException():
            return f"remove exception {change.exception_id}"
        case _:
            return _describe_rest(change)


def _describe_rest(change: Change) -> str:
    match change:
        case PutModel():
            return f"put model {change.model.name}"
        case RemoveModel():
            return f"remove model {change.name}"
        case PutRoute():
            return f"put route {change.route.path}"
        case RemoveRoute():
            return f"remove route {change.path}"
        case _:
            return "replace the whole configuration"


def diff_configurations(old: Configuration, new: Configuration) -> tuple[str, ...]:
    """
    Return what differs, one line each, marked with ``+``, ``-`` or ``~``.

    :param old: The configuration before.
    :param new: The configuration after.
    """
    return (
        *_diff_fields("defaults", old.defaults, new.defaults),
        *_diff_customers(old.customers, new.customers),
        *_diff_items("models", old.models, new.models),
        *_diff_items(
            "routes",
            {route.path: route for route in old.routes},
            {route.path: route for route in new.routes},
        ),
        *_diff_items("exceptions", old.exceptions, new.exceptions),
    )


def _diff_customers(
    old: Mapping[Any, Customer], new: Mapping[Any, Customer]
) -> Iterator[str]:
    yield from _diff_items("customers", old, new, without="keys")
    for name, customer in new.items():
        old_keys = {key.key_id: key for key in old[name].keys} if name in old else {}
        for key in customer.keys:
            place = f"customers.{name}.keys.{key.key_id}"
            if key.key_id not in old_keys:
                yield f"+ {place}"
            elif old_keys[key.key_id] != key:
                yield f"~ {place}"


def _diff_items(
    place: str, old: Mapping[Any, Any], new: Mapping[Any, Any], without: str = ""
) -> Iterator[str]:
    for name in sorted(old.keys() - new.keys()):
        yield f"- {place}.{name}"
    for name in sorted(new.keys() - old.keys()):
        yield f"+ {place}.{name}"
    for name in sorted(old.keys() & new.keys()):
        yield from _diff_fields(f"{place}.{name}", old[name], new[name], without)


def _diff_fields(place: str, old: Any, new: Any, without: str = "") -> Iterator[str]:
    for attribute in fields(type(old)):
        before = getattr(old, attribute.name)
        after = getattr(new, attribute.name)
        if attribute.name != without and before != after:
            yield f"~ {place}.{attribute.name}: {_show(before)} -> {_show(after)}"


def _show(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(str(item) for item in value) or "none"
    return str(getattr(value, "value", value))
