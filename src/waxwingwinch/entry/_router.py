"""Routing with what this instance has seen of the engines."""

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
    share,
    usable_engines,
)
from waxwingwinch.entry._in_flight import InFlightTracker, PeerWorkTable
from waxwingwinch.entry._sent_prefixes import SentPrefixes
from waxwingwinch.entry._services import EntryServices
from waxwingwinch.settings import RoutingPolicyKind


@frozen
class Generation:
    """
    What routing and admission need to know of one generation.

    :param request_id: The request.
    :param model: The model.
    :param routing: The request as routing sees it.
    """

    request_id: str
    model: ModelName
    routing: RoutingRequest


class EngineRouter:
    """
    Routes generations, ejects bad engines and keeps the retry budget.

    :param services: The services of the entry.
    """

    def __init__(self, services: EntryServices) -> None:
        self._services = services
        self._fleet: FleetView = services.fleet
        self._in_flight: InFlightTracker = services.in_flight
        self._peer_work: PeerWorkTable = services.peer_work
        self._records: dict[UpstreamId, EngineRecord] = {}
        self._sent_prefixes = SentPrefixes()
        self._budget = RetryBudget()
        self._turns = itertools.count()
        self._lock = threading.Lock()

    def choose(self, generation: Generation, now_seconds: float) -> RoutingChoice:
        """
        Choose where a generation runs.

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
            # An ejected engine is better than none.
            rest = tuple(self._candidate(view, now_seconds) for view in views)
            return choose_engine(routing, rest, now_seconds)
        return choice

    def sent(
        self, upstream_id: UpstreamId, generation: Generation, now_seconds: float
    ) -> None:
        """
        Note that an engine reads a prompt, and so will have it cached.

        :param upstream_id: The engine.
        :param generation: The generation.
        :param now_seconds: Monotonic time.
        """
        hashes = generation.routing.prefix_hashes
        self._sent_prefixes.add(upstream_id, hashes, now_seconds)

    def failed(
        self, upstream_id: UpstreamId, error: UpstreamFailed, now_seconds: float
    ) -> None:
        """
        Note a failed call.

        :param upstream_id: The engine.
        :param error: What was seen.
        :param now_seconds: Monotonic time.
        """
        cause = EjectionCause.FAILURES
        if error.outcome is Outcome.NOT_RUN:
            cause = EjectionCause.REFUSALS
        with self._lock:
            before = self._records.get(upstream_id, EngineRecord())
            after = after_failure(before, cause, now_seconds)
            self._records[upstream_id] = after
        if share(after, now_seconds) < share(before, now_seconds):
            text = f"ejected after failures in a row; the last one: {error}"
            self._services.explain(DecisionKind.EJECTED, upstream_id, text)

    def answered(self, view: UpstreamView, lateness: float, now_seconds: float) -> None:
        """
        Note a whole answer.

        :param view: The engine.
        :param lateness: Observed over estimated time to the first token.
        :param now_seconds: Monotonic time.
        """
        names = {other.upstream_id for other in self._fleet.engines(view.model)}
        with self._lock:
            record = self._records.get(view.upstream_id, EngineRecord())
            self._records[view.upstream_id] = after_success(
                record, lateness, now_seconds
            )
            group = {n: self._records[n] for n in names if n in self._records}
            judged = eject_slow(group, now_seconds)
            self._records.update(judged)
        for name, after in judged.items():
            if after.cause is not None and after is not group[name]:
                text = "ejected because it is much slower than the others"
                self._services.explain(DecisionKind.EJECTED, name, text)

    def count_request(self, retry_budget_ratio: float) -> None:
        """
        Let the retry budget grow by one request.

        :param retry_budget_ratio: Retries allowed for each request.
        """
        with self._lock:
            self._budget = after_request(self._budget, retry_budget_ratio)

    def retry(
        self, tries: int, deadline_seconds: float, now_seconds: float
    ) -> RetryDecision:
        """
        Decide whether a failed request is tried again, and pay for it.

        :param tries: Tries so far.
        :param deadline_seconds: Monotonic time by which it must be answered.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            decision = decide_retry(self._budget, tries, deadline_seconds, now_seconds)
            if isinstance(decision, RetryAllowed):
                self._budget = decision.budget
            return decision

    def _policy(self, asked: RoutingPolicy) -> RoutingPolicy:
        """Put the policy of the settings in the place of the usual one."""
        if asked != EarliestFirstToken():
            return asked
        match self._services.options.routing_policy:
            case RoutingPolicyKind.EARLIEST_FIRST_TOKEN:
                return asked
            case RoutingPolicyKind.ROUND_ROBIN:
                return RoundRobin(next(self._turns))
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
        name = view.upstream_id
        return Candidate(
            view,
            self._in_flight.sent_since(name, view.load_taken_seconds),
            self._in_flight.total(name),
            self._peer_work.total(name, now_seconds),
            self._sent_prefixes.prefixes_at(name, now_seconds),
        )


def _draw(text: str) -> float:
    """Return a number in [0, 1) that depends on a text alone."""
    return zlib.crc32(text.encode()) / 2**32
