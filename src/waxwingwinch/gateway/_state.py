"""What a process believes and counts, shared by its services."""

import threading

from attrs import define, field

from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._loads import LoadTracker
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._options import GatewayOptions
from waxwingwinch.gateway._outage import OutageTracker
from waxwingwinch.gateway._placement_log import PlacementLog
from waxwingwinch.gateway._prefixes import PrefixIndex
from waxwingwinch.gateway._quota import QuotaTracker
from waxwingwinch.gateway._retry_budget import RetryBudget
from waxwingwinch.gateway._slowdowns import SlowdownTracker
from waxwingwinch.gateway._telemetry import Telemetry
from waxwingwinch.gateway._upstreams import UpstreamDirectory
from waxwingwinch.gateway._usage_counts import UsageCounts
from waxwingwinch.gateway._usage_table import UsageTable


@define(eq=False)
class GatewayState:
    """
    The state of one process; each part guards itself.

    :param own: This instance.
    :param members: The instances.
    :param quotas: Customers' quotas.
    :param budget: Repeats that are left.
    :param usage: Counts what ran here.
    :param table: The configuration in force.
    :param directory: The upstreams.
    :param loads: Work under way.
    :param prefixes: What engines hold.
    :param slowdowns: How fast engines read.
    :param placements: Recent placements of prompts.
    :param usage_table: Usage of all instances.
    :param outage: Whether the store is away.
    :param telemetry: Records what happens.
    :param stopping: Set once a planned stop began.
    :param configuration_payload: The version in force as the store holds it.
    """

    own: Member
    members: MemberDirectory
    quotas: QuotaTracker
    budget: RetryBudget
    usage: UsageCounts
    table: CurrentTable = field(factory=CurrentTable)
    directory: UpstreamDirectory = field(factory=UpstreamDirectory)
    loads: LoadTracker = field(factory=LoadTracker)
    prefixes: PrefixIndex = field(factory=PrefixIndex)
    slowdowns: SlowdownTracker = field(factory=SlowdownTracker)
    placements: PlacementLog = field(factory=PlacementLog)
    usage_table: UsageTable = field(factory=UsageTable)
    outage: OutageTracker = field(factory=OutageTracker)
    telemetry: Telemetry = field(factory=Telemetry)
    stopping: threading.Event = field(factory=threading.Event)
    configuration_payload: bytes = field(default=b"", repr=False)

    @classmethod
    def begin(
        cls, own: Member, options: GatewayOptions, now_seconds: float
    ) -> "GatewayState":
        """
        Return the state of a process that starts.

        :param own: This instance.
        :param options: What the process was told.
        :param now_seconds: Monotonic time.
        """
        return cls(
            own,
            MemberDirectory(own),
            QuotaTracker(
                own.incarnation,
                options.quota_slack_units,
                options.is_first_start,
                now_seconds,
            ),
            RetryBudget(
                options.retry_ratio, options.retry_slack, options.retry_window_seconds
            ),
            UsageCounts(options.usage_window_seconds),
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether the process takes callers."""
        return not self.stopping.is_set() and self.table.get() is not None
