"""Learns the speed and the failures of upstreams from what requests show."""

import math
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.capacity._averages import (
    MAX_SAMPLE,
    MIN_SAMPLE,
    Baseline,
    Signal,
)
from waxwingwinch.gateway.capacity._change_log import ChangeLog
from waxwingwinch.gateway.capacity._estimates import (
    DEFAULT_ESTIMATE,
    CapacityEstimate,
    Phase,
)
from waxwingwinch.gateway.capacity._messages import CapacityRow
from waxwingwinch.gateway.capacity._outbox import Outbox
from waxwingwinch.gateway.capacity._rows import ServiceCapacity, UpstreamCapacity
from waxwingwinch.gateway.capacity._samples import (
    Sample,
    plain_sample,
    prefill_sample,
)
from waxwingwinch.gateway.capacity._table import CapacityTable

#: Peers whose last row is remembered; more than there are instances.
MAX_PEERS = 1_000
#: Time for which an estimate is used without computing it again, a twentieth
#: of the short time constant.
ESTIMATE_SECONDS = 0.1
#: Largest weight of a row of a peer, as samples.
MAX_ROW_WEIGHT = 20.0


class CapacityTracker:
    """Estimates of all upstreams; may be used from all threads."""

    def __init__(self) -> None:
        self._table = CapacityTable()
        self._change_log = ChangeLog()
        self._outbox = Outbox()
        self._last_sequences: OrderedDict[str, int] = OrderedDict()
        self._lock = threading.Lock()

    def estimate(self, upstream: Upstream, now_seconds: float) -> CapacityEstimate:
        """
        Return what is known of an upstream.

        Takes no lock: each choice asks for all engines of a service. A
        measurement that arrives meanwhile may count in part.

        :param upstream: The upstream.
        :param now_seconds: Monotonic time.
        """
        known = self._table.upstreams.get(upstream.upstream_id)
        service = self._table.services.get(upstream.service)
        if service is None:
            return DEFAULT_ESTIMATE
        if known is None or known.started_ms != upstream.started_ms:
            return service.default_estimate(upstream.role)
        if now_seconds >= known.estimated_until_seconds:
            known.estimate = known.compute(service, now_seconds)
            known.estimated_until_seconds = now_seconds + ESTIMATE_SECONDS
        return known.estimate

    def observe_prefill(
        self,
        upstream: Upstream,
        expected_seconds: float,
        waiting_seconds: float,
        took_seconds: float,
        now_seconds: float,
        is_complete: bool = True,
    ) -> None:
        """
        Record the duration of a prefill.

        The known wait counts as expected, and the less the prompt's own part
        of it is, the less the measurement counts.

        :param upstream: The engine.
        :param expected_seconds: Expected duration of the prompt's own prefill
            at a slowdown of 1; the measurement is ignored if it is 0.
        :param waiting_seconds: Expected duration of the known work before it.
        :param took_seconds: Measured duration.
        :param now_seconds: Monotonic time.
        :param is_complete: False if the prefill was given up after this time.
        """
        if expected_seconds <= 0:
            return
        sample = prefill_sample(
            expected_seconds, waiting_seconds, took_seconds, is_complete
        )
        with self._lock:
            baseline = self._service(upstream).prefill_baseline(upstream.role)
            self._add(upstream, Phase.PREFILL, baseline, sample, now_seconds)

    def observe_decode(
        self, upstream: Upstream, event_seconds: float, now_seconds: float
    ) -> None:
        """
        Record the time of an event of a stream, as the mean of several.

        :param upstream: The engine.
        :param event_seconds: Time from one event to the next.
        :param now_seconds: Monotonic time.
        """
        if event_seconds <= 0:
            return
        with self._lock:
            baseline = self._service(upstream).decode
            sample = Sample(math.log(event_seconds))
            self._add(upstream, Phase.DECODE, baseline, sample, now_seconds)

    def observe_plain(
        self,
        upstream: Upstream,
        route: str,
        running: int,
        took_seconds: float,
        now_seconds: float,
        is_complete: bool = True,
    ) -> None:
        """
        Record the duration of a plain call.

        :param upstream: The upstream.
        :param route: The route, whose calls are compared with one another.
        :param running: Requests known there when it was sent; those above the
            slots wait.
        :param took_seconds: Measured duration.
        :param now_seconds: Monotonic time.
        :param is_complete: False if the call was given up after this time.
        """
        if took_seconds <= 0:
            return
        sample = plain_sample(upstream.slots, running, took_seconds, is_complete)
        with self._lock:
            service = self._service(upstream)
            baseline = service.plain_baseline(route)
            self._add(upstream, Phase.PLAIN, baseline, sample, now_seconds)
            service.keep_plain_spread(baseline)

    def observe_success(self, upstream: Upstream, now_seconds: float) -> None:
        """
        Record that an upstream has served a request.

        :param upstream: The upstream.
        :param now_seconds: Monotonic time.
        """
        self._observe_end(upstream, False, now_seconds)

    def observe_refusal(self, upstream: Upstream, now_seconds: float) -> None:
        """
        Record that an upstream failed a request or refused it.

        :param upstream: The upstream.
        :param now_seconds: Monotonic time.
        """
        self._observe_end(upstream, True, now_seconds)

    def rows(self, instances: int, now_seconds: float) -> tuple[CapacityRow, ...]:
        """
        Return what the next report tells the peers.

        :param instances: Number of instances, this one included.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return self._outbox.rows(instances, now_seconds)

    def apply(
        self,
        incarnation: str,
        rows: Iterable[CapacityRow],
        find: Callable[[UpstreamId], Upstream | None],
        made_seconds: float,
    ) -> None:
        """
        Merge the rows of a peer's report; repeated rows are ignored.

        :param incarnation: Incarnation of the peer.
        :param rows: The rows.
        :param find: Returns the entry of an upstream; None if it is unknown.
        :param made_seconds: Monotonic time at which the report was made.
        """
        for row in rows:
            with self._lock:
                if row.sequence <= self._last_sequences.get(incarnation, 0):
                    continue
                self._last_sequences[incarnation] = row.sequence
                self._last_sequences.move_to_end(incarnation)
                if len(self._last_sequences) > MAX_PEERS:
                    self._last_sequences.popitem(last=False)
                upstream = find(row.upstream_id)
                if upstream is not None and upstream.started_ms == row.started_ms:
                    self._merge(upstream, row, made_seconds - row.age_tenths / 10)

    def remove(self, upstream_id: UpstreamId) -> None:
        """
        Discard what is known of an upstream that restarted or was removed.

        :param upstream_id: The upstream.
        """
        with self._lock:
            self._table.upstreams.pop(upstream_id, None)

    def unusual_count(self, now_seconds: float) -> int:
        """
        Return the number of upstreams that differ from their service.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return self._table.unusual_count(now_seconds)

    def _observe_end(
        self, upstream: Upstream, is_failure: bool, now_seconds: float
    ) -> None:
        with self._lock:
            service = self._service(upstream)
            service.failures.add(1, int(is_failure), now_seconds)
            known = self._table.known(upstream)
            if known is None:
                return
            known.failures.add(1, int(is_failure), now_seconds)
            key = (upstream.upstream_id, Phase.PLAIN)
            self._outbox.add_end(key, known.started_ms, is_failure, now_seconds)
            known.discard_estimate()

    def _add(
        self,
        upstream: Upstream,
        phase: Phase,
        baseline: Baseline,
        sample: Sample,
        now_seconds: float,
    ) -> None:
        known = self._table.known(upstream)
        if known is None:
            return
        signal = known.signals.setdefault(phase, Signal())
        usual = baseline.mean + signal.passing.mean
        if not sample.is_complete and sample.value <= usual:
            # It would have taken longer, which the time so far doesn't show.
            return
        difference = baseline.add(sample.value, signal.lasting.mean, sample.weight)
        difference = min(max(difference, MIN_SAMPLE), MAX_SAMPLE)
        weight = sample.weight * baseline.maturity
        signal.add(difference, baseline.spread, weight, now_seconds)
        self._outbox.add_sample(
            (upstream.upstream_id, phase),
            known.started_ms,
            difference,
            baseline.spread,
            weight,
            now_seconds,
        )
        self._update(upstream, known, phase, now_seconds)

    def _merge(
        self, upstream: Upstream, row: CapacityRow, taken_seconds: float
    ) -> None:
        known, service = self._table.known(upstream), self._service(upstream)
        if known is None or not 0 <= row.phase < len(Phase):
            return
        phase = Phase(row.phase)
        weight = min(max(row.tenths / 10, 0.0), MAX_ROW_WEIGHT)
        if weight:
            difference = min(max(row.difference_percent / 100, MIN_SAMPLE), MAX_SAMPLE)
            spread = service.spread(phase, known.role)
            signal = known.signals.setdefault(phase, Signal())
            signal.add(difference, spread, weight, taken_seconds)
        requests = min(max(row.requests, 0), int(MAX_ROW_WEIGHT))
        failures = min(max(row.failures, 0), requests)
        known.failures.add(requests, failures, taken_seconds)
        service.failures.add(requests, failures, taken_seconds)
        self._update(upstream, known, phase, taken_seconds)

    def _service(self, upstream: Upstream) -> ServiceCapacity:
        return self._table.service(upstream.service)

    def _update(
        self,
        upstream: Upstream,
        known: UpstreamCapacity,
        phase: Phase,
        now_seconds: float,
    ) -> None:
        """Have the estimate computed again, and log it if it changed much."""
        known.discard_estimate()
        self._change_log.write(
            upstream.upstream_id,
            known,
            phase,
            self._service(upstream).spread(phase, known.role),
            now_seconds,
        )
