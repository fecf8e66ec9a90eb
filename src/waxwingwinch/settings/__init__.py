"""Settings files in YAML, with every finding placed."""

from waxwingwinch.settings._converter import make_strict_converter
from waxwingwinch.settings._document import (
    ConfigurationDocument,
    CustomerDocument,
    ExceptionDocument,
    KeyDocument,
    ModelDocument,
    RouteDocument,
    load_configuration,
)
from waxwingwinch.settings._loader import load_settings
from waxwingwinch.settings._policies import (
    BuyingPolicyKind,
    LimitsPolicyKind,
    RolePolicyKind,
    RoutingPolicyKind,
)
from waxwingwinch.settings._programs import (
    CommonSettings,
    ControlSettings,
    EntrySettings,
    OperatorToken,
)
from waxwingwinch.settings._validators import distinct, ip_address, not_blank
from waxwingwinch.settings._writing import write_configuration

__all__ = [
    "BuyingPolicyKind",
    "CommonSettings",
    "ConfigurationDocument",
    "ControlSettings",
    "CustomerDocument",
    "EntrySettings",
    "ExceptionDocument",
    "KeyDocument",
    "LimitsPolicyKind",
    "ModelDocument",
    "OperatorToken",
    "RolePolicyKind",
    "RouteDocument",
    "RoutingPolicyKind",
    "distinct",
    "ip_address",
    "load_configuration",
    "load_settings",
    "make_strict_converter",
    "not_blank",
    "write_configuration",
]
