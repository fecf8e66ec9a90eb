"""The configuration that operators publish, and its rules."""

from waxwingwinch.configuration._model import (
    Configuration,
    Customer,
    Defaults,
    ExceptionRule,
    KeyRecord,
    Model,
    Route,
    RouteAccess,
    Scope,
    ScopeKind,
)

__all__ = [
    "Configuration",
    "Customer",
    "Defaults",
    "ExceptionRule",
    "KeyRecord",
    "Model",
    "Route",
    "RouteAccess",
    "Scope",
    "ScopeKind",
]
