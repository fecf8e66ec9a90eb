"""Keeps the limits of some upstreams on behalf of all instances."""

import threading
from collections import deque
from collections.abc import Callable, Set as AbstractSet

from attrs import frozen

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._limit_ledger import ZERO_LIMIT_PER_SECOND, LimitLedger
from waxwingwinch.gateway._limit_messages import (
    LimitedSends,
    NamedLimitReport,
    PermitReply,
    PermitRequest,
)
from waxwingwinch.gateway._named_limits import NamedLimit, NamedLimits

#: Time without a report of this process after which it counts as suspended;
#: several times the interval of the reports.
SUSPENSION_SECONDS = 1.0
#: Time after a start or a suspension until the reports of all others have
#: arrived; the age of relayed reports, with a margin.
CATCH_UP_SECONDS = 1.5
#: Time for which a granted request is expected among the reported ones.
GRANT_EXPIRY_SECONDS = 10.0
#: Time without reported requests after which the sequence of an incarnation is
#: forgotten; longer than reports are retained.
ENTRY_EXPIRY_SECONDS = 60.0


@frozen
class _LastEntry:
    """
    The last counted entry of an incarnation.

    :param sequence: Sequence of the entry.
    :param made_seconds: Monotonic time of the last report with entries.
    """

    sequence: int
    made_seconds: float


class LimitKeeper:
    """
    Decides which requests may be sent to the upstreams that it keeps.

    Every instance counts the requests of all instances to upstreams with a
    limit: those that it granted at once, all others when they are reported.
    So the next keeper of an upstream has counted what the former granted.

    A process that has just started or was suspended grants nothing until it
    has the reports of the others.

    :param limits: The limits that upstreams name.
    :param share: Returns the fraction of each limit not kept for silent
        instances, which may be cut off together and have a keeper there.
    :param now_seconds: Monotonic time of the process start.
    """

    def __init__(
        self,
        limits: NamedLimits,
        share: Callable[[float], float],
        now_seconds: float,
    ) -> None:
        self._limits = limits
        self._share = share
        self._caught_up_seconds = now_seconds + CATCH_UP_SECONDS
        self._active_seconds = now_seconds
        self._ledgers: dict[UpstreamId, LimitLedger] = {}
        self._grants: dict[tuple[InstanceId, UpstreamId], deque[float]] = {}
        self._last_entries: dict[str, _LastEntry] = {}
        self._lock = threading.Lock()

    def mark_active(self, now_seconds: float) -> None:
        """
        Record that the process runs; called with each of its reports.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if now_seconds - self._active_seconds > SUSPENSION_SECONDS:
                self._caught_up_seconds = now_seconds + CATCH_UP_SECONDS
            self._active_seconds = now_seconds

    def decide(
        self, sender_id: InstanceId, request: PermitRequest, now_seconds: float
    ) -> PermitReply:
        """
        Decide whether an instance may send a request to an upstream now.

        :param sender_id: The instance.
        :param request: What it asks.
        :param now_seconds: Monotonic time.
        """
        self.mark_active(now_seconds)
        share = self._share(now_seconds)
        known = self._known_limit(sender_id, request, now_seconds)
        with self._lock:
            ledger = self._ledgers.setdefault(request.upstream_id, LimitLedger())
            if known is None or known.limit_per_second is None:
                return PermitReply(True, 0.0, 0.0, ledger.counted(now_seconds), share)
            limit_per_second = (known.limit_per_second or ZERO_LIMIT_PER_SECOND) * share
            wait_seconds = max(
                ledger.wait_seconds(limit_per_second, now_seconds),
                self._caught_up_seconds - now_seconds,
            )
            if wait_seconds > 0.0:
                return_seconds = (
                    ledger.promise_return(limit_per_second, wait_seconds, now_seconds)
                    if request.is_last
                    else wait_seconds
                )
                return PermitReply(
                    False,
                    wait_seconds,
                    return_seconds,
                    ledger.counted(now_seconds),
                    share,
                )
            ledger.charge(1, now_seconds)
            grants = self._grants.setdefault((sender_id, request.upstream_id), deque())
            grants.append(now_seconds)
            return PermitReply(True, 0.0, 0.0, ledger.counted(now_seconds), share)

    def record_sends(
        self,
        sender_id: InstanceId,
        incarnation: str,
        sends: tuple[LimitedSends, ...],
        made_seconds: float,
    ) -> None:
        """
        Count the requests that an instance has sent without a permit of ours.

        :param sender_id: The instance.
        :param incarnation: Its incarnation.
        :param sends: Its recent requests; may be reported several times.
        :param made_seconds: Monotonic time of the report.
        """
        if not sends:
            # Hundreds of reports are applied per second; few have any.
            return
        with self._lock:
            last_entry = self._last_entries.get(incarnation)
            last_sequence = last_entry.sequence if last_entry is not None else 0
            for sent in sends:
                if sent.sequence <= last_sequence:
                    continue
                last_sequence = sent.sequence
                granted = self._take_grants(sender_id, sent, made_seconds)
                ledger = self._ledgers.setdefault(sent.upstream_id, LimitLedger())
                ledger.charge(sent.count - granted, made_seconds - sent.age_seconds)
            self._last_entries[incarnation] = _LastEntry(last_sequence, made_seconds)

    def retain_only(
        self, upstream_ids: AbstractSet[UpstreamId], now_seconds: float
    ) -> None:
        """
        Delete what is counted of other upstreams and ended incarnations.

        :param upstream_ids: The upstreams to retain.
        :param now_seconds: Monotonic time.
        """
        oldest_seconds = now_seconds - ENTRY_EXPIRY_SECONDS
        with self._lock:
            for upstream_id in self._ledgers.keys() - upstream_ids:
                del self._ledgers[upstream_id]
            for key in [key for key in self._grants if key[1] not in upstream_ids]:
                del self._grants[key]
            self._last_entries = {
                incarnation: entry
                for incarnation, entry in self._last_entries.items()
                if entry.made_seconds > oldest_seconds
            }

    def _known_limit(
        self, sender_id: InstanceId, request: PermitRequest, now_seconds: float
    ) -> NamedLimit | None:
        """Return the newest limit known here or to the asking instance."""
        asked = NamedLimitReport(
            request.upstream_id,
            request.started_ms,
            request.limit_per_second,
            request.limit_age_seconds,
        )
        self._limits.record_report(asked, sender_id, now_seconds)
        return self._limits.get(request.upstream_id, request.started_ms)

    def _take_grants(
        self, sender_id: InstanceId, sent: LimitedSends, now_seconds: float
    ) -> int:
        """Return how many of the requests were granted, and so counted."""
        grants = self._grants.get((sender_id, sent.upstream_id))
        if grants is None:
            return 0
        while grants and now_seconds - grants[0] > GRANT_EXPIRY_SECONDS:
            grants.popleft()
        granted = min(sent.count, len(grants))
        for _ in range(granted):
            grants.popleft()
        return granted
