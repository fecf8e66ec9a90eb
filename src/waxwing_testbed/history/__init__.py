"""Histories of calls, and checks of the promises over them."""

from waxwing_testbed.history._admissions import timely_admissions
from waxwing_testbed.history._checks import (
    Admission,
    AuthoritySpan,
    ReportedWindow,
    UpstreamExecution,
    VersionSighting,
    Violation,
    check_at_most_once,
    check_monotone_versions,
    check_one_figure,
    check_rate,
    check_rate_by_calls,
    check_refusals_are_true,
    check_same_answer,
    check_single_authority,
    check_whole_answers,
)
from waxwing_testbed.history._events import CallEvent, CallKind, CallOutcome
from waxwing_testbed.history._history import History, load_history
from waxwing_testbed.history._orders import (
    LoggedIntent,
    LoggedOrder,
    LoggedOutcome,
    OrderArrival,
    check_effects_by_epoch,
    check_epochs_of_orders,
    check_one_open_order,
    check_order_names,
)

__all__ = [
    "Admission",
    "AuthoritySpan",
    "CallEvent",
    "CallKind",
    "CallOutcome",
    "History",
    "LoggedIntent",
    "LoggedOrder",
    "LoggedOutcome",
    "OrderArrival",
    "ReportedWindow",
    "UpstreamExecution",
    "VersionSighting",
    "Violation",
    "check_at_most_once",
    "check_effects_by_epoch",
    "check_epochs_of_orders",
    "check_monotone_versions",
    "check_one_figure",
    "check_one_open_order",
    "check_order_names",
    "check_rate",
    "check_rate_by_calls",
    "check_refusals_are_true",
    "check_same_answer",
    "check_single_authority",
    "check_whole_answers",
    "load_history",
    "timely_admissions",
]
