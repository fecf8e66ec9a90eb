"""The newest reasons of decisions, kept in memory."""

import threading
from collections import deque

from attrs import frozen

from waxwingwinch.codec import message
from waxwingwinch.contracts import DecisionLog, Reason
from waxwingwinch.peers import PeerIdentity

#: How many reasons a process keeps.
MAX_REASONS = 20_000
#: How many reasons one reply carries.
MAX_REPLY_REASONS = 200


@message("explain_request")
@frozen
class ExplainRequest:
    """
    Asks a process for what it decided about a name.

    :param name: A request, upstream, customer or duty.
    """

    name: str


@message("explain_reply")
@frozen
class ExplainReply:
    """
    Answer to :class:`ExplainRequest`.

    :param reasons: The newest reasons, oldest first.
    """

    reasons: tuple[Reason, ...]


class MemoryDecisionLog:
    """
    Keeps the newest reasons of this process.

    :param max_reasons: How many are kept.
    """

    def __init__(self, max_reasons: int = MAX_REASONS) -> None:
        self._reasons: deque[Reason] = deque(maxlen=max_reasons)
        self._lock = threading.Lock()

    def add(self, reason: Reason) -> None:
        """
        Keep a reason, dropping the oldest.

        :param reason: The reason.
        """
        with self._lock:
            self._reasons.append(reason)

    def about(self, name: str) -> tuple[Reason, ...]:
        """
        Return the kept reasons about a name, oldest first.

        :param name: A request, upstream, customer or duty.
        """
        with self._lock:
            reasons = tuple(self._reasons)
        return tuple(reason for reason in reasons if _concerns(reason, name))


class ExplainHandler:
    """
    Answers :class:`ExplainRequest` from a decision log.

    It is the handler of that class at the peer server.

    :param decisions: Where the reasons are kept.
    """

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions

    def __call__(self, peer: PeerIdentity, request: ExplainRequest) -> ExplainReply:
        """
        Answer one request.

        :param peer: Who asks.
        :param request: What is asked.
        """
        reasons = self._decisions.about(request.name)
        return ExplainReply(reasons[-MAX_REPLY_REASONS:])


def _concerns(reason: Reason, name: str) -> bool:
    return reason.subject == name or name in reason.related
