"""The work of the instance that holds the duty."""

import threading
from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import CustomerId, EngineRole, InstanceId, ZoneName
from waxwingwinch.gateway._duty_lease import DutyLease, DutyNotHeld
from waxwingwinch.gateway._members import MemberDirectory
from waxwingwinch.gateway._process_log_lines import (
    DutyWorkFailed,
    SpotOrderRefused,
    StageChangeOrdered,
    UpstreamsOrdered,
)
from waxwingwinch.gateway._scaling import (
    UpstreamCount,
    ZoneFleet,
    wanted_counts,
    wanted_stage_change,
)
from waxwingwinch.gateway._silence import silence_seconds
from waxwingwinch.gateway._tables import CurrentTable
from waxwingwinch.gateway._upstreams import Upstream, UpstreamDirectory
from waxwingwinch.gateway._usage_reporter import UsageReporter
from waxwingwinch.gateway._usage_table import UsageTable
from waxwingwinch.kernel import Clock

#: Pause between two rounds of the duty's work.
WORK_INTERVAL_SECONDS = 0.25
#: Pause between two looks at whether the duty is held elsewhere; half of the
#: silence after which it is looked up.
CLAIM_CHECK_INTERVAL_SECONDS = 0.5
#: Silence of the holder's reports after which an instance reads the ledger.
HOLDER_TIMEOUT_SECONDS = 1.0
#: How long the store may hold a read of a challenger.
LEDGER_READ_WAIT_SECONDS = 1.0
#: Time after a start in which upstreams and instances become known.
STARTUP_SETTLE_SECONDS = 2.5
#: Time beyond the start of an upstream after which it should have registered
#: itself; about two heartbeats. A missing one is ordered again.
REGISTRATION_MARGIN_SECONDS = 2.5
#: Pause before a refused order for upstreams is given again.
REFUSED_ORDER_RETRY_SECONDS = 2.0
#: How long reclaimable upstreams count as not to be had after a refusal;
#: longer than the pause between two orders.
SPOT_UNAVAILABLE_SECONDS = 3.0
#: Time beyond that of a change of stage until the engine gets work again;
#: its running requests are finished first.
STAGE_CHANGE_MARGIN_SECONDS = 0.3
#: Pause between two changes of a stage.
STAGE_CHANGE_INTERVAL_SECONDS = 0.5


class StaleFencingToken(PlatformRefused):
    """A higher fencing token was seen."""


class DutyCalls(Protocol):
    """
    The calls that only the holder of the duty makes.

    Every method raises ``PlatformUnavailable`` if no answer came,
    ``PlatformRefused`` if the call was turned away, and :class:`StaleFence`
    if a higher fencing token was seen.
    """

    def report_usage(
        self, window: int, counts: dict[CustomerId, int], epoch: int
    ) -> None:
        """
        Report the usage of a window.

        :param window: Number of the window.
        :param counts: Requests by customer.
        :param epoch: The fencing token.
        """

    def order_upstreams(self, wanted: UpstreamCount, epoch: int) -> None:
        """
        Order a number of upstreams.

        :param wanted: The number, and of which kind.
        :param epoch: The fencing token.
        """

    def change_stage(self, engine: Upstream, role: EngineRole, epoch: int) -> None:
        """
        Order an engine to change its stage.

        :param engine: The engine.
        :param role: Its new stage.
        :param epoch: The fencing token.
        """


@frozen
class _LastOrder:
    """
    The last order for upstreams of a kind.

    :param count: The ordered number.
    :param again_seconds: Monotonic time after which it is repeated if that
        number is not there.
    """

    count: int
    retry_at_seconds: float


class DutyRunner:
    """
    Stands for the duty and does its work, in one thread.

    :param duty: The duty.
    :param calls: The calls of its holder.
    :param table: The configuration in force.
    :param directory: The upstreams.
    :param members: The instances.
    :param usage: Usage of all instances.
    :param zones: All availability zones.
    :param window_seconds: Length of a usage window.
    :param clock: Source of the present time.
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
        self._spot_unavailable_until: dict[ZoneName, float] = {}
        self._last_orders: dict[tuple[str, ZoneName, bool], _LastOrder] = {}
        self._next_stage_change_seconds = 0.0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="steward", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Give the duty up and end the thread."""
        self._stopping.set()
        self._thread.join()
        self._duty_lease.release()

    def held_epoch(self) -> int | None:
        """Return the epoch of the duty if it is held here."""
        return self._duty_lease.held_epoch()

    def holder_reported(self, instance_id: InstanceId, now_seconds: float) -> None:
        """
        Note that another instance holds the duty.

        :param instance_id: The instance.
        :param now_seconds: Monotonic time.
        """
        if instance_id != self._members.own.instance_id:
            self._holder_reported_seconds = now_seconds

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
        """Stand for the duty, or do its work."""
        try:
            if self._duty_lease.held_epoch() is None:
                self._duty_lease.step_down("the lease ended")
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
                DutyWorkFailed(work=work.__name__, reason=str(error)).write()

    def _try_claim(self) -> None:
        reported_seconds = self._holder_reported_seconds
        now_seconds = self._clock.now_seconds()
        timeout_seconds = silence_seconds(
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
        is_idle = self._usage.is_empty()
        for service in table.configuration.services.values():
            rules = service.scaling
            if rules is None:
                continue
            upstreams = self._directory.of_service(service.name)
            for zone in self._zones:
                fleet = ZoneFleet.of(zone, upstreams)
                is_spot_unavailable = now_seconds < self._spot_unavailable_until.get(
                    zone, 0.0
                )
                for wanted in wanted_counts(
                    service.name, rules, fleet, is_spot_unavailable, is_idle
                ):
                    present = fleet.spot if wanted.is_spot else fleet.on_demand
                    self._order_if_needed(wanted, present, rules.boot_seconds)

    def _order_if_needed(
        self, wanted: UpstreamCount, present: int, boot_seconds: float
    ) -> None:
        """Order a number unless it is there or was ordered lately."""
        key = (wanted.service, wanted.zone, wanted.is_spot)
        now_seconds = self._clock.now_seconds()
        last_order = self._last_orders.get(key)
        if last_order is not None and last_order.count == wanted.count:
            is_due = now_seconds >= last_order.retry_at_seconds
            if present == wanted.count or not is_due:
                return
        elif last_order is None and present == wanted.count:
            return
        self._last_orders[key] = _LastOrder(
            wanted.count, now_seconds + REFUSED_ORDER_RETRY_SECONDS
        )
        try:
            self._calls.order_upstreams(wanted, self._duty_lease.require_epoch())
        except PlatformRefused as error:
            if not wanted.is_spot:
                raise
            self._spot_unavailable_until[wanted.zone] = (
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
        if table is None or now_seconds < self._next_stage_change_seconds:
            return
        for service in table.configuration.services.values():
            if service.engine is None:
                continue
            engines = self._directory.of_service(service.name)
            change = wanted_stage_change(engines, self._usage.is_empty())
            engine = self._directory.get(change.upstream_id) if change else None
            if change is None or engine is None:
                continue
            self._next_stage_change_seconds = (
                now_seconds + STAGE_CHANGE_INTERVAL_SECONDS
            )
            self._calls.change_stage(
                engine, change.role, self._duty_lease.require_epoch()
            )
            back_seconds = now_seconds + service.engine.stage_switch_seconds
            self._directory.switch_stage(
                engine.upstream_id,
                change.role,
                back_seconds + STAGE_CHANGE_MARGIN_SECONDS,
            )
            StageChangeOrdered(
                upstream_id=engine.upstream_id,
                role=change.role.value,
            ).write()

    def _count_instances(self) -> int:
        return len(self._members.others()) + 1
