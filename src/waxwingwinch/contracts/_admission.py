"""Protocols of the rate limiter and of the store for idempotency keys."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import CustomerId


@frozen
class Admitted:
    """The request is within the customer's rate; one request of its
    rate was consumed."""


@frozen
class Limited:
    """
    The request is not admitted by this instance at present.

    :param retry_after_seconds: Time after which to retry.
    :param over_rate: True if the customer exceeds its rate across all
        instances, False if only this instance's share is used up.
    """

    retry_after_seconds: float
    over_rate: bool


LimitDecision = Admitted | Limited


class RateLimiter(Protocol):
    """Admits requests such that all instances together keep to the rates."""

    def admit(self, customer_id: CustomerId, now_seconds: float) -> LimitDecision:
        """
        Consume one request of a customer's rate, if one is available.

        Blocks for a limited time, at most until a peer replies or the request
        to the peer times out.

        :param customer_id: The customer.
        :param now_seconds: Monotonic time.
        """


@frozen
class StoredAnswer:
    """
    The response stored under an idempotency key.

    :param status: HTTP status.
    :param headers: Header names and values.
    :param body: The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class ClaimHeld:
    """
    This instance's claim was the first; it may run the request once.

    :param claim_id: Identifies the claim when its outcome is recorded.
    :param expires_seconds: Monotonic time after which the request must not be
        sent.
    """

    claim_id: str
    expires_seconds: float


@frozen
class ClaimedOutcome:
    """
    The request was completed before.

    :param answer: Its response; a substitute if the response was too large
        to store.
    """

    answer: StoredAnswer


@frozen
class ClaimWithoutOutcome:
    """
    An earlier claim on the key exists and gives no outcome for this request.

    The outcome is pending, will never be known, or belongs to another request.

    :param retry_after_seconds: Time after which to claim again; None if the
        outcome will never be known, or if ``same_request`` is False.
    :param same_request: False if the key was used with another request.
    """

    retry_after_seconds: float | None
    same_request: bool = True


@frozen
class ClaimUnavailable:
    """
    The claim was not confirmed in the log; the request will not run.

    :param retry_after_seconds: Time after which to retry.
    """

    retry_after_seconds: float


ClaimResult = ClaimHeld | ClaimedOutcome | ClaimWithoutOutcome | ClaimUnavailable


class IdempotencyStore(Protocol):
    """Lets only the first claim on a key run and stores its response."""

    def claim(
        self,
        customer_id: CustomerId,
        key: str,
        fingerprint: str,
        timeout_seconds: float,
        now_seconds: float,
    ) -> ClaimResult:
        """
        Claim a key.

        Waits until the claim's position in the log is known or, if another
        claim on the key is active, until the outcome of that claim is known;
        limited by the time-out.

        :param customer_id: The customer; equal keys of different customers
            are independent.
        :param key: The ``Idempotency-Key`` header of the request.
        :param fingerprint: Hash of method, path and body.
        :param timeout_seconds: Longest wait for the log.
        :param now_seconds: Monotonic time.
        """

    def record_answer(self, claim_id: str, answer: StoredAnswer) -> None:
        """
        Store the response for a claim.

        Returns when the response is in the log, or when the log is
        unavailable; the response is then appended later.

        :param claim_id: From :class:`ClaimHeld`.
        :param answer: The complete response.
        """

    def record_not_run(self, claim_id: str) -> None:
        """
        Abandon a claim of whose request no byte was sent, so that the request
        can run under a later claim.

        :param claim_id: From :class:`ClaimHeld`.
        """

    def record_unknown(self, claim_id: str) -> None:
        """
        Mark a claim whose outcome can't be known.

        :param claim_id: From :class:`ClaimHeld`.
        """
