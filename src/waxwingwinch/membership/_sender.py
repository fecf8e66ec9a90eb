"""Sending this instance's heartbeat."""

import threading
from collections.abc import Callable

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.membership._mesh import PeerMesh
from waxwingwinch.membership._messages import Heartbeat
from waxwingwinch.peers import PeerLink

#: Pause between two heartbeats.
HEARTBEAT_PAUSE_SECONDS = 1.0


class HeartbeatSender:
    """
    Sends a heartbeat each second to all peers and to the fleet's controller.

    :param mesh: The links to the other entries.
    :param controller: Gives the link to the control process that holds the
        fleet duty; None while there is none.
    :param make_heartbeat: Builds the heartbeat for a sequence number and the
        present time.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        controller: Callable[[], PeerLink | None],
        make_heartbeat: Callable[[int, float], Heartbeat],
        clock: Clock,
    ) -> None:
        self._mesh = mesh
        self._controller = controller
        self._make_heartbeat = make_heartbeat
        self._clock = clock
        self._sequence = 0
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

    def health(self) -> Health:
        """Return ``HEALTHY`` while the sending thread runs."""
        return Health.HEALTHY if self._thread.is_alive() else Health.STOPPED

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._send_once()
            self._stopping.wait(HEARTBEAT_PAUSE_SECONDS)

    def _send_once(self) -> None:
        self._sequence += 1
        heartbeat = self._make_heartbeat(self._sequence, self._clock.now_seconds())
        self._mesh.broadcast(heartbeat)
        controller = self._controller()
        if controller is None:
            return
        try:
            controller.send(heartbeat)
        except PeerUnavailable:
            return
