"""A request to be relayed, its attempts, and the dependencies of relays."""

from collections.abc import Mapping

from attrs import evolve, field, frozen

from waxwingwinch._types import CustomerId, RegionName, UpstreamId, ZoneName
from waxwingwinch.gateway._arrivals import Arrivals
from waxwingwinch.gateway._connections import Cancellation, CancelReason
from waxwingwinch.gateway._crash_evidence import CrashEvidence
from waxwingwinch.gateway._loads import LoadTracker
from waxwingwinch.gateway._memory_account import MemoryAccount, Reservation
from waxwingwinch.gateway._model import CustomerRules, Route, ServiceRules
from waxwingwinch.gateway._named_limits import NamedLimits
from waxwingwinch.gateway._outcomes import (
    CallerDisconnected,
    RefusalReason,
    RequestEnded,
)
from waxwingwinch.gateway._permits import PermitBroker
from waxwingwinch.gateway._placement_log import PlacementLog
from waxwingwinch.gateway._prefixes import PrefixIndex
from waxwingwinch.gateway._requests import GatewayRequest
from waxwingwinch.gateway._retry_budget import RetryBudget
from waxwingwinch.gateway._returns import ReturnSchedule
from waxwingwinch.gateway._telemetry import Telemetry
from waxwingwinch.gateway._transport import Phase, UpstreamCall, UpstreamTransport
from waxwingwinch.gateway._upstreams import UpstreamDirectory
from waxwingwinch.gateway._usage_counts import UsageCounts
from waxwingwinch.gateway.capacity import CapacityTracker
from waxwingwinch.gateway.homes import RequestHomes
from waxwingwinch.kernel import Clock

#: Failed connection attempts after which a request is refused; each adds to
#: the time that the caller waits.
MAX_CONNECT_FAILURES = 3
#: Failed prefills after which a request is refused; each may take until the
#: prefill timeout, as long as the prefill of several prompts.
MAX_FAILED_PREFILLS = 3
#: ``Retry-After`` if no upstream had capacity; about the time for which a
#: request occupies a slot.
BUSY_RETRY_SECONDS = 0.4


@frozen
class Job:
    """
    A request to be relayed, with its route, service and customer.

    :param request: The caller's request.
    :param route: The route that it matched.
    :param service: The service chosen by the route.
    :param customer: Customer of the request; None on public routes.
    :param end_seconds: Monotonic time until which a response may begin; leaves
        time to send an error.
    :param cut_seconds: Monotonic time at which a response that has begun is
        cut; the deadline itself.
    :param cancellation: Cancels the request.
    :param homes: The availability zones that may get it.
    """

    request: GatewayRequest
    route: Route
    service: ServiceRules
    customer: CustomerRules | None
    end_seconds: float
    cut_seconds: float
    cancellation: Cancellation
    homes: RequestHomes

    @property
    def customer_id(self) -> CustomerId | None:
        """Customer of the request; None on public routes."""
        return self.customer.customer_id if self.customer is not None else None

    @property
    def reservation(self) -> Reservation:
        """The memory that the request and its answer hold."""
        return self.request.reservation

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    def call(self, phase: Phase, last_event_id: str | None = None) -> UpstreamCall:
        """
        Return the call that sends the request to an upstream.

        :param phase: Phase of the request that the upstream executes.
        :param last_event_id: The event after which a resumed stream continues;
            None for the event that the caller named.
        """
        return UpstreamCall(
            request=self.request,
            phase=phase,
            customer_id=self.customer_id,
            priority=self.priority,
            end_seconds=self.end_seconds,
            last_event_id=last_event_id or self.request.last_event_id,
            needs_new_connection=not self.route.is_retryable,
        )


@frozen
class Progress:
    """
    The attempts made so far for a request.

    :param sends: Number of upstreams that the request was sent to.
    :param connect_failures: Number of failed connection attempts.
    :param failed_prefills: Number of engines that failed to prefill.
    :param excluded: Upstreams that are not tried again.
    :param may_have_run: True once an upstream may have executed the request.
    :param arrivals: The calls made, for the retry budget.
    """

    sends: int = 0
    connect_failures: int = 0
    failed_prefills: int = 0
    excluded: frozenset[UpstreamId] = frozenset()
    may_have_run: bool = False
    arrivals: Arrivals = Arrivals()

    def with_connect_failure(self, upstream_id: UpstreamId) -> "Progress":
        """
        Return the progress after a failed connection attempt.

        :param upstream_id: The upstream.
        """
        return evolve(
            self,
            connect_failures=self.connect_failures + 1,
            excluded=self.excluded | {upstream_id},
        )

    def with_failed_prefill(self, upstream_id: UpstreamId) -> "Progress":
        """
        Return the progress after an engine failed to prefill the prompt.

        :param upstream_id: The engine.
        """
        return evolve(
            self,
            failed_prefills=self.failed_prefills + 1,
            excluded=self.excluded | {upstream_id},
            arrivals=self.arrivals.with_call(),
        )

    def with_prefill(self) -> "Progress":
        """Return the progress after an engine prefilled the prompt."""
        return evolve(self, arrivals=self.arrivals.with_prefill())

    @property
    def was_placed(self) -> bool:
        """Tell whether upstreams were chosen and called before."""
        return self.arrivals.calls > 0 or self.connect_failures > 0

    def with_rejection(self, upstream_id: UpstreamId) -> "Progress":
        """
        Return the progress after an upstream did not execute the request.

        :param upstream_id: The upstream.
        """
        return evolve(
            self,
            sends=self.sends + 1,
            excluded=self.excluded | {upstream_id},
            arrivals=self.arrivals.with_call(),
        )

    def with_possible_execution(self, upstream_id: UpstreamId) -> "Progress":
        """
        Return the progress after an upstream may have executed the request.

        :param upstream_id: The upstream.
        """
        return evolve(self.with_rejection(upstream_id), may_have_run=True)


@frozen
class RelayContext:
    """
    Dependencies shared by the relays of a process.

    :param clock: Source of the present time.
    :param zone: Availability zone of the process.
    :param directory: The known upstreams.
    :param loads: Work in progress by upstream.
    :param prefixes: Prefixes in the KV caches of engines.
    :param capacity: Learned speed and failures of upstreams.
    :param placements: Recent placements, reported to the other instances.
    :param budget: Retry budgets of the services.
    :param limits: Limits that upstreams name.
    :param permits: Obtains permits for requests to upstreams with a limit.
    :param transport: Sends calls to upstreams.
    :param usage: Counts started requests by customer.
    :param telemetry: Metrics of the process.
    :param returns: Tells refused callers when upstreams return.
    :param crashes: Crashes of engines, and the parts blamed for them.
    :param memory: Counts the memory that requests and answers hold.
    :param zone_regions: Region of each availability zone whose region is
        known.
    """

    clock: Clock = field(repr=False)
    zone: ZoneName
    directory: UpstreamDirectory = field(repr=False)
    loads: LoadTracker = field(repr=False)
    prefixes: PrefixIndex = field(repr=False)
    capacity: CapacityTracker = field(repr=False)
    placements: PlacementLog = field(repr=False)
    budget: RetryBudget = field(repr=False)
    limits: NamedLimits = field(repr=False)
    permits: PermitBroker = field(repr=False)
    transport: UpstreamTransport = field(repr=False)
    usage: UsageCounts = field(repr=False)
    telemetry: Telemetry = field(repr=False)
    returns: ReturnSchedule = field(repr=False)
    crashes: CrashEvidence = field(repr=False)
    memory: MemoryAccount = field(repr=False)
    zone_regions: Mapping[ZoneName, RegionName] = field(factory=dict)


def raise_if_cancelled(job: Job, error: Exception) -> None:
    """
    Raise if a call failed because the request was cancelled.

    :param job: The request.
    :param error: The error of the call.
    :raises CallerDisconnected: If the caller has closed its connection.
    :raises RequestEnded: If the process is about to end.
    """
    match job.cancellation.reason:
        case CancelReason.CALLER_GONE:
            raise CallerDisconnected(str(error)) from error
        case CancelReason.STOPPING:
            # An upstream may have executed the request.
            raise RequestEnded(502, RefusalReason.STOPPING) from error
