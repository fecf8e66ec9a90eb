"""Sending this instance's heartbeat."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.membership._mesh import PeerMesh
from waxwingwinch.membership._messages import Heartbeat, HeartbeatReply
from waxwingwinch.peers import PeerIdentity, PeerLink

#: Time between two heartbeats.
HEARTBEAT_INTERVAL_SECONDS = 1.0
#: How long a peer may take to reply.
REPLY_TIMEOUT_SECONDS = 1.0
#: Heartbeats that may wait for their replies at one time.
MAX_CONCURRENT_HEARTBEATS = 16

#: Takes a reply with its sender, its link and the time before the heartbeat
#: was sent.
ReplyHandler = Callable[[PeerIdentity, PeerLink, HeartbeatReply, float], None]


class HeartbeatSender:
    """
    Sends a heartbeat each second to all peers and to the fleet's controller.

    :param mesh: The links to the other entries.
    :param controller: Gives the link to the control process that holds the
        fleet duty; None while there is none.
    :param make_heartbeat: Builds the heartbeat for a sequence number and the
        present time.
    :param on_reply: Takes the replies of other entries.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        controller: Callable[[], PeerLink | None],
        make_heartbeat: Callable[[int, float], Heartbeat],
        on_reply: ReplyHandler,
        clock: Clock,
    ) -> None:
        self._mesh = mesh
        self._controller = controller
        self._make_heartbeat = make_heartbeat
        self._on_reply = on_reply
        self._clock = clock
        self._sequence = 0
        self._pool = ThreadPoolExecutor(MAX_CONCURRENT_HEARTBEATS, "heartbeat")
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="heartbeat-sender", daemon=True
        )

    def start(self) -> None:
        """Start sending."""
        self._thread.start()

    def stop(self) -> None:
        """Send a last heartbeat and stop."""
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
        heartbeat = self._make_heartbeat(self._sequence, self._clock.now_seconds())
        self._tell_controller(heartbeat)
        for link in self._mesh.links():
            self._pool.submit(self._exchange, link, heartbeat)

    def _tell_controller(self, heartbeat: Heartbeat) -> None:
        controller = self._controller()
        if controller is None:
            return
        try:
            controller.send(heartbeat)
        except PeerUnavailable:
            return

    def _exchange(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to one peer and take its reply."""
        peer = link.peer
        sent_seconds = self._clock.now_seconds()
        try:
            reply = link.request(heartbeat, REPLY_TIMEOUT_SECONDS)
        except (PeerUnavailable, MalformedMessage):
            return
        # The link may have been redialed to another process meanwhile.
        if peer is None or link.peer != peer or not isinstance(reply, HeartbeatReply):
            return
        self._on_reply(peer, link, reply, sent_seconds)
