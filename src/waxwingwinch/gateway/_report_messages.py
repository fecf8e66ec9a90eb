"""Messages between the instances of the gateway."""

from collections.abc import Callable

from attrs import evolve, field, frozen

from waxwingwinch._types import (
    CustomerId,
    EngineRole,
    InstanceId,
    UpstreamId,
    ZoneName,
)
from waxwingwinch.codec import message
from waxwingwinch.gateway._crash_messages import CrashEvidenceReport
from waxwingwinch.gateway._feed_messages import FeedPage
from waxwingwinch.gateway._limit_messages import LimitedSends, NamedLimitReport
from waxwingwinch.gateway._loads import UpstreamLoad
from waxwingwinch.gateway._outage import PEER_READ_MAX_AGE_SECONDS
from waxwingwinch.gateway._requests import PromptPart
from waxwingwinch.gateway.capacity import CapacityRow
from waxwingwinch.gateway.cold import ColdUpstreamReport
from waxwingwinch.gateway.feeds import unpack_value


@message("gateway_prompt_placement", is_positional=True)
@frozen
class PromptPlacement:
    """
    Placement of a prompt at an engine.

    :param sequence: Increases with each placement of the sender.
    :param upstream_id: The engine.
    :param part_ids: Ids of the parts of the prompt that other prompts may
        share.
    :param part_tokens: Lengths of the parts in tokens.
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
class RoleChangeReport:
    """
    A change of an engine's role in progress.

    :param upstream_id: The engine.
    :param role: Its new role.
    :param remaining_seconds: Time until the engine serves again.
    """

    upstream_id: UpstreamId
    role: EngineRole
    remaining_seconds: float


@message("gateway_leaving_upstream", is_positional=True)
@frozen
class LeavingUpstream:
    """
    An upstream whose answers say that it leaves.

    :param upstream_id: The upstream.
    :param started_ms: Unix time of its start in milliseconds.
    """

    upstream_id: UpstreamId
    started_ms: int


@message("gateway_report", is_positional=True)
@frozen
class InstanceReport:
    """
    Report of an instance to the other instances.

    :param instance_id: The reporting instance.
    :param incarnation: Its incarnation.
    :param is_ready: True if it accepts callers.
    :param is_full: False for a delta, which omits what was sent before.
    :param configuration_version: The version in force at the instance.
    :param held_epoch: Epoch of the duty that it holds; None if it holds none.
    :param store_age_seconds: Time since it last read the platform's store;
        None if it never succeeded.
    :param waiting_tokens: Prefill work not done yet, as tokens without
        attention, by upstream.
    :param running: Requests in progress, by upstream.
    :param quota_totals: Units admitted since its start, by customer.
    :param usage: Started requests, by window and customer.
    :param unreachable: Upstreams that it recently failed to reach.
    :param switching: Engines that it ordered to change their role.
    :param placements: Recent placements of prompts.
    :param sequence: Increases with each report of an incarnation.
    :param named_limits: Limits that upstreams recently named to it.
    :param limited_sends: Its recent requests to upstreams with a limit.
    :param crash_evidence: What it knows of crashes of engines.
    :param leaving: Upstreams that it was first told to leave.
    :param relinquished_epoch: Last epoch of the duty under which it acts no
        more; None if there is none.
    :param cold: Upstreams whose answers told it that they are cold.
    :param capacity_rows: Its recent measurements of unusual upstreams.
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
    switching: tuple[RoleChangeReport, ...] = ()
    placements: tuple[PromptPlacement, ...] = ()
    sequence: int = 0
    named_limits: tuple[NamedLimitReport, ...] = ()
    limited_sends: tuple[LimitedSends, ...] = ()
    crash_evidence: CrashEvidenceReport = CrashEvidenceReport()
    leaving: tuple[LeavingUpstream, ...] = ()
    relinquished_epoch: int | None = None
    cold: tuple[ColdUpstreamReport, ...] = ()
    capacity_rows: tuple[CapacityRow, ...] = ()

    @property
    def has_recent_store_read(self) -> bool:
        """Tell whether the store served the instance recently."""
        age_seconds = self.store_age_seconds
        return age_seconds is not None and age_seconds < PEER_READ_MAX_AGE_SECONDS

    def loads(self) -> dict[UpstreamId, UpstreamLoad]:
        """Return the load by upstream."""
        return {
            key: UpstreamLoad(self.waiting_tokens.get(key, 0), running)
            for key, running in self.running.items()
        }

    def with_loads(self, loads: dict[UpstreamId, UpstreamLoad]) -> "InstanceReport":
        """
        Return a copy of the report with other loads.

        :param loads: The load by upstream.
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
    Announces much work at an engine ahead of the next report.

    :param instance_id: The announcing instance.
    :param upstream_id: The engine.
    :param waiting_tokens: Prefill work, as tokens without attention.
    """

    instance_id: InstanceId
    upstream_id: UpstreamId
    waiting_tokens: int


@message("gateway_configuration_request")
@frozen
class ConfigurationRequest:
    """
    Requests the newest configuration that a peer has read.

    :param accepts_packed: True if the sender can decompress the payload.
    """

    accepts_packed: bool = False


@message("gateway_configuration_reply")
@frozen
class ConfigurationReply:
    """
    The newest configuration that a peer has read.

    :param payload: In the format of the store; empty if the peer has read
        none.
    :param evacuated_zones: Availability zones whose upstreams get no requests.
    :param is_packed: True if the payload is compressed.
    """

    payload: bytes = field(repr=False)
    evacuated_zones: tuple[ZoneName, ...] = ()
    is_packed: bool = False

    def pack(self, pack_value: Callable[[bytes], bytes]) -> "ConfigurationReply":
        """
        Return the reply with its payload compressed.

        :param pack_value: Compresses a value.
        """
        return evolve(self, payload=pack_value(self.payload), is_packed=True)

    def unpack(self) -> "ConfigurationReply":
        """
        Return the reply with its payload not compressed.

        :raises MalformedMessage: If it cannot be decompressed.
        """
        if not self.is_packed:
            return self
        return evolve(self, payload=unpack_value(self.payload), is_packed=False)


@message("gateway_relayed_report", is_positional=True)
@frozen
class RelayedReport:
    """
    A report that another instance passes on.

    :param age_seconds: Time since the report was made.
    :param report: The report.
    """

    age_seconds: float
    report: InstanceReport


@message("gateway_change_set", is_positional=True)
@frozen
class ChangeSet:
    """
    Changes of instance reports since the previous change set.

    :param is_full: True if it does not depend on a previous change set.
    :param reports: Reports of the instances with changes.
    :param ages_seconds: Time since the last report of each other instance
        with a recent report, whose report is confirmed as unchanged.
    """

    is_full: bool
    reports: tuple[RelayedReport, ...] = ()
    ages_seconds: dict[InstanceId, float] = field(factory=dict)


@message("gateway_sent_change_set", is_positional=True)
@frozen
class SentChangeSet:
    """
    An encoded change set with its age.

    :param age_seconds: Time since it was built.
    :param payload: The encoded and compressed change set.
    """

    age_seconds: float
    payload: bytes = field(repr=False)


@message("gateway_exchange_request", is_positional=True)
@frozen
class ExchangeRequest:
    """
    Requests the changes that an instance knows, and may carry reports to it.

    :param number: Number of the last change set received; 0 if there is none,
        so that the next one has to be a full one.
    :param wants_all: True for the reports of all instances, False for those of
        the receiver's cell only.
    :param payload: A compressed change set of the sender; empty if it sends
        none.
    :param offsets: Next offset of the sender in each topic of the store.
    :param accepts_packed: True if the sender can decompress records.
    """

    number: int
    wants_all: bool
    payload: bytes = field(default=b"", repr=False)
    offsets: dict[str, int] = field(factory=dict)
    accepts_packed: bool = False


@message("gateway_exchange_reply", is_positional=True)
@frozen
class ExchangeReply:
    """
    Changes that an instance knows since the previous exchange.

    :param number: Number of the newest change set.
    :param is_collector: True if the sender is the collector of its cell.
    :param change_sets: The change sets, in order of their numbers.
    :param pages: Records of the store's topics that the requester lacks.
    """

    number: int
    is_collector: bool
    change_sets: tuple[SentChangeSet, ...]
    pages: tuple[FeedPage, ...] = ()
