"""Request handling: routing, authentication, quotas and relaying."""

import random
import threading

from waxwingwinch.gateway._caller_watcher import CallerWatcher
from waxwingwinch.gateway._connections import Cancellation, CancelReason
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._generation_relay import GenerationRelay
from waxwingwinch.gateway._job import Job, RelayContext
from waxwingwinch.gateway._memory_account import MemoryExhausted
from waxwingwinch.gateway._model import (
    CustomerRules,
    QuotaUnit,
    RequestKind,
    Route,
)
from waxwingwinch.gateway._outcomes import (
    CallerDisconnected,
    RefusalReason,
    RequestEnded,
    Responder,
)
from waxwingwinch.gateway._plain_relay import PlainRelay
from waxwingwinch.gateway._quota import QuotaTracker
from waxwingwinch.gateway._request_log_lines import (
    CallerConnectionClosed,
    MemoryRefused,
    QuotaExceeded,
    RequestAnswered,
    RequestRefused,
)
from waxwingwinch.gateway._requests import GatewayRequest, Prompt
from waxwingwinch.gateway._routes import RouteTable, choose_service
from waxwingwinch.gateway._stop import StopSchedule

#: Used for a streaming request that declares no prompt.
EMPTY_PROMPT = Prompt("", 0, 0)
#: Time reserved for sending the response to the caller.
RESPONSE_MARGIN_SECONDS = 0.02
#: ``Retry-After`` of an instance that has no configuration yet or whose
#: configuration lacks the service of the route.
STARTING_RETRY_SECONDS = 0.5
#: ``Retry-After`` of an instance at its bound on concurrent requests; about
#: the duration of a request.
FULL_RETRY_SECONDS = 0.5
#: ``Retry-After`` of an instance that is about to end; other instances serve.
STOPPING_RETRY_SECONDS = 0.05
#: Bounds of the ``Retry-After`` of a request for which there is no memory;
#: spread, so that the callers of long bodies don't return together.
MEMORY_RETRY_SECONDS = (0.3, 0.9)
#: Upper bound on the requests in progress, whatever the memory; a single
#: Python interpreter makes no use of more.
MAX_CONCURRENT_REQUESTS = 256
#: File descriptors per request: the caller, the upstream, and idle
#: connections to both.
DESCRIPTORS_PER_REQUEST = 8


def max_concurrent_requests(descriptors: int) -> int:
    """
    Return the number of requests that an instance may serve concurrently.

    The memory of each is reserved as it begins.

    :param descriptors: File descriptors that the process may open.
    """
    by_descriptors = descriptors // DESCRIPTORS_PER_REQUEST
    return max(min(MAX_CONCURRENT_REQUESTS, by_descriptors), 1)


class RequestHandler:
    """
    Handles the requests of callers.

    :param context: Dependencies shared by the relays of the process.
    :param table: The configuration in force.
    :param quotas: Customers' quotas.
    :param watcher: Cancels the requests of callers who disconnect.
    :param max_concurrent_requests: Requests that may be in progress at once.
    """

    def __init__(
        self,
        context: RelayContext,
        table: CurrentTable,
        quotas: QuotaTracker,
        watcher: CallerWatcher,
        max_concurrent_requests: int = MAX_CONCURRENT_REQUESTS,
    ) -> None:
        self._context = context
        self._table = table
        self._quotas = quotas
        self._watcher = watcher
        self._max_concurrent_requests = max_concurrent_requests
        self._plain_relay = PlainRelay(context)
        self._generation_relay = GenerationRelay(context)
        self._under_way = 0
        self._stop_schedule: StopSchedule | None = None
        self._cancellations: dict[Cancellation, GatewayRequest] = {}
        self._lock = threading.Lock()

    @property
    def under_way(self) -> int:
        """Number of requests in progress."""
        with self._lock:
            return self._under_way

    def begin_stop(self, schedule: StopSchedule) -> None:
        """
        Answer all requests before the process ends.

        :param schedule: Until when requests are taken and answered.
        """
        self._stop_schedule = schedule

    def cancel_all(self) -> tuple[GatewayRequest, ...]:
        """Cancel the requests in progress, and return those not yet so."""
        with self._lock:
            requests = dict(self._cancellations)
        cancelled = tuple(
            request
            for cancellation, request in requests.items()
            if cancellation.reason is None
        )
        for cancellation in requests:
            cancellation.cancel(CancelReason.STOPPING)
        return cancelled

    def handle(self, request: GatewayRequest, responder: Responder) -> None:
        """
        Handle a request.

        :param request: The request.
        :param responder: Writes the response.
        """
        with self._lock:
            self._under_way += 1
            is_full = self._under_way > self._max_concurrent_requests
        try:
            if is_full:
                self._context.telemetry.record_refusal(
                    None, "", RefusalReason.INSTANCE_FULL
                )
                raise RequestEnded(503, RefusalReason.INSTANCE_FULL, FULL_RETRY_SECONDS)
            self._serve(request, responder)
        except RequestEnded as ended:
            self._refuse(request, responder, ended)
        except CallerDisconnected as lost:
            CallerConnectionClosed(
                request_id=request.request_id,
                reason=str(lost),
            ).write()
            responder.abort()
        finally:
            with self._lock:
                self._under_way -= 1

    def refuse_for_memory(
        self,
        request: GatewayRequest,
        responder: Responder,
        exhausted: MemoryExhausted,
    ) -> None:
        """
        Refuse a request for which there is no memory; it isn't run.

        :param request: The request, without its body.
        :param responder: Writes the response.
        :param exhausted: What was requested and free.
        """
        MemoryRefused(
            request_id=request.request_id,
            requested_bytes=exhausted.requested_bytes,
            free_bytes=exhausted.free_bytes,
            held_bytes=self._context.memory.held_bytes,
        ).write()
        self._context.telemetry.record_refusal(None, "", RefusalReason.MEMORY)
        retry_seconds = random.uniform(*MEMORY_RETRY_SECONDS)
        ended = RequestEnded(503, RefusalReason.MEMORY, retry_seconds)
        self._refuse(request, responder, ended)

    def note_exhausted(self, exhausted: MemoryExhausted) -> None:
        """
        Count a request that was refused as there was no memory for its head.

        :param exhausted: What was requested and free.
        """
        MemoryRefused(
            request_id="",
            requested_bytes=exhausted.requested_bytes,
            free_bytes=exhausted.free_bytes,
            held_bytes=self._context.memory.held_bytes,
        ).write()
        self._context.telemetry.record_refusal(None, "", RefusalReason.MEMORY)

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
        job = self._create_job(table, route, customer, request)
        responder.write_until(job.cut_seconds)
        cost = self._charge_quota(customer, request)
        self._context.budget.record_request(job.service.name, request.arrived_seconds)
        if request.connection is not None:
            self._watcher.add(request.connection, job.cancellation)
        with self._lock:
            self._cancellations[job.cancellation] = request
        try:
            self._relay(job, responder)
        except RequestEnded as ended:
            # 429 and 503 mean that no upstream executes the request.
            if ended.status in (429, 503) and customer is not None:
                self._quotas.refund(customer, cost)
            self._context.telemetry.record_refusal(
                job.customer_id, route.name, ended.reason
            )
            raise
        finally:
            self._watcher.remove(job.cancellation)
            with self._lock:
                self._cancellations.pop(job.cancellation, None)
        RequestAnswered(
            request_id=request.request_id,
            route=route.name,
            customer=job.customer_id,
            version=table.configuration.version,
            took_seconds=self._context.clock.now_seconds() - request.arrived_seconds,
            target_seconds=route.target_seconds,
        ).write()

    def _relay(self, job: Job, responder: Responder) -> None:
        prompt = job.request.prompt
        is_generation = job.service.engine is not None and prompt is not None
        if job.route.kind is RequestKind.STREAMING or is_generation:
            self._generation_relay.serve(job, prompt or EMPTY_PROMPT, responder)
        else:
            self._plain_relay.serve(job, responder)

    def _authenticate(
        self, table: RouteTable, route: Route, request: GatewayRequest
    ) -> CustomerRules | None:
        if route.is_public or not table.needs_keys:
            return None
        customer = table.customer(request.key) if request.key else None
        if customer is None:
            raise RequestEnded(401, RefusalReason.UNKNOWN_KEY)
        return customer

    def _create_job(
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
        end_seconds = self._end_before_stop(request, end_seconds)
        return Job(
            request,
            route,
            service,
            customer,
            end_seconds - RESPONSE_MARGIN_SECONDS,
            end_seconds,
            Cancellation(),
        )

    def _end_before_stop(self, request: GatewayRequest, end_seconds: float) -> float:
        """Return the deadline of a request, bounded by that of the process."""
        schedule = self._stop_schedule
        if schedule is None:
            return end_seconds
        bounded_seconds = schedule.deadline_seconds(
            request.arrived_seconds, end_seconds
        )
        if bounded_seconds is None:
            raise RequestEnded(503, RefusalReason.STOPPING, STOPPING_RETRY_SECONDS)
        return bounded_seconds

    def _charge_quota(
        self, customer: CustomerRules | None, request: GatewayRequest
    ) -> float:
        if customer is None:
            return 0.0
        cost = quota_cost(customer, request)
        excess = self._quotas.admit(customer, cost, request.arrived_seconds)
        if excess is not None:
            QuotaExceeded(
                request_id=request.request_id,
                customer=customer.customer_id,
                cost=cost,
                used=excess.used_units,
                rate_per_second=customer.rate_per_second,
                burst=customer.burst,
                share=excess.share,
                silent_peers=excess.silent_peers,
                wait_seconds=excess.wait_seconds,
            ).write()
            self._context.telemetry.record_refusal(
                customer.customer_id, "", RefusalReason.OVER_QUOTA
            )
            raise RequestEnded(429, RefusalReason.OVER_QUOTA, excess.wait_seconds)
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
            took_seconds=self._context.clock.now_seconds() - request.arrived_seconds,
        ).write()
        headers: tuple[tuple[str, str], ...] = ()
        if ended.retry_after_seconds is not None:
            headers = (("Retry-After", f"{ended.retry_after_seconds:.3f}"),)
        try:
            responder.respond(ended.status, headers, b"")
        except CallerDisconnected as lost:
            CallerConnectionClosed(
                request_id=request.request_id,
                reason=str(lost),
            ).write()


def quota_cost(customer: CustomerRules, request: GatewayRequest) -> float:
    """
    Return the units of quota that a request consumes.

    :param customer: The customer.
    :param request: The request.
    """
    if customer.unit is QuotaUnit.REQUESTS:
        return 1.0
    if request.prompt is None:
        return customer.plain_cost
    return float(request.prompt.input_tokens + request.prompt.max_output_tokens)
