"""Validation of a full configuration."""

import math
from collections import Counter
from collections.abc import Iterator

from attrs import fields

from waxwingwinch.configuration._findings import Finding, closest_name
from waxwingwinch.configuration._model import (
    Configuration,
    Customer,
    Defaults,
    ExceptionRule,
    Route,
    ScopeKind,
)
from waxwingwinch.configuration._ranges import check_setting

#: Length of a SHA-256 digest, as used in key records.
DIGEST_BYTES = 32
#: Smallest accepted length of a salt.
MIN_SALT_BYTES = 8
#: HTTP methods that a route may accept.
HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


def validate_configuration(configuration: Configuration) -> tuple[Finding, ...]:
    """
    Return all problems of a configuration.

    :param configuration: The configuration.
    """
    return (
        *_check_defaults(configuration.defaults),
        *_check_customers(configuration),
        *_check_keys(configuration),
        *_check_models(configuration),
        *_check_routes(configuration.routes),
        *_check_exceptions(configuration),
    )


def _check_defaults(defaults: Defaults) -> Iterator[Finding]:
    for attribute in fields(Defaults):
        place = f"defaults.{attribute.name}"
        value = getattr(defaults, attribute.name)
        yield from check_setting(place, attribute.name, value)
    if defaults.min_engines_per_model > defaults.max_engines_per_model:
        place = "defaults.min_engines_per_model"
        yield Finding(place, "is larger than max_engines_per_model")


def _check_customers(configuration: Configuration) -> Iterator[Finding]:
    for name, customer in configuration.customers.items():
        place = f"customers.{name}"
        if name != customer.customer_id:
            yield Finding(
                place, f"has the different customer_id {customer.customer_id!r}"
            )
        yield from _check_customer(place, customer)


def _check_customer(place: str, customer: Customer) -> Iterator[Finding]:
    if not customer.customer_id.strip():
        yield Finding(place, "a customer needs a name")
    for name in ("rate_per_second", "burst_requests", "weight"):
        value = getattr(customer, name)
        if not (math.isfinite(value) and value > 0):
            yield Finding(
                f"{place}.{name}", f"must be finite and above 0, is {value:g}"
            )


def _check_keys(configuration: Configuration) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for name, customer in configuration.customers.items():
        for key in customer.keys:
            place = f"customers.{name}.keys.{key.key_id}"
            if not key.key_id.strip():
                yield Finding(place, "a key needs a key_id")
            if key.key_id in owners:
                problem = f"key_id is already used by {owners[key.key_id]!r}"
                yield Finding(place, problem)
            owners[key.key_id] = name
            if len(key.digest) != DIGEST_BYTES:
                yield Finding(place, f"digest must have {DIGEST_BYTES} bytes")
            if len(key.salt) < MIN_SALT_BYTES:
                yield Finding(place, f"salt must have {MIN_SALT_BYTES} bytes or more")


def _check_models(configuration: Configuration) -> Iterator[Finding]:
    for name, model in configuration.models.items():
        place = f"models.{name}"
        if name != model.name:
            yield Finding(place, f"has the different name {model.name!r}")
        if not model.name.strip():
            yield Finding(place, "a model needs a name")
        for adapter, count in Counter(model.adapters).items():
            if count > 1:
                yield Finding(
                    f"{place}.adapters", f"{adapter!r} is listed more than once"
                )


def _check_routes(routes: tuple[Route, ...]) -> Iterator[Finding]:
    counts = Counter(route.path.rstrip("/") for route in routes)
    for path, count in counts.items():
        if count > 1:
            yield Finding(
                f"routes.{path}", "is listed more than once, ignoring final slashes"
            )
    for route in routes:
        yield from _check_route(route)


def _check_route(route: Route) -> Iterator[Finding]:
    place = f"routes.{route.path}"
    if not route.path.startswith("/"):
        yield Finding(place, "the path must start with '/'")
    if not route.service.strip():
        yield Finding(f"{place}.service", "a route needs a service")
    if not route.methods:
        yield Finding(f"{place}.methods", "a route needs a method")
    for method in route.methods:
        if method not in HTTP_METHODS:
            suggestion = closest_name(method.upper(), HTTP_METHODS)
            yield Finding(
                f"{place}.methods", f"unsupported HTTP method {method!r}", suggestion
            )
    if not (math.isfinite(route.timeout_seconds) and route.timeout_seconds > 0):
        yield Finding(f"{place}.timeout_seconds", "must be finite and above 0")


def _check_exceptions(configuration: Configuration) -> Iterator[Finding]:
    for name, rule in configuration.exceptions.items():
        place = f"exceptions.{name}"
        if name != rule.exception_id:
            yield Finding(
                place, f"has the different exception_id {rule.exception_id!r}"
            )
        if not rule.exception_id.strip():
            yield Finding(place, "an exception needs a name")
        if not rule.reason.strip():
            yield Finding(f"{place}.reason", "an exception needs a reason")
        yield from check_setting(f"{place}.value", rule.setting, rule.value)
        yield from _check_scope(place, rule, configuration)


def _check_scope(
    place: str, rule: ExceptionRule, configuration: Configuration
) -> Iterator[Finding]:
    name = rule.scope.name
    match rule.scope.kind:
        case ScopeKind.CUSTOMER:
            known = [str(customer) for customer in configuration.customers]
        case ScopeKind.MODEL:
            known = [str(model) for model in configuration.models]
        case ScopeKind.ZONE:
            # Availability zones are defined by the platform; any name is
            # accepted.
            known = [name] if name.strip() else []
    if name not in known:
        problem = f"unknown {rule.scope.kind.value} {name!r}"
        yield Finding(f"{place}.scope", problem, closest_name(name, known))
