"""Input, policies and result of routing decisions."""

from attrs import frozen

from waxwingwinch._types import UpstreamId, ZoneName
from waxwingwinch.contracts import UpstreamView


@frozen
class EarliestFirstToken:
    """Chooses the engine by the estimated time to the first token."""


@frozen
class RoundRobin:
    """
    Chooses the engines in rotation; a baseline for comparison.

    :param turn: Number of requests routed before.
    """

    turn: int


@frozen
class LeastConnections:
    """
    Chooses the engine with the fewest reported requests; a baseline.

    This is the least-connections policy with requests in place of connections.
    """


@frozen
class FewestInFlight:
    """Chooses the engine whose loss would affect the fewest requests."""


RoutingPolicy = EarliestFirstToken | RoundRobin | LeastConnections | FewestInFlight


@frozen
class RoutingRequest:
    """
    The properties of a generation that routing uses.

    :param prompt_tokens: Length of the prompt.
    :param expected_output_tokens: Expected length of the output.
    :param zone: Availability zone of the routing instance.
    :param prefix_hashes: Hash chain over the blocks of the prompt.
    :param adapter: Adapter on top of the model; empty for none.
    :param resuming: True if the caller already received part of the output.
    :param excluded: Engines that must not be chosen, such as those that
        failed this request.
    :param policy: Routing policy.
    :param draw: A number in [0, 1) drawn for the request; selects among
        engines of nearly the same cost.
    """

    prompt_tokens: int
    expected_output_tokens: int
    zone: ZoneName
    prefix_hashes: tuple[str, ...] = ()
    adapter: str = ""
    resuming: bool = False
    excluded: frozenset[UpstreamId] = frozenset()
    policy: RoutingPolicy = EarliestFirstToken()
    draw: float = 0.0


@frozen
class Routed:
    """
    The engines chosen for a generation.

    :param engine: Generates the output.
    :param prefill_engine: Prefills the prompt and exports its KV cache; None
        if ``engine`` prefills it itself.
    :param first_token_seconds: Estimated time to the first token.
    :param queue_seconds: Part of that time spent queueing behind other
        requests.
    :param reason: Reason of the choice, in one sentence.
    """

    engine: UpstreamView
    prefill_engine: UpstreamView | None
    first_token_seconds: float
    queue_seconds: float
    reason: str


@frozen
class NoEngine:
    """
    No engine can run the request.

    :param reason: Reason of the decision, in one sentence.
    """

    reason: str


RoutingChoice = Routed | NoEngine
