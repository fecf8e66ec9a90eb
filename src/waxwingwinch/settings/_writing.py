"""Writing a configuration as an operators' file."""

import io
from typing import Any

from attrs import asdict
from ruamel.yaml import YAML

from waxwingwinch.configuration import Configuration, Customer, ExceptionRule, Route


def write_configuration(configuration: Configuration) -> str:
    """
    Return a configuration as the text of an operators' file.

    :param configuration: The configuration; its version is left out.
    """
    content: dict[str, Any] = {
        "defaults": asdict(configuration.defaults),
        "customers": {
            str(name): _plain_customer(customer)
            for name, customer in sorted(configuration.customers.items())
        },
        "models": {
            str(name): {"version": model.version, "adapters": list(model.adapters)}
            for name, model in sorted(configuration.models.items())
        },
        "routes": [_plain_route(route) for route in configuration.routes],
        "exceptions": {
            name: _plain_rule(rule)
            for name, rule in sorted(configuration.exceptions.items())
        },
    }
    stream = io.StringIO()
    YAML().dump(content, stream)
    return stream.getvalue()


def _plain_customer(customer: Customer) -> dict[str, Any]:
    keys = [
        {
            "key_id": key.key_id,
            "salt": key.salt.hex(),
            "digest": key.digest.hex(),
            "withdrawn": key.withdrawn,
        }
        for key in customer.keys
    ]
    return {
        "rate_per_second": customer.rate_per_second,
        "burst_requests": customer.burst_requests,
        "weight": customer.weight,
        "keys": keys,
    }


def _plain_route(route: Route) -> dict[str, Any]:
    plain = asdict(route)
    plain["methods"] = list(route.methods)
    plain["access"] = route.access.value
    return plain


def _plain_rule(rule: ExceptionRule) -> dict[str, Any]:
    return {
        "scope": {"kind": rule.scope.kind.value, "name": rule.scope.name},
        "setting": rule.setting,
        "value": rule.value,
        "reason": rule.reason,
    }
