"""The newest heartbeat of each instance."""

import threading

from attrs import frozen

from waxwingwinch._types import InstanceId
from waxwingwinch.membership._messages import Heartbeat

#: An instance that was silent for longer is left out of discovery and of
#: load estimates.
ALIVE_SECONDS = 3.5
#: Heartbeats of instances silent for longer are forgotten.
FORGET_SECONDS = 120.0


@frozen
class HeardHeartbeat:
    """
    A heartbeat with its time.

    :param heartbeat: The heartbeat.
    :param heard_seconds: Monotonic time of receipt.
    """

    heartbeat: Heartbeat
    heard_seconds: float


class HeartbeatTable:
    """Keeps the newest heartbeat of each other instance."""

    def __init__(self) -> None:
        self._heard: dict[InstanceId, HeardHeartbeat] = {}
        self._confirmed: dict[InstanceId, float] = {}
        self._lock = threading.Lock()

    def note(self, heartbeat: Heartbeat, now_seconds: float) -> None:
        """
        Keep a heartbeat unless a newer one is known.

        :param heartbeat: As received.
        :param now_seconds: Monotonic time.
        """
        heard = HeardHeartbeat(heartbeat, now_seconds)
        with self._lock:
            known = self._heard.get(heartbeat.instance_id)
            # A restarted process begins again at a low sequence, so an old
            # entry only wins while it is alive.
            if (
                known is not None
                and known.heartbeat.sequence > heartbeat.sequence
                and now_seconds - known.heard_seconds < ALIVE_SECONDS
            ):
                return
            self._heard[heartbeat.instance_id] = heard
            self._forget(now_seconds)

    def confirm(self, instance_id: InstanceId, sent_seconds: float) -> None:
        """
        Note that all that an instance knew at a time is known here.

        :param instance_id: The instance, which replied to a heartbeat.
        :param sent_seconds: Monotonic time before that heartbeat was sent.
        """
        with self._lock:
            known_seconds = self._confirmed.get(instance_id, sent_seconds)
            self._confirmed[instance_id] = max(known_seconds, sent_seconds)

    def confirmed_seconds(self) -> tuple[float, ...]:
        """Return up to when the knowledge of each instance is known here."""
        with self._lock:
            return tuple(self._confirmed.values())

    def alive(self, now_seconds: float) -> tuple[Heartbeat, ...]:
        """
        Return the heartbeats of the instances heard of late.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return tuple(
                heard.heartbeat
                for heard in self._heard.values()
                if now_seconds - heard.heard_seconds < ALIVE_SECONDS
            )

    def find(self, instance_id: InstanceId) -> HeardHeartbeat | None:
        """
        Return the newest heartbeat of an instance, None if there is none.

        :param instance_id: Name of the instance.
        """
        with self._lock:
            return self._heard.get(instance_id)

    def is_alive(self, instance_id: InstanceId, now_seconds: float) -> bool:
        """
        Tell whether an instance was heard of late.

        :param instance_id: Name of the instance.
        :param now_seconds: Monotonic time.
        """
        heard = self.find(instance_id)
        return heard is not None and now_seconds - heard.heard_seconds < ALIVE_SECONDS

    def _forget(self, now_seconds: float) -> None:
        old = [
            instance_id
            for instance_id, heard in self._heard.items()
            if now_seconds - heard.heard_seconds > FORGET_SECONDS
        ]
        for instance_id in old:
            del self._heard[instance_id]
            self._confirmed.pop(instance_id, None)
