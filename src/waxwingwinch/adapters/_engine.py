"""Wire format of model engines: JSON calls and SSE streams."""

from typing import Any
from urllib.parse import urlencode

from waxwingwinch._exceptions import OrderRefused, Outcome, UpstreamFailed
from waxwingwinch._types import Address
from waxwingwinch.adapters._calls import (
    STATUS_CONFLICT,
    json_request,
    upstream_exchange,
    upstream_poll,
    upstream_value,
)
from waxwingwinch.adapters._engine_stream import HttpEngineStream, open_stream
from waxwingwinch.adapters._wire import make_wire_converter
from waxwingwinch.http import ORDER_SOCKET_OPTIONS
from waxwingwinch.interfaces import (
    CacheEventPage,
    EngineOrder,
    GenerateCall,
    LoadReport,
    OrderResult,
)

GENERATE_PATH = "/v1/generate"
CANCEL_PATH = "/v1/cancel"
LOAD_PATH = "/v1/load"
CACHE_EVENTS_PATH = "/v1/cache-events"
ORDERS_PATH = "/v1/orders"

#: Longest wait for an answer other than a stream.
ENGINE_ANSWER_TIMEOUT_SECONDS = 2.0
#: Fields of a call that concern this side only.
_LOCAL_FIELDS = ("connect_timeout_seconds", "idle_timeout_seconds")


class HttpEngine:
    """Calls model engines over HTTP."""

    def __init__(self) -> None:
        self._converter = make_wire_converter()

    def generate(self, address: Address, call: GenerateCall) -> HttpEngineStream:
        """Begin a generation, see ``Engine`` in the interfaces."""
        body = self._converter.unstructure(call)
        for field in _LOCAL_FIELDS:
            del body[field]
        request = json_request("POST", GENERATE_PATH, body)
        return open_stream(address, request, call)

    def cancel(self, address: Address, request_id: str) -> None:
        """Cancel a generation, see ``Engine`` in the interfaces."""
        request = json_request("POST", CANCEL_PATH, {"request_id": request_id})
        reply = upstream_exchange(address, request, ENGINE_ANSWER_TIMEOUT_SECONDS)
        upstream_value(reply)

    def load_report(self, address: Address) -> LoadReport:
        """Fetch the load, see ``Engine`` in the interfaces."""
        request = json_request("GET", LOAD_PATH)
        reply = upstream_poll(address, request, ENGINE_ANSWER_TIMEOUT_SECONDS)
        report: LoadReport = self._structure(upstream_value(reply), LoadReport)
        return report

    def cache_events(self, address: Address, from_sequence: int) -> CacheEventPage:
        """Fetch cache events, see ``Engine`` in the interfaces."""
        query = urlencode({"from": from_sequence})
        request = json_request("GET", f"{CACHE_EVENTS_PATH}?{query}")
        reply = upstream_poll(address, request, ENGINE_ANSWER_TIMEOUT_SECONDS)
        page: CacheEventPage = self._structure(upstream_value(reply), CacheEventPage)
        return page

    def order(self, address: Address, order: EngineOrder) -> OrderResult:
        """Send an order, see ``Engine`` in the interfaces."""
        request = json_request("POST", ORDERS_PATH, self._converter.unstructure(order))
        reply = upstream_exchange(
            address, request, ENGINE_ANSWER_TIMEOUT_SECONDS, ORDER_SOCKET_OPTIONS
        )
        try:
            if reply.status == STATUS_CONFLICT:
                raise OrderRefused(int(reply.json()["highest_epoch"]))
            return OrderResult(upstream_value(reply)["result"])
        except (KeyError, TypeError, ValueError) as error:
            raise _malformed(error) from error

    def _structure(self, value: object, kind: type[Any]) -> Any:
        try:
            return self._converter.structure(value, kind)
        except Exception as error:
            # The converter raises errors of many kinds, all with one meaning.
            raise _malformed(error) from error


def _malformed(error: Exception) -> UpstreamFailed:
    return UpstreamFailed(f"malformed answer: {error!r}", Outcome.UNKNOWN)
