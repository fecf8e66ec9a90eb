"""
Relaying calls on the configured routes of plain services.

Plain services are HTTP services other than engines.
"""

from attrs import evolve, frozen

from waxwingwinch._exceptions import Outcome, UpstreamFailed
from waxwingwinch._fingerprints import request_fingerprint
from waxwingwinch._types import CustomerId, UpstreamId, UpstreamState
from waxwingwinch.configuration import Route, RouteAccess
from waxwingwinch.contracts import (
    ClaimedOutcome,
    ClaimHeld,
    ClaimUnavailable,
    ClaimWithoutOutcome,
    DecisionKind,
    Freshness,
    StoredAnswer,
    UpstreamView,
)
from waxwingwinch.decisions import RetryRefused
from waxwingwinch.entry._callers import authenticate, check_rate_limit, key_withdrawn
from waxwingwinch.entry._crash_guard import Quarantined
from waxwingwinch.entry._errors import ErrorCode, RequestFailed, quarantined
from waxwingwinch.entry._headers import idempotency_key, upstream_headers
from waxwingwinch.entry._http import (
    ANONYMOUS_CUSTOMER,
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

#: Longest wait until a claim is recorded in the log.
CLAIM_TIMEOUT_SECONDS = 5.0
#: Retry-After if the request was not accepted by any upstream.
UNREACHED_RETRY_AFTER_SECONDS = 1.0
#: Response header that marks the replay of a stored answer.
REPLAYED_HEADER = ("Idempotency-Replayed", "true")


@frozen
class _PlainJob:
    """
    A call to a plain service.

    :param request: The request.
    :param route: The route of the request.
    :param customer_id: The customer; ``ANONYMOUS_CUSTOMER`` on open routes.
    :param key_id: Public id of the caller's key; empty on open routes.
    :param fingerprint: Fingerprint of the request, equal for its retries.
    :param deadline_seconds: Monotonic time by which the request must be
        answered.
    :param send_until_seconds: Monotonic time from which the request must not
        be sent to an upstream.
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

    :param services: Shared services of the entry.
    :param router: Manages the retry budget.
    """

    def __init__(self, services: EntryServices, router: EngineRouter) -> None:
        self._services = services
        self._router = router

    def handle(self, request: IncomingRequest) -> Reply:
        """
        Relay a request to the service of its route.

        :param request: The request.
        :raises RequestFailed: If it is refused or the service does not answer.
        """
        check_path(request.path)
        configuration = self._services.configuration.current()
        route = configuration.route_for(request.path)
        if route is None:
            text = f"no route for path {request.path[:200]}"
            raise RequestFailed(404, ErrorCode.NOT_FOUND, text)
        require_method(request, *route.methods)
        job = self._make_job(request, route)
        key = idempotency_key(request)
        if job.customer_id != ANONYMOUS_CUSTOMER:
            check_rate_limit(
                self._services, job.customer_id, request.request_id, route.path
            )
        if route.idempotent or key is None:
            answer = self._call_with_retries(job)
            return _reply(StoredAnswer(answer.status, answer.headers, answer.body))
        return self._claim_and_run(job, key)

    def _make_job(self, request: IncomingRequest, route: Route) -> _PlainJob:
        customer_id, key_id = ANONYMOUS_CUSTOMER, ""
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

    def _claim_and_run(self, job: _PlainJob, key: str) -> Reply:
        """Run the call at most once for all requests with the same key."""
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
            case ClaimHeld() as claim:
                return self._run_with_claim(job, claim)
            case ClaimedOutcome(answer):
                return _reply(answer, REPLAYED_HEADER)
            case ClaimWithoutOutcome(same_request=False):
                text = "the idempotency key was already used with a different request"
                raise RequestFailed(422, ErrorCode.IDEMPOTENCY_MISMATCH, text)
            case ClaimWithoutOutcome(retry_after_seconds):
                text = (
                    "the first request with this key is still running or its outcome"
                    " is unknown"
                )
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
                    "the idempotency key can't be recorded in the log at present",
                    retry_after_seconds=retry_after_seconds,
                )

    def _run_with_claim(self, job: _PlainJob, claim: ClaimHeld) -> Reply:
        store = self._services.idempotency
        send_until_seconds = min(job.send_until_seconds, claim.expires_seconds)
        claimed = evolve(job, send_until_seconds=send_until_seconds)
        try:
            answer = self._call_with_retries(claimed)
        except RequestFailed as error:
            if error.outcome is Outcome.NOT_RUN:
                store.record_not_run(claim.claim_id)
            else:
                store.record_unknown(claim.claim_id)
            raise
        except BaseException:
            store.record_unknown(claim.claim_id)
            raise
        stored = StoredAnswer(answer.status, answer.headers, answer.body)
        store.record_answer(claim.claim_id, stored)
        return _reply(stored)

    def _call_with_retries(self, job: _PlainJob) -> PlainAnswer:
        """Call upstreams until one answers or a retry is not allowed."""
        now_seconds = self._services.clock.now_seconds()
        verdict = self._services.crash_guard.judge(job.fingerprint, now_seconds)
        if isinstance(verdict, Quarantined):
            raise quarantined(verdict.retry_after_seconds, Outcome.NOT_RUN)
        attempted: set[UpstreamId] = set()
        outcome = Outcome.NOT_RUN
        reason = (
            "no upstream accepts new work, the time to send the request has passed"
            " or this instance is stale"
        )
        attempts = 0
        while True:
            view = self._choose_upstream(job, attempted)
            if view is None or self._must_not_send(job):
                raise self._failure(job, reason, outcome)
            if job.key_id and self._services.configuration.is_withdrawn(job.key_id):
                raise key_withdrawn(outcome)
            attempts += 1
            attempted.add(view.upstream_id)
            try:
                return self._call(job, view)
            except UpstreamFailed as error:
                reason = f"{view.upstream_id}: {error}"
                if error.outcome is not Outcome.NOT_RUN:
                    outcome = Outcome.UNKNOWN
                    self._record_crash(job, view)
                self._check_retry(job, attempts, outcome, reason)

    def _choose_upstream(
        self, job: _PlainJob, attempted: set[UpstreamId]
    ) -> UpstreamView | None:
        views = [
            view
            for view in self._services.fleet.plain(job.route.service)
            if view.state is UpstreamState.ACTIVE and view.upstream_id not in attempted
        ]
        return min(views, key=self._preference, default=None)

    def _preference(self, view: UpstreamView) -> tuple[int, bool, str]:
        now_seconds = self._services.clock.now_seconds()
        local = self._services.in_flight.total(view.upstream_id)
        peers = self._services.peer_work.total(view.upstream_id, now_seconds)
        is_other_zone = view.listed.zone != self._services.options.zone
        return local.requests + peers.requests, is_other_zone, view.upstream_id

    def _must_not_send(self, job: _PlainJob) -> bool:
        # A stale instance sends no new work to upstreams.
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
        in_flight_request = self._services.in_flight.begin(
            view.upstream_id, 0, now_seconds
        )
        try:
            answer = self._services.plain.call(view.listed.address, call)
        finally:
            self._services.in_flight.end(in_flight_request)
        self._services.crash_guard.record_success(job.fingerprint)
        self._record_result(job, RequestResult.SERVED)
        return answer

    def _check_retry(
        self, job: _PlainJob, attempts: int, outcome: Outcome, reason: str
    ) -> None:
        """
        Check that the call may be retried at another upstream.

        :raises RequestFailed: If it may not be retried.
        """
        if outcome is not Outcome.NOT_RUN and not job.route.idempotent:
            raise self._failure(job, reason, outcome)
        now_seconds = self._services.clock.now_seconds()
        decision = self._router.request_retry(
            attempts, job.deadline_seconds, now_seconds
        )
        if isinstance(decision, RetryRefused):
            raise self._failure(job, f"{reason}; {decision.reason}", outcome)
        self._services.explain(
            DecisionKind.RETRIED, job.request.request_id, reason, job.customer_id
        )

    def _record_crash(self, job: _PlainJob, view: UpstreamView) -> None:
        # Requests without a body have equal fingerprints; a crash during one
        # of them must not quarantine the others. A timeout or a lost answer
        # is no crash while the upstream still accepts connections.
        address = view.listed.address
        if job.request.body and not self._services.plain.is_listening(address):
            now_seconds = self._services.clock.now_seconds()
            crashes = self._services.crash_guard
            crashes.record_crash(job.fingerprint, view.upstream_id, now_seconds)

    def _record_result(self, job: _PlainJob, result: RequestResult) -> None:
        record_plain_call(
            self._services,
            job.customer_id,
            job.route.path,
            job.request.arrived_seconds,
            result,
        )

    def _failure(self, job: _PlainJob, reason: str, outcome: Outcome) -> RequestFailed:
        request_id, customer_id = job.request.request_id, job.customer_id
        self._services.explain(DecisionKind.REFUSED, request_id, reason, customer_id)
        if outcome is Outcome.NOT_RUN:
            self._record_result(job, RequestResult.REFUSED_WITHIN_RATE)
            return RequestFailed(
                503,
                ErrorCode.UPSTREAM_FAILED,
                "the request was not run: it was not accepted by any upstream",
                outcome,
                UNREACHED_RETRY_AFTER_SECONDS,
            )
        self._record_result(job, RequestResult.FAILED)
        is_late = self._services.clock.now_seconds() >= job.deadline_seconds
        status = 504 if is_late else 502
        code = ErrorCode.DEADLINE_EXCEEDED if is_late else ErrorCode.UPSTREAM_FAILED
        text = "the service sent no complete answer"
        return RequestFailed(status, code, text, outcome)


def _reply(answer: StoredAnswer, *headers: tuple[str, str]) -> Reply:
    return Reply(answer.status, (*answer.headers, *headers), answer.body)
