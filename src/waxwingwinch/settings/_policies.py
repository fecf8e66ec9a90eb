"""Names of the policies that a process can be set to."""

import enum


class RoutingPolicyKind(enum.Enum):
    """How an entry chooses the engine of a generation."""

    #: By the estimated time to the first token.
    EARLIEST_FIRST_TOKEN = "earliest_first_token"
    #: In turn; a baseline for measurements.
    ROUND_ROBIN = "round_robin"
    #: By the fewest reported requests; a baseline for measurements.
    LEAST_CONNECTIONS = "least_connections"


class LimitsPolicyKind(enum.Enum):
    """How the instances share the rate of a customer."""

    #: Floors and moved rate, by where requests arrive.
    SHARED = "shared"
    #: The same fixed part everywhere; a baseline for measurements.
    STATIC_SPLIT = "static_split"


class RolePolicyKind(enum.Enum):
    """Whether engines change their role."""

    #: By the forecast work.
    PLANNED = "planned"
    #: Never; a baseline for measurements.
    STATIC = "static"


class BuyingPolicyKind(enum.Enum):
    """Whether engines are ordered and given back."""

    #: By the forecast work.
    PLANNED = "planned"
    #: Never; a baseline for measurements.
    FIXED = "fixed"
