"""Claiming the gateway's duty and doing the work of its holder."""

import threading
from collections.abc import Callable, Sequence
from typing import Protocol

from attrs import frozen

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import CustomerId, EngineRole, InstanceId, ZoneName
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._duty_lease import DutyLease, DutyNotHeld
from waxwingwinch.gateway._members import MemberDirectory
from waxwingwinch.gateway._process_log_lines import (
    DutyWorkFailed,
    RoleChangeOrdered,
    SpotOrderRefused,
    UpstreamsOrdered,
)
from waxwingwinch.gateway._scaling import (
    UpstreamCount,
    ZoneCounts,
    wanted_counts,
    wanted_role_change,
)
from waxwingwinch.gateway._silence import silence_limit_seconds
from waxwingwinch.gateway._statements import OnStatements
from waxwingwinch.gateway._upstreams import Upstream, UpstreamDirectory
from waxwingwinch.gateway._usage_reporter import UsageReporter
from waxwingwinch.gateway._usage_table import UsageTable
from waxwingwinch.kernel import Clock

#: Pause between two iterations of the duty's work.
WORK_INTERVAL_SECONDS = 0.25
#: Pause between two checks whether another instance holds the duty; half of
#: ``HOLDER_TIMEOUT_SECONDS``.
CLAIM_CHECK_INTERVAL_SECONDS = 0.5
#: Time without a report from the holder after which an instance reads the
#: ledger.
HOLDER_TIMEOUT_SECONDS = 1.0
#: Longest time that the store may hold a ledger read of an instance that
#: wants to claim the duty.
LEDGER_READ_WAIT_SECONDS = 1.0
#: Time after the start of the process in which upstreams and instances are
#: discovered; no upstreams are ordered before.
STARTUP_SETTLE_SECONDS = 2.5
#: Time after the expected boot time of an upstream within which it should
#: have registered; about two heartbeats. Missing upstreams are ordered again.
REGISTRATION_MARGIN_SECONDS = 2.5
#: Pause before a refused order for upstreams is retried.
REFUSED_ORDER_RETRY_SECONDS = 2.0
#: Time after a refused order during which spot upstreams count as
#: unavailable; longer than the pause between two orders.
SPOT_UNAVAILABLE_SECONDS = 3.0
#: Time added to the duration of a role change before the engine gets work
#: again, as it first finishes its running requests.
ROLE_CHANGE_MARGIN_SECONDS = 0.3
#: Pause between two role changes.
ROLE_CHANGE_INTERVAL_SECONDS = 0.5


class StaleFencingToken(PlatformRefused):
    """The receiver of a call has already seen a higher fencing token."""


class DutyCalls(Protocol):
    """
    The calls that only the holder of the duty makes.

    Every method raises ``PlatformUnavailable`` if there is no response,
    ``PlatformRefused`` if the call is rejected, and
    :class:`StaleFencingToken` if the receiver has seen a higher fencing token.

    :param on_statements: Receives what each answer of an engine states about
        the engine.
    """

    on_statements: OnStatements

    def report_usage(
        self, window: int, counts: dict[CustomerId, int], epoch: int
    ) -> None:
        """
        Report the usage of a window.

        :param window: Number of the window.
        :param counts: Number of requests by customer.
        :param epoch: Epoch of the lease, as the fencing token.
        """

    def order_upstreams(self, wanted: UpstreamCount, epoch: int) -> None:
        """
        Order the upstreams of one service, zone and kind.

        :param wanted: The service, zone and kind (spot or on-demand), and the
            total wanted number.
        :param epoch: Epoch of the lease, as the fencing token.
        """

    def change_role(self, engine: Upstream, role: EngineRole, epoch: int) -> None:
        """
        Order an engine to change its role (prefill or decode).

        :param engine: The engine.
        :param role: The new role.
        :param epoch: Epoch of the lease, as the fencing token.
        """


@frozen
class _LastOrder:
    """
    The last order for upstreams of one service, zone and kind.

    :param count: The ordered number.
    :param retry_at_seconds: Monotonic time after which the order is repeated
        if the number of ready upstreams differs from it.
    """

    count: int
    retry_at_seconds: float


class DutyWorker:
    """
    Claims the duty and does its work, in one thread.

    :param duty_lease: The lease on the duty.
    :param calls: The calls of the duty's holder.
    :param table: The configuration in force.
    :param directory: The known upstreams.
    :param members: The known instances.
    :param usage: Usage reported by all instances.
    :param zones: All availability zones.
    :param window_seconds: Duration of a usage window.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        duty_lease: DutyLease,
        calls: DutyCalls,
        table: CurrentTable,
        directory: UpstreamDirectory,
        members: MemberDirectory,
        usage: UsageTable,
        zones: Sequence[ZoneName],
        window_seconds: float,
        clock: Clock,
    ) -> None:
        #: Tells whether an upstream may get a call of the gateway now.
        self.may_call: Callable[[Upstream], bool] = lambda _: True
        self._duty_lease = duty_lease
        self._calls = calls
        self._table = table
        self._directory = directory
        self._members = members
        self._usage = usage
        self._zones = tuple(zones)
        self._clock = clock
        self._reporter = UsageReporter(
            duty_lease,
            calls.report_usage,
            usage,
            self._count_instances,
            window_seconds,
            clock,
        )
        self._holder_reported_seconds: float | None = None
        self._started_seconds = clock.now_seconds()
        self._spot_unavailable_until_seconds: dict[ZoneName, float] = {}
        self._last_orders: dict[tuple[str, ZoneName, bool], _LastOrder] = {}
        self._next_role_change_seconds = 0.0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="steward", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and release the duty."""
        self._stopping.set()
        self._thread.join()
        self._duty_lease.release()

    def held_epoch(self) -> int | None:
        """Return the epoch if this instance holds the duty, else None."""
        return self._duty_lease.held_epoch()

    def holder_reported(self, instance_id: InstanceId, now_seconds: float) -> None:
        """
        Record the time of a report from the holder of the duty.

        :param instance_id: The holder; ignored if it is this instance.
        :param now_seconds: Monotonic time of the report.
        """
        if instance_id != self._members.local_member.instance_id:
            self._holder_reported_seconds = now_seconds

    def relinquished_epoch(self) -> int | None:
        """Return the last epoch under which this instance acts no more."""
        return self._duty_lease.relinquished_epoch

    def holder_relinquished(self, epoch: int) -> None:
        """
        Record that an instance acts no more under an epoch that it held.

        :param epoch: The epoch.
        """
        if self._duty_lease.record_relinquished(epoch):
            self._holder_reported_seconds = None

    def _run(self) -> None:
        while not self._stopping.wait(self._pause_seconds()):
            self.run_once()

    def _pause_seconds(self) -> float:
        return (
            CLAIM_CHECK_INTERVAL_SECONDS
            if self._duty_lease.held_epoch() is None
            else WORK_INTERVAL_SECONDS
        )

    def run_once(self) -> None:
        """Do the work of the duty if it is held, otherwise try to claim it."""
        try:
            if self._duty_lease.held_epoch() is None:
                # No effect unless a lease was held.
                self._duty_lease.step_down("the lease expired before it was renewed")
                self._try_claim()
            else:
                self._do_duty_work()
        except (DutyNotHeld, StaleFencingToken) as error:
            self._duty_lease.step_down(str(error))
        except (PlatformUnavailable, PlatformRefused) as error:
            DutyWorkFailed("hold the duty", str(error)).write()

    def _do_duty_work(self) -> None:
        self._duty_lease.renew()
        for work in (
            self._order_upstreams,
            self._change_stages,
            self._reporter.report_usage,
        ):
            try:
                work()
            except StaleFencingToken:
                raise
            except (PlatformUnavailable, PlatformRefused) as error:
                if isinstance(error, PlatformUnavailable):
                    self._duty_lease.record_unanswered_call()
                DutyWorkFailed(work=work.__name__, reason=str(error)).write()

    def _try_claim(self) -> None:
        reported_seconds = self._holder_reported_seconds
        now_seconds = self._clock.now_seconds()
        timeout_seconds = silence_limit_seconds(
            HOLDER_TIMEOUT_SECONDS, self._count_instances()
        )
        if (
            reported_seconds is not None
            and now_seconds - reported_seconds < timeout_seconds
        ):
            return
        self._duty_lease.read(LEDGER_READ_WAIT_SECONDS)
        if self._duty_lease.try_claim():
            self._last_orders.clear()

    def _order_upstreams(self) -> None:
        table = self._table.get()
        now_seconds = self._clock.now_seconds()
        if (
            table is None
            or now_seconds - self._started_seconds < STARTUP_SETTLE_SECONDS
        ):
            return
        is_unused = self._usage.is_empty()
        for service in table.configuration.services.values():
            rules = service.scaling
            if rules is None:
                continue
            upstreams = self._directory.for_service(service.name)
            for zone in self._zones:
                if self._directory.evacuated.contains(zone):
                    # Upstreams there would cost without serving a request.
                    continue
                zone_counts = ZoneCounts.of(zone, upstreams)
                is_spot_unavailable = (
                    now_seconds < self._spot_unavailable_until_seconds.get(zone, 0.0)
                )
                for wanted in wanted_counts(
                    service.name, rules, zone_counts, is_spot_unavailable, is_unused
                ):
                    present = (
                        zone_counts.spot if wanted.is_spot else zone_counts.on_demand
                    )
                    self._order_if_needed(wanted, present, rules.boot_seconds)

    def _order_if_needed(
        self, wanted: UpstreamCount, present: int, boot_seconds: float
    ) -> None:
        """Order the wanted number unless present or ordered recently."""
        key = (wanted.service, wanted.zone, wanted.is_spot)
        now_seconds = self._clock.now_seconds()
        last_order = self._last_orders.get(key)
        if last_order is not None and last_order.count == wanted.count:
            is_due = now_seconds >= last_order.retry_at_seconds
            if present == wanted.count or not is_due:
                return
        elif last_order is None and present == wanted.count:
            return
        # The time of the retry if the order is refused; replaced below if it
        # is accepted.
        self._last_orders[key] = _LastOrder(
            wanted.count, now_seconds + REFUSED_ORDER_RETRY_SECONDS
        )
        try:
            self._calls.order_upstreams(wanted, self._duty_lease.require_epoch())
        except PlatformRefused as error:
            if not wanted.is_spot:
                raise
            self._spot_unavailable_until_seconds[wanted.zone] = (
                now_seconds + SPOT_UNAVAILABLE_SECONDS
            )
            SpotOrderRefused(zone=wanted.zone, reason=str(error)).write()
            return
        self._last_orders[key] = _LastOrder(
            wanted.count, now_seconds + boot_seconds + REGISTRATION_MARGIN_SECONDS
        )
        UpstreamsOrdered(
            service=wanted.service,
            zone=wanted.zone,
            count=wanted.count,
            present=present,
            is_spot=wanted.is_spot,
        ).write()

    def _change_stages(self) -> None:
        now_seconds = self._clock.now_seconds()
        table = self._table.get()
        if table is None or now_seconds < self._next_role_change_seconds:
            return
        for service in table.configuration.services.values():
            if service.engine is None:
                continue
            engines = [
                engine
                for engine in self._directory.for_service(service.name)
                if not self._directory.evacuated.contains(engine.zone)
            ]
            change = wanted_role_change(engines, self._usage.is_empty())
            if change is None:
                continue
            engine = self._directory.ready(change.upstream_id, now_seconds)
            if engine is None:
                # It leaves by now, or wants no call of this process yet.
                continue
            if not self.may_call(engine):
                # It is cold; the change is tried again with the next run.
                continue
            self._next_role_change_seconds = now_seconds + ROLE_CHANGE_INTERVAL_SECONDS
            self._calls.change_role(
                engine, change.role, self._duty_lease.require_epoch()
            )
            ready_seconds = now_seconds + service.engine.role_change_seconds
            self._directory.record_role_change(
                engine.upstream_id,
                change.role,
                ready_seconds + ROLE_CHANGE_MARGIN_SECONDS,
            )
            RoleChangeOrdered(
                upstream_id=engine.upstream_id,
                role=change.role.value,
            ).write()

    def _count_instances(self) -> int:
        return len(self._members.others()) + 1
