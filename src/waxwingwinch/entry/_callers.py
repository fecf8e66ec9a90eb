"""Authentication, rate limits and cancellation checks of callers."""

import socket

from waxwingwinch._exceptions import Outcome, WaxwingError
from waxwingwinch._types import CustomerId
from waxwingwinch.contracts import (
    Caller,
    DecisionKind,
    Freshness,
    KeyRejected,
    KeyRejection,
    Limited,
    UsageDelta,
)
from waxwingwinch.entry._errors import ErrorCode, RequestFailed
from waxwingwinch.entry._headers import upstream_headers
from waxwingwinch.entry._http import ANONYMOUS_CUSTOMER, IncomingRequest
from waxwingwinch.entry._services import EntryServices
from waxwingwinch.http import is_closed_by_peer
from waxwingwinch.observability import MetricKey, RequestResult

#: ``Retry-After`` sent by an instance whose configuration is stale.
STALE_RETRY_AFTER_SECONDS = 2.0


class CallerDisconnected(WaxwingError):
    """The caller has closed its connection."""


def authenticate(services: EntryServices, request: IncomingRequest) -> Caller:
    """
    Find the customer that owns the key of a request.

    :param services: The services of the entry.
    :param request: The request.
    :raises RequestFailed: If the key is missing, unknown, withdrawn or also
        sent outside its header, or if this instance is too stale to check it.
    """
    key = request.key()
    if key is None:
        text = "send a key as 'Authorization: Bearer <key>'"
        raise RequestFailed(401, ErrorCode.KEY_REQUIRED, text)
    now_seconds = services.clock.now_seconds()
    if services.configuration.freshness(now_seconds) is Freshness.STALE:
        raise _stale()
    match services.configuration.authenticate(key, now_seconds):
        case Caller() as caller:
            _check_key_only_in_header(request, key)
            return caller
        case KeyRejected(KeyRejection.STALE):
            raise _stale()
        case KeyRejected(KeyRejection.WITHDRAWN):
            raise key_withdrawn(Outcome.NOT_RUN)
        case KeyRejected():
            text = "the key is not known"
            raise RequestFailed(401, ErrorCode.KEY_REJECTED, text)


def check_rate_limit(
    services: EntryServices, customer_id: CustomerId, request_id: str, route: str
) -> None:
    """
    Count one request against the customer's rate limit.

    :param services: The services of the entry.
    :param customer_id: The customer.
    :param request_id: The request.
    :param route: Route for metrics.
    :raises RequestFailed: If the rate limiter refuses; the request has not
        run.
    """
    now_seconds = services.clock.now_seconds()
    decision = services.limiter.admit(customer_id, now_seconds)
    if not isinstance(decision, Limited):
        return
    result = RequestResult.REFUSED_WITHIN_RATE
    text = "this instance has used up its part of the customer's rate"
    if decision.over_rate:
        result = RequestResult.REFUSED_OVER_RATE
        text = "the customer exceeds its rate"
    count_refusal(services, customer_id, route, result)
    services.explain(DecisionKind.REFUSED, request_id, text, customer_id)
    raise RequestFailed(
        429,
        ErrorCode.RATE_LIMITED,
        text,
        retry_after_seconds=decision.retry_after_seconds,
    )


def count_refusal(
    services: EntryServices,
    customer_id: CustomerId,
    route: str,
    result: RequestResult,
) -> None:
    """
    Count a refused request in metrics and usage.

    :param services: The services of the entry.
    :param customer_id: The customer.
    :param route: Route for metrics.
    :param result: Why it was refused.
    """
    services.metrics.count(MetricKey(customer_id, route), result)
    delta = UsageDelta(customer_id, refused_requests=1)
    services.usage.add(delta, services.clock.wall_seconds())


class RequestMonitor:
    """
    Checks whether a running request must be cancelled.

    :param services: The services of the entry.
    :param caller: The authenticated caller.
    :param connection: The caller's socket.
    :param deadline_seconds: Monotonic time by which the response must be
        complete.
    """

    def __init__(
        self,
        services: EntryServices,
        caller: Caller,
        connection: socket.socket | None,
        deadline_seconds: float,
    ) -> None:
        self._services = services
        self._caller = caller
        self._connection = connection
        #: Monotonic time by which the response must be complete.
        self.deadline_seconds = deadline_seconds

    def check(self, outcome: Outcome) -> None:
        """
        Raise if the request must be cancelled.

        :param outcome: What is known of its execution.
        :raises RequestFailed: If its key was withdrawn or its deadline has
            passed.
        :raises CallerDisconnected: If the caller closed its connection.
        """
        if self._services.configuration.is_withdrawn(self._caller.key_id):
            raise key_withdrawn(outcome)
        now_seconds = self._services.clock.now_seconds()
        if now_seconds >= self.deadline_seconds:
            text = "the response was not complete by the deadline"
            code = ErrorCode.DEADLINE_EXCEEDED
            raise RequestFailed(504, code, text, outcome)
        if is_closed_by_peer(self._connection):
            raise CallerDisconnected("the caller closed its connection")


def _stale() -> RequestFailed:
    return RequestFailed(
        503,
        ErrorCode.STALE_INSTANCE,
        "this instance can't check keys, as its configuration is stale;"
        " use another instance",
        retry_after_seconds=STALE_RETRY_AFTER_SECONDS,
    )


def key_withdrawn(outcome: Outcome) -> RequestFailed:
    """
    Return the error of a request whose key was withdrawn.

    :param outcome: What is known of its execution.
    """
    text = "the key was withdrawn"
    return RequestFailed(401, ErrorCode.KEY_WITHDRAWN, text, outcome)


def _check_key_only_in_header(request: IncomingRequest, key: str) -> None:
    # Path, query, body and some headers are forwarded to the upstream, which
    # must not receive the key.
    passed = " ".join(
        value for _, value in upstream_headers(request, ANONYMOUS_CUSTOMER)
    )
    if key in request.target or key in passed or key.encode() in request.body:
        text = (
            "send the key only in the Authorization or X-Api-Key header; the URL, body"
            " or another header contains it too"
        )
        raise RequestFailed(400, ErrorCode.INVALID_REQUEST, text)
