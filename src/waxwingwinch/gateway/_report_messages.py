"""Messages between the instances of the gateway."""

from attrs import evolve, field, frozen

from waxwingwinch._types import CustomerId, EngineRole, InstanceId, UpstreamId
from waxwingwinch.codec import message
from waxwingwinch.gateway._loads import UpstreamLoad
from waxwingwinch.gateway._requests import PromptPart


@message("gateway_prompt_placement", is_positional=True)
@frozen
class PromptPlacement:
    """
    A prompt that was sent to an engine.

    :param sequence: Grows with each placement of the sender.
    :param upstream_id: The engine.
    :param part_ids: The parts that may be shared.
    :param part_tokens: Their lengths.
    """

    sequence: int
    upstream_id: UpstreamId
    part_ids: tuple[str, ...]
    part_tokens: tuple[int, ...]

    def parts(self) -> tuple[PromptPart, ...]:
        """Return the parts."""
        pairs = zip(self.part_ids, self.part_tokens, strict=True)
        return tuple(PromptPart(part_id, tokens) for part_id, tokens in pairs)


@message("gateway_stage_switch", is_positional=True)
@frozen
class StageSwitchReport:
    """
    A change of an engine's stage under way.

    :param upstream_id: The engine.
    :param role: Its new stage.
    :param left_seconds: Time until it serves again.
    """

    upstream_id: UpstreamId
    role: EngineRole
    left_seconds: float


@message("gateway_report", is_positional=True)
@frozen
class InstanceReport:
    """
    What an instance tells the others.

    :param instance_id: Who sends it.
    :param incarnation: Which start of it.
    :param is_ready: True if it takes callers.
    :param is_whole: False if it leaves out what it told before.
    :param configuration_version: The version in force there.
    :param held_epoch: Epoch of the duty that it holds; None if it holds none.
    :param store_age_seconds: Time since it read the platform's store; None
        if it never could.
    :param waiting_tokens: Prompt tokens to be read, by upstream.
    :param running: Requests under way, by upstream.
    :param quota_totals: Units admitted since its start, by customer.
    :param usage: Requests that began, by window and customer.
    :param unreachable: Upstreams that it could not reach lately.
    :param switching: Engines that it ordered to change their stage.
    :param placements: Recent placements of prompts.
    """

    instance_id: InstanceId
    incarnation: str
    is_ready: bool
    is_whole: bool
    configuration_version: int
    held_epoch: int | None = None
    store_age_seconds: float | None = None
    waiting_tokens: dict[UpstreamId, int] = field(factory=dict)
    running: dict[UpstreamId, int] = field(factory=dict)
    quota_totals: dict[CustomerId, float] = field(factory=dict)
    usage: dict[int, dict[CustomerId, int]] = field(factory=dict)
    unreachable: tuple[UpstreamId, ...] = ()
    switching: tuple[StageSwitchReport, ...] = ()
    placements: tuple[PromptPlacement, ...] = ()

    def loads(self) -> dict[UpstreamId, UpstreamLoad]:
        """Return the work by upstream."""
        return {
            key: UpstreamLoad(self.waiting_tokens.get(key, 0), running)
            for key, running in self.running.items()
        }

    def with_loads(self, loads: dict[UpstreamId, UpstreamLoad]) -> "InstanceReport":
        """
        Return the report with other work.

        :param loads: The work by upstream.
        """
        return evolve(
            self,
            waiting_tokens={key: load.waiting_tokens for key, load in loads.items()},
            running={key: load.running for key, load in loads.items()},
        )


@message("gateway_work_began", is_positional=True)
@frozen
class WorkBegan:
    """
    Tells at once of much work at an engine, ahead of the next report.

    :param instance_id: Who sends it.
    :param upstream_id: The engine.
    :param waiting_tokens: Prompt tokens that it has to read.
    """

    instance_id: InstanceId
    upstream_id: UpstreamId
    waiting_tokens: int


@message("gateway_configuration_request")
@frozen
class ConfigurationRequest:
    """Asks a peer for the newest configuration that it read."""


@message("gateway_configuration_reply")
@frozen
class ConfigurationReply:
    """
    The newest configuration that a peer read.

    :param payload: As the store holds it; empty if it read none.
    """

    payload: bytes = field(repr=False)


@message("gateway_relayed_report", is_positional=True)
@frozen
class RelayedReport:
    """
    What an instance told another, which passes it on.

    :param age_seconds: Time since it was told.
    :param report: The report.
    """

    age_seconds: float
    report: InstanceReport


@message("gateway_digest_request")
@frozen
class DigestRequest:
    """
    Asks an instance of another cell what it and its neighbours have under way.

    :param number: Number of the last digest that came; 0 if there is none, so
        that the next one has to be whole.
    :param placements: Sequence of the last placement that is known, by start
        of an instance; only in a request for a whole digest.
    """

    number: int
    placements: dict[str, int] = field(factory=dict)


@message("gateway_digest", is_positional=True)
@frozen
class Digest:
    """
    What an instance and its neighbours have under way.

    :param number: Tells the digests of the sender apart.
    :param reports: One of each instance that was heard lately.
    """

    number: int
    reports: tuple[RelayedReport, ...]


@message("gateway_packed_digest", is_positional=True)
@frozen
class PackedDigest:
    """
    A digest as it is sent.

    :param payload: The compressed message.
    """

    payload: bytes = field(repr=False)
