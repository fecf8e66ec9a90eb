"""The interface for operators that each entry serves at ``/operator``."""

from waxwingwinch.operators_api._api import OperatorApi
from waxwingwinch.operators_api._describe import (
    describe_changes,
    diff_configurations,
)
from waxwingwinch.operators_api._messages import (
    BodyInvalid,
    ChangeRequest,
    ConfigurationView,
    DrainedView,
    FindingsView,
    HistoryEntry,
    HistoryView,
    InstanceView,
    PublishedView,
    ReasonsView,
    StatusView,
    UnavailableView,
    WithdrawalView,
    WithdrawRequest,
    read_body,
    write_body,
)
from waxwingwinch.operators_api._metrics_view import (
    OPEN_ROUTES,
    MetricsReporter,
    MetricsView,
    ServicePromise,
    UpstreamPrice,
    make_metrics_reporter,
    promises_of,
)
from waxwingwinch.operators_api._requests import (
    ApiAnswer,
    ApiRequest,
    InstanceStates,
    OperatorRequests,
)

__all__ = [
    "OPEN_ROUTES",
    "ApiAnswer",
    "ApiRequest",
    "BodyInvalid",
    "ChangeRequest",
    "ConfigurationView",
    "DrainedView",
    "FindingsView",
    "HistoryEntry",
    "HistoryView",
    "InstanceStates",
    "InstanceView",
    "MetricsReporter",
    "MetricsView",
    "OperatorApi",
    "OperatorRequests",
    "PublishedView",
    "ReasonsView",
    "ServicePromise",
    "StatusView",
    "UnavailableView",
    "UpstreamPrice",
    "WithdrawRequest",
    "WithdrawalView",
    "describe_changes",
    "diff_configurations",
    "make_metrics_reporter",
    "promises_of",
    "read_body",
    "write_body",
]
