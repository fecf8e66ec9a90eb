"""Decides on behalf of all instances what cold upstreams may get."""

import threading
from collections import deque
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._types import InstanceId, UpstreamId, ZoneName
from waxwingwinch.gateway._limit_keeper import SUSPENSION_SECONDS
from waxwingwinch.gateway._limit_messages import PermitReply, PermitRequest
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.cold._budgets import (
    BOUND_SECONDS,
    GRANT_WINDOW_SECONDS,
    ColdPolicy,
)
from waxwingwinch.gateway.cold._periods import ColdPeriods
from waxwingwinch.gateway.cold._roles import ColdKeepers, choose_cold_keepers

#: Time for which an instance must have been a keeper by the member records
#: before it grants. A former first keeper that was cut off has noticed by then
#: (2.5 s), and one in contact has read the record that replaced it.
ROLE_WAIT_SECONDS = 5.0
#: Time without contact to any other instance after which a keeper grants
#: nothing more, as the records that made it one are outdated.
MAX_ISOLATION_SECONDS = 60.0
#: Time without a question about an upstream after which the next one begins a
#: new series; longer than refused instances wait before they ask again.
QUESTION_EXPIRY_SECONDS = 3.0
#: Number of upstreams whose keepers are cached; twice those designed for.
MAX_CACHED_KEEPERS = 4_000
#: Wait named by an instance that keeps nothing of an upstream now.
NOT_KEEPER_WAIT_SECONDS = 0.5


@frozen
class _View:
    """
    The instances with a member record, as known for a time.

    :param instances: The instances, in the order of their ids.
    :param until_seconds: Monotonic time at which the next view replaced it;
        None for the present one.
    """

    instances: tuple[Member, ...]
    until_seconds: float | None = None


class ColdKeeper:
    """
    Grants requests to the cold upstreams that this instance keeps.

    A first keeper that doesn't hear from most of the instances grants no more
    than a reserve keeper, since another one may have replaced it.

    :param periods: The times during which upstreams are cold.
    :param members: Directory of all instances.
    :param policy: The bounds of the settings.
    :param find_upstream: Returns the entry of an upstream, if it is known.
    """

    def __init__(
        self,
        periods: ColdPeriods,
        members: MemberDirectory,
        policy: ColdPolicy,
        find_upstream: Callable[[UpstreamId], Upstream | None],
    ) -> None:
        self.periods = periods
        self._members = members
        self._policy = policy
        self._find_upstream = find_upstream
        self._active_seconds = 0.0
        self._running_since_seconds = 0.0
        self._contact_seconds = 0.0
        # None until the member records were read.
        self._view: _View | None = None
        self._former_views: deque[_View] = deque()
        self._keepers: dict[tuple[UpstreamId, float], ColdKeepers] = {}
        self._grants: dict[UpstreamId, deque[float]] = {}
        # Times of the first and the last question of a series.
        self._questions: dict[UpstreamId, tuple[float, float]] = {}
        self._lock = threading.Lock()

    def record_members(self, now_seconds: float) -> None:
        """
        Record that the member records were read.

        :param now_seconds: Monotonic time.
        """
        own = self._members.local_member
        instances = tuple(
            sorted(
                (*self._members.others(), own), key=lambda member: member.instance_id
            )
        )
        with self._lock:
            if self._view is None:
                self._active_seconds = now_seconds
                self._running_since_seconds = now_seconds
                self._contact_seconds = now_seconds
            elif self._view.instances == instances:
                return
            elif _places(self._view.instances) != _places(instances):
                former = _View(self._view.instances, now_seconds)
                self._former_views.append(former)
            self._view = _View(instances)
            self._keepers.clear()

    def mark_active(self, now_seconds: float) -> None:
        """
        Record that the process runs; called with each of its reports.

        :param now_seconds: Monotonic time.
        """
        has_contact = bool(self._members.ready_others(now_seconds))
        with self._lock:
            if now_seconds - self._active_seconds > SUSPENSION_SECONDS:
                self._running_since_seconds = now_seconds
                if self._view is not None:
                    self.periods.doubt_entries(now_seconds)
            self._active_seconds = now_seconds
            if has_contact or not self._members.others():
                self._contact_seconds = now_seconds
            while (
                self._former_views
                and (self._former_views[0].until_seconds or 0.0)
                < now_seconds - ROLE_WAIT_SECONDS
            ):
                self._former_views.popleft()
            for upstream_id, grants in list(self._grants.items()):
                if not grants or grants[-1] < now_seconds - GRANT_WINDOW_SECONDS:
                    del self._grants[upstream_id]
            for upstream_id, (_, last_seconds) in list(self._questions.items()):
                if now_seconds - last_seconds > QUESTION_EXPIRY_SECONDS:
                    del self._questions[upstream_id]

    def notice_suspension(self, now_seconds: float) -> None:
        """
        Record that the process runs, before it sends anything.

        Late reports of a process that serves requests are no suspension.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            was_suspended = now_seconds - self._active_seconds > SUSPENSION_SECONDS
            if not was_suspended:
                self._active_seconds = max(now_seconds, self._active_seconds)
        if was_suspended and self._view is not None:
            self.mark_active(now_seconds)

    def keepers(self, upstream: Upstream) -> ColdKeepers | None:
        """
        Return the keepers of an upstream.

        :param upstream: The upstream.
        :returns: None if the member records were not read yet.
        """
        with self._lock:
            if self._view is None:
                return None
            # A configuration with another rate changes the number of keepers.
            key = (upstream.upstream_id, self.periods.rate(upstream))
            known = self._keepers.get(key)
            if known is None:
                known = self._choose(upstream, self._view)
                if len(self._keepers) >= MAX_CACHED_KEEPERS:
                    self._keepers.clear()
                self._keepers[key] = known
            return known

    def decide(self, request: PermitRequest, now_seconds: float) -> PermitReply:
        """
        Decide whether a request may be sent to a cold upstream now.

        :param request: What is asked.
        :param now_seconds: Monotonic time.
        :returns: The reply, whose share is 0 if this instance keeps nothing
            of the upstream now.
        """
        self.mark_active(now_seconds)
        upstream = self._find_upstream(request.upstream_id)
        budget = 0 if upstream is None else self._budget(upstream, now_seconds)
        if upstream is None or not budget:
            wait_seconds = NOT_KEEPER_WAIT_SECONDS
            return PermitReply(False, wait_seconds, wait_seconds, 0, 0.0)
        rest_until_seconds = self.periods.rest_until_seconds(request.upstream_id)
        is_known = self.periods.until_seconds(upstream) > now_seconds
        with self._lock:
            first_seconds = self._record_question(request.upstream_id, now_seconds)
            if not is_known:
                # The asking instance knows or suspects more than this one, as
                # others don't either.
                rest_until_seconds = first_seconds + BOUND_SECONDS
            grants = self._grants.setdefault(request.upstream_id, deque())
            while grants and grants[0] <= now_seconds - GRANT_WINDOW_SECONDS:
                grants.popleft()
            wait_seconds = max(rest_until_seconds - now_seconds, 0.0)
            if len(grants) >= budget:
                freeing_seconds = grants[-budget] + GRANT_WINDOW_SECONDS
                wait_seconds = max(wait_seconds, freeing_seconds - now_seconds)
            is_granted = wait_seconds <= 0.0
            if is_granted:
                grants.append(now_seconds)
            return PermitReply(
                is_granted, wait_seconds, wait_seconds, len(grants), float(budget)
            )

    def _record_question(self, upstream_id: UpstreamId, now_seconds: float) -> float:
        """Return the time of the first of a series of questions."""
        first_seconds, last_seconds = self._questions.get(
            upstream_id, (now_seconds, now_seconds)
        )
        if now_seconds - last_seconds > QUESTION_EXPIRY_SECONDS:
            first_seconds = now_seconds
        self._questions[upstream_id] = (first_seconds, now_seconds)
        return first_seconds

    def _choose(self, upstream: Upstream, view: _View) -> ColdKeepers:
        budgets = self._policy.budgets(self.periods.rate(upstream))
        return choose_cold_keepers(upstream, view.instances, budgets.reserve_keepers)

    def _budget(self, upstream: Upstream, now_seconds: float) -> int:
        """Return what this instance may grant now, by all recent views."""
        keepers = self.keepers(upstream)
        ready = len(self._members.ready_others(now_seconds))
        own_id = self._members.local_member.instance_id
        budgets = self._policy.budgets(self.periods.rate(upstream))
        with self._lock:
            if (
                keepers is None
                or self._view is None
                or now_seconds - self._running_since_seconds < ROLE_WAIT_SECONDS
            ):
                return 0
            budget = keepers.budget_of(own_id, budgets)
            for view in self._former_views:
                if (view.until_seconds or 0.0) > now_seconds - ROLE_WAIT_SECONDS:
                    former = self._choose(upstream, view)
                    budget = min(budget, former.budget_of(own_id, budgets))
            if now_seconds - self._contact_seconds > MAX_ISOLATION_SECONDS:
                return 0
            has_majority = 2 * (ready + 1) > len(self._view.instances)
            return budget if has_majority else min(budget, 1)


def _places(instances: tuple[Member, ...]) -> list[tuple[InstanceId, ZoneName]]:
    """Return what keepers depend on; restarts don't change it."""
    return [(member.instance_id, member.zone) for member in instances]
