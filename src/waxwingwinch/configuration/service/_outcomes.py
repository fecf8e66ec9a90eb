"""Outcomes of the changes that a process read from the stream."""

import threading
from collections import OrderedDict, deque
from collections.abc import Iterable

from attrs import frozen

from waxwingwinch.configuration import (
    Accepted,
    ChangeOutcome,
    ConfigurationChange,
    Refused,
)
from waxwingwinch.configuration.service._publishing import Published

#: Number of outcomes kept in memory for ``config history`` and for retries.
MAX_OUTCOMES = 256


@frozen
class AcceptedChange:
    """
    An accepted change in the history.

    :param version: Configuration version created by the change.
    :param change: The change.
    """

    version: int
    change: ConfigurationChange


class OutcomeHistory:
    """Keeps the outcomes of the newest changes in memory."""

    def __init__(self) -> None:
        self._outcomes: OrderedDict[str, ChangeOutcome] = OrderedDict()
        self._history: deque[AcceptedChange] = deque(maxlen=MAX_OUTCOMES)
        self._lock = threading.Lock()

    def __contains__(self, change_id: str) -> bool:
        return change_id in self._outcomes

    def add(self, outcomes: Iterable[ChangeOutcome]) -> None:
        """
        Add outcomes; the oldest are dropped above ``MAX_OUTCOMES``.

        :param outcomes: In log order.
        """
        with self._lock:
            for outcome in outcomes:
                self._add(outcome)

    def history(self) -> tuple[AcceptedChange, ...]:
        """Return the accepted changes, oldest first."""
        with self._lock:
            return tuple(self._history)

    def result_of(self, change_id: str) -> Published | Refused | None:
        """
        Return the outcome of a change; None if it is not in memory.

        :param change_id: Id of the change.
        """
        with self._lock:
            outcome = self._outcomes.get(change_id)
        if outcome is None:
            return None
        match outcome.result:
            case Accepted(state):
                return Published(state.version)
            case Refused() as refused:
                return refused

    def _add(self, outcome: ChangeOutcome) -> None:
        change = outcome.change
        # A duplicate with the same id does not replace the first outcome.
        self._outcomes.setdefault(change.change_id, outcome)
        if isinstance(outcome.result, Accepted):
            version = outcome.result.state.version
            self._history.append(AcceptedChange(version, change))
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
