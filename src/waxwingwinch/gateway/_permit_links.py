"""Requests for permits over links to the keepers of limits."""

from collections.abc import Callable
from concurrent.futures import Future

from attrs import define

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch.gateway._limit_messages import PermitReply, PermitRequest
from waxwingwinch.gateway._members import Member
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import HubLink, PeerHub

#: Time after which a link that was dialed for permits is closed if unused.
LINK_IDLE_SECONDS = 30.0
#: Wait for the thread of the hub, beyond the wait for the keeper.
HUB_MARGIN_SECONDS = 0.05


@define(eq=False)
class _PermitLink:
    """
    A link that was dialed for permits.

    :param link: The link.
    :param used_seconds: Monotonic time of its last use.
    """

    link: HubLink
    used_seconds: float


class PermitLinks:
    """
    Asks keepers for permits, over existing links if there are any.

    :param hub: Dials the keepers.
    :param existing_link: Returns the link to an instance that has one anyway;
        called in the hub's thread.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        hub: PeerHub,
        existing_link: Callable[[Member], HubLink | None],
        clock: Clock,
    ) -> None:
        self._hub = hub
        self._existing_link = existing_link
        self._clock = clock
        self._links: dict[Member, _PermitLink] = {}

    def ask(
        self, keeper: Member, request: PermitRequest, timeout_seconds: float
    ) -> PermitReply:
        """
        Ask a keeper for a permit; callable in any thread but the hub's.

        :param keeper: The instance that keeps the limit.
        :param request: What is asked.
        :param timeout_seconds: Longest wait for the keeper.
        :raises PeerUnavailable: If the keeper did not reply.
        :raises MalformedMessage: If its reply can't be decoded.
        """
        future: Future[PermitReply] = Future()
        self._hub.call(self._start, keeper, request, timeout_seconds, future)
        try:
            return future.result(timeout_seconds + HUB_MARGIN_SECONDS)
        except TimeoutError as error:
            raise PeerUnavailable(
                f"no reply through the hub within {timeout_seconds} s"
            ) from error

    def _start(
        self,
        keeper: Member,
        request: PermitRequest,
        timeout_seconds: float,
        future: "Future[PermitReply]",
    ) -> None:
        self._hub.spawn(self._request(keeper, request, timeout_seconds, future))

    async def _request(
        self,
        keeper: Member,
        request: PermitRequest,
        timeout_seconds: float,
        future: "Future[PermitReply]",
    ) -> None:
        try:
            reply = await self._link_to(keeper).request(request, timeout_seconds)
        except (PeerUnavailable, MalformedMessage) as error:
            # The asking thread logs the error.
            future.set_exception(error)
            return
        if isinstance(reply, PermitReply):
            future.set_result(reply)
        else:
            future.set_exception(
                MalformedMessage(f"expected a PermitReply, got {type(reply).__name__}")
            )

    def _link_to(self, keeper: Member) -> HubLink:
        existing = self._existing_link(keeper)
        if existing is not None:
            return existing
        now_seconds = self._clock.now_seconds()
        for member, unused in list(self._links.items()):
            if now_seconds - unused.used_seconds > LINK_IDLE_SECONDS:
                del self._links[member]
                unused.link.stop()
        known = self._links.get(keeper)
        if known is None:
            known = _PermitLink(self._hub.dial(keeper.peer_address), now_seconds)
            self._links[keeper] = known
        known.used_seconds = now_seconds
        return known.link
