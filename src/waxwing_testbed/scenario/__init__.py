"""Deployments with callers, faults and history, for scenarios."""

from waxwing_testbed.scenario._authority import (
    PLATFORM,
    AuthorityWatch,
)
from waxwing_testbed.scenario._background import BackgroundCallers
from waxwing_testbed.scenario._configuration import (
    CATALOGUE_PATH,
    NARROW,
    NARROW_BURST_REQUESTS,
    NARROW_RATE_PER_SECOND,
    ORDER_PATH,
    OTHER,
    PAYMENT_PATH,
    STATUS_PATH,
    WIDE,
    key_id_of,
    key_of,
    make_configuration,
    make_customer,
)
from waxwing_testbed.scenario._plans import (
    named_plan,
)
from waxwing_testbed.scenario._request_checks import (
    count_order_runs,
    count_payment_runs,
    engines_of,
    instance_names,
    is_claimed,
    request_violations,
)
from waxwing_testbed.scenario._takeover import Takeover
from waxwing_testbed.scenario._world import (
    CUT_BOTH,
    WAIT_SECONDS,
    World,
)

__all__ = [
    "AuthorityWatch",
    "BackgroundCallers",
    "CATALOGUE_PATH",
    "CUT_BOTH",
    "NARROW",
    "NARROW_BURST_REQUESTS",
    "NARROW_RATE_PER_SECOND",
    "ORDER_PATH",
    "OTHER",
    "PAYMENT_PATH",
    "PLATFORM",
    "STATUS_PATH",
    "WAIT_SECONDS",
    "WIDE",
    "Takeover",
    "World",
    "count_order_runs",
    "count_payment_runs",
    "engines_of",
    "instance_names",
    "is_claimed",
    "key_id_of",
    "key_of",
    "make_configuration",
    "make_customer",
    "named_plan",
    "request_violations",
]
