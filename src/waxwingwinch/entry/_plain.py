"""Serving the configured routes of plain services."""

from attrs import evolve, frozen

from waxwingwinch._exceptions import Outcome, UpstreamFailed
from waxwingwinch._types import CustomerId, UpstreamId, UpstreamState
from waxwingwinch.configuration import Route, RouteAccess
from waxwingwinch.contracts import (
    ClaimedOutcome,
    ClaimHeld,
    ClaimPending,
    ClaimUnavailable,
    DecisionKind,
    Freshness,
    StoredAnswer,
    UpstreamView,
)
from waxwingwinch.decisions import RetryRefused
from waxwingwinch.entry._callers import admit_rate, authenticate, key_withdrawn
from waxwingwinch.entry._crash_guard import Quarantined, request_fingerprint
from waxwingwinch.entry._errors import ErrorCode, RequestFailed, quarantined
from waxwingwinch.entry._headers import idempotency_key, upstream_headers
from waxwingwinch.entry._http import (
    NOBODY,
    IncomingRequest,
    Reply,
    check_path,
    require_method,
)
from waxwingwinch.entry._recorder import record_plain_call
from waxwingwinch.entry._router import EngineRouter
from waxwingwinch.entry._services import EntryServices
from waxwingwinch.interfaces import PlainAnswer, PlainCall
from waxwingwinch.observability import RequestResult

#: How long a claim may wait for the log.
CLAIM_TIMEOUT_SECONDS = 5.0
#: When callers come back if no upstream could be reached.
UNREACHED_RETRY_AFTER_SECONDS = 1.0
#: Header of an answer that was stored before.
REPLAYED_HEADER = ("Idempotency-Replayed", "true")


@frozen
class _PlainJob:
    """
    One call to a plain service.

    :param request: The request.
    :param route: Its route.
    :param customer_id: Its customer; ``NOBODY`` on open routes.
    :param key_id: Public name of its key; empty on open routes.
    :param fingerprint: Name that a repeated request shares.
    :param deadline_seconds: Monotonic time by which it must be answered.
    :param send_until_seconds: Monotonic time after which it must not be
        sent any more.
    """

    request: IncomingRequest
    route: Route
    customer_id: CustomerId
    key_id: str
    fingerprint: str
    deadline_seconds: float
    send_until_seconds: float


class PlainHandler:
    """
    Relays calls to plain services.

    :param services: The services of the entry.
    :param router: Holds the retry budget.
    """

    def __init__(self, services: EntryServices, router: EngineRouter) -> None:
        self._services = services
        self._router = router

    def handle(self, request: IncomingRequest) -> Reply:
        """
        Serve one request.

        :param request: The request.
        :raises RequestFailed: If it gets no answer of the service.
        """
        check_path(request.path)
        configuration = self._services.configuration.current()
        route = configuration.route_for(request.path)
        if route is None:
            text = f"there is nothing at {request.path[:200]}"
            raise RequestFailed(404, ErrorCode.NOT_FOUND, text)
        require_method(request, *route.methods)
        job = self._job(request, route)
        key = idempotency_key(request)
        if job.customer_id != NOBODY:
            admit_rate(self._services, job.customer_id, request.request_id, route.path)
        if route.idempotent or key is None:
            answer = self._run(job)
            return _reply(StoredAnswer(answer.status, answer.headers, answer.body))
        return self._run_claimed(job, key)

    def _job(self, request: IncomingRequest, route: Route) -> _PlainJob:
        customer_id, key_id = NOBODY, ""
        if route.access is RouteAccess.KEYED:
            caller = authenticate(self._services, request)
            customer_id, key_id = caller.customer_id, caller.key_id
        defaults = self._services.configuration.current().defaults
        self._router.count_request(defaults.retry_budget_ratio)
        timeout_seconds = min(route.timeout_seconds, defaults.request_timeout_seconds)
        deadline_seconds = request.arrived_seconds + timeout_seconds
        fingerprint = request_fingerprint(
            customer_id, f"{request.method} {request.target}", request.body
        )
        return _PlainJob(
            request,
            route,
            customer_id,
            key_id,
            fingerprint,
            deadline_seconds,
            deadline_seconds,
        )

    def _run_claimed(self, job: _PlainJob, key: str) -> Reply:
        """Run a call once for all requests with the same key."""
        now_seconds = self._services.clock.now_seconds()
        timeout_seconds = min(CLAIM_TIMEOUT_SECONDS, job.deadline_seconds - now_seconds)
        result = self._services.idempotency.claim(
            job.customer_id,
            key,
            job.fingerprint,
            timeout_seconds,
            now_seconds,
        )
        match result:
            case ClaimHeld() as held:
                return self._run_held(job, held)
            case ClaimedOutcome(answer):
                return _reply(answer, REPLAYED_HEADER)
            case ClaimPending(same_request=False):
                text = "the idempotency key was used with another request"
                raise RequestFailed(422, ErrorCode.IDEMPOTENCY_MISMATCH, text)
            case ClaimPending(retry_after_seconds):
                text = "the outcome of the first request with this key is not known"
                raise RequestFailed(
                    409,
                    ErrorCode.IDEMPOTENCY_PENDING,
                    text,
                    Outcome.UNKNOWN,
                    retry_after_seconds,
                )
            case ClaimUnavailable(retry_after_seconds):
                raise RequestFailed(
                    503,
                    ErrorCode.LOG_UNAVAILABLE,
                    "requests with an idempotency key can't be claimed at present",
                    retry_after_seconds=retry_after_seconds,
                )

    def _run_held(self, job: _PlainJob, held: ClaimHeld) -> Reply:
        store = self._services.idempotency
        send_until_seconds = min(job.send_until_seconds, held.expires_seconds)
        claimed = evolve(job, send_until_seconds=send_until_seconds)
        try:
            answer = self._run(claimed)
        except RequestFailed as error:
            if error.outcome is Outcome.NOT_RUN:
                store.record_not_run(held.claim_id)
            else:
                store.record_unknown(held.claim_id)
            raise
        except BaseException:
            store.record_unknown(held.claim_id)
            raise
        stored = StoredAnswer(answer.status, answer.headers, answer.body)
        store.record_answer(held.claim_id, stored)
        return _reply(stored)

    def _run(self, job: _PlainJob) -> PlainAnswer:
        """Call one upstream after another for as long as that is safe."""
        now_seconds = self._services.clock.now_seconds()
        verdict = self._services.crash_guard.judge(job.fingerprint, now_seconds)
        if isinstance(verdict, Quarantined):
            raise quarantined(verdict.retry_after_seconds, Outcome.NOT_RUN)
        tried: set[UpstreamId] = set()
        outcome = Outcome.NOT_RUN
        reason = "no upstream takes new work"
        tries = 0
        while True:
            view = self._choose(job, tried)
            if view is None or self._must_not_send(job):
                raise self._failed(job, reason, outcome)
            if job.key_id and self._services.configuration.is_withdrawn(job.key_id):
                raise key_withdrawn(outcome)
            tries += 1
            tried.add(view.upstream_id)
            try:
                return self._call(job, view)
            except UpstreamFailed as error:
                reason = f"{view.upstream_id}: {error}"
                if error.outcome is not Outcome.NOT_RUN:
                    outcome = Outcome.UNKNOWN
                    self._note_crash(job, view)
                self._check_retry(job, tries, outcome, reason)

    def _choose(self, job: _PlainJob, tried: set[UpstreamId]) -> UpstreamView | None:
        views = [
            view
            for view in self._services.fleet.plain(job.route.service)
            if view.state is UpstreamState.ACTIVE and view.upstream_id not in tried
        ]
        return min(views, key=self._preference, default=None)

    def _preference(self, view: UpstreamView) -> tuple[int, bool, str]:
        now_seconds = self._services.clock.now_seconds()
        own = self._services.in_flight.total(view.upstream_id)
        peers = self._services.peer_work.total(view.upstream_id, now_seconds)
        is_far = view.listed.zone != self._services.options.zone
        return own.requests + peers.requests, is_far, view.upstream_id

    def _must_not_send(self, job: _PlainJob) -> bool:
        # A stale instance gives upstreams no new work.
        now_seconds = self._services.clock.now_seconds()
        if now_seconds >= job.send_until_seconds:
            return True
        freshness = self._services.configuration.freshness(now_seconds)
        return freshness is Freshness.STALE

    def _call(self, job: _PlainJob, view: UpstreamView) -> PlainAnswer:
        request, clock = job.request, self._services.clock
        now_seconds = clock.now_seconds()
        call = PlainCall(
            request.request_id,
            request.method,
            request.target,
            upstream_headers(request, job.customer_id),
            request.body,
            max(0.001, job.deadline_seconds - now_seconds),
        )
        sent = self._services.in_flight.begin(view.upstream_id, 0, now_seconds)
        try:
            answer = self._services.plain.call(view.listed.address, call)
        finally:
            self._services.in_flight.end(sent)
        self._services.crash_guard.succeeded(job.fingerprint)
        self._record(job, RequestResult.SERVED)
        return answer

    def _check_retry(
        self, job: _PlainJob, tries: int, outcome: Outcome, reason: str
    ) -> None:
        """
        Return if the call may be tried elsewhere.

        :raises RequestFailed: If it may not.
        """
        if outcome is not Outcome.NOT_RUN and not job.route.idempotent:
            raise self._failed(job, reason, outcome)
        now_seconds = self._services.clock.now_seconds()
        decision = self._router.retry(tries, job.deadline_seconds, now_seconds)
        if isinstance(decision, RetryRefused):
            raise self._failed(job, f"{reason}; {decision.reason}", outcome)
        self._services.explain(
            DecisionKind.RETRIED, job.request.request_id, reason, job.customer_id
        )

    def _note_crash(self, job: _PlainJob, view: UpstreamView) -> None:
        # Requests without a body look alike, and one must not stop another.
        # A timeout or a lost answer alone is no crash.
        address = view.listed.address
        if job.request.body and not self._services.plain.is_listening(address):
            now_seconds = self._services.clock.now_seconds()
            crashes = self._services.crash_guard
            crashes.crashed(job.fingerprint, view.upstream_id, now_seconds)

    def _record(self, job: _PlainJob, result: RequestResult) -> None:
        record_plain_call(
            self._services,
            job.customer_id,
            job.route.path,
            job.request.arrived_seconds,
            result,
        )

    def _failed(self, job: _PlainJob, reason: str, outcome: Outcome) -> RequestFailed:
        request_id, customer_id = job.request.request_id, job.customer_id
        self._services.explain(DecisionKind.REFUSED, request_id, reason, customer_id)
        if outcome is Outcome.NOT_RUN:
            self._record(job, RequestResult.REFUSED_WITHIN_RATE)
            return RequestFailed(
                503,
                ErrorCode.UPSTREAM_FAILED,
                "the call was not made, since no upstream could be reached",
                outcome,
                UNREACHED_RETRY_AFTER_SECONDS,
            )
        self._record(job, RequestResult.FAILED)
        is_late = self._services.clock.now_seconds() >= job.deadline_seconds
        status = 504 if is_late else 502
        code = ErrorCode.DEADLINE_EXCEEDED if is_late else ErrorCode.UPSTREAM_FAILED
        text = "the service gave no whole answer"
        return RequestFailed(status, code, text, outcome)


def _reply(answer: StoredAnswer, *headers: tuple[str, str]) -> Reply:
    return Reply(answer.status, (*answer.headers, *headers), answer.body)
