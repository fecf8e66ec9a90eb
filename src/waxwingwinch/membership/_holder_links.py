"""Links to the control processes that hold duties."""

import threading
from collections.abc import Callable, Sequence

from waxwingwinch._types import Address
from waxwingwinch.kernel import Health
from waxwingwinch.peers import PeerIdentity, PeerLink

#: Maximum number of links; the one dialed first is closed for a new one.
MAX_LINKS = 8


class HolderLinks:
    """
    Dials the holder of a duty, and the new holder when it changes.

    :param find_address: Returns the address of the holder of a duty; None
        while it is unknown.
    :param identity: Identity of this process.
    :param shared_secrets: Secrets accepted when peers authenticate.
    """

    def __init__(
        self,
        find_address: Callable[[str], Address | None],
        identity: PeerIdentity,
        shared_secrets: Sequence[str],
    ) -> None:
        self._find_address = find_address
        self._identity = identity
        self._shared_secrets = tuple(shared_secrets)
        self._links: dict[Address, PeerLink] = {}
        self._stopped = False
        self._lock = threading.Lock()

    def start(self) -> None:
        """Do nothing; links are dialed on demand."""

    def stop(self) -> None:
        """Close all links."""
        with self._lock:
            self._stopped = True
            links = list(self._links.values())
            self._links.clear()
        for link in links:
            link.stop()

    def health(self) -> Health:
        """Return ``HEALTHY``; a missing holder is not a fault of the links."""
        return Health.HEALTHY

    def link(self, duty: str) -> PeerLink | None:
        """
        Return the link to the holder of a duty.

        The link may not be connected yet.

        :param duty: Name of the duty.
        :returns: None while the holder is unknown and once stopped.
        """
        address = self._find_address(duty)
        if address is None:
            return None
        with self._lock:
            if self._stopped:
                return None
            link = self._links.get(address)
            if link is not None:
                return link
            oldest = self._pop_oldest()
            link = PeerLink(address, self._identity, self._shared_secrets)
            self._links[address] = link
            link.start()
        if oldest is not None:
            oldest.stop()
        return link

    def _pop_oldest(self) -> PeerLink | None:
        if len(self._links) < MAX_LINKS:
            return None
        oldest_address = next(iter(self._links))
        return self._links.pop(oldest_address)
