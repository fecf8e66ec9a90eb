"""Building of this instance's reports and application of received reports."""

from collections.abc import Sequence

from attrs import frozen

from waxwingwinch._types import InstanceId
from waxwingwinch.gateway._duty_worker import DutyWorker
from waxwingwinch.gateway._limit_messages import (
    LimitedSends,
    PermitReply,
    PermitRequest,
)
from waxwingwinch.gateway._record_applier import RecordApplier
from waxwingwinch.gateway._report_messages import (
    InstanceReport,
    LeavingUpstream,
    PromptPlacement,
    RoleChangeReport,
)
from waxwingwinch.gateway._report_table import ReceivedReport
from waxwingwinch.gateway._state import GatewayState
from waxwingwinch.gateway._statement_log_lines import UpstreamLeaving
from waxwingwinch.kernel import Clock


@frozen
class _LastPlacement:
    """
    The last known placement of an instance.

    :param incarnation: Incarnation of the instance.
    :param sequence: Sequence of the placement.
    """

    incarnation: str
    sequence: int

    def precedes(self, incarnation: str, placement: PromptPlacement) -> bool:
        """
        Tell whether a placement is later than this one.

        :param incarnation: Incarnation of the instance that made it.
        :param placement: The placement.
        """
        return incarnation != self.incarnation or placement.sequence > self.sequence


class StateReporter:
    """
    Builds reports from the state, and applies received reports to the state.

    :param state: The state of the process.
    :param duty_worker: Claims and holds the duty.
    :param applier: Applies records of the store to the state.
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
        self._last_placements: dict[InstanceId, _LastPlacement] = {}

    def make(self) -> InstanceReport:
        """Build a full report of this process."""
        state, now_seconds = self._state, self._clock.now_seconds()
        state.budget.set_instances(state.members.budget_sharer_count(now_seconds))
        self._sequence += 1
        usage = state.usage.windows()
        limited_sends = state.limits.send_reports(now_seconds)
        self._keep_limits(limited_sends, now_seconds)
        state.usage_table.merge(state.local_member.incarnation, usage)
        return InstanceReport(
            instance_id=state.local_member.instance_id,
            incarnation=state.local_member.incarnation,
            is_ready=state.is_ready,
            is_full=True,
            configuration_version=state.table.version,
            held_epoch=self._duty_worker.held_epoch(),
            store_age_seconds=state.directory.age_seconds(now_seconds),
            quota_totals=state.quotas.local_totals(),
            usage=usage,
            unreachable=state.directory.unreachable(now_seconds),
            switching=self._switching(now_seconds),
            placements=state.placements.recent(),
            sequence=self._sequence,
            cold=state.cold.reports(now_seconds),
            named_limits=state.limits.limit_reports(now_seconds),
            limited_sends=limited_sends,
            crash_evidence=state.crashes.report(now_seconds),
            leaving=tuple(
                LeavingUpstream(upstream_id, started_ms)
                for upstream_id, started_ms in state.directory.local_leaving()
            ),
            relinquished_epoch=self._duty_worker.relinquished_epoch(),
            capacity_rows=state.capacity.rows(
                state.members.budget_sharer_count(now_seconds), now_seconds
            ),
        ).with_loads(state.loads.local_loads())

    def apply(self, report: InstanceReport, made_seconds: float) -> None:
        """
        Apply a received report.

        :param report: The report.
        :param made_seconds: Monotonic time at which its sender made the
            report.
        """
        state = self._state
        state.members.record_report(report.instance_id, report.is_ready, made_seconds)
        state.loads.record_loads(
            report.instance_id, report.loads(), report.is_full, made_seconds
        )
        if state.members.record_incarnation(report.instance_id, report.incarnation):
            self._applier.share_limits()
        state.quotas.record_totals(
            report.incarnation, report.quota_totals, made_seconds
        )
        state.usage_table.merge(report.incarnation, report.usage)
        if report.store_age_seconds is not None:
            state.outage.record_peer_read(report.store_age_seconds, made_seconds)
        self._apply_duty(report, made_seconds)
        for upstream_id in report.unreachable:
            state.directory.record_unreachable_from_peer(upstream_id, made_seconds)
        for role_change in report.switching:
            state.directory.record_role_change(
                role_change.upstream_id,
                role_change.role,
                made_seconds + role_change.remaining_seconds,
            )
        for named_limit in report.named_limits:
            state.limits.record_report(named_limit, report.instance_id, made_seconds)
        state.limit_keeper.record_sends(
            report.instance_id, report.incarnation, report.limited_sends, made_seconds
        )
        state.crashes.apply(report.crash_evidence, report.incarnation, made_seconds)
        self._record_leaving(report, made_seconds)
        self._record_cold(report, made_seconds)
        state.capacity.apply(
            report.incarnation,
            report.capacity_rows,
            state.directory.get,
            made_seconds,
        )
        known = self._last_placements.get(report.instance_id)
        for placement in report.placements:
            if known is None or known.precedes(report.incarnation, placement):
                self._record_placement(placement)
        if report.placements:
            self._last_placements[report.instance_id] = _LastPlacement(
                report.incarnation, report.placements[-1].sequence
            )

    def _apply_duty(self, report: InstanceReport, made_seconds: float) -> None:
        if report.held_epoch is not None:
            self._duty_worker.holder_reported(report.instance_id, made_seconds)
        if report.relinquished_epoch is not None:
            self._duty_worker.holder_relinquished(report.relinquished_epoch)

    def decide_permit(
        self, sender_id: InstanceId, request: PermitRequest
    ) -> PermitReply:
        """
        Decide whether an instance may send a request to an upstream now.

        :param sender_id: The instance.
        :param request: What it asks.
        """
        now_seconds = self._clock.now_seconds()
        if request.cold_seconds > 0:
            return self._state.cold_keeper.decide(request, now_seconds)
        return self._state.limit_keeper.decide(sender_id, request, now_seconds)

    def confirm_unchanged(self, received_reports: Sequence[ReceivedReport]) -> None:
        """
        Record that instances are alive and have nothing new to report.

        :param received_reports: Their last reports, with the time of the
            confirmation.
        """
        state = self._state
        made_seconds = {
            received.full_report.instance_id: received.made_seconds
            for received in received_reports
        }
        state.members.confirm_unchanged(made_seconds)
        state.loads.confirm_unchanged(made_seconds)
        state.quotas.confirm_unchanged(
            {
                received.full_report.incarnation: received.made_seconds
                for received in received_reports
            }
        )
        for received in received_reports:
            if received.full_report.held_epoch is not None:
                self._duty_worker.holder_reported(
                    received.full_report.instance_id, received.made_seconds
                )
        read_seconds = [
            received.made_seconds
            for received in received_reports
            if received.full_report.has_recent_store_read
        ]
        if read_seconds:
            state.outage.record_peer_read(0.0, max(read_seconds))

    def _keep_limits(
        self, limited_sends: tuple[LimitedSends, ...], now_seconds: float
    ) -> None:
        """Count this process's own requests, and delete what is outdated."""
        state = self._state
        state.limit_keeper.mark_active(now_seconds)
        state.cold_keeper.mark_active(now_seconds)
        own = state.local_member
        state.limit_keeper.record_sends(
            own.instance_id, own.incarnation, limited_sends, now_seconds
        )
        upstream_ids = {upstream.upstream_id for upstream in state.directory.all()}
        state.limits.retain_only(upstream_ids)
        state.cold.retain_only(upstream_ids, now_seconds)
        state.limit_keeper.retain_only(upstream_ids, now_seconds)

    def _switching(self, now_seconds: float) -> tuple[RoleChangeReport, ...]:
        if self._duty_worker.held_epoch() is None:
            return ()
        role_changes = self._state.directory.role_changes(now_seconds)
        return tuple(
            RoleChangeReport(
                upstream_id, role_change.role, role_change.until_seconds - now_seconds
            )
            for upstream_id, role_change in role_changes.items()
        )

    def _record_leaving(self, report: InstanceReport, made_seconds: float) -> None:
        directory = self._state.directory
        for leaving in report.leaving:
            known = directory.get(leaving.upstream_id)
            if directory.record_leaving(
                leaving.upstream_id, leaving.started_ms, is_local=False
            ):
                UpstreamLeaving(
                    upstream_id=leaving.upstream_id,
                    started_ms=leaving.started_ms,
                    reporter=report.instance_id,
                    registered_state=known.state.value if known else None,
                    age_seconds=self._clock.now_seconds() - made_seconds,
                ).write()

    def _record_cold(self, report: InstanceReport, made_seconds: float) -> None:
        directory, cold = self._state.directory, self._state.cold
        for stated in report.cold:
            upstream = directory.get(stated.upstream_id)
            if upstream is not None:
                cold.record_report(
                    upstream,
                    stated.started_ms,
                    stated.remaining_seconds,
                    report.instance_id,
                    made_seconds,
                    self._clock.now_seconds(),
                )

    def _record_placement(self, placement: PromptPlacement) -> None:
        upstream = self._state.directory.get(placement.upstream_id)
        table = self._state.table.get()
        if upstream is None or table is None:
            return
        service = table.configuration.services.get(upstream.service)
        if service is not None and service.engine is not None:
            self._state.prefixes.record_use(
                placement.upstream_id,
                placement.parts(),
                service.engine.kv_capacity_tokens,
            )
