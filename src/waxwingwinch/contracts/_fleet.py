"""Protocols of the process's view of upstreams and of demand."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import (
    EngineRole,
    ModelName,
    UpstreamId,
    UpstreamState,
)
from waxwingwinch.interfaces import ListedUpstream, LoadReport


@frozen
class UpstreamView:
    """
    State of one upstream as known to this process.

    :param listed: The upstream's row in the platform's list.
    :param state: The platform's state combined with drains ordered by the
        system; only upstreams that are ``ACTIVE`` get new work.
    :param role: Current role; None for a plain service.
    :param model: Current model; empty for a plain service.
    :param load: The newest load report; None if there is none.
    :param load_taken_seconds: Monotonic time at which the figures of the
        report were measured: the time of receipt minus their age.
    :param cached_prefixes: Hashes of the prefixes that are probably cached,
        according to the engine's cache events.
    """

    listed: ListedUpstream
    state: UpstreamState
    role: EngineRole | None = None
    model: ModelName = ModelName("")
    load: LoadReport | None = None
    load_taken_seconds: float = 0.0
    cached_prefixes: frozenset[str] = frozenset()

    @property
    def upstream_id(self) -> UpstreamId:
        """Name of the upstream."""
        return self.listed.upstream_id


class FleetView(Protocol):
    """All upstreams of the cell."""

    def engines(self, model: ModelName) -> tuple[UpstreamView, ...]:
        """
        Return the engines that serve a model, whatever their state.

        :param model: The model.
        """

    def plain(self, service: str) -> tuple[UpstreamView, ...]:
        """
        Return the upstreams of a plain service, whatever their state.

        :param service: Name of the service.
        """

    def all(self) -> tuple[UpstreamView, ...]:
        """Return all upstreams."""

    def fleet_offset(self) -> int:
        """Return the offset up to which directives were read.

        Directives are drains and role changes.
        """


@frozen
class InFlightCount:
    """
    Work in progress of one instance at one upstream.

    :param upstream_id: The upstream.
    :param requests: Requests in progress.
    :param prompt_tokens: Prompt tokens of the requests in progress that have
        no first token yet.
    """

    upstream_id: UpstreamId
    requests: int
    prompt_tokens: int


@frozen
class DemandSample:
    """
    Demand for one model at one instance since the previous sample.

    :param model: The model.
    :param seconds: Time covered by the sample.
    :param requests: Requests that arrived.
    :param prompt_tokens: Prompt tokens of the requests that arrived.
    :param output_tokens: Tokens that were generated.
    :param refused: Requests refused for lack of capacity.
    :param late: Requests whose first token was later than the target time.
    """

    model: ModelName
    seconds: float
    requests: int
    prompt_tokens: int
    output_tokens: int
    refused: int
    late: int


class DemandSource(Protocol):
    """Load and demand that an entry process reports in each heartbeat."""

    def in_flight(self) -> tuple[InFlightCount, ...]:
        """Return this instance's work in progress for each upstream."""

    def take_demand(self, now_seconds: float) -> tuple[DemandSample, ...]:
        """
        Return the demand since the last call.

        :param now_seconds: Monotonic time.
        """
