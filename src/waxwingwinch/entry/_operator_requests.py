"""Wires the handler of operator requests of an entry."""

from collections.abc import Callable

from waxwingwinch.configuration.service import (
    ConfigurationService,
    WithdrawalCoordinator,
)
from waxwingwinch.contracts import ServiceName
from waxwingwinch.entry._cell_decisions import CellDecisions
from waxwingwinch.entry._peers import EntryRoster
from waxwingwinch.fleet import buying_planner, fleet_duty
from waxwingwinch.kernel import Registry
from waxwingwinch.membership import HolderLinks
from waxwingwinch.operators_api import OperatorRequests, make_metrics_reporter
from waxwingwinch.reasons import MemoryDecisionLog
from waxwingwinch.settings import EntrySettings


def make_operator_requests(
    registry: Registry,
    settings: EntrySettings,
    incarnation: str,
    roster: EntryRoster,
    holders: HolderLinks,
    drain: Callable[[str], None],
) -> OperatorRequests:
    """
    Build the handler of operator requests from the services of the process.

    :param registry: Holds the services, among them the withdrawal
        coordinator.
    :param settings: Settings of the process.
    :param incarnation: Unique name of the process start.
    :param roster: The instances of the cell.
    :param holders: Links to the holders of duties.
    :param drain: Begins the planned stop; called with the operator's name.
    """
    local = registry.lookup(ServiceName.DECISIONS, MemoryDecisionLog)
    reporter = make_metrics_reporter(registry, settings.instance_id, incarnation)
    return OperatorRequests(
        registry.lookup(ServiceName.CONFIGURATION, ConfigurationService),
        registry.lookup("withdrawals", WithdrawalCoordinator),
        roster,
        CellDecisions(local, _duties(settings.cell), holders.link),
        drain,
        registry.health,
        settings.instance_id,
        settings.operator_tokens,
        reporter.view,
    )


def _duties(cell: str) -> tuple[str, ...]:
    return fleet_duty(cell), buying_planner(cell), f"limits-{cell}", f"usage-{cell}"
