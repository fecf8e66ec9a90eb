"""Exceptions that are raised and caught across package boundaries."""

import enum


class Outcome(enum.Enum):
    """Whether a failed request was executed, as far as known."""

    #: No byte of the request reached an upstream.
    NOT_RUN = "not_run"
    #: The request may or may not have been executed.
    UNKNOWN = "unknown"
    #: The request was executed, but its complete response is not available.
    RAN = "ran"


class WaxwingError(Exception):
    """Base class of the exceptions that this project defines."""


class PlatformUnavailable(WaxwingError):
    """
    The platform did not respond.

    :param reason: Error reported by the transport.
    :param may_have_taken_effect: False only if the request certainly did not
        reach the platform.
    """

    def __init__(self, reason: str, may_have_taken_effect: bool) -> None:
        super().__init__(reason)
        #: False only if no byte of the request left this process.
        self.may_have_taken_effect = may_have_taken_effect


class PlatformRefused(WaxwingError):
    """
    The platform refused a request.

    :param reason: The reason given by the platform.
    :param retry_after_seconds: Delay until the request may be retried, as
        stated by the platform.
    """

    def __init__(self, reason: str, retry_after_seconds: float | None = None) -> None:
        super().__init__(reason)
        #: None if the platform stated no delay.
        self.retry_after_seconds = retry_after_seconds


class RecordsExpired(WaxwingError):
    """
    The records at the requested offset have expired from the log.

    :param first_offset: The oldest offset that the log still contains.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"the log starts at offset {first_offset}")
        #: The oldest offset that can be read.
        self.first_offset = first_offset


class UpstreamFailed(WaxwingError):
    """
    A call to an upstream failed.

    :param reason: The observed error.
    :param outcome: Whether the call was executed, as far as known.
    """

    def __init__(self, reason: str, outcome: Outcome) -> None:
        super().__init__(reason)
        #: ``NOT_RUN`` only if no byte of the call was sent.
        self.outcome = outcome


class OrderRefused(WaxwingError):
    """
    An engine refused an order because its fencing token is too old.

    :param highest_epoch: The highest fencing token that the engine has seen.
    """

    def __init__(self, highest_epoch: int) -> None:
        super().__init__(f"fencing token older than {highest_epoch}")
        #: The highest fencing token that the engine has seen.
        self.highest_epoch = highest_epoch


class PeerUnavailable(WaxwingError):
    """A peer could not be reached or did not reply in time."""


class AuthorityLost(WaxwingError):
    """The process does not hold the lease that the action needs."""


class MalformedMessage(WaxwingError):
    """Bytes from a peer or the log are not a message of a known type."""
