"""Making this instance's reports and taking in those of the others."""

from collections.abc import Sequence

from attrs import frozen

from waxwingwinch._types import InstanceId
from waxwingwinch.gateway._duty_worker import DutyWorker
from waxwingwinch.gateway._record_applier import RecordApplier
from waxwingwinch.gateway._report_book import Heard
from waxwingwinch.gateway._report_messages import (
    InstanceReport,
    PromptPlacement,
    StageSwitchReport,
)
from waxwingwinch.gateway._state import GatewayState
from waxwingwinch.kernel import Clock


@frozen
class _LastPlacement:
    """
    The last placement that is known of an instance.

    :param incarnation: Start of the instance.
    :param sequence: Sequence of the placement.
    """

    incarnation: str
    sequence: int

    def is_before(self, incarnation: str, placement: PromptPlacement) -> bool:
        """
        Tell whether a placement is a later one.

        :param incarnation: Start of the instance that made it.
        :param placement: The placement.
        """
        return incarnation != self.incarnation or placement.sequence > self.sequence


class ReportExchange:
    """
    Turns the state into reports, and reports into state.

    :param state: The state of the process.
    :param duty_worker: Stands for the duty.
    :param applier: Puts configurations in force.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        state: GatewayState,
        duty_worker: DutyWorker,
        applier: RecordApplier,
        clock: Clock,
    ) -> None:
        self._state = state
        self._duty_worker = duty_worker
        self._applier = applier
        self._clock = clock
        self._sequence = 0
        self._placed: dict[InstanceId, _LastPlacement] = {}

    def make(self) -> InstanceReport:
        """Build a whole report of this process."""
        state, now_seconds = self._state, self._clock.now_seconds()
        state.budget.set_instances(state.members.sharing_count(now_seconds))
        self._sequence += 1
        usage = state.usage.windows()
        state.usage_table.merge(state.own.incarnation, usage)
        return InstanceReport(
            instance_id=state.own.instance_id,
            incarnation=state.own.incarnation,
            is_ready=state.is_ready,
            is_whole=True,
            configuration_version=state.table.version,
            held_epoch=self._duty_worker.held_epoch(),
            store_age_seconds=state.directory.age_seconds(now_seconds),
            quota_totals=state.quotas.own_totals(),
            usage=usage,
            unreachable=state.directory.unreachable(now_seconds),
            switching=self._switching(now_seconds),
            placements=state.placements.recent(),
            sequence=self._sequence,
        ).with_loads(state.loads.own())

    def apply(self, report: InstanceReport, made_seconds: float) -> None:
        """
        Take in a report.

        :param report: The report.
        :param made_seconds: Monotonic time at which its sender made it.
        """
        state = self._state
        state.members.heard(report.instance_id, report.is_ready, made_seconds)
        state.loads.heard(
            report.instance_id, report.loads(), report.is_whole, made_seconds
        )
        if state.members.heard_start(report.instance_id, report.incarnation):
            self._applier.share_limits()
        state.quotas.heard(report.incarnation, report.quota_totals, made_seconds)
        state.usage_table.merge(report.incarnation, report.usage)
        if report.store_age_seconds is not None:
            state.outage.peer_read(report.store_age_seconds, made_seconds)
        if report.held_epoch is not None:
            self._duty_worker.holder_reported(report.instance_id, made_seconds)
        for upstream_id in report.unreachable:
            state.directory.unreached_elsewhere(upstream_id, made_seconds)
        for switch in report.switching:
            state.directory.switch_stage(
                switch.upstream_id, switch.role, made_seconds + switch.left_seconds
            )
        known = self._placed.get(report.instance_id)
        for placement in report.placements:
            if known is None or known.is_before(report.incarnation, placement):
                self._note_placement(placement)
        if report.placements:
            self._placed[report.instance_id] = _LastPlacement(
                report.incarnation, report.placements[-1].sequence
            )

    def still_there(self, heard: Sequence[Heard]) -> None:
        """
        Take in that instances have nothing new to tell.

        :param heard: What they told before, and when they were heard.
        """
        state = self._state
        made_seconds = {one.whole.instance_id: one.made_seconds for one in heard}
        state.members.still_there(made_seconds)
        state.loads.still_there(made_seconds)
        state.quotas.still_there(
            {one.whole.incarnation: one.made_seconds for one in heard}
        )
        for one in heard:
            if one.whole.held_epoch is not None:
                self._duty_worker.holder_reported(
                    one.whole.instance_id, one.made_seconds
                )
        served = [one.made_seconds for one in heard if one.whole.has_read_store]
        if served:
            state.outage.peer_read(0.0, max(served))

    def _switching(self, now_seconds: float) -> tuple[StageSwitchReport, ...]:
        if self._duty_worker.held_epoch() is None:
            return ()
        switches = self._state.directory.switches(now_seconds)
        return tuple(
            StageSwitchReport(
                upstream_id, switch.role, switch.until_seconds - now_seconds
            )
            for upstream_id, switch in switches.items()
        )

    def _note_placement(self, placement: PromptPlacement) -> None:
        upstream = self._state.directory.get(placement.upstream_id)
        table = self._state.table.get()
        if upstream is None or table is None:
            return
        service = table.configuration.services.get(upstream.service)
        if service is not None and service.engine is not None:
            self._state.prefixes.used(
                placement.upstream_id,
                placement.parts(),
                service.engine.kv_capacity_tokens,
            )
