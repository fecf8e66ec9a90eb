"""Demand counters that an entry reports to the fleet duty's holder."""

import threading

from attrs import define

from waxwingwinch._types import ModelName
from waxwingwinch.contracts import DemandSample, InFlightCount
from waxwingwinch.entry._in_flight import InFlightTracker


@define
class _ModelDemand:
    """Sums of one model since the last sample."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    refused: int = 0
    late: int = 0


class EntryDemand:
    """
    Sums up demand by model, see
    :class:`waxwingwinch.contracts.DemandSource`.

    :param in_flight: The requests in progress.
    :param now_seconds: Monotonic time at the start.
    """

    def __init__(self, in_flight: InFlightTracker, now_seconds: float) -> None:
        self._in_flight = in_flight
        self._taken_seconds = now_seconds
        self._models: dict[ModelName, _ModelDemand] = {}
        self._lock = threading.Lock()

    def in_flight(self) -> tuple[InFlightCount, ...]:
        """Return this instance's work in progress by upstream."""
        return self._in_flight.counts()

    def record_arrival(self, model: ModelName, prompt_tokens: int) -> None:
        """
        Count a request that arrived.

        :param model: The model.
        :param prompt_tokens: Length of its prompt.
        """
        with self._lock:
            demand = self._models.setdefault(model, _ModelDemand())
            demand.requests += 1
            demand.prompt_tokens += prompt_tokens

    def record_output(self, model: ModelName, output_tokens: int) -> None:
        """
        Count generated tokens.

        :param model: The model.
        :param output_tokens: Number of tokens.
        """
        with self._lock:
            demand = self._models.setdefault(model, _ModelDemand())
            demand.output_tokens += output_tokens

    def record_refusal(self, model: ModelName) -> None:
        """
        Count a request that was refused or failed before it ran.

        :param model: The model.
        """
        with self._lock:
            self._models.setdefault(model, _ModelDemand()).refused += 1

    def record_late_request(self, model: ModelName) -> None:
        """
        Count a request whose first token was later than promised.

        :param model: The model.
        """
        with self._lock:
            self._models.setdefault(model, _ModelDemand()).late += 1

    def take_demand(self, now_seconds: float) -> tuple[DemandSample, ...]:
        """
        Return the demand since the last call and reset the counters.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            models, self._models = self._models, {}
            seconds = now_seconds - self._taken_seconds
            self._taken_seconds = now_seconds
        return tuple(
            DemandSample(
                model,
                seconds,
                demand.requests,
                demand.prompt_tokens,
                demand.output_tokens,
                demand.refused,
                demand.late,
            )
            for model, demand in sorted(models.items())
        )
