"""Explains where a request would go now, without sending it."""

from waxwingwinch.gateway.explanation._endpoint import EXPLAIN_PATH, ExplainEndpoint
from waxwingwinch.gateway.explanation._explainer import RequestExplainer, RequestQuery
from waxwingwinch.gateway.explanation._views import (
    Explanation,
    FactAges,
    TargetView,
    UpstreamView,
)

__all__ = [
    "EXPLAIN_PATH",
    "ExplainEndpoint",
    "Explanation",
    "FactAges",
    "RequestExplainer",
    "RequestQuery",
    "TargetView",
    "UpstreamView",
]
