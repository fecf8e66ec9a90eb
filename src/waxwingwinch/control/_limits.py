"""The lease check of the duty ``limits-<cell>``, the grantor of limits."""

from waxwingwinch._exceptions import AuthorityLost
from waxwingwinch.authority import DutyHolder
from waxwingwinch.kernel import Clock
from waxwingwinch.limits import ExtraReply, ExtraRequest, GrantorDuty
from waxwingwinch.peers import PeerIdentity


class GuardedExtras:
    """
    Grants extras only while the lease of the duty is held.

    Extras are kept in memory only, so a grant sent after the end of the
    lease could exceed the customer's rate. Floors need no lease check: they
    take effect through the log, which voids those of an older term.

    :param grantor: Decides on extras.
    :param holder: Checks the lease.
    :param clock: Source of the present time.
    """

    def __init__(self, grantor: GrantorDuty, holder: DutyHolder, clock: Clock) -> None:
        self._grantor = grantor
        self._holder = holder
        self._clock = clock

    def handle(self, peer: PeerIdentity, request: ExtraRequest) -> ExtraReply:
        """
        Answer a request; without the lease, report that there is no grantor.

        :param peer: The asking entry.
        :param request: The request.
        """
        now_seconds = self._clock.now_seconds()
        try:
            with self._holder.lease_guard(self._grantor.duty, now_seconds) as epoch:
                return self._grantor.handle_extras(peer, request, epoch)
        except AuthorityLost:
            # An epoch of None: this process isn't the grantor.
            return ExtraReply(None, (), 0.0)
