"""What became of the changes that a process read."""

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

#: How many decided changes are kept for ``config history`` and for retries.
KEPT_OUTCOMES = 256


@frozen
class AcceptedChange:
    """
    One entry of the history.

    :param version: The version that it made.
    :param change: The change.
    """

    version: int
    change: ConfigurationChange


class OutcomeLog:
    """Keeps the outcomes of the newest changes in memory."""

    def __init__(self) -> None:
        self._outcomes: OrderedDict[str, ChangeOutcome] = OrderedDict()
        self._history: deque[AcceptedChange] = deque(maxlen=KEPT_OUTCOMES)
        self._lock = threading.Lock()

    def __contains__(self, change_id: str) -> bool:
        return change_id in self._outcomes

    def add(self, outcomes: Iterable[ChangeOutcome]) -> None:
        """
        Keep outcomes, dropping the oldest.

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
        Return the outcome of a change; None if it was not read.

        :param change_id: The change's name.
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
        # A retry under one id keeps its first outcome.
        self._outcomes.setdefault(change.change_id, outcome)
        if isinstance(outcome.result, Accepted):
            version = outcome.result.state.version
            self._history.append(AcceptedChange(version, change))
        while len(self._outcomes) > KEPT_OUTCOMES:
            self._outcomes.popitem(last=False)
