"""What callers saw, one typed event for each call."""

import enum

from attrs import frozen


class CallKind(enum.Enum):
    """What a call asks for."""

    #: A streamed answer of a model.
    CHAT = "chat"
    #: A plain call that may be repeated.
    READ = "read"
    #: A plain call that must not be repeated, with an idempotency key.
    ORDER = "order"
    #: A plain call that must not be repeated, without a key.
    PAYMENT = "payment"


class CallOutcome(enum.Enum):
    """How a call ended for its caller."""

    #: The whole answer came and it is the right one.
    WHOLE = "whole"
    #: A whole answer came that belongs to another request or is altered.
    WRONG = "wrong"
    #: Refused, and said not to have run.
    NOT_RUN = "not_run"
    #: An error that says that the outcome is unknown.
    UNKNOWN = "unknown"
    #: An error that says that the request ran.
    RAN = "ran"
    #: The connection broke before an answer or a clear error came.
    BROKEN = "broken"


@frozen
class CallEvent:
    """
    One call of a caller to one instance.

    :param call_id: Unique name of the call.
    :param request_id: The system's name for it; empty if none came back.
    :param kind: What it asked for.
    :param customer_id: The customer whose key was sent.
    :param instance: Address of the instance, as ``host:port``.
    :param idempotency_key: The key; empty if none was sent.
    :param started_seconds: Monotonic time of sending.
    :param ended_seconds: Monotonic time of the end.
    :param status: HTTP status; 0 if none came.
    :param outcome: How it ended.
    :param detail: Code of the error or the first difference found.
    :param retry_after_seconds: From the answer; None if it named none.
    :param first_token_seconds: Time to the first token; None without one.
    :param longest_gap_seconds: Longest time between tokens.
    :param output_tokens: Tokens received.
    :param upstream_execution: Execution named by a plain answer; empty
        without one.
    :param message: Text of the error; empty without one.
    """

    call_id: str
    request_id: str
    kind: CallKind
    customer_id: str
    instance: str
    idempotency_key: str
    started_seconds: float
    ended_seconds: float
    status: int
    outcome: CallOutcome
    detail: str = ""
    retry_after_seconds: float | None = None
    first_token_seconds: float | None = None
    longest_gap_seconds: float = 0.0
    output_tokens: int = 0
    upstream_execution: str = ""
    message: str = ""
