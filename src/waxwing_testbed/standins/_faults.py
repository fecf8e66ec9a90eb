"""Faults of a stand-in, switched while it runs."""

import enum
import random
import threading
from collections.abc import Callable

from attrs import evolve, frozen

from waxwing_testbed.web import ConnectionDropped, Reply, Request, error_reply

#: How often a held call looks whether its fault has ended.
_POLL_SECONDS = 0.02
_STATUS_UNAVAILABLE = 503


class Outage(enum.Enum):
    """How an operation is out of order."""

    NONE = "none"
    #: Answers 503 without running the call.
    REFUSE = "refuse"
    #: Holds the call, and drops it without running it once the fault ends.
    HANG = "hang"


@frozen
class Fault:
    """
    What goes wrong with one operation.

    :param outage: Whether calls run at all.
    :param delay_seconds: Wait before a call runs, so that its effect can
        come after its caller has given up.
    :param answer_delay_seconds: Wait between effect and answer.
    :param drop_before_next: Calls to drop before they run.
    :param lose_answers_next: Calls whose answers are dropped after they ran.
    :param lose_answers_probability: Share of further calls whose answers
        are dropped after they ran.
    :param wrong_request_id_next: Answers that carry another request's id.
    :param short_body_next: Answers whose bodies are cut short.
    """

    outage: Outage = Outage.NONE
    delay_seconds: float = 0.0
    answer_delay_seconds: float = 0.0
    drop_before_next: int = 0
    lose_answers_next: int = 0
    lose_answers_probability: float = 0.0
    wrong_request_id_next: int = 0
    short_body_next: int = 0


class Counter(enum.Enum):
    """The faults that hit a number of calls."""

    DROP_BEFORE = "drop_before"
    LOSE_ANSWERS = "lose_answers"
    WRONG_REQUEST_ID = "wrong_request_id"
    SHORT_BODY = "short_body"


class FaultSwitches:
    """
    The faults of one stand-in by operation.

    :param operations: The names of the operations.
    :param seed: Seed of the lost answers.
    """

    def __init__(self, operations: tuple[str, ...], seed: int) -> None:
        self._faults = dict.fromkeys(operations, Fault())
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def set(self, operation: str, fault: Fault) -> None:
        """
        Replace the fault of an operation.

        :param operation: Its name.
        :param fault: What goes wrong from now on.
        :raises KeyError: If there is no such operation.
        """
        with self._lock:
            if operation not in self._faults:
                raise KeyError(operation)
            self._faults[operation] = fault

    def clear(self) -> None:
        """End all faults."""
        with self._lock:
            self._faults = dict.fromkeys(self._faults, Fault())

    def stop(self) -> None:
        """Release all held calls."""
        self._stopped.set()

    def guard(
        self, operation: str, handler: Callable[[Request], Reply]
    ) -> Callable[[Request], Reply]:
        """
        Wrap a handler so that it suffers the faults of an operation.

        :param operation: Its name.
        :param handler: Carries out the calls.
        """

        def guarded(request: Request) -> Reply:
            refused = self.before(operation)
            if refused is not None:
                return refused
            reply = handler(request)
            self.after(operation)
            return self._altered(operation, reply)

        return guarded

    def before(self, operation: str) -> Reply | None:
        """
        Suffer what comes ahead of the effect.

        :param operation: Name of the operation.
        :returns: An answer to send instead of running the call, or None.
        :raises ConnectionDropped: If the call is dropped.
        """
        self._stopped.wait(self._faults[operation].delay_seconds)
        if self._take(operation, Counter.DROP_BEFORE):
            raise ConnectionDropped("dropped before the effect")
        match self._faults[operation].outage:
            case Outage.REFUSE:
                return error_reply(_STATUS_UNAVAILABLE, "unavailable", operation)
            case Outage.HANG:
                self._hang(operation)
                raise ConnectionDropped("held until the outage ended")
            case Outage.NONE:
                return None

    def after(self, operation: str) -> None:
        """
        Suffer what comes between effect and answer.

        :param operation: Name of the operation.
        :raises ConnectionDropped: If the answer is lost.
        """
        fault = self._faults[operation]
        self._stopped.wait(fault.answer_delay_seconds)
        if self._take(operation, Counter.LOSE_ANSWERS):
            raise ConnectionDropped("answer lost")
        with self._lock:
            lost = self._random.random() < fault.lose_answers_probability
        if lost:
            raise ConnectionDropped("answer lost")

    def take_wrong_request_id(self, operation: str) -> bool:
        """
        Tell whether the next answer carries another request's id.

        :param operation: Name of the operation.
        """
        return self._take(operation, Counter.WRONG_REQUEST_ID)

    def _hang(self, operation: str) -> None:
        while self._faults[operation].outage is Outage.HANG:
            if self._stopped.wait(_POLL_SECONDS):
                return

    def _altered(self, operation: str, reply: Reply) -> Reply:
        if self.take_wrong_request_id(operation):
            headers = tuple(
                (name, f"not-{value}" if name == "X-Request-Id" else value)
                for name, value in reply.headers
            )
            reply = evolve(reply, headers=headers)
        if self._take(operation, Counter.SHORT_BODY):
            length = len(reply.body)
            half = reply.body[: length // 2]
            reply = evolve(reply, body=half, announced_bytes=length)
        return reply

    def _take(self, operation: str, counter: Counter) -> bool:
        """Count down one of the counters; False if it is at 0."""
        with self._lock:
            fault = self._faults[operation]
            left = _count(fault, counter)
            if left > 0:
                self._faults[operation] = _with_count(fault, counter, left - 1)
            return left > 0


def _count(fault: Fault, counter: Counter) -> int:
    match counter:
        case Counter.DROP_BEFORE:
            return fault.drop_before_next
        case Counter.LOSE_ANSWERS:
            return fault.lose_answers_next
        case Counter.WRONG_REQUEST_ID:
            return fault.wrong_request_id_next
        case Counter.SHORT_BODY:
            return fault.short_body_next


def _with_count(fault: Fault, counter: Counter, count: int) -> Fault:
    match counter:
        case Counter.DROP_BEFORE:
            return evolve(fault, drop_before_next=count)
        case Counter.LOSE_ANSWERS:
            return evolve(fault, lose_answers_next=count)
        case Counter.WRONG_REQUEST_ID:
            return evolve(fault, wrong_request_id_next=count)
        case Counter.SHORT_BODY:
            return evolve(fault, short_body_next=count)
