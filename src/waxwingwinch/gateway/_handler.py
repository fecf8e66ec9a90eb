"""From a request to its answer: route, key, quota, relay."""

import threading

from waxwingwinch.gateway._connections import Cancellation
from waxwingwinch.gateway._generation_relay import GenerationRelay
from waxwingwinch.gateway._job import Job, RelayTools
from waxwingwinch.gateway._model import (
    CustomerRules,
    QuotaUnit,
    RequestKind,
    Route,
)
from waxwingwinch.gateway._outcomes import (
    CallerLost,
    RefusalReason,
    RequestEnded,
    Responder,
)
from waxwingwinch.gateway._plain_relay import PlainRelay
from waxwingwinch.gateway._quota import QuotaBook
from waxwingwinch.gateway._request_lines import (
    CallerGone,
    QuotaExceeded,
    RequestAnswered,
    RequestRefused,
)
from waxwingwinch.gateway._requests import GatewayRequest, Prompt
from waxwingwinch.gateway._routes import RouteTable, choose_service
from waxwingwinch.gateway._tables import CurrentTable
from waxwingwinch.gateway._watcher import CallerWatcher

#: Stands in for the prompt of a stream that announces none.
NO_PROMPT = Prompt("", 0, 0)
#: Time kept for the answer's way back to the caller.
ANSWER_MARGIN_SECONDS = 0.02
#: When to come back to an instance that has no configuration yet.
STARTING_RETRY_SECONDS = 0.5
#: When to come back to an instance that serves as many as it can; about as
#: long as a request takes.
FULL_RETRY_SECONDS = 0.5
#: Requests that may be under way at most, however much memory there is; one
#: interpreter makes no use of more.
MOST_REQUESTS = 256
#: Memory of a request under way: its thread and what is kept of the prompt
#: and the answer.
REQUEST_BYTES = 512 * 1_024
#: Part of an instance's memory that requests may take. The program itself
#: needs about a quarter of that of the smallest instances.
REQUESTS_MEMORY_SHARE = 0.5
#: Descriptors of a request: the caller, the upstream, and idle connections
#: to both.
REQUEST_DESCRIPTORS = 8


def most_requests(memory_bytes: int, descriptors: int) -> int:
    """
    Return how many requests an instance may serve at once.

    :param memory_bytes: Memory of its process.
    :param descriptors: Descriptors that its process may open.
    """
    by_memory = int(memory_bytes * REQUESTS_MEMORY_SHARE) // REQUEST_BYTES
    by_descriptors = descriptors // REQUEST_DESCRIPTORS
    return max(min(MOST_REQUESTS, by_memory, by_descriptors), 1)


class RequestHandler:
    """
    Serves the requests of callers.

    :param tools: What the relays of the process share.
    :param table: The configuration in force.
    :param quotas: Customers' quotas.
    :param watcher: Notices callers who leave.
    :param most_requests: Requests that may be under way at once.
    """

    def __init__(
        self,
        tools: RelayTools,
        table: CurrentTable,
        quotas: QuotaBook,
        watcher: CallerWatcher,
        most_requests: int = MOST_REQUESTS,
    ) -> None:
        self._tools = tools
        self._table = table
        self._quotas = quotas
        self._watcher = watcher
        self._most_requests = most_requests
        self._plain = PlainRelay(tools)
        self._generations = GenerationRelay(tools)
        self._under_way = 0
        self._lock = threading.Lock()

    @property
    def under_way(self) -> int:
        """Number of requests that are being served."""
        with self._lock:
            return self._under_way

    def handle(self, request: GatewayRequest, responder: Responder) -> None:
        """
        Serve a request.

        :param request: The request.
        :param responder: Writes the answer.
        """
        with self._lock:
            self._under_way += 1
            is_full = self._under_way > self._most_requests
        try:
            if is_full:
                self._tools.telemetry.record_refusal(
                    None, "", RefusalReason.INSTANCE_FULL
                )
                raise RequestEnded(503, RefusalReason.INSTANCE_FULL, FULL_RETRY_SECONDS)
            self._serve(request, responder)
        except RequestEnded as ended:
            self._refuse(request, responder, ended)
        except CallerLost as lost:
            CallerGone(
                request_id=request.request_id,
                reason=str(lost),
            ).write()
            responder.abort()
        finally:
            with self._lock:
                self._under_way -= 1

    def _serve(self, request: GatewayRequest, responder: Responder) -> None:
        table = self._table.get()
        if table is None:
            raise RequestEnded(
                503, RefusalReason.NO_CONFIGURATION, STARTING_RETRY_SECONDS
            )
        route = table.route(request.host, request.path)
        if route is None:
            raise RequestEnded(404, RefusalReason.NO_ROUTE)
        customer = self._authenticate(table, route, request)
        job = self._job(table, route, customer, request)
        cost = self._take_quota(customer, request)
        self._tools.budget.requested(job.service.name, request.arrived_seconds)
        if request.connection is not None:
            self._watcher.add(request.connection, job.cancellation)
        try:
            self._relay(job, responder)
        except RequestEnded as ended:
            if ended.status in (429, 503) and customer is not None:
                self._quotas.give_back(customer, cost)
            self._tools.telemetry.record_refusal(
                job.customer_id, route.name, ended.reason
            )
            raise
        finally:
            self._watcher.remove(job.cancellation)
        RequestAnswered(
            request_id=request.request_id,
            route=route.name,
            customer=job.customer_id,
            version=table.configuration.version,
            took_seconds=self._tools.clock.now_seconds() - request.arrived_seconds,
            target_seconds=route.target_seconds,
        ).write()

    def _relay(self, job: Job, responder: Responder) -> None:
        prompt = job.request.prompt
        is_generation = job.service.engine is not None and prompt is not None
        if job.route.kind is RequestKind.STREAMING or is_generation:
            self._generations.serve(job, prompt or NO_PROMPT, responder)
        else:
            self._plain.serve(job, responder)

    def _authenticate(
        self, table: RouteTable, route: Route, request: GatewayRequest
    ) -> CustomerRules | None:
        if route.is_public or not table.needs_keys:
            return None
        customer = table.customer(request.key) if request.key else None
        if customer is None:
            raise RequestEnded(401, RefusalReason.UNKNOWN_KEY)
        return customer

    def _job(
        self,
        table: RouteTable,
        route: Route,
        customer: CustomerRules | None,
        request: GatewayRequest,
    ) -> Job:
        service = table.configuration.services.get(
            choose_service(route, request.request_id)
        )
        if service is None:
            raise RequestEnded(503, RefusalReason.NO_UPSTREAM, STARTING_RETRY_SECONDS)
        end_seconds = request.arrived_seconds + route.timeout_seconds
        if request.deadline_seconds is not None:
            end_seconds = min(end_seconds, request.deadline_seconds)
        return Job(
            request,
            route,
            service,
            customer,
            end_seconds - ANSWER_MARGIN_SECONDS,
            Cancellation(),
        )

    def _take_quota(
        self, customer: CustomerRules | None, request: GatewayRequest
    ) -> float:
        if customer is None:
            return 0.0
        cost = quota_cost(customer, request)
        beyond = self._quotas.admit(customer, cost, request.arrived_seconds)
        if beyond is not None:
            QuotaExceeded(
                request_id=request.request_id,
                customer=customer.customer_id,
                cost=cost,
                used=beyond.used_units,
                rate_per_second=customer.rate_per_second,
                burst=customer.burst,
                share=beyond.share,
                silent_peers=beyond.silent_peers,
                wait_seconds=beyond.wait_seconds,
            ).write()
            self._tools.telemetry.record_refusal(
                customer.customer_id, "", RefusalReason.OVER_QUOTA
            )
            raise RequestEnded(429, RefusalReason.OVER_QUOTA, beyond.wait_seconds)
        return cost

    def _refuse(
        self, request: GatewayRequest, responder: Responder, ended: RequestEnded
    ) -> None:
        RequestRefused(
            request_id=request.request_id,
            version=self._table.version,
            status=ended.status,
            reason=ended.reason.value,
            retry_after_seconds=ended.retry_after_seconds,
            took_seconds=self._tools.clock.now_seconds() - request.arrived_seconds,
        ).write()
        headers: tuple[tuple[str, str], ...] = ()
        if ended.retry_after_seconds is not None:
            headers = (("Retry-After", f"{ended.retry_after_seconds:.3f}"),)
        try:
            responder.respond(ended.status, headers, b"")
        except CallerLost as lost:
            CallerGone(
                request_id=request.request_id,
                reason=str(lost),
            ).write()


def quota_cost(customer: CustomerRules, request: GatewayRequest) -> float:
    """
    Return what a request counts against its customer's quota.

    :param customer: The customer.
    :param request: The request.
    """
    if customer.unit is QuotaUnit.REQUESTS:
        return 1.0
    if request.prompt is None:
        return customer.plain_cost
    return float(request.prompt.input_tokens + request.prompt.max_output_tokens)
