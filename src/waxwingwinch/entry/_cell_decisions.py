"""Collects decision reasons from this entry and from the duty holders."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

import eliot

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch.contracts import DecisionLog, Reason
from waxwingwinch.reasons import ExplainReply, ExplainRequest

#: Time-out of the request to one duty holder.
EXPLAIN_TIMEOUT_SECONDS = 1.0


class RequestLink(Protocol):
    """A link to a duty holder, such as a :class:`PeerLink`."""

    def request(self, body: object, timeout_seconds: float) -> Any:
        """Send a request and return the reply."""


class CellDecisions:
    """
    A decision log that also queries the holders of duties.

    Reasons are kept in the memory of the process that decided. Those of a
    former holder are not found, unless it still runs and holds another duty.

    :param local: Decision log of this process.
    :param duties: Names of the duties.
    :param find_link: Returns the link to the holder of a duty; None while
        the holder is unknown.
    """

    def __init__(
        self,
        local: DecisionLog,
        duties: Sequence[str],
        find_link: Callable[[str], RequestLink | None],
    ) -> None:
        self._local = local
        self._duties = tuple(duties)
        self._find_link = find_link

    def add(self, reason: Reason) -> None:
        """
        Add a reason to the log of this process.

        :param reason: The reason.
        """
        self._local.add(reason)

    def about(self, name: str) -> tuple[Reason, ...]:
        """
        Return the reasons that concern a name, oldest first.

        :param name: A request, upstream, customer or duty.
        """
        reasons = list(self._local.about(name))
        for link in self._links():
            reasons += _request_reasons(link, name)
        return tuple(sorted(reasons, key=lambda reason: reason.wall_seconds))

    def _links(self) -> list[RequestLink]:
        """Return each link once, as one process may hold several duties."""
        found = [self._find_link(duty) for duty in self._duties]
        distinct = {id(link): link for link in found if link is not None}
        return list(distinct.values())


def _request_reasons(link: RequestLink, name: str) -> tuple[Reason, ...]:
    try:
        reply = link.request(ExplainRequest(name), EXPLAIN_TIMEOUT_SECONDS)
    except (PeerUnavailable, MalformedMessage) as error:
        eliot.log_message("entry:holder_not_explaining", reason=str(error))
        return ()
    return reply.reasons if isinstance(reply, ExplainReply) else ()
