"""The instances of the gateway, and which of them callers are sent to."""

import threading
from collections.abc import Callable, Iterable, Mapping

from attrs import define, frozen

from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.codec import message
from waxwingwinch.gateway._silence import silence_limit_seconds

#: Silence after which an instance is no longer named to callers; several
#: times the interval of the reports between instances.
SILENT_SECONDS = 1.2
#: Silence after which an instance no longer counts among those that share
#: a budget.
GONE_SECONDS = 20.0
#: Most addresses in one answer to a caller.
ADDRESSES_MAX = 64


@message("gateway_member")
@frozen
class Member:
    """
    One start of the gateway on an instance.

    :param instance_id: Name of the instance.
    :param incarnation: Unique name of the start.
    :param zone: Its availability zone.
    :param front_address: Where callers connect.
    :param peer_address: Where other instances connect.
    """

    instance_id: InstanceId
    incarnation: str
    zone: ZoneName
    front_address: Address
    peer_address: Address


@define
class _Presence:
    """
    What was last heard of an instance.

    :param heard_seconds: Monotonic time of its last report.
    :param is_ready: True if it takes callers.
    """

    heard_seconds: float
    is_ready: bool


class MemberDirectory:
    """
    The instances, those that are down included.

    :param own: This instance.
    """

    def __init__(self, own: Member) -> None:
        #: This instance.
        self.own = own
        #: Called after each change of the records, in the thread of the
        #: change.
        self.on_change: Callable[[], None] = lambda: None
        self._members: dict[InstanceId, Member] = {}
        self._presences: dict[InstanceId, _Presence] = {}
        self._heard_incarnations: dict[InstanceId, str] = {}
        self._lock = threading.Lock()

    def put(self, member: Member) -> None:
        """
        Take in an instance's record.

        :param member: The record.
        """
        with self._lock:
            is_known = self._members.get(member.instance_id) == member
            self._members[member.instance_id] = member
            self._heard_incarnations.pop(member.instance_id, None)
        if not is_known:
            self.on_change()

    def remove(self, instance_id: InstanceId) -> None:
        """
        Forget an instance.

        :param instance_id: Whose record was dropped.
        """
        with self._lock:
            self._forget(instance_id)
        self.on_change()

    def keep_only(self, instance_ids: frozenset[str]) -> None:
        """
        Forget the instances that are not named.

        :param instance_ids: Those to keep.
        """
        with self._lock:
            dropped = self._members.keys() - instance_ids
            for instance_id in dropped:
                self._forget(instance_id)
        if dropped:
            self.on_change()

    def heard(
        self, instance_id: InstanceId, is_ready: bool, now_seconds: float
    ) -> None:
        """
        Note a report of an instance.

        :param instance_id: Who sent it.
        :param is_ready: True if it takes callers.
        :param now_seconds: Monotonic time at which it was made.
        """
        with self._lock:
            presence = self._presences.get(instance_id)
            # The same report may come once more through another instance.
            if presence is None or presence.heard_seconds <= now_seconds:
                self._presences[instance_id] = _Presence(now_seconds, is_ready)

    def confirm_unchanged(self, made_seconds: Mapping[InstanceId, float]) -> None:
        """
        Note that instances take callers, or not, as before.

        :param made_seconds: Monotonic times at which they said so.
        """
        with self._lock:
            for instance_id, at_seconds in made_seconds.items():
                presence = self._presences.get(instance_id)
                if presence is not None and presence.heard_seconds < at_seconds:
                    presence.heard_seconds = at_seconds

    def heard_start(self, instance_id: InstanceId, incarnation: str) -> bool:
        """
        Note which start of an instance sent a report.

        :param instance_id: Who sent it.
        :param incarnation: Which start of it.
        :returns: True if its record names an earlier one.
        """
        with self._lock:
            member = self._members.get(instance_id)
            known = self._heard_incarnations.get(instance_id)
            if member is None or incarnation in (member.incarnation, known):
                return False
            self._heard_incarnations[instance_id] = incarnation
            return True

    def other_incarnations(self) -> frozenset[str]:
        """Return the newest known start of each other instance."""
        with self._lock:
            return frozenset(
                self._heard_incarnations.get(instance_id, member.incarnation)
                for instance_id, member in self._members.items()
                if instance_id != self.own.instance_id
            )

    def others(self) -> tuple[Member, ...]:
        """Return all other instances."""
        with self._lock:
            return tuple(
                member
                for member in self._members.values()
                if member.instance_id != self.own.instance_id
            )

    def ready_others(self, now_seconds: float) -> tuple[Member, ...]:
        """
        Return the other instances that take callers.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return tuple(
                member
                for member in self._members.values()
                if member.instance_id != self.own.instance_id
                and self._is_ready(member.instance_id, now_seconds)
            )

    def sharing_count(self, now_seconds: float) -> int:
        """
        Return how many instances share a budget, this one included.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            recent = sum(
                1
                for presence in self._presences.values()
                if now_seconds - presence.heard_seconds < GONE_SECONDS
            )
            return max(recent + 1, len(self._members))

    def _forget(self, instance_id: str) -> None:
        self._members.pop(InstanceId(instance_id), None)
        self._presences.pop(InstanceId(instance_id), None)

    def _is_ready(self, instance_id: InstanceId, now_seconds: float) -> bool:
        presence = self._presences.get(instance_id)
        if presence is None or not presence.is_ready:
            return False
        silent_seconds = silence_limit_seconds(SILENT_SECONDS, len(self._members))
        return now_seconds - presence.heard_seconds < silent_seconds


def addresses_for(
    caller_zone: ZoneName, candidates: Iterable[Member]
) -> tuple[Address, ...]:
    """
    Choose the addresses that a caller may connect to.

    Callers pick among them at random, so instances in other availability
    zones are named only if there is none in the caller's own.

    :param caller_zone: Where the caller is.
    :param candidates: The instances that take callers.
    """
    members = sorted(candidates, key=lambda member: member.instance_id)
    near = [member for member in members if member.zone == caller_zone]
    return tuple(member.front_address for member in (near or members))[:ADDRESSES_MAX]
