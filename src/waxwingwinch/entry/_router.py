"""Routing of generations by this instance's observations of the engines."""

import itertools
import threading
import zlib

from attrs import evolve, frozen

from waxwingwinch._exceptions import Outcome, UpstreamFailed
from waxwingwinch._types import ModelName, UpstreamId
from waxwingwinch.contracts import DecisionKind, FleetView, UpstreamView
from waxwingwinch.decisions import (
    Candidate,
    EarliestFirstToken,
    EjectionCause,
    EngineRecord,
    LeastConnections,
    NoEngine,
    RetryAllowed,
    RetryBudget,
    RetryDecision,
    RoundRobin,
    RoutingChoice,
    RoutingPolicy,
    RoutingRequest,
    after_failure,
    after_request,
    after_success,
    choose_engine,
    decide_retry,
    eject_slow,
    traffic_share,
    usable_engines,
)
from waxwingwinch.entry._in_flight import InFlightTracker, PeerWorkTable
from waxwingwinch.entry._sent_prefixes import SentPrefixes
from waxwingwinch.entry._services import EntryServices
from waxwingwinch.settings import RoutingPolicyKind


@frozen
class Generation:
    """
    Properties of a generation for routing and admission, without its text.

    :param request_id: Id of the request.
    :param model: The requested model.
    :param routing: Input of the routing decision.
    """

    request_id: str
    model: ModelName
    routing: RoutingRequest


class EngineRouter:
    """
    Routes generations, ejects failing or slow engines, and manages the retry
    budget.

    :param services: Shared services of the entry.
    """

    def __init__(self, services: EntryServices) -> None:
        self._services = services
        self._fleet: FleetView = services.fleet
        self._in_flight: InFlightTracker = services.in_flight
        self._peer_work: PeerWorkTable = services.peer_work
        self._records: dict[UpstreamId, EngineRecord] = {}
        self._sent_prefixes = SentPrefixes()
        self._budget = RetryBudget()
        self._round_robin_counter = itertools.count()
        self._lock = threading.Lock()

    def choose(self, generation: Generation, now_seconds: float) -> RoutingChoice:
        """
        Choose the engines of a generation.

        :param generation: The generation.
        :param now_seconds: Monotonic time.
        """
        views = self._fleet.engines(generation.model)
        usable = self._usable(views, generation, now_seconds)
        candidates = tuple(
            self._candidate(view, now_seconds)
            for view in views
            if view.upstream_id in usable
        )
        routing = evolve(
            generation.routing,
            draw=_draw(generation.request_id),
            policy=self._policy(generation.routing.policy),
        )
        choice = choose_engine(routing, candidates, now_seconds)
        if isinstance(choice, NoEngine) and len(candidates) < len(views):
            # If no other engine can be chosen, ejected engines are used too.
            all_candidates = tuple(self._candidate(view, now_seconds) for view in views)
            return choose_engine(routing, all_candidates, now_seconds)
        return choice

    def record_prompt(
        self, upstream_id: UpstreamId, generation: Generation, now_seconds: float
    ) -> None:
        """
        Record a prompt sent to an engine, which caches it during prefill.

        :param upstream_id: The engine.
        :param generation: The generation.
        :param now_seconds: Monotonic time.
        """
        hashes = generation.routing.prefix_hashes
        self._sent_prefixes.add(upstream_id, hashes, now_seconds)

    def record_failure(
        self, upstream_id: UpstreamId, error: UpstreamFailed, now_seconds: float
    ) -> None:
        """
        Record a failed call, and eject the engine if needed.

        :param upstream_id: The engine.
        :param error: The failure of the call.
        :param now_seconds: Monotonic time.
        """
        cause = EjectionCause.FAILURES
        if error.outcome is Outcome.NOT_RUN:
            cause = EjectionCause.REFUSALS
        with self._lock:
            before = self._records.get(upstream_id, EngineRecord())
            after = after_failure(before, cause, now_seconds)
            self._records[upstream_id] = after
        if traffic_share(after, now_seconds) < traffic_share(before, now_seconds):
            text = f"ejected after consecutive failures; last failure: {error}"
            self._services.explain(DecisionKind.EJECTED, upstream_id, text)

    def record_success(
        self, view: UpstreamView, latency_ratio: float, now_seconds: float
    ) -> None:
        """
        Record a successful call, and eject engines that are too slow.

        :param view: The engine of the call.
        :param latency_ratio: Observed over estimated time to the first token.
        :param now_seconds: Monotonic time.
        """
        upstream_ids = {other.upstream_id for other in self._fleet.engines(view.model)}
        with self._lock:
            record = self._records.get(view.upstream_id, EngineRecord())
            self._records[view.upstream_id] = after_success(
                record, latency_ratio, now_seconds
            )
            model_records = {
                n: self._records[n] for n in upstream_ids if n in self._records
            }
            updated = eject_slow(model_records, now_seconds)
            self._records.update(updated)
        for upstream_id, after in updated.items():
            if after.cause is not None and after is not model_records[upstream_id]:
                text = (
                    "ejected because it is much slower than other engines of its model"
                )
                self._services.explain(DecisionKind.EJECTED, upstream_id, text)

    def count_request(self, retry_budget_ratio: float) -> None:
        """
        Increase the retry budget for a new request.

        :param retry_budget_ratio: Number of retries allowed per request.
        """
        with self._lock:
            self._budget = after_request(self._budget, retry_budget_ratio)

    def request_retry(
        self, attempts: int, deadline_seconds: float, now_seconds: float
    ) -> RetryDecision:
        """
        Decide whether a failed request is retried, and spend the budget.

        :param attempts: Number of attempts so far.
        :param deadline_seconds: Monotonic time by which the request must be
            answered.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            decision = decide_retry(
                self._budget, attempts, deadline_seconds, now_seconds
            )
            if isinstance(decision, RetryAllowed):
                self._budget = decision.budget
            return decision

    def _policy(self, requested: RoutingPolicy) -> RoutingPolicy:
        """Replace the default policy by the policy of the settings."""
        if requested != EarliestFirstToken():
            return requested
        match self._services.options.routing_policy:
            case RoutingPolicyKind.EARLIEST_FIRST_TOKEN:
                return requested
            case RoutingPolicyKind.ROUND_ROBIN:
                return RoundRobin(next(self._round_robin_counter))
            case RoutingPolicyKind.LEAST_CONNECTIONS:
                return LeastConnections()

    def _usable(
        self,
        views: tuple[UpstreamView, ...],
        generation: Generation,
        now_seconds: float,
    ) -> frozenset[UpstreamId]:
        with self._lock:
            records = {
                view.upstream_id: self._records.get(view.upstream_id, EngineRecord())
                for view in views
            }
        return usable_engines(
            records, _draw(f"share {generation.request_id}"), now_seconds
        )

    def _candidate(self, view: UpstreamView, now_seconds: float) -> Candidate:
        upstream_id = view.upstream_id
        return Candidate(
            view,
            self._in_flight.sent_since(upstream_id, view.load_taken_seconds),
            self._in_flight.total(upstream_id),
            self._peer_work.total(upstream_id, now_seconds),
            self._sent_prefixes.prefixes_at(upstream_id, now_seconds),
        )


def _draw(text: str) -> float:
    """Return a number in [0, 1) that is determined by a text."""
    return zlib.crc32(text.encode()) / 2**32
