"""Full mesh of peer links, one to each other instance of the cell."""

import threading
from collections.abc import Sequence
from typing import Any

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import Address
from waxwingwinch.kernel import Health
from waxwingwinch.membership._directory import InstanceDirectory
from waxwingwinch.peers import PeerIdentity, PeerLink, PeerProgram

#: Pause between two reconciliations of the links with the directory.
RECONCILE_PAUSE_SECONDS = 1.0


class PeerMesh:
    """
    Dials the entry process of each other instance of the cell.

    :param directory: The listed instances.
    :param identity: Identity of this process.
    :param shared_secrets: Secrets accepted when peers authenticate.
    :param seeds: Peer addresses used while the directory is empty.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        identity: PeerIdentity,
        shared_secrets: Sequence[str],
        seeds: Sequence[Address] = (),
    ) -> None:
        self._directory = directory
        self._identity = identity
        self._shared_secrets = tuple(shared_secrets)
        self._seeds = tuple(seeds)
        self._links: dict[Address, PeerLink] = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="peer-mesh", daemon=True)

    def start(self) -> None:
        """Dial the listed peers and start to follow the directory."""
        self._reconcile()
        self._thread.start()

    def stop(self) -> None:
        """Close all links."""
        self._stopping.set()
        self._thread.join()
        with self._lock:
            links = list(self._links.values())
            self._links.clear()
        for link in links:
            link.stop()

    def health(self) -> Health:
        """Return ``DEGRADED`` unless all links are connected."""
        links = self.links()
        if all(link.peer is not None for link in links):
            return Health.HEALTHY
        return Health.DEGRADED

    def links(self) -> tuple[PeerLink, ...]:
        """Return the links to other instances, also those that are down."""
        with self._lock:
            links = tuple(self._links.values())
        # A seed may be the address of this instance.
        return tuple(link for link in links if not self._is_local(link))

    def link_to(self, address: Address) -> PeerLink | None:
        """
        Return the link to an address, None if there is none.

        :param address: Address at which the peer listens.
        """
        with self._lock:
            return self._links.get(address)

    def broadcast(self, body: object) -> int:
        """
        Send a message to all peers without waiting for replies.

        :returns: The number of peers to which the message was sent.
        """
        sent = 0
        for link in self.links():
            try:
                link.send(body)
            except PeerUnavailable:
                continue
            sent += 1
        return sent

    def request_any(self, body: object, timeout_seconds: float) -> Any:
        """
        Send a request to one peer after the other until one replies.

        :param timeout_seconds: Longest time to wait for each peer.
        :raises PeerUnavailable: If no peer replied.
        """
        for link in self.links():
            try:
                return link.request(body, timeout_seconds)
            except (PeerUnavailable, MalformedMessage):
                continue
        raise PeerUnavailable("no peer replied to the request")

    def _run(self) -> None:
        while not self._stopping.wait(RECONCILE_PAUSE_SECONDS):
            self._reconcile()

    def _is_local(self, link: PeerLink) -> bool:
        return link.peer == self._identity

    def _required_addresses(self) -> set[Address]:
        listed = self._directory.instances()
        if not listed:
            return set(self._seeds)
        # A control process also dials the entry of its own instance.
        is_entry = self._identity.program is PeerProgram.ENTRY
        local_id = self._identity.instance_id if is_entry else None
        return {
            instance.peer_address
            for instance in listed
            if instance.instance_id != local_id
        }

    def _reconcile(self) -> None:
        required = self._required_addresses()
        with self._lock:
            removed = [
                self._links.pop(address) for address in set(self._links) - required
            ]
            added = required - set(self._links)
            for address in sorted(added, key=str):
                link = PeerLink(address, self._identity, self._shared_secrets)
                self._links[address] = link
                link.start()
        for link in removed:
            link.stop()
