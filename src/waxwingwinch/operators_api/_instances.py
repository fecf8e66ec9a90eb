"""Instances from their heartbeats."""

from collections.abc import Callable

from waxwingwinch.membership import HeardHeartbeat, HeartbeatTable
from waxwingwinch.operators_api._messages import InstanceView


class HeartbeatInstances:
    """
    Shows this instance and those whose heartbeats are heard.

    :param table: The newest heartbeats of the others.
    :param own_view: Returns the state of this instance.
    :param expected_instances: How many instances there should be.
    """

    def __init__(
        self,
        table: HeartbeatTable,
        own_view: Callable[[], InstanceView],
        expected_instances: int,
    ) -> None:
        self._table = table
        self._own_view = own_view
        self._expected_instances = expected_instances

    def expected_instances(self) -> int:
        """Return how many instances there should be."""
        return self._expected_instances

    def instances(self, now_seconds: float) -> tuple[InstanceView, ...]:
        """
        Return the known instances, this one first.

        :param now_seconds: Monotonic time.
        """
        names = [item.instance_id for item in self._table.alive(now_seconds)]
        heard = [self._table.find(name) for name in names]
        others = [_view(item, now_seconds) for item in heard if item is not None]
        return (self._own_view(), *others)


def _view(heard: HeardHeartbeat, now_seconds: float) -> InstanceView:
    heartbeat = heard.heartbeat
    return InstanceView(
        heartbeat.instance_id,
        heartbeat.zone,
        heartbeat.entry_address,
        heartbeat.configuration_version,
        heartbeat.withdrawals_digest,
        heartbeat.draining,
        max(0.0, now_seconds - heard.heard_seconds),
    )
