"""Base types of the errors that cross package boundaries."""

import enum


class Outcome(enum.Enum):
    """What is known about the execution of a request that failed."""

    #: No byte of the request reached an upstream.
    NOT_RUN = "not_run"
    #: The request may or may not have run.
    UNKNOWN = "unknown"
    #: The request ran, but its whole answer is not available.
    RAN = "ran"


class WaxwingError(Exception):
    """Base of all errors that this project raises on purpose."""


class PlatformUnavailable(WaxwingError):
    """
    The platform did not answer.

    :param reason: What the transport reported.
    :param may_have_taken_effect: True unless the request certainly never
        reached the platform.
    """

    def __init__(self, reason: str, may_have_taken_effect: bool) -> None:
        super().__init__(reason)
        #: False only if no byte of the request left this process.
        self.may_have_taken_effect = may_have_taken_effect


class PlatformRefused(WaxwingError):
    """
    The platform answered that it will not do what was asked.

    :param reason: The platform's own words.
    :param retry_after_seconds: When the platform asked to be called again.
    """

    def __init__(self, reason: str, retry_after_seconds: float | None = None) -> None:
        super().__init__(reason)
        #: None if the platform named no time.
        self.retry_after_seconds = retry_after_seconds


class RecordsExpired(WaxwingError):
    """
    The log no longer holds the requested offset.

    :param first_offset: The oldest offset that the log still holds.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"the log starts at offset {first_offset}")
        #: The oldest offset that can be read.
        self.first_offset = first_offset


class UpstreamFailed(WaxwingError):
    """
    An upstream failed to answer a call.

    :param reason: What was seen.
    :param outcome: Whether the call can have run.
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
    """Bytes from a peer or the log are not a message of a known kind."""
