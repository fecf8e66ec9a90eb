"""Messages between the instances of the gateway."""

from attrs import evolve, field, frozen

from waxwingwinch._types import CustomerId, EngineRole, InstanceId, UpstreamId
from waxwingwinch.codec import message
from waxwingwinch.gateway._feed_messages import FeedPage
from waxwingwinch.gateway._loads import UpstreamLoad
from waxwingwinch.gateway._outage import PEER_READ_MAX_AGE_SECONDS
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
    remaining_seconds: float


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
    :param sequence: Grows with each report of a start.
    """

    instance_id: InstanceId
    incarnation: str
    is_ready: bool
    is_full: bool
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
    sequence: int = 0

    @property
    def has_recent_store_read(self) -> bool:
        """Tell whether the store served the instance lately."""
        age_seconds = self.store_age_seconds
        return age_seconds is not None and age_seconds < PEER_READ_MAX_AGE_SECONDS

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
class WorkAnnouncement:
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


@message("gateway_change_set", is_positional=True)
@frozen
class ChangeSet:
    """
    What has changed at some instances since the change set before.

    :param is_whole: True if it stands alone.
    :param reports: Of those at which something has changed.
    :param ages_seconds: Time since the last report of the others that were
        heard lately.
    """

    is_full: bool
    reports: tuple[RelayedReport, ...] = ()
    ages_seconds: dict[InstanceId, float] = field(factory=dict)


@message("gateway_sent_change_set", is_positional=True)
@frozen
class SentChangeSet:
    """
    A change set on its way.

    :param age_seconds: Time since it was made.
    :param payload: The change set, compressed.
    """

    age_seconds: float
    payload: bytes = field(repr=False)


@message("gateway_exchange_request", is_positional=True)
@frozen
class ExchangeRequest:
    """
    Asks an instance what it has heard, and tells it what was heard here.

    :param number: Number of the last change set that came; 0 if there is
        none, so that the next one has to be whole.
    :param wants_all: False to hear of the cell of the asked one only.
    :param payload: A change set, compressed; empty if there is none to tell.
    :param positions: Up to where the store's topics are known.
    """

    number: int
    wants_all: bool
    payload: bytes = field(default=b"", repr=False)
    offsets: dict[str, int] = field(factory=dict)


@message("gateway_exchange_reply", is_positional=True)
@frozen
class ExchangeReply:
    """
    What an instance has heard since it was asked last.

    :param number: Number of the newest change set.
    :param is_collector: True if it collects for its cell.
    :param change_sets: In the order in which they were made.
    :param pages: What was read of the store's topics.
    """

    number: int
    is_collector: bool
    change_sets: tuple[SentChangeSet, ...]
    pages: tuple[FeedPage, ...] = ()
