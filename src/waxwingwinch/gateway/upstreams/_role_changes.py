"""Role changes that engines were ordered to make."""

from attrs import evolve, frozen

from waxwingwinch._types import EngineRole, UpstreamId
from waxwingwinch.gateway.upstreams._entry import Upstream


@frozen
class OrderedRoleChange:
    """
    An ordered change of an engine's role.

    :param role: Its new role.
    :param until_seconds: Monotonic time at which the engine serves again.
    """

    role: EngineRole
    until_seconds: float


class RoleChangeTable:
    """The ordered role changes; its owner holds a lock during each call."""

    def __init__(self) -> None:
        self._role_changes: dict[UpstreamId, OrderedRoleChange] = {}

    def record(self, upstream_id: UpstreamId, change: OrderedRoleChange) -> None:
        """
        Record an ordered role change.

        :param upstream_id: Id of the engine.
        :param change: The change.
        """
        self._role_changes[upstream_id] = change

    def forget(self, upstream_id: UpstreamId) -> None:
        """
        Forget the role change of an engine that was removed.

        :param upstream_id: Id of the engine.
        """
        self._role_changes.pop(upstream_id, None)

    def apply(self, upstream: Upstream) -> Upstream:
        """
        Return an entry with the role that the engine was last ordered to take.

        :param upstream: The entry.
        """
        role_change = self._role_changes.get(upstream.upstream_id)
        if role_change is None or role_change.role is upstream.role:
            return upstream
        return evolve(upstream, role=role_change.role)

    def in_progress(self, now_seconds: float) -> dict[UpstreamId, OrderedRoleChange]:
        """
        Return the role changes in progress.

        :param now_seconds: Monotonic time.
        """
        return {
            upstream_id: role_change
            for upstream_id, role_change in self._role_changes.items()
            if role_change.until_seconds > now_seconds
        }
