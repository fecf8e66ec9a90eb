"""Admission control: queues generations and sheds load under overload."""

import threading
import time
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._types import CustomerId
from waxwingwinch.contracts import DecisionKind
from waxwingwinch.decisions import (
    AdmissionDecision,
    AdmissionRequest,
    Admit,
    NoEngine,
    Routed,
    RoutingChoice,
    Shed,
    Wait,
    decide_admission,
)
from waxwingwinch.entry._customer_work import CustomerWorkTracker
from waxwingwinch.entry._errors import ErrorCode, RequestFailed
from waxwingwinch.entry._router import EngineRouter, Generation
from waxwingwinch.entry._services import EntryServices

#: Interval at which a queued request is decided again.
ADMISSION_POLL_INTERVAL_SECONDS = 0.05
#: Queueing time and time to the first token assumed while no engine accepts
#: new work.
NO_ENGINE_ASSUMED_SECONDS = 5.0


@frozen
class PendingGeneration:
    """
    A generation that awaits its admission decision.

    :param generation: The generation.
    :param customer_id: The customer that sent the request.
    :param promised_seconds: Promised time to the first token.
    :param arrived_seconds: Monotonic time at which the request arrived.
    :param deadline_seconds: Monotonic time by which the response must be
        complete.
    :param check: Raises if the request must not run any more: the caller
        disconnected, its key was withdrawn or the deadline has passed.
    """

    generation: Generation
    customer_id: CustomerId
    promised_seconds: float
    arrived_seconds: float
    deadline_seconds: float
    check: Callable[[], None]

    @property
    def tokens(self) -> int:
        """Prompt and expected output tokens."""
        routing = self.generation.routing
        return routing.prompt_tokens + routing.expected_output_tokens


@frozen
class AdmittedGeneration:
    """
    The decision to send a generation.

    :param choice: The engines to send it to.
    :param priority: Its scheduling priority at the engine.
    """

    choice: Routed
    priority: int


class AdmissionControl:
    """
    Decides under overload which customers' requests are served.

    :param services: The services of the entry.
    :param router: Chooses the engine of a generation.
    """

    def __init__(self, services: EntryServices, router: EngineRouter) -> None:
        self._services = services
        self._router = router
        #: Recent work by customer, here and at the peers.
        self.customer_work = CustomerWorkTracker(services.options.instance_id)
        self._waiting_count = 0
        self._lock = threading.Lock()

    def admit(self, pending: PendingGeneration) -> AdmittedGeneration:
        """
        Wait until a generation may be sent to an engine.

        :param pending: The generation.
        :raises RequestFailed: If it is refused; it has not run. Also raises
            whatever ``pending.check`` raises while the generation waits.
        """
        configuration = self._services.configuration.current()
        customer = configuration.customers.get(pending.customer_id)
        weight = customer.weight if customer is not None else 1.0
        now_seconds = self._services.clock.now_seconds()
        self.customer_work.record_demand(
            pending.customer_id, weight, pending.tokens, now_seconds
        )
        # The first attempt ignores the queue: a request that can be sent at
        # once may overtake queued ones.
        admitted = self._try_admit(pending, 0)
        if admitted is None:
            admitted = self._wait(pending)
        now_seconds = self._services.clock.now_seconds()
        self.customer_work.record_admission(
            pending.customer_id, pending.tokens, now_seconds
        )
        return admitted

    def _wait(self, pending: PendingGeneration) -> AdmittedGeneration:
        with self._lock:
            waiting_requests = self._waiting_count
            self._waiting_count += 1
        try:
            while True:
                # Only the first decision in the queue counts the requests
                # queued earlier, so a full queue refuses new requests and
                # not those already in it.
                admitted = self._try_admit(pending, waiting_requests)
                if admitted is not None:
                    return admitted
                waiting_requests = 0
                time.sleep(ADMISSION_POLL_INTERVAL_SECONDS)
                pending.check()
        finally:
            with self._lock:
                self._waiting_count -= 1

    def _try_admit(
        self, pending: PendingGeneration, waiting_requests: int
    ) -> AdmittedGeneration | None:
        now_seconds = self._services.clock.now_seconds()
        choice = self._router.choose(pending.generation, now_seconds)
        match self._decide_admission(pending, choice, waiting_requests, now_seconds):
            case Admit(priority) if isinstance(choice, Routed):
                self._explain(DecisionKind.ROUTED, pending, choice.reason)
                return AdmittedGeneration(choice, priority)
            case Shed(retry_after_seconds, reason):
                if isinstance(choice, NoEngine):
                    reason = choice.reason
                self._explain(DecisionKind.REFUSED, pending, reason)
                raise RequestFailed(
                    503,
                    ErrorCode.OVERLOADED,
                    reason,
                    retry_after_seconds=retry_after_seconds,
                )
            # An admitted request also waits if no engine accepts new work.
            case Wait() | Admit():
                return None

    def _decide_admission(
        self,
        pending: PendingGeneration,
        choice: RoutingChoice,
        waiting_requests: int,
        now_seconds: float,
    ) -> AdmissionDecision:
        queue_seconds = first_token_seconds = NO_ENGINE_ASSUMED_SECONDS
        if isinstance(choice, Routed):
            queue_seconds = choice.queue_seconds
            first_token_seconds = choice.first_token_seconds
        request = AdmissionRequest(
            pending.customer_id,
            queue_seconds,
            first_token_seconds,
            pending.promised_seconds,
            pending.deadline_seconds,
            pending.arrived_seconds,
            waiting_requests,
        )
        works = self.customer_work.total_work(self._weights(), now_seconds)
        return decide_admission(request, works, now_seconds)

    def _weights(self) -> dict[CustomerId, float]:
        customers = self._services.configuration.current().customers
        return {name: customer.weight for name, customer in customers.items()}

    def _explain(
        self, kind: DecisionKind, pending: PendingGeneration, text: str
    ) -> None:
        request_id = pending.generation.request_id
        self._services.explain(kind, request_id, text, pending.customer_id)
