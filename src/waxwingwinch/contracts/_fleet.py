"""The upstreams as one process sees them."""

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
    What is known of one upstream.

    :param listed: The platform's row.
    :param state: The platform's state joined with the system's own drains;
        only ``ACTIVE`` ones get new work.
    :param role: Present role; None for a plain service.
    :param model: Present model; empty for a plain service.
    :param load: The newest load report; None if there is none.
    :param load_taken_seconds: Monotonic time at which the figures of the
        report were true: the time of receipt less their age.
    :param cached_prefixes: Prefix hashes believed to be cached.
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
        """Return the offset up to which drains and role changes are seen."""


@frozen
class InFlightCount:
    """
    Work that one instance has at one upstream.

    :param upstream_id: The upstream.
    :param requests: Requests under way.
    :param prompt_tokens: Prompt tokens of those without a first token.
    """

    upstream_id: UpstreamId
    requests: int
    prompt_tokens: int


@frozen
class DemandSample:
    """
    What came to one instance for one model since the last sample.

    :param model: The model.
    :param seconds: Length of the sample.
    :param requests: Requests that arrived.
    :param prompt_tokens: Prompt tokens of these.
    :param output_tokens: Tokens that were generated.
    :param refused: Requests refused for lack of capacity.
    :param late: Requests whose first token was later than promised.
    """

    model: ModelName
    seconds: float
    requests: int
    prompt_tokens: int
    output_tokens: int
    refused: int
    late: int


class DemandSource(Protocol):
    """What an entry tells the fleet's controller in each heartbeat."""

    def in_flight(self) -> tuple[InFlightCount, ...]:
        """Return the upstreams with work from this instance."""

    def take_demand(self, now_seconds: float) -> tuple[DemandSample, ...]:
        """
        Return the demand since the last call.

        :param now_seconds: Monotonic time.
        """
