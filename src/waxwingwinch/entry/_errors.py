"""Error responses to callers, in OpenAI's error format."""

import enum
import json
import math

from waxwingwinch._exceptions import Outcome, WaxwingError


class ErrorCode(enum.StrEnum):
    """Machine-readable cause of an error."""

    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    MODEL_NOT_FOUND = "model_not_found"
    KEY_REQUIRED = "key_required"
    KEY_REJECTED = "key_rejected"
    KEY_WITHDRAWN = "key_withdrawn"
    STALE_INSTANCE = "stale_instance"
    DRAINING = "draining"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    CRASHES_ENGINES = "crashes_engines"
    LOG_UNAVAILABLE = "log_unavailable"
    IDEMPOTENCY_PENDING = "idempotency_pending"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    UPSTREAM_FAILED = "upstream_failed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    INTERNAL = "internal"


class RequestFailed(WaxwingError):
    """
    A request failed and is answered with an error response.

    :param status: HTTP status.
    :param code: Machine-readable cause.
    :param text: Human-readable message of one sentence.
    :param outcome: Whether the request may have run at an upstream.
    :param retry_after_seconds: Time after which the caller may retry; None
        if a retry won't help, or if a call to an upstream failed with unknown
        outcome.
    :param allowed_methods: Methods that the route accepts, if the request
        used another method.
    """

    def __init__(
        self,
        status: int,
        code: ErrorCode,
        text: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_seconds: float | None = None,
        allowed_methods: tuple[str, ...] = (),
    ) -> None:
        super().__init__(text)
        #: HTTP status.
        self.status = status
        #: Machine-readable cause.
        self.code = code
        #: Human-readable message of one sentence.
        self.text = text
        #: ``NOT_RUN`` only if no byte of the request was sent to an upstream.
        self.outcome = outcome
        #: Time after which the caller may retry; None if a retry won't help.
        self.retry_after_seconds = retry_after_seconds
        #: Empty unless the route does not accept the method of the request.
        self.allowed_methods = allowed_methods

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the response headers of the error."""
        headers: list[tuple[str, str]] = []
        if self.retry_after_seconds is not None:
            seconds = max(1, math.ceil(self.retry_after_seconds))
            headers.append(("Retry-After", str(seconds)))
        if self.allowed_methods:
            headers.append(("Allow", ", ".join(self.allowed_methods)))
        if self.code is ErrorCode.DRAINING:
            headers.append(("Connection", "close"))
        return tuple(headers)

    def body(self, request_id: str) -> bytes:
        """
        Return the JSON body.

        :param request_id: Id of the failed request.
        """
        error = {
            "message": self.text,
            "type": _error_type(self.status),
            "code": self.code.value,
            "outcome": self.outcome.value,
            "request_id": request_id,
        }
        return json.dumps({"error": error}).encode()


def quarantined(retry_after_seconds: float, outcome: Outcome) -> RequestFailed:
    """
    Return the error for a request that has crashed several upstreams.

    :param retry_after_seconds: Time for which the request is refused.
    :param outcome: Whether the request may have run.
    """
    return RequestFailed(
        503,
        ErrorCode.CRASHES_ENGINES,
        "upstreams crashed repeatedly while they ran this request",
        outcome,
        retry_after_seconds,
    )


def _error_type(status: int) -> str:
    match status:
        case 401 | 403:
            return "authentication_error"
        case 429:
            return "rate_limit_error"
        case _ if status < 500:
            return "invalid_request_error"
        case _:
            return "server_error"
