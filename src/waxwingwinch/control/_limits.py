"""The duty ``limits-<cell>``: the grantor of rate and burst."""

from waxwingwinch._exceptions import AuthorityLost
from waxwingwinch.authority import DutyHolder
from waxwingwinch.kernel import Clock
from waxwingwinch.limits import ExtraReply, ExtraRequest, GrantorDuty
from waxwingwinch.peers import PeerIdentity


class GuardedExtras:
    """
    Answers requests for short-term tokens inside the gate of the lease.

    Extras live in memory only, so an answer sent after the lease could
    exceed the rate. Floors need no gate: they count from the log, which
    voids those of an older term.

    :param grantor: Decides.
    :param holder: Guards.
    :param clock: Source of the present time.
    """

    def __init__(self, grantor: GrantorDuty, holder: DutyHolder, clock: Clock) -> None:
        self._grantor = grantor
        self._holder = holder
        self._clock = clock

    def handle(self, peer: PeerIdentity, request: ExtraRequest) -> ExtraReply:
        """
        Answer one request; without the lease, that there is no grantor.

        :param peer: Who asks.
        :param request: The request.
        """
        now_seconds = self._clock.now_seconds()
        try:
            with self._holder.acting(self._grantor.duty, now_seconds) as epoch:
                return self._grantor.handle_extras(peer, request, epoch)
        except AuthorityLost:
            return ExtraReply(None, (), 0.0)
