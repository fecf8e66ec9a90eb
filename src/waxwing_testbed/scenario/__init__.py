"""Deployments with callers, faults and history, for scenarios."""

from waxwing_testbed.scenario._authority import (
    PLATFORM,
    AuthorityWatch,
)
from waxwing_testbed.scenario._background import (
    BackgroundCallers,
)
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
from waxwing_testbed.scenario._intruder import (
    is_closed_after,
)
from waxwing_testbed.scenario._log_view import (
    LoggedMessage,
    LogView,
    duty_holder,
    log_view,
)
from waxwing_testbed.scenario._plans import (
    named_plan,
)
from waxwing_testbed.scenario._pressure import (
    Pressure,
    PressurePlan,
)
from waxwing_testbed.scenario._request_checks import (
    count_order_runs,
    count_payment_runs,
    engines_of,
    instance_names,
    is_claimed,
    is_every_engine_up,
    request_violations,
)
from waxwing_testbed.scenario._schedule import (
    FaultKind,
    PlannedCall,
    PlannedFault,
    plan_calls,
    plan_faults,
    run_schedule,
)
from waxwing_testbed.scenario._takeover import (
    Takeover,
)
from waxwing_testbed.scenario._version_watch import (
    VersionWatch,
)
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
    "FaultKind",
    "LogView",
    "LoggedMessage",
    "NARROW",
    "NARROW_BURST_REQUESTS",
    "NARROW_RATE_PER_SECOND",
    "ORDER_PATH",
    "OTHER",
    "PAYMENT_PATH",
    "PLATFORM",
    "PlannedCall",
    "PlannedFault",
    "Pressure",
    "PressurePlan",
    "STATUS_PATH",
    "Takeover",
    "VersionWatch",
    "WAIT_SECONDS",
    "WIDE",
    "World",
    "count_order_runs",
    "count_payment_runs",
    "duty_holder",
    "engines_of",
    "instance_names",
    "is_claimed",
    "is_closed_after",
    "is_every_engine_up",
    "key_id_of",
    "key_of",
    "log_view",
    "make_configuration",
    "make_customer",
    "named_plan",
    "plan_calls",
    "plan_faults",
    "request_violations",
    "run_schedule",
]
