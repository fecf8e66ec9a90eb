"""Which instances grant requests to a cold upstream."""

import heapq

from attrs import frozen

from waxwingwinch._types import InstanceId
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._routes import stable_rank
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.cold._budgets import ColdBudgets


@frozen
class ColdKeepers:
    """
    The instances that grant requests to one cold upstream.

    :param primary: The first keeper.
    :param reserve: The reserve keepers.
    """

    primary: Member
    reserve: tuple[Member, ...]

    def budget_of(self, instance_id: InstanceId, budgets: ColdBudgets) -> int:
        """
        Return what an instance may grant within a window.

        :param instance_id: The instance.
        :param budgets: How the bound of the upstream is divided.
        """
        if self.primary.instance_id == instance_id:
            return budgets.primary
        return int(any(member.instance_id == instance_id for member in self.reserve))


def choose_cold_keepers(
    upstream: Upstream, instances: tuple[Member, ...], reserve_count: int
) -> ColdKeepers:
    """
    Return the keepers of a cold upstream.

    They follow from the member records alone, whether the instances are alive
    or not. So an instance that is cut off can't take over the share of
    another one that is still in use.

    :param upstream: The upstream.
    :param instances: All instances with a member record; at least one.
    :param reserve_count: Number of reserve keepers.
    """

    def rank(member: Member) -> float:
        return stable_rank(upstream.upstream_id, member.instance_id)

    primary = max(
        instances, key=lambda member: (member.zone == upstream.zone, rank(member))
    )
    others = [member for member in instances if member is not primary]
    return ColdKeepers(primary, tuple(heapq.nlargest(reserve_count, others, key=rank)))
