"""Reasons of decisions, kept so that they can be explained."""

import enum
from typing import Protocol

from attrs import frozen

from waxwingwinch.codec import message


class DecisionKind(enum.Enum):
    """What was decided."""

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

    :param kind: What was decided.
    :param subject: The request, upstream, customer or duty it is about.
    :param wall_seconds: Unix time, for people to read.
    :param text: One plain sentence.
    :param related: Other names it can be found under.
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
        Keep a reason, dropping the oldest.

        :param reason: The reason.
        """

    def about(self, name: str) -> tuple[Reason, ...]:
        """
        Return the kept reasons about a name, oldest first.

        :param name: A request, upstream, customer or duty.
        """
