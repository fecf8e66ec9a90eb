"""Rate limits and claims on idempotency keys."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import CustomerId


@frozen
class Admitted:
    """The request is within the customer's rate; its token is spent."""


@frozen
class Limited:
    """
    The request is not admitted here and now.

    :param retry_after_seconds: When to come back.
    :param over_rate: True if the customer exceeds its rate as a whole, False
        if only this instance's share is used up.
    """

    retry_after_seconds: float
    over_rate: bool


LimitDecision = Admitted | Limited


class RateLimiter(Protocol):
    """Admits requests so that all instances together keep to the rates."""

    def admit(self, customer_id: CustomerId, now_seconds: float) -> LimitDecision:
        """
        Spend one request of a customer, if there is one.

        Never blocks longer than a peer's answer takes.

        :param customer_id: The customer.
        :param now_seconds: Monotonic time.
        """


@frozen
class StoredAnswer:
    """
    The answer kept under an idempotency key.

    :param status: HTTP status.
    :param headers: Header names and values.
    :param body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class ClaimHeld:
    """
    This instance won the claim and may run the request once.

    :param claim_id: Names the claim when its outcome is recorded.
    :param expires_seconds: Monotonic time after which it must not be sent.
    """

    claim_id: str
    expires_seconds: float


@frozen
class ClaimedOutcome:
    """
    The request ran before.

    :param answer: Its whole answer.
    """

    answer: StoredAnswer


@frozen
class ClaimPending:
    """
    Another claim came first and has no known outcome.

    :param retry_after_seconds: When to ask again; None if its runner is gone
        and the outcome will never be known.
    :param same_request: False if the key was used with another request.
    """

    retry_after_seconds: float | None
    same_request: bool = True


@frozen
class ClaimUnavailable:
    """
    The log can't be reached; the request has not run and won't.

    :param retry_after_seconds: When to come back.
    """

    retry_after_seconds: float


ClaimResult = ClaimHeld | ClaimedOutcome | ClaimPending | ClaimUnavailable


class IdempotencyStore(Protocol):
    """Lets the first claim on a key run, and keeps its answer."""

    def claim(
        self,
        customer_id: CustomerId,
        key: str,
        fingerprint: str,
        timeout_seconds: float,
        now_seconds: float,
    ) -> ClaimResult:
        """
        Claim a key; returns once the claim's place in the log is known.

        :param customer_id: The customer; keys of others never collide.
        :param key: The ``Idempotency-Key`` of the caller.
        :param fingerprint: Hash of method, path and body.
        :param timeout_seconds: How long to wait for the log.
        :param now_seconds: Monotonic time.
        """

    def record_answer(self, claim_id: str, answer: StoredAnswer) -> None:
        """
        Keep the answer of a claim; returns when it is in the log, or when
        the log can't be reached (it is then appended later).

        :param claim_id: From :class:`ClaimHeld`.
        :param answer: The whole answer.
        """

    def record_not_run(self, claim_id: str) -> None:
        """
        Give a claim up of which no byte was sent, so that it can run again.

        :param claim_id: From :class:`ClaimHeld`.
        """

    def record_unknown(self, claim_id: str) -> None:
        """
        Mark a claim whose outcome can't be known.

        :param claim_id: From :class:`ClaimHeld`.
        """
