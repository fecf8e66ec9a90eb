"""One run of one variant in real processes."""

import pathlib
import tempfile
import time
from collections import Counter
from collections.abc import Sequence

from attrs import frozen

from waxwing_testbed.bench._actions import ActionThread
from waxwing_testbed.bench._figures import (
    customer_figures,
    goodput_by_second,
    shortfalls,
)
from waxwing_testbed.bench._fleet import (
    WINDOW_SECONDS,
    key_of,
    make_configuration,
    make_plan,
)
from waxwing_testbed.bench._load import make_sources
from waxwing_testbed.bench._result import ReportFigures, RunResult
from waxwing_testbed.bench._scenario import Scenario, Variant
from waxwing_testbed.deployment import Deployment, TestOperator
from waxwing_testbed.history import CallEvent, CallOutcome, History
from waxwing_testbed.load import CallSender, ChatCall
from waxwing_testbed.standins import (
    EngineJournal,
    PlatformJournal,
    ReceivedMarketOrder,
)
from waxwingwinch._exceptions import WaxwingError
from waxwingwinch._types import PriceClass
from waxwingwinch.configuration import ReplaceConfiguration
from waxwingwinch.interfaces import OrderUpstream, SetRole

#: Load before a run that isn't counted.
WARM_UP_SECONDS = 3.0
#: Longest wait for an instance to serve a customer after the start.
SERVE_TIMEOUT_SECONDS = 20.0
#: Longest wait for the reports of the last window.
REPORT_TIMEOUT_SECONDS = 25.0
#: Latest time of a report after the end of its window.
REPORT_LATE_SECONDS = 20.0
_POLL_SECONDS = 0.5


@frozen
class RunPlan:
    """
    One run.

    :param scenario: The scenario.
    :param variant: The variant.
    :param seed: Seed of the load.
    :param seconds: Length without the warm-up.
    :param awaits_reports: True to wait for the usage reports.
    :param command: Command line, for the record.
    """

    scenario: Scenario
    variant: Variant
    seed: int
    seconds: float
    awaits_reports: bool
    command: str = ""


@frozen
class _Journals:
    """What the stand-ins recorded, and which engines are cheap."""

    engines: dict[str, EngineJournal]
    cheap: frozenset[str]


def run(plan: RunPlan) -> RunResult:
    """
    Start the processes, send the load and collect the figures.

    :param plan: The run.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment_plan = make_plan(plan.scenario, plan.variant)
        with Deployment(deployment_plan, pathlib.Path(folder)) as deployment:
            return _run_in(deployment, plan)


def _run_in(deployment: Deployment, plan: RunPlan) -> RunResult:
    scenario, variant = plan.scenario, plan.variant
    entries = [instance.address for instance in deployment.instances]
    configuration = make_configuration(scenario, variant)
    TestOperator(entries).publish([ReplaceConfiguration(configuration)])
    _await_service(deployment, scenario.customers[0].customer_id)
    history = History()
    begin_seconds = time.monotonic() + WARM_UP_SECONDS
    sources = make_sources(
        scenario.customers,
        entries,
        history,
        plan.seed,
        begin_seconds,
        plan.seconds,
        WARM_UP_SECONDS,
    )
    for source in sources:
        source.start()
    time.sleep(max(0.0, begin_seconds - time.monotonic()))
    spent_before = deployment.admin.platform_journal().spend
    actions = ActionThread(
        deployment, (*scenario.actions, *variant.actions), plan.seconds
    )
    actions.start(begin_seconds)
    time.sleep(max(0.0, begin_seconds + plan.seconds - time.monotonic()))
    spend = deployment.admin.platform_journal().spend - spent_before
    for source in sources:
        source.join()
    actions.finish()
    reports = None
    if plan.awaits_reports:
        reports = _reports(deployment, history.events(), actions.log_back_seconds)
    return _result(deployment, plan, history.events(), begin_seconds, spend, reports)


def _await_service(deployment: Deployment, customer_id: str) -> None:
    """Wait until each instance answers a call."""
    sender = CallSender(customer_id, key_of(customer_id))
    call = ChatCall(deployment.plan.engines[0].model, "begin", 2)
    for instance in deployment.instances:
        deployment.wait_for(
            lambda address=instance.address: (  # type: ignore[misc]
                sender.send(address, call).outcome is CallOutcome.WHOLE
            ),
            f"{instance.instance_id} answers",
            SERVE_TIMEOUT_SECONDS,
        )


def _result(
    deployment: Deployment,
    plan: RunPlan,
    events: Sequence[CallEvent],
    begin_seconds: float,
    spend: float,
    reports: ReportFigures | None,
) -> RunResult:
    counted = [event for event in events if event.started_seconds >= begin_seconds]
    orders = deployment.admin.platform_journal().orders
    journals = _journals(deployment, orders)
    changes = [_role_changes(journal) for journal in journals.engines.values()]
    return RunResult(
        scenario=plan.scenario.name,
        variant=plan.variant.name,
        seed=plan.seed,
        seconds=plan.seconds,
        customers=tuple(
            customer_figures(
                load,
                [event for event in events if event.customer_id == load.customer_id],
                begin_seconds,
            )
            for load in plan.scenario.customers
        ),
        goodput_by_second=goodput_by_second(events, begin_seconds, int(plan.seconds)),
        shortfalls=shortfalls(counted),
        lost=sum(
            event.outcome not in (CallOutcome.WHOLE, CallOutcome.NOT_RUN)
            for event in counted
        ),
        spend=spend,
        role_changes_max=max(changes),
        role_changes=sum(changes),
        cut_streams=sum(journal.cut_streams for journal in journals.engines.values()),
        cheap_ratio=_cheap_ratio(journals),
        bought=sum(_is_purchase(order) for order in orders),
        command=plan.command,
        reports=reports,
    )


def _is_purchase(order: ReceivedMarketOrder) -> bool:
    return order.result == "done" and isinstance(order.order.action, OrderUpstream)


def _journals(
    deployment: Deployment, orders: Sequence[ReceivedMarketOrder]
) -> _Journals:
    classes = {
        str(engine.name): engine.price_class
        for engine in deployment.standin_settings.engines
    }
    for order in orders:
        action = order.order.action
        if order.result == "done" and isinstance(action, OrderUpstream):
            classes[order.upstream_id] = action.price_class
    journals = {}
    for name in classes:
        try:
            journals[name] = deployment.admin.engine_journal(name)
        except WaxwingError:
            # An ordered engine that has not started has no journal.
            continue
    cheap = {name for name, one in classes.items() if one is PriceClass.CHEAP}
    return _Journals(journals, frozenset(cheap))


def _role_changes(journal: EngineJournal) -> int:
    return sum(
        received.result == "run" and isinstance(received.order.action, SetRole)
        for received in journal.orders
    )


def _cheap_ratio(journals: _Journals) -> float:
    counts = {name: len(j.generations) for name, j in journals.engines.items()}
    cheap = sum(count for name, count in counts.items() if name in journals.cheap)
    return cheap / max(1, sum(counts.values()))


def _reports(
    deployment: Deployment, events: Sequence[CallEvent], log_back_seconds: float
) -> ReportFigures:
    """Wait for the report of the present window and judge all."""
    last_start = int(time.time()) // WINDOW_SECONDS * WINDOW_SECONDS
    deadline_seconds = (
        max(last_start + WINDOW_SECONDS, log_back_seconds) + REPORT_TIMEOUT_SECONDS
    )
    journal = deployment.admin.platform_journal()
    while time.time() < deadline_seconds:
        journal = deployment.admin.platform_journal()
        if any(r.report.window_start_seconds >= last_start for r in journal.reports):
            break
        time.sleep(_POLL_SECONDS)
    return report_figures(journal, events, last_start, log_back_seconds)


def report_figures(
    journal: PlatformJournal,
    events: Sequence[CallEvent],
    last_start_seconds: int,
    log_back_seconds: float,
) -> ReportFigures:
    """
    Judge the usage reports of a run.

    :param journal: What the platform got.
    :param events: What callers saw, from the first call on.
    :param last_start_seconds: Start of the last window, Unix time.
    :param log_back_seconds: When an outage of the log ended, Unix time; no
        report counts as late by it.
    """
    by_window: dict[int, set[str]] = {}
    requests: Counter[int] = Counter()
    late = 0
    for received in journal.reports:
        report = received.report
        start, figures = report.window_start_seconds, str(report.customers)
        if start not in by_window:
            due_seconds = max(start + report.window_seconds, log_back_seconds)
            late += received.at_seconds > due_seconds + REPORT_LATE_SECONDS
        if figures not in by_window.setdefault(start, set()):
            by_window[start].add(figures)
            requests[start] = sum(row.requests for row in report.customers)
    # Reports come in the order of their windows, so none before the last one
    # can be missing.
    late += last_start_seconds not in by_window
    whole = sum(event.outcome is CallOutcome.WHOLE for event in events)
    return ReportFigures(
        windows=len(by_window),
        late=late,
        wrong=sum(len(figures) > 1 for figures in by_window.values()),
        missing_requests=max(0, whole - sum(requests.values())),
    )
