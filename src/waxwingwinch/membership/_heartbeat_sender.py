"""Sends the heartbeats of this instance."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.membership._mesh import PeerMesh
from waxwingwinch.membership._messages import Heartbeat, HeartbeatReply
from waxwingwinch.peers import PeerIdentity, PeerLink

#: Pause between two heartbeats.
HEARTBEAT_INTERVAL_SECONDS = 1.0
#: Time-out of the reply of a peer.
REPLY_TIMEOUT_SECONDS = 1.0
#: Maximum number of heartbeats that await a reply at a time.
MAX_CONCURRENT_HEARTBEATS = 16

#: Handles a reply, given the replying peer, the link to it, the reply and the
#: monotonic time before the heartbeat was sent.
ReplyHandler = Callable[[PeerIdentity, PeerLink, HeartbeatReply, float], None]


class HeartbeatSender:
    """
    Sends a heartbeat each second to all peers and the fleet duty's holder.

    :param mesh: The links to the other entries.
    :param find_controller: Returns the link to the control process that holds
        the fleet duty; None while the holder is unknown.
    :param build_heartbeat: Builds the heartbeat for a sequence number and the
        present time.
    :param handle_reply: Handles the replies of other entries.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        find_controller: Callable[[], PeerLink | None],
        build_heartbeat: Callable[[int, float], Heartbeat],
        handle_reply: ReplyHandler,
        clock: Clock,
    ) -> None:
        self._mesh = mesh
        self._find_controller = find_controller
        self._build_heartbeat = build_heartbeat
        self._handle_reply = handle_reply
        self._clock = clock
        self._sequence = 0
        self._pool = ThreadPoolExecutor(MAX_CONCURRENT_HEARTBEATS, "heartbeat")
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="heartbeat-sender", daemon=True
        )

    def start(self) -> None:
        """Start the sending thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the sending thread and send a last heartbeat."""
        self._stopping.set()
        self._thread.join()
        self._send_once()
        self._pool.shutdown()

    def health(self) -> Health:
        """Return ``HEALTHY`` while the sending thread runs."""
        return Health.HEALTHY if self._thread.is_alive() else Health.STOPPED

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._send_once()
            self._stopping.wait(HEARTBEAT_INTERVAL_SECONDS)

    def _send_once(self) -> None:
        self._sequence += 1
        heartbeat = self._build_heartbeat(self._sequence, self._clock.now_seconds())
        self._send_to_controller(heartbeat)
        for link in self._mesh.links():
            self._pool.submit(self._send_to_peer, link, heartbeat)

    def _send_to_controller(self, heartbeat: Heartbeat) -> None:
        controller = self._find_controller()
        if controller is None:
            return
        try:
            controller.send(heartbeat)
        except PeerUnavailable:
            return

    def _send_to_peer(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to one peer and handle its reply."""
        peer = link.peer
        sent_seconds = self._clock.now_seconds()
        try:
            reply = link.request(heartbeat, REPLY_TIMEOUT_SECONDS)
        except (PeerUnavailable, MalformedMessage):
            return
        # Meanwhile, the link may have reconnected to another process.
        if peer is None or link.peer != peer or not isinstance(reply, HeartbeatReply):
            return
        self._handle_reply(peer, link, reply, sent_seconds)
