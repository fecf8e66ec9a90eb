"""Directory of the gateway's instances and their readiness for callers."""

import threading
from collections.abc import Callable, Iterable, Mapping

from attrs import define, frozen

from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.codec import message
from waxwingwinch.gateway._silence import silence_limit_seconds

#: Time without a report after which callers are no longer sent to an instance;
#: several times the interval of the reports between instances.
READY_TIMEOUT_SECONDS = 1.2
#: Time for which an instance that was silent has to report again before
#: callers are sent to it; longer than the time-out of an exchange, by which
#: times of relayed reports may differ. Reports that a link or a frozen process
#: has held back arrive at once, also those of an instance that has ended.
RETURN_SECONDS = 0.65
#: Time without a report after which an instance no longer counts as one of
#: those that share a budget, unless it has a member record.
BUDGET_TIMEOUT_SECONDS = 20.0
#: Maximum number of addresses in one response to a caller.
ADDRESSES_MAX = 64


@message("gateway_member")
@frozen
class Member:
    """
    Member record: one incarnation of an instance of the gateway.

    :param instance_id: Name of the instance.
    :param incarnation: Unique name of this start of the instance.
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
class _LastReport:
    """
    Content of the last report of an instance.

    :param made_seconds: Monotonic time at which the report was made or last
        confirmed as unchanged.
    :param is_ready: True if the instance accepts callers.
    :param counts_from_seconds: Monotonic time of the first report that shows
        that the instance runs, after a silence.
    """

    made_seconds: float
    is_ready: bool
    counts_from_seconds: float

    def renew(self, made_seconds: float, max_silent_seconds: float) -> None:
        """
        Record a later report.

        :param made_seconds: Monotonic time at which it was made.
        :param max_silent_seconds: Silence after which an instance is absent.
        """
        if made_seconds - self.made_seconds >= max_silent_seconds:
            self.counts_from_seconds = made_seconds + RETURN_SECONDS
        self.made_seconds = made_seconds


class MemberDirectory:
    """
    The instances with a member record, including those that are down.

    :param local_member: Member record of this instance.
    """

    def __init__(self, local_member: Member) -> None:
        #: Member record of this instance.
        self.local_member = local_member
        #: Called after each change of the member records, in the thread that
        #: makes the change.
        self.on_change: Callable[[], None] = lambda: None
        self._members: dict[InstanceId, Member] = {}
        self._last_reports: dict[InstanceId, _LastReport] = {}
        self._reported_incarnations: dict[InstanceId, str] = {}
        self._lock = threading.Lock()

    def put(self, member: Member) -> None:
        """
        Add or replace a member record.

        :param member: The member record.
        """
        with self._lock:
            is_known = self._members.get(member.instance_id) == member
            self._members[member.instance_id] = member
            self._reported_incarnations.pop(member.instance_id, None)
        if not is_known:
            self.on_change()

    def remove(self, instance_id: InstanceId) -> None:
        """
        Remove an instance.

        :param instance_id: The instance whose member record was removed.
        """
        with self._lock:
            self._discard(instance_id)
        self.on_change()

    def retain_only(self, instance_ids: frozenset[str]) -> None:
        """
        Remove all instances except the given ones.

        :param instance_ids: The instances to retain.
        """
        with self._lock:
            removed = self._members.keys() - instance_ids
            for instance_id in removed:
                self._discard(instance_id)
        if removed:
            self.on_change()

    def record_report(
        self, instance_id: InstanceId, is_ready: bool, now_seconds: float
    ) -> None:
        """
        Record a report of an instance.

        :param instance_id: The instance.
        :param is_ready: True if it accepts callers.
        :param now_seconds: Monotonic time at which the report was made.
        """
        with self._lock:
            last_report = self._last_reports.get(instance_id)
            if last_report is None:
                self._last_reports[instance_id] = _LastReport(
                    now_seconds, is_ready, now_seconds
                )
            # The same or an older report may arrive later through another
            # instance.
            elif last_report.made_seconds <= now_seconds:
                last_report.renew(now_seconds, self._max_silent_seconds())
                last_report.is_ready = is_ready

    def confirm_unchanged(self, made_seconds: Mapping[InstanceId, float]) -> None:
        """
        Record that instances have confirmed their last report as unchanged.

        :param made_seconds: Monotonic times of the confirmations.
        """
        with self._lock:
            max_silent_seconds = self._max_silent_seconds()
            for instance_id, at_seconds in made_seconds.items():
                last_report = self._last_reports.get(instance_id)
                if last_report is not None and last_report.made_seconds < at_seconds:
                    last_report.renew(at_seconds, max_silent_seconds)

    def record_incarnation(self, instance_id: InstanceId, incarnation: str) -> bool:
        """
        Record the incarnation of an instance that sent a report.

        :param instance_id: The instance.
        :param incarnation: The incarnation that sent the report.
        :returns: True if the incarnation is new and differs from that of the
            member record.
        """
        with self._lock:
            member = self._members.get(instance_id)
            reported = self._reported_incarnations.get(instance_id)
            if member is None or incarnation in (member.incarnation, reported):
                return False
            self._reported_incarnations[instance_id] = incarnation
            return True

    def peer_incarnations(self) -> frozenset[str]:
        """Return the newest known incarnation of each other instance."""
        with self._lock:
            return frozenset(
                self._reported_incarnations.get(instance_id, member.incarnation)
                for instance_id, member in self._members.items()
                if instance_id != self.local_member.instance_id
            )

    def others(self) -> tuple[Member, ...]:
        """Return all other instances."""
        with self._lock:
            return tuple(
                member
                for member in self._members.values()
                if member.instance_id != self.local_member.instance_id
            )

    def ready_others(self, now_seconds: float) -> tuple[Member, ...]:
        """
        Return the other instances that accept callers.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return tuple(
                member
                for member in self._members.values()
                if member.instance_id != self.local_member.instance_id
                and self._is_ready(member.instance_id, now_seconds)
            )

    def budget_sharer_count(self, now_seconds: float) -> int:
        """
        Return how many instances share a budget, including this one.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            recent_count = sum(
                1
                for last_report in self._last_reports.values()
                if now_seconds - last_report.made_seconds < BUDGET_TIMEOUT_SECONDS
            )
            return max(recent_count + 1, len(self._members))

    def _discard(self, instance_id: str) -> None:
        self._members.pop(InstanceId(instance_id), None)
        self._last_reports.pop(InstanceId(instance_id), None)

    def _is_ready(self, instance_id: InstanceId, now_seconds: float) -> bool:
        last_report = self._last_reports.get(instance_id)
        if last_report is None or not last_report.is_ready:
            return False
        if last_report.made_seconds < last_report.counts_from_seconds:
            return False
        return now_seconds - last_report.made_seconds < self._max_silent_seconds()

    def _max_silent_seconds(self) -> float:
        return silence_limit_seconds(READY_TIMEOUT_SECONDS, len(self._members))


def addresses_for(
    caller_zone: ZoneName, candidates: Iterable[Member]
) -> tuple[Address, ...]:
    """
    Choose the addresses that a caller may connect to.

    Callers pick one of them at random, so instances in other availability
    zones are included only if there is none in the caller's zone.

    :param caller_zone: Availability zone of the caller.
    :param candidates: The instances that accept callers.
    """
    members = sorted(candidates, key=lambda member: member.instance_id)
    same_zone = [member for member in members if member.zone == caller_zone]
    return tuple(member.front_address for member in (same_zone or members))[
        :ADDRESSES_MAX
    ]
