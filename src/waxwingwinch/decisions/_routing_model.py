"""What routing is asked, and what it answers."""

from attrs import frozen

from waxwingwinch._types import UpstreamId, ZoneName
from waxwingwinch.contracts import UpstreamView


@frozen
class EarliestFirstToken:
    """Chooses by the estimated time to the first token."""


@frozen
class RoundRobin:
    """
    Takes the engines in turn; a baseline.

    :param turn: Number of requests routed before.
    """

    turn: int


@frozen
class LeastConnections:
    """Takes the fewest reported requests, uncorrected; a baseline."""


@frozen
class FewestOthers:
    """Takes the engine whose loss would hurt the fewest other requests."""


RoutingPolicy = EarliestFirstToken | RoundRobin | LeastConnections | FewestOthers


@frozen
class RoutingRequest:
    """
    What routing needs to know of a generation.

    :param prompt_tokens: Length of the prompt.
    :param expected_output_tokens: Expected length of the answer.
    :param zone: Availability zone of the routing instance.
    :param prefix_hashes: Hash chain of the prompt.
    :param adapter: Adapter on top of the model; empty for none.
    :param resuming: True if the caller already has part of the answer.
    :param excluded: Engines that failed this request.
    :param policy: How to choose.
    :param draw: A number in [0, 1) drawn for the request, by which engines
        of nearly the same cost are told apart.
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
    The engines that shall run a generation.

    :param engine: Generates the answer.
    :param prefill_engine: Reads the prompt and exports its KV cache; None
        if ``engine`` reads it itself.
    :param first_token_seconds: Estimated time to the first token.
    :param queue_seconds: Part of it that the request waits for others.
    :param reason: Why these, in one sentence.
    """

    engine: UpstreamView
    prefill_engine: UpstreamView | None
    first_token_seconds: float
    queue_seconds: float
    reason: str


@frozen
class NoEngine:
    """
    No engine can take the request.

    :param reason: Why, in one sentence.
    """

    reason: str


RoutingChoice = Routed | NoEngine
