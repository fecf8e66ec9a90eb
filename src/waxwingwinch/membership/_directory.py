"""The instances of the cell, polled from the platform's list."""

import threading

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import InstanceId
from waxwingwinch.interfaces import InstanceList, InstanceState, ListedInstance
from waxwingwinch.kernel import Clock, Health

#: Pause between two reads of the platform's list.
POLL_PAUSE_SECONDS = 1.0
#: Age of the list above which the service is degraded.
DEGRADED_AGE_SECONDS = 10.0


class InstanceDirectory:
    """
    Polls the platform's instance list.

    The last list read stays in use while the platform does not respond.

    :param instance_list: The platform's list.
    :param clock: Source of the present time.
    """

    def __init__(self, instance_list: InstanceList, clock: Clock) -> None:
        self._instance_list = instance_list
        self._clock = clock
        self._instances: tuple[ListedInstance, ...] = ()
        self._read_seconds: float | None = None
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="instance-directory", daemon=True
        )

    def start(self) -> None:
        """Read the list once and start polling."""
        self._poll()
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()
        self._thread.join()

    def health(self) -> Health:
        """Return ``DEGRADED`` before the first read and with an old list."""
        if self._read_seconds is None:
            return Health.DEGRADED
        age_seconds = self._clock.now_seconds() - self._read_seconds
        return Health.DEGRADED if age_seconds > DEGRADED_AGE_SECONDS else Health.HEALTHY

    def instances(self) -> tuple[ListedInstance, ...]:
        """Return all listed instances, including those that are leaving."""
        with self._lock:
            return self._instances

    def live_instances(self) -> tuple[ListedInstance, ...]:
        """Return the listed instances that aren't leaving."""
        return tuple(
            instance
            for instance in self.instances()
            if instance.state is InstanceState.LIVE
        )

    def find(self, instance_id: InstanceId) -> ListedInstance | None:
        """
        Return the list entry of an instance, None if it is not listed.

        :param instance_id: Name of the instance.
        """
        for instance in self.instances():
            if instance.instance_id == instance_id:
                return instance
        return None

    def _run(self) -> None:
        while not self._stopping.wait(POLL_PAUSE_SECONDS):
            self._poll()

    def _poll(self) -> None:
        try:
            instances = self._instance_list.list_instances()
        except (PlatformUnavailable, PlatformRefused):
            return
        with self._lock:
            self._instances = instances
            self._read_seconds = self._clock.now_seconds()
