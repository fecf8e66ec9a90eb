"""State of a gateway process, shared by its services."""

import threading

from attrs import define, field

from waxwingwinch._types import RegionName, ZoneName
from waxwingwinch.gateway._crash_evidence import CrashEvidence
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._limit_keeper import LimitKeeper
from waxwingwinch.gateway._loads import LoadTracker
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._memory_account import MemoryAccount
from waxwingwinch.gateway._model import ServiceRules
from waxwingwinch.gateway._named_limits import NamedLimits
from waxwingwinch.gateway._options import GatewayOptions
from waxwingwinch.gateway._outage import OutageTracker
from waxwingwinch.gateway._placement_log import PlacementLog
from waxwingwinch.gateway._prefixes import PrefixIndex
from waxwingwinch.gateway._process_memory import (
    request_memory_bytes,
    resident_bytes,
)
from waxwingwinch.gateway._quota import QuotaTracker
from waxwingwinch.gateway._retry_budget import RetryBudget
from waxwingwinch.gateway._telemetry import Telemetry
from waxwingwinch.gateway._upstreams import UpstreamDirectory
from waxwingwinch.gateway._usage_counts import UsageCounts
from waxwingwinch.gateway._usage_table import UsageTable
from waxwingwinch.gateway.capacity import CapacityTracker
from waxwingwinch.gateway.cold import ColdKeeper, ColdPeriods, ColdPolicy
from waxwingwinch.gateway.evacuation import EvacuatedZones
from waxwingwinch.gateway.homes import known_regions


@define(eq=False)
class GatewayState:
    """
    The state of one process; each part is thread-safe.

    :param local_member: Member record of this instance.
    :param members: Directory of all instances.
    :param quotas: Usage of customers' quotas.
    :param budget: Retry budget of the services.
    :param usage: Usage counted in this process.
    :param limits: Limits that upstreams name.
    :param limit_keeper: Keeps the limits of some upstreams for all instances.
    :param crashes: Crashes of engines, and the parts blamed for them.
    :param memory: Counts the memory that requests and answers hold.
    :param table: The configuration in force.
    :param evacuated: Availability zones whose upstreams get no requests.
    :param directory: Directory of the registered upstreams.
    :param cold_policy: What the settings say of cold upstreams.
    :param cold: The times during which upstreams are cold.
    :param cold_keeper: Grants requests to some cold upstreams for all
        instances.
    :param loads: Work in progress at the upstreams.
    :param prefixes: Estimated cached prompt parts of the engines.
    :param capacity: Learned speed and failures of the upstreams.
    :param placements: Recent prompt placements of this process.
    :param usage_table: Usage of all instances.
    :param outage: Availability of the platform's store.
    :param telemetry: Counters and histograms for the metrics.
    :param stopping: Set when a planned stop begins.
    :param configuration_payload: The configuration in force, as stored.
    :param zone_regions: Region of each availability zone whose region is
        known.
    """

    local_member: Member
    members: MemberDirectory
    quotas: QuotaTracker
    budget: RetryBudget
    usage: UsageCounts
    limits: NamedLimits
    limit_keeper: LimitKeeper
    crashes: CrashEvidence
    memory: MemoryAccount
    table: CurrentTable = field(factory=CurrentTable)
    evacuated: EvacuatedZones = field(factory=EvacuatedZones)
    directory: UpstreamDirectory = field()
    cold_policy: ColdPolicy = ColdPolicy()
    cold: ColdPeriods = field()
    cold_keeper: ColdKeeper = field()
    loads: LoadTracker = field(factory=LoadTracker)
    prefixes: PrefixIndex = field(factory=PrefixIndex)
    capacity: CapacityTracker = field(factory=CapacityTracker)
    placements: PlacementLog = field(factory=PlacementLog)
    usage_table: UsageTable = field(factory=UsageTable)
    outage: OutageTracker = field(factory=OutageTracker)
    telemetry: Telemetry = field(factory=Telemetry)
    stopping: threading.Event = field(factory=threading.Event)
    configuration_payload: bytes = field(default=b"", repr=False)
    zone_regions: dict[ZoneName, RegionName] = field(factory=dict)

    @directory.default
    def _make_directory(self) -> UpstreamDirectory:
        return UpstreamDirectory(self.evacuated)

    @cold.default
    def _make_cold(self) -> ColdPeriods:
        cold = ColdPeriods(self._find_rules)
        self.directory.cold_until_seconds = cold.until_seconds
        return cold

    @cold_keeper.default
    def _make_cold_keeper(self) -> ColdKeeper:
        return ColdKeeper(self.cold, self.members, self.cold_policy, self.directory.get)

    def _find_rules(self, service: str) -> ServiceRules | None:
        table = self.table.get()
        return table.configuration.services.get(service) if table is not None else None

    @classmethod
    def create(
        cls, local_member: Member, options: GatewayOptions, now_seconds: float
    ) -> "GatewayState":
        """
        Return the initial state of a process.

        :param local_member: Member record of this instance.
        :param options: Options of the process.
        :param now_seconds: Monotonic time.
        """
        quotas = QuotaTracker(
            local_member.incarnation,
            options.quota_slack_units,
            options.is_first_start,
            now_seconds,
        )
        limits = NamedLimits()
        return cls(
            local_member,
            MemberDirectory(local_member),
            quotas,
            RetryBudget(
                options.retry_ratio, options.retry_slack, options.retry_window_seconds
            ),
            UsageCounts(options.usage_window_seconds),
            limits,
            LimitKeeper(limits, quotas.share, now_seconds),
            CrashEvidence(local_member.instance_id),
            MemoryAccount(request_memory_bytes(options.memory_bytes, resident_bytes())),
            zone_regions=known_regions(
                options.zone, options.region, options.zone_regions
            ),
            cold_policy=ColdPolicy(options.cold_overshoot, options.cold_slack),
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether the process accepts requests of callers."""
        return not self.stopping.is_set() and self.table.get() is not None
