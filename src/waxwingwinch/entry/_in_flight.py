"""Work in progress at the upstreams, from this instance and its peers."""

import itertools
import threading
from collections.abc import Iterable

from attrs import define

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.contracts import InFlightCount
from waxwingwinch.decisions import SentWork

#: Age from which the last heartbeat of a peer is ignored and dropped.
PEER_WORK_TIMEOUT_SECONDS = 5.0


@define(eq=False)
class SentRequest:
    """
    One request in progress at an upstream.

    :param upstream_id: The upstream.
    :param sent_seconds: Monotonic time at which it was sent.
    :param prompt_tokens: Prompt tokens that are not yet prefilled; 0 once the
        first token has arrived.
    """

    upstream_id: UpstreamId
    sent_seconds: float
    prompt_tokens: int


class InFlightTracker:
    """Tracks the requests of this instance that are in progress."""

    def __init__(self) -> None:
        self._requests: dict[UpstreamId, set[SentRequest]] = {}
        self._lock = threading.Lock()

    def begin(
        self, upstream_id: UpstreamId, prompt_tokens: int, now_seconds: float
    ) -> SentRequest:
        """
        Count a request that is about to be sent.

        :param upstream_id: The upstream.
        :param prompt_tokens: Prompt tokens that the upstream must prefill.
        :param now_seconds: Monotonic time.
        """
        request = SentRequest(upstream_id, now_seconds, prompt_tokens)
        with self._lock:
            self._requests.setdefault(upstream_id, set()).add(request)
        return request

    def mark_prefilled(self, request: SentRequest) -> None:
        """
        Record that the prefill is done, as the first token has arrived.

        :param request: From :meth:`begin`.
        """
        request.prompt_tokens = 0

    def end(self, request: SentRequest) -> None:
        """
        Stop counting a request.

        :param request: From :meth:`begin`.
        """
        with self._lock:
            requests = self._requests.get(request.upstream_id, set())
            requests.discard(request)
            if not requests:
                self._requests.pop(request.upstream_id, None)

    def total(self, upstream_id: UpstreamId) -> SentWork:
        """
        Return all work of this instance in progress at an upstream.

        :param upstream_id: The upstream.
        """
        with self._lock:
            return _sum(self._requests.get(upstream_id, ()))

    def sent_since(self, upstream_id: UpstreamId, since_seconds: float) -> SentWork:
        """
        Return the work in progress that was sent at or after a time.

        :param upstream_id: The upstream.
        :param since_seconds: Monotonic time.
        """
        with self._lock:
            requests = self._requests.get(upstream_id, ())
            return _sum(r for r in requests if r.sent_seconds >= since_seconds)

    def counts(self) -> tuple[InFlightCount, ...]:
        """Return the work in progress by upstream, ordered by name."""
        with self._lock:
            sums = {name: _sum(requests) for name, requests in self._requests.items()}
        return tuple(
            InFlightCount(name, work.requests, work.prompt_tokens)
            for name, work in sorted(sums.items())
        )


def _sum(requests: Iterable[SentRequest]) -> SentWork:
    counted, summed = itertools.tee(requests)
    return SentWork(sum(1 for _ in counted), sum(r.prompt_tokens for r in summed))


@define
class _PeerReport:
    """
    Work in progress of one peer, as of its last heartbeat.

    :param work: Its work by upstream.
    :param received_seconds: Monotonic time of receipt.
    """

    work: dict[UpstreamId, SentWork]
    received_seconds: float


class PeerWorkTable:
    """Work in progress of other instances, as of their last heartbeats."""

    def __init__(self) -> None:
        self._reports: dict[InstanceId, _PeerReport] = {}
        self._lock = threading.Lock()

    def record_report(
        self,
        instance_id: InstanceId,
        in_flight: tuple[InFlightCount, ...],
        now_seconds: float,
    ) -> None:
        """
        Store the work that a heartbeat reports and drop outdated reports.

        :param instance_id: The sending instance.
        :param in_flight: Its work by upstream.
        :param now_seconds: Monotonic time.
        """
        work = {c.upstream_id: SentWork(c.requests, c.prompt_tokens) for c in in_flight}
        with self._lock:
            self._reports[instance_id] = _PeerReport(work, now_seconds)
            for name, report in list(self._reports.items()):
                if now_seconds - report.received_seconds > PEER_WORK_TIMEOUT_SECONDS:
                    del self._reports[name]

    def total(self, upstream_id: UpstreamId, now_seconds: float) -> SentWork:
        """
        Return the work of all peers in progress at an upstream.

        :param upstream_id: The upstream.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            reports = list(self._reports.values())
        parts = [
            report.work.get(upstream_id, SentWork())
            for report in reports
            if now_seconds - report.received_seconds <= PEER_WORK_TIMEOUT_SECONDS
        ]
        return SentWork(
            sum(part.requests for part in parts),
            sum(part.prompt_tokens for part in parts),
        )
