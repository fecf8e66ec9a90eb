"""Errors that callers get, in the shape of OpenAI's."""

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
    The request gets an error in place of an answer.

    :param status: HTTP status.
    :param code: Machine-readable cause.
    :param text: One sentence for people.
    :param outcome: Whether the request can have run.
    :param retry_after_seconds: When to come back; None if that won't help.
    :param allowed_methods: Methods of the route, if another was used.
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
        #: One sentence for people.
        self.text = text
        #: ``NOT_RUN`` only if no byte of the request went to an upstream.
        self.outcome = outcome
        #: None if coming back won't help.
        self.retry_after_seconds = retry_after_seconds
        #: Empty unless another method was used.
        self.allowed_methods = allowed_methods

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that belong to the error."""
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

        :param request_id: The request.
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
    Return the error of a request that crashes engines.

    :param retry_after_seconds: How long it is refused.
    :param outcome: What is known of its execution.
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
