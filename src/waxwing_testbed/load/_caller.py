"""A caller that discovers instances, connects, and comes back when told."""

import threading
import time

from waxwing_testbed.history import CallEvent, CallKind, CallOutcome, History
from waxwing_testbed.load._calls import Call, CallSender, PlainRequest
from waxwing_testbed.load._discovery import Discovery

#: Pause before a retry when the answer named none.
DEFAULT_RETRY_SECONDS = 0.2
#: Longest pause before a retry.
MAX_RETRY_SECONDS = 2.0


class Caller:
    """
    Sends calls of one customer and records each try.

    :param sender: Sends single calls.
    :param discovery: Names the instances.
    :param history: Where each try is recorded.
    :param max_tries: Tries of a call that may be repeated.
    """

    def __init__(
        self,
        sender: CallSender,
        discovery: Discovery,
        history: History,
        max_tries: int = 3,
    ) -> None:
        self._sender = sender
        self._discovery = discovery
        self._history = history
        self._max_tries = max_tries
        self._pause = threading.Event()

    def call(self, call: Call) -> CallEvent:
        """
        Send a call, repeating it where that is safe.

        :param call: What to ask for.
        :returns: The last try.
        """
        for number in range(self._max_tries):
            event = self._try(call, number)
            self._history.add(event)
            if not _may_retry(call, event):
                break
            if number + 1 < self._max_tries:
                self._pause.wait(_pause_seconds(event))
        return event

    def _try(self, call: Call, number: int) -> CallEvent:
        addresses = self._discovery.addresses(time.monotonic())
        event = self._sender.send(addresses[number % len(addresses)], call)
        if event.outcome is CallOutcome.BROKEN:
            self._discovery.forget()
        return event


def _pause_seconds(event: CallEvent) -> float:
    asked_seconds = event.retry_after_seconds or DEFAULT_RETRY_SECONDS
    return min(asked_seconds, MAX_RETRY_SECONDS)


def _may_retry(call: Call, event: CallEvent) -> bool:
    """Tell whether a caller that wants one execution may ask again."""
    if event.status in (400, 401, 404, 413, 422):
        return False
    match event.outcome:
        case CallOutcome.WHOLE | CallOutcome.WRONG | CallOutcome.RAN:
            return False
        case CallOutcome.NOT_RUN:
            return True
        case CallOutcome.UNKNOWN | CallOutcome.BROKEN:
            if isinstance(call, PlainRequest):
                return call.kind is CallKind.READ or bool(call.idempotency_key)
            return True
