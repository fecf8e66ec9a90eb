"""Newest heartbeat and time of synchronization of each other instance."""

import threading

from attrs import frozen

from waxwingwinch._types import InstanceId
from waxwingwinch.membership._messages import Heartbeat

#: Time without a heartbeat after which an instance is left out of discovery
#: and of load estimates.
ALIVE_TIMEOUT_SECONDS = 3.5
#: Time without a heartbeat after which the record of an instance is removed.
RETENTION_SECONDS = 120.0


@frozen
class ReceivedHeartbeat:
    """
    A heartbeat with its time of receipt.

    :param heartbeat: The heartbeat.
    :param received_seconds: Monotonic time of receipt.
    """

    heartbeat: Heartbeat
    received_seconds: float


class HeartbeatTable:
    """Stores newest heartbeat and synchronization time of other instances."""

    def __init__(self) -> None:
        self._received: dict[InstanceId, ReceivedHeartbeat] = {}
        self._synchronized: dict[InstanceId, float] = {}
        self._lock = threading.Lock()

    def record_heartbeat(self, heartbeat: Heartbeat, now_seconds: float) -> None:
        """
        Store a heartbeat unless a newer one was received.

        :param heartbeat: The received heartbeat.
        :param now_seconds: Monotonic time.
        """
        received = ReceivedHeartbeat(heartbeat, now_seconds)
        with self._lock:
            previous = self._received.get(heartbeat.instance_id)
            # A restarted process begins again at a low sequence number, so
            # the higher number takes precedence only until the time-out.
            if (
                previous is not None
                and previous.heartbeat.sequence > heartbeat.sequence
                and now_seconds - previous.received_seconds < ALIVE_TIMEOUT_SECONDS
            ):
                return
            self._received[heartbeat.instance_id] = received
            self._remove_expired(now_seconds)

    def record_synchronization(
        self, instance_id: InstanceId, sent_seconds: float
    ) -> None:
        """
        Record that this instance had all of a peer's state as of a time.

        :param instance_id: The peer, which replied to a heartbeat.
        :param sent_seconds: Monotonic time before that heartbeat was sent.
        """
        with self._lock:
            previous_seconds = self._synchronized.get(instance_id, sent_seconds)
            self._synchronized[instance_id] = max(previous_seconds, sent_seconds)

    def synchronized_seconds(self) -> tuple[float, ...]:
        """Return for each peer the time as of which its state is here."""
        with self._lock:
            return tuple(self._synchronized.values())

    def alive(self, now_seconds: float) -> tuple[Heartbeat, ...]:
        """
        Return the heartbeats of the instances that are alive.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return tuple(
                received.heartbeat
                for received in self._received.values()
                if now_seconds - received.received_seconds < ALIVE_TIMEOUT_SECONDS
            )

    def find(self, instance_id: InstanceId) -> ReceivedHeartbeat | None:
        """
        Return the newest heartbeat of an instance, None if there is none.

        :param instance_id: Name of the instance.
        """
        with self._lock:
            return self._received.get(instance_id)

    def is_alive(self, instance_id: InstanceId, now_seconds: float) -> bool:
        """
        Return whether the last heartbeat of an instance is recent enough.

        :param instance_id: Name of the instance.
        :param now_seconds: Monotonic time.
        """
        received = self.find(instance_id)
        return (
            received is not None
            and now_seconds - received.received_seconds < ALIVE_TIMEOUT_SECONDS
        )

    def _remove_expired(self, now_seconds: float) -> None:
        expired = [
            instance_id
            for instance_id, received in self._received.items()
            if now_seconds - received.received_seconds > RETENTION_SECONDS
        ]
        for instance_id in expired:
            del self._received[instance_id]
            self._synchronized.pop(instance_id, None)
