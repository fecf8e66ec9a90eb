"""Reasons of decisions, recorded to explain decisions to operators."""

import enum
from typing import Protocol

from attrs import frozen

from waxwingwinch.codec import message


class DecisionKind(enum.Enum):
    """Kinds of decisions."""

    ROUTED = "routed"
    REFUSED = "refused"
    RETRIED = "retried"
    EJECTED = "ejected"
    ROLE_CHANGED = "role_changed"
    DRAINED = "drained"
    BOUGHT = "bought"
    GAVE_BACK = "gave_back"
    GRANTED = "granted"
    REPORTED = "reported"
    DUTY_TAKEN = "duty_taken"
    DUTY_LOST = "duty_lost"


@message("reason")
@frozen
class Reason:
    """
    One decision and why it was made.

    :param kind: Kind of the decision.
    :param subject: The request, upstream, customer or duty decided about.
    :param wall_seconds: Unix time of the decision, for display only.
    :param text: The reason in one plain sentence.
    :param related: Further names under which the reason can be found.
    """

    kind: DecisionKind
    subject: str
    wall_seconds: float
    text: str
    related: tuple[str, ...] = ()


class DecisionLog(Protocol):
    """Keeps the newest reasons in memory."""

    def add(self, reason: Reason) -> None:
        """
        Add a reason, dropping the oldest one if the log is full.

        :param reason: The reason.
        """

    def about(self, name: str) -> tuple[Reason, ...]:
        """
        Return the retained reasons about a name, oldest first.

        :param name: A request, upstream, customer or duty.
        """
