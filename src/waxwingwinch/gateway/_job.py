"""A request that was let in, and what its relays share."""

from attrs import evolve, field, frozen

from waxwingwinch._types import CustomerId, UpstreamId, ZoneName
from waxwingwinch.gateway._connections import Cancellation
from waxwingwinch.gateway._loads import LoadTracker
from waxwingwinch.gateway._model import CustomerRules, Route, ServiceRules
from waxwingwinch.gateway._outcomes import CallerDisconnected
from waxwingwinch.gateway._placement_log import PlacementLog
from waxwingwinch.gateway._prefixes import PrefixIndex
from waxwingwinch.gateway._requests import GatewayRequest
from waxwingwinch.gateway._retry_budget import RetryBudget
from waxwingwinch.gateway._slowdowns import SlowdownTracker
from waxwingwinch.gateway._telemetry import Telemetry
from waxwingwinch.gateway._transport import Phase, UpstreamCall, UpstreamTransport
from waxwingwinch.gateway._upstreams import UpstreamDirectory
from waxwingwinch.gateway._usage_counts import UsageCounts
from waxwingwinch.kernel import Clock

#: Connections that may fail before a request is given up; each costs time
#: that the caller waits.
CONNECT_FAILURES_MAX = 3
#: Readings of a prompt that may fail before a request is given up; each
#: takes as long as several prompts.
FAILED_READINGS_MAX = 3
#: When to come back after an upstream had no room; about as long as a
#: request holds its place.
BUSY_RETRY_SECONDS = 0.4


@frozen
class Job:
    """
    A request on its way to an upstream.

    :param request: What the caller sent.
    :param route: Its route.
    :param service: The service that it goes to.
    :param customer: Whose it is; None on public routes.
    :param end_seconds: Monotonic time at which the caller must have an answer.
    :param cancellation: Ends its work early.
    """

    request: GatewayRequest
    route: Route
    service: ServiceRules
    customer: CustomerRules | None
    end_seconds: float
    cancellation: Cancellation

    @property
    def customer_id(self) -> CustomerId | None:
        """Whose request it is."""
        return self.customer.customer_id if self.customer is not None else None

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    def call(self, phase: Phase, last_event_id: str | None = None) -> UpstreamCall:
        """
        Return the call that carries the request.

        :param phase: What the upstream does.
        :param last_event_id: The event after which a stream goes on.
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
    What was tried for a request.

    :param sends: Upstreams that it was sent to.
    :param connect_failures: Connections that could not be made.
    :param failed_readings: Engines that were asked in vain to read the prompt.
    :param excluded: Upstreams that are not tried again.
    :param may_have_run: True once an upstream may have run it.
    """

    sends: int = 0
    connect_failures: int = 0
    failed_readings: int = 0
    excluded: frozenset[UpstreamId] = frozenset()
    may_have_run: bool = False

    def not_sent(self, upstream_id: UpstreamId) -> "Progress":
        """
        Return the progress after a connection that could not be made.

        :param upstream_id: The upstream.
        """
        return evolve(
            self,
            connect_failures=self.connect_failures + 1,
            excluded=self.excluded | {upstream_id},
        )

    def not_read(self, upstream_id: UpstreamId) -> "Progress":
        """
        Return the progress after an engine did not read the prompt.

        :param upstream_id: The engine.
        """
        return evolve(
            self,
            failed_readings=self.failed_readings + 1,
            excluded=self.excluded | {upstream_id},
        )

    @property
    def is_repeat(self) -> bool:
        """Tell whether a further call is one beyond the request's first."""
        return self.sends > 0 or self.failed_readings > 0

    def rejected(self, upstream_id: UpstreamId) -> "Progress":
        """
        Return the progress after an upstream did not run the request.

        :param upstream_id: The upstream.
        """
        return evolve(
            self, sends=self.sends + 1, excluded=self.excluded | {upstream_id}
        )

    def ran(self, upstream_id: UpstreamId) -> "Progress":
        """
        Return the progress after an upstream may have run the request.

        :param upstream_id: The upstream.
        """
        return evolve(self.rejected(upstream_id), may_have_run=True)


@frozen
class RelayTools:
    """
    What the relays of a process share.

    :param clock: Source of the present time.
    :param zone: Where the process runs.
    :param directory: The upstreams.
    :param loads: Work under way.
    :param prefixes: What engines hold.
    :param slowdowns: How fast engines read.
    :param placements: Recent placements, for the other instances.
    :param budget: Repeats that are left.
    :param transport: Carries calls.
    :param usage: Counts what ran.
    :param telemetry: Records what happens.
    """

    clock: Clock = field(repr=False)
    zone: ZoneName
    directory: UpstreamDirectory = field(repr=False)
    loads: LoadTracker = field(repr=False)
    prefixes: PrefixIndex = field(repr=False)
    slowdowns: SlowdownTracker = field(repr=False)
    placements: PlacementLog = field(repr=False)
    budget: RetryBudget = field(repr=False)
    transport: UpstreamTransport = field(repr=False)
    usage: UsageCounts = field(repr=False)
    telemetry: Telemetry = field(repr=False)


def raise_if_caller_left(job: Job, error: Exception) -> None:
    """
    End a request whose call failed since its caller has gone.

    :param job: The request.
    :param error: What the call met.
    :raises CallerDisconnected: If the caller has gone.
    """
    if job.cancellation.reason is not None:
        raise CallerDisconnected(str(error)) from error
