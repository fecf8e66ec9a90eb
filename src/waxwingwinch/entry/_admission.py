"""Letting generations through to the engines, or refusing them."""

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
from waxwingwinch.entry._customer_work import CustomerWorkBook
from waxwingwinch.entry._errors import ErrorCode, RequestFailed
from waxwingwinch.entry._router import EngineRouter, Generation
from waxwingwinch.entry._services import EntryServices

#: How often a waiting request asks again.
WAITING_POLL_SECONDS = 0.05
#: Wait that is assumed while no engine takes new work.
NO_ENGINE_QUEUE_SECONDS = 5.0


@frozen
class AdmissionTicket:
    """
    A generation that asks to be let through.

    :param generation: The generation.
    :param customer_id: Its customer.
    :param promised_seconds: Promised time to the first token.
    :param arrived_seconds: Monotonic time at which it came.
    :param deadline_seconds: Monotonic time by which it must be answered.
    :param check: Raises when the caller no longer wants or may have it.
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
class LetThrough:
    """
    A generation that may be sent.

    :param choice: Where to.
    :param priority: Its priority there.
    """

    choice: Routed
    priority: int


class AdmissionControl:
    """
    Decides under overload whose requests are served.

    :param services: The services of the entry.
    :param router: Chooses engines.
    """

    def __init__(self, services: EntryServices, router: EngineRouter) -> None:
        self._services = services
        self._router = router
        #: Recent work of all customers.
        self.work = CustomerWorkBook(services.options.instance_id)
        self._waiting = 0
        self._lock = threading.Lock()

    def let_through(self, ticket: AdmissionTicket) -> LetThrough:
        """
        Wait until a generation may be sent.

        :param ticket: The generation.
        :raises RequestFailed: If it is refused; it has not run.
        """
        configuration = self._services.configuration.current()
        customer = configuration.customers.get(ticket.customer_id)
        weight = customer.weight if customer is not None else 1.0
        now_seconds = self._services.clock.now_seconds()
        self.work.demanded(ticket.customer_id, weight, ticket.tokens, now_seconds)
        through = self._decide(ticket, 0)
        if through is None:
            through = self._wait(ticket)
        now_seconds = self._services.clock.now_seconds()
        self.work.admitted(ticket.customer_id, ticket.tokens, now_seconds)
        return through

    def _wait(self, ticket: AdmissionTicket) -> LetThrough:
        with self._lock:
            others = self._waiting
            self._waiting += 1
        try:
            while True:
                # Decided with those that waited before, so that a full room
                # refuses the newcomer and not those inside.
                through = self._decide(ticket, others)
                if through is not None:
                    return through
                others = 0
                time.sleep(WAITING_POLL_SECONDS)
                ticket.check()
        finally:
            with self._lock:
                self._waiting -= 1

    def _decide(self, ticket: AdmissionTicket, waiting: int) -> LetThrough | None:
        now_seconds = self._services.clock.now_seconds()
        choice = self._router.choose(ticket.generation, now_seconds)
        match self._decision(ticket, choice, waiting, now_seconds):
            case Admit(priority) if isinstance(choice, Routed):
                self._explain(DecisionKind.ROUTED, ticket, choice.reason)
                return LetThrough(choice, priority)
            case Shed(retry_after_seconds, reason):
                if isinstance(choice, NoEngine):
                    reason = choice.reason
                self._explain(DecisionKind.REFUSED, ticket, reason)
                raise RequestFailed(
                    503,
                    ErrorCode.OVERLOADED,
                    reason,
                    retry_after_seconds=retry_after_seconds,
                )
            case Wait() | Admit():
                return None

    def _decision(
        self,
        ticket: AdmissionTicket,
        choice: RoutingChoice,
        waiting: int,
        now_seconds: float,
    ) -> AdmissionDecision:
        queue_seconds = first_token_seconds = NO_ENGINE_QUEUE_SECONDS
        if isinstance(choice, Routed):
            queue_seconds = choice.queue_seconds
            first_token_seconds = choice.first_token_seconds
        request = AdmissionRequest(
            ticket.customer_id,
            queue_seconds,
            first_token_seconds,
            ticket.promised_seconds,
            ticket.deadline_seconds,
            ticket.arrived_seconds,
            waiting,
        )
        works = self.work.fleet_wide(self._weights(), now_seconds)
        return decide_admission(request, works, now_seconds)

    def _weights(self) -> dict[CustomerId, float]:
        customers = self._services.configuration.current().customers
        return {name: customer.weight for name, customer in customers.items()}

    def _explain(self, kind: DecisionKind, ticket: AdmissionTicket, text: str) -> None:
        request_id = ticket.generation.request_id
        self._services.explain(kind, request_id, text, ticket.customer_id)
