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
from waxwingwinch.operators_api._requests import (
    ApiAnswer,
    ApiRequest,
    InstanceStates,
    OperatorRequests,
)

__all__ = [
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
    "OperatorApi",
    "OperatorRequests",
    "PublishedView",
    "ReasonsView",
    "StatusView",
    "UnavailableView",
    "WithdrawRequest",
    "WithdrawalView",
    "describe_changes",
    "diff_configurations",
    "read_body",
    "write_body",
]
