"""The work of the instance that holds the duty."""

import threading
from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import CustomerId, EngineRole, InstanceId, ZoneName
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._duty import NotHolding, StewardDuty
from waxwingwinch.gateway._members import MemberDirectory
from waxwingwinch.gateway._process_lines import (
    StewardOrdered,
    StewardSpotRefused,
    StewardStageChanged,
    StewardUnanswered,
)
from waxwingwinch.gateway._scaling import (
    UpstreamCount,
    ZoneFleet,
    wanted_counts,
    wanted_stage_change,
)
from waxwingwinch.gateway._silence import silence_limit_seconds
from waxwingwinch.gateway._upstreams import Upstream, UpstreamDirectory
from waxwingwinch.gateway._usage_reporter import UsageReporter
from waxwingwinch.gateway._usage_table import UsageTable
from waxwingwinch.kernel import Clock

#: Pause between two rounds of the duty's work.
ROUND_SECONDS = 0.25
#: Pause between two looks at whether the duty is held elsewhere; half of the
#: silence after which it is looked up.
WATCH_SECONDS = 0.5
#: Silence of the holder's reports after which an instance reads the ledger.
HOLDER_SILENT_SECONDS = 1.0
#: How long the store may hold a read of a challenger.
CHALLENGE_WAIT_SECONDS = 1.0
#: Time after a start in which upstreams and instances become known.
SETTLE_SECONDS = 2.5
#: Time beyond the start of an upstream after which it should have registered
#: itself; about two heartbeats. A missing one is ordered again.
ORDER_MARGIN_SECONDS = 2.5
#: Pause before a refused order for upstreams is given again.
SCALE_REFUSED_SECONDS = 2.0
#: How long reclaimable upstreams count as not to be had after a refusal;
#: longer than the pause between two orders.
DRY_SECONDS = 3.0
#: Time beyond that of a change of stage until the engine gets work again;
#: its running requests are finished first.
STAGE_MARGIN_SECONDS = 0.3
#: Pause between two changes of a stage.
STAGE_PAUSE_SECONDS = 0.5


class StaleFence(PlatformRefused):
    """A higher fencing token was seen."""


class StewardCalls(Protocol):
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
class _Order:
    """
    The last order for upstreams of a kind.

    :param count: The ordered number.
    :param again_seconds: Monotonic time after which it is repeated if that
        number is not there.
    """

    count: int
    again_seconds: float


class Steward:
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
        duty: StewardDuty,
        calls: StewardCalls,
        table: CurrentTable,
        directory: UpstreamDirectory,
        members: MemberDirectory,
        usage: UsageTable,
        zones: Sequence[ZoneName],
        window_seconds: float,
        clock: Clock,
    ) -> None:
        self._duty = duty
        self._calls = calls
        self._table = table
        self._directory = directory
        self._members = members
        self._usage = usage
        self._zones = tuple(zones)
        self._clock = clock
        self._reporter = UsageReporter(
            duty, calls.report_usage, usage, self._instances, window_seconds, clock
        )
        self._holder_heard_seconds: float | None = None
        self._started_seconds = clock.now_seconds()
        self._dry_until: dict[ZoneName, float] = {}
        self._ordered: dict[tuple[str, ZoneName, bool], _Order] = {}
        self._stage_seconds = 0.0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="steward", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Give the duty up and end the thread."""
        self._stopping.set()
        self._thread.join()
        self._duty.release()

    def held_epoch(self) -> int | None:
        """Return the epoch of the duty if it is held here."""
        return self._duty.held_epoch()

    def holder_heard(self, instance_id: InstanceId, now_seconds: float) -> None:
        """
        Note that another instance holds the duty.

        :param instance_id: The instance.
        :param now_seconds: Monotonic time.
        """
        if instance_id != self._members.local_member.instance_id:
            self._holder_heard_seconds = now_seconds

    def _run(self) -> None:
        while not self._stopping.wait(self._pause_seconds()):
            self.round()

    def _pause_seconds(self) -> float:
        return WATCH_SECONDS if self._duty.held_epoch() is None else ROUND_SECONDS

    def round(self) -> None:
        """Stand for the duty, or do its work."""
        try:
            if self._duty.held_epoch() is None:
                self._duty.step_down("the lease ended")
                self._challenge()
            else:
                self._work()
        except (NotHolding, StaleFence) as error:
            self._duty.step_down(str(error))
        except (PlatformUnavailable, PlatformRefused) as error:
            StewardUnanswered("hold the duty", str(error)).write()

    def _work(self) -> None:
        self._duty.renew()
        for work in (
            self._order_upstreams,
            self._change_stages,
            self._reporter.report_usage,
        ):
            try:
                work()
            except StaleFence:
                raise
            except (PlatformUnavailable, PlatformRefused) as error:
                StewardUnanswered(work=work.__name__, reason=str(error)).write()

    def _challenge(self) -> None:
        heard_seconds = self._holder_heard_seconds
        now_seconds = self._clock.now_seconds()
        silent_seconds = silence_limit_seconds(HOLDER_SILENT_SECONDS, self._instances())
        if heard_seconds is not None and now_seconds - heard_seconds < silent_seconds:
            return
        self._duty.read(CHALLENGE_WAIT_SECONDS)
        if self._duty.challenge():
            self._ordered.clear()

    def _order_upstreams(self) -> None:
        table = self._table.get()
        now_seconds = self._clock.now_seconds()
        if table is None or now_seconds - self._started_seconds < SETTLE_SECONDS:
            return
        is_idle = self._usage.is_empty()
        for service in table.configuration.services.values():
            rules = service.scaling
            if rules is None:
                continue
            upstreams = self._directory.for_service(service.name)
            for zone in self._zones:
                fleet = ZoneFleet.of(zone, upstreams)
                is_dry = now_seconds < self._dry_until.get(zone, 0.0)
                for wanted in wanted_counts(
                    service.name, rules, fleet, is_dry, is_idle
                ):
                    present = fleet.spot if wanted.is_spot else fleet.lasting
                    self._order(wanted, present, rules.boot_seconds)

    def _order(self, wanted: UpstreamCount, present: int, boot_seconds: float) -> None:
        """Order a number unless it is there or was ordered lately."""
        key = (wanted.service, wanted.zone, wanted.is_spot)
        now_seconds = self._clock.now_seconds()
        last = self._ordered.get(key)
        if last is not None and last.count == wanted.count:
            is_due = now_seconds >= last.again_seconds
            if present == wanted.count or not is_due:
                return
        elif last is None and present == wanted.count:
            return
        self._ordered[key] = _Order(wanted.count, now_seconds + SCALE_REFUSED_SECONDS)
        try:
            self._calls.order_upstreams(wanted, self._duty.check())
        except PlatformRefused as error:
            if not wanted.is_spot:
                raise
            self._dry_until[wanted.zone] = now_seconds + DRY_SECONDS
            StewardSpotRefused(zone=wanted.zone, reason=str(error)).write()
            return
        self._ordered[key] = _Order(
            wanted.count, now_seconds + boot_seconds + ORDER_MARGIN_SECONDS
        )
        StewardOrdered(
            service=wanted.service,
            zone=wanted.zone,
            count=wanted.count,
            present=present,
            is_spot=wanted.is_spot,
        ).write()

    def _change_stages(self) -> None:
        now_seconds = self._clock.now_seconds()
        table = self._table.get()
        if table is None or now_seconds < self._stage_seconds:
            return
        for service in table.configuration.services.values():
            if service.engine is None:
                continue
            engines = self._directory.for_service(service.name)
            change = wanted_stage_change(engines, self._usage.is_empty())
            engine = self._directory.get(change.upstream_id) if change else None
            if change is None or engine is None:
                continue
            self._stage_seconds = now_seconds + STAGE_PAUSE_SECONDS
            self._calls.change_stage(engine, change.role, self._duty.check())
            back_seconds = now_seconds + service.engine.stage_switch_seconds
            self._directory.switch_stage(
                engine.upstream_id, change.role, back_seconds + STAGE_MARGIN_SECONDS
            )
            StewardStageChanged(
                upstream_id=engine.upstream_id,
                role=change.role.value,
            ).write()

    def _instances(self) -> int:
        return len(self._members.others()) + 1
