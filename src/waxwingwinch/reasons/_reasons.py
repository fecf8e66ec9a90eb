"""In-memory log of the most recent reasons of decisions."""

import threading
from collections import deque

from attrs import frozen

from waxwingwinch.codec import message
from waxwingwinch.contracts import DecisionLog, Reason
from waxwingwinch.peers import PeerIdentity

#: Maximum number of reasons that a process keeps.
MAX_REASONS = 20_000
#: Maximum number of reasons in one reply.
MAX_REPLY_REASONS = 200


@message("explain_request")
@frozen
class ExplainRequest:
    """
    Requests the reasons of a process's decisions about a name.

    :param name: Name of a request, upstream, customer or duty.
    """

    name: str


@message("explain_reply")
@frozen
class ExplainReply:
    """
    Reply to :class:`ExplainRequest`.

    :param reasons: The newest reasons, oldest first.
    """

    reasons: tuple[Reason, ...]


class MemoryDecisionLog:
    """
    Keeps the most recent reasons of this process in memory.

    :param max_reasons: Maximum number of reasons that are kept.
    """

    def __init__(self, max_reasons: int = MAX_REASONS) -> None:
        self._reasons: deque[Reason] = deque(maxlen=max_reasons)
        self._lock = threading.Lock()

    def add(self, reason: Reason) -> None:
        """
        Add a reason; if the log is full, the oldest is dropped.

        :param reason: The reason.
        """
        with self._lock:
            self._reasons.append(reason)

    def about(self, name: str) -> tuple[Reason, ...]:
        """
        Return the reasons whose subject or related names match, oldest first.

        :param name: Name of a request, upstream, customer or duty.
        """
        with self._lock:
            reasons = tuple(self._reasons)
        return tuple(reason for reason in reasons if _matches_name(reason, name))


class ExplainHandler:
    """
    Answers :class:`ExplainRequest` from a decision log.

    It is registered at the peer server as the handler of that message class.

    :param decisions: Log of the reasons.
    """

    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions

    def __call__(self, peer: PeerIdentity, request: ExplainRequest) -> ExplainReply:
        """
        Return the most recent matching reasons.

        :param peer: The requesting peer.
        :param request: The request.
        """
        reasons = self._decisions.about(request.name)
        return ExplainReply(reasons[-MAX_REPLY_REASONS:])


def _matches_name(reason: Reason, name: str) -> bool:
    return reason.subject == name or name in reason.related
