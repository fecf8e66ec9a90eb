"""What happens to one deployment during the demonstration."""

import pathlib
import time

from attrs import frozen

from waxwing_testbed.deployment import Deployment, DeploymentPlan, TestOperator
from waxwing_testbed.history import (
    CallEvent,
    CallKind,
    CallOutcome,
    History,
    UpstreamExecution,
)
from waxwing_testbed.load import (
    Caller,
    CallSender,
    ChatMix,
    Discovery,
    Phase,
    PlainMix,
    PlainRequest,
    TrafficSource,
)
from waxwing_testbed.standins import PlatformJournal
from waxwingwinch._types import ModelName
from waxwingwinch.configuration import Configuration, SetDefault
from waxwingwinch.interfaces import SetRole

#: Length of each of the two phases of load.
PHASE_SECONDS = 14.0
#: When an entry is killed, after the start of the load.
KILL_AT_SECONDS = 5.0
#: When it is started again.
RESTART_AT_SECONDS = 9.0
#: When a key is withdrawn.
WITHDRAW_AT_SECONDS = 18.0
#: Length of a usage window.
WINDOW_SECONDS = 10
#: Time for the last windows to be reported.
SETTLE_SECONDS = 14.0
#: Share of its rate that each customer uses.
LOAD_RATIO = 0.5


@frozen
class DemoPlan:
    """
    One deployment of the demonstration.

    :param deployment: Its sizes.
    :param document: Its configuration.
    :param plain: Its plain routes.
    :param withdrawn_customer: The customer whose key is withdrawn.
    :param withdrawn_key: Public name of that key.
    """

    deployment: DeploymentPlan
    document: pathlib.Path
    plain: PlainMix
    withdrawn_customer: str
    withdrawn_key: str


@frozen
class DemoResult:
    """
    What came of it.

    :param events: What callers saw.
    :param executions: Executions of the plain services.
    :param platform: What the platform recorded.
    :param role_changes: Role changes that engines ran.
    :param cut_streams: Streams cut by planned changes.
    :param configuration: The configuration at the end.
    :param withdrawn_at_seconds: Monotonic time of the withdrawal.
    :param withdrawal_accepted: Whether it was accepted in time.
    """

    events: tuple[CallEvent, ...]
    executions: tuple[UpstreamExecution, ...]
    platform: PlatformJournal
    role_changes: int
    cut_streams: int
    configuration: Configuration
    withdrawn_at_seconds: float
    withdrawal_accepted: bool


def plain_key(key_id: str) -> str:
    """
    Return the key that the example documents give under a name.

    :param key_id: Public name of the key.
    """
    return f"{key_id}.demo-only"


def run_demo(plan: DemoPlan, folder: pathlib.Path) -> DemoResult:
    """
    Run one deployment through load and faults.

    :param plan: The deployment.
    :param folder: Where settings and logs are written.
    """
    with Deployment(plan.deployment, folder) as deployment:
        operator = TestOperator([one.address for one in deployment.instances])
        operator.publish_document(plan.document)
        operator.publish([SetDefault("usage_window_seconds", WINDOW_SECONDS)])
        configuration = operator.configuration().configuration
        history = History()
        _wait_for_grants(plan, deployment, configuration)
        sources = _sources(plan, deployment, configuration, history)
        started_seconds = time.monotonic()
        for source in sources:
            source.start()
        _sleep_until(started_seconds + KILL_AT_SECONDS)
        victim = deployment.instances[2].entry
        victim.kill()
        _sleep_until(started_seconds + RESTART_AT_SECONDS)
        victim.start()
        _sleep_until(started_seconds + WITHDRAW_AT_SECONDS)
        withdrawn_at_seconds = time.monotonic()
        operator.withdraw(plan.withdrawn_key)
        for source in sources:
            source.join()
        accepted = operator.withdrawal(plan.withdrawn_key).is_accepted
        time.sleep(SETTLE_SECONDS)
        return _collect(
            deployment, history, configuration, withdrawn_at_seconds, accepted
        )


def _wait_for_grants(
    plan: DemoPlan, deployment: Deployment, configuration: Configuration
) -> None:
    """Wait until the first grantor has given each customer a share."""
    address = deployment.instances[0].address
    read = PlainRequest(CallKind.READ, "GET", plan.plain.read_path)
    for customer in configuration.customers.values():
        sender = CallSender(customer.customer_id, plain_key(customer.keys[0].key_id))

        def is_served(sender: CallSender = sender) -> bool:
            return sender.send(address, read).outcome is CallOutcome.WHOLE

        deployment.wait_for(is_served, f"{customer.customer_id} is served")


def _sources(
    plan: DemoPlan,
    deployment: Deployment,
    configuration: Configuration,
    history: History,
) -> list[TrafficSource]:
    model = next(iter(configuration.models))
    seeds = [instance.address for instance in deployment.instances]
    sources = []
    for number, customer in enumerate(configuration.customers.values()):
        key = plain_key(customer.keys[0].key_id)
        sender = CallSender(customer.customer_id, key)
        caller = Caller(sender, Discovery(key, seeds), history)
        calls_per_second = customer.rate_per_second * LOAD_RATIO
        phases = _phases(model, plan.plain, calls_per_second)
        sources.append(TrafficSource(caller, phases, seed=number))
    return sources


def _phases(
    model: ModelName, plain: PlainMix, calls_per_second: float
) -> tuple[Phase, ...]:
    """Long prompts with short answers, then the reverse."""
    reading = ChatMix(model, prompt_words=1_500, output_tokens=8)
    writing = ChatMix(model, prompt_words=60, output_tokens=60)
    return tuple(
        Phase(PHASE_SECONDS, calls_per_second, mix, plain) for mix in (reading, writing)
    )


def _collect(
    deployment: Deployment,
    history: History,
    configuration: Configuration,
    withdrawn_at_seconds: float,
    withdrawal_accepted: bool,
) -> DemoResult:
    settings = deployment.standin_settings
    admin = deployment.admin
    engines = [admin.engine_journal(engine.name) for engine in settings.engines]
    plain = [admin.plain_journal(one.name) for one in settings.plain_services]
    return DemoResult(
        events=history.events(),
        executions=tuple(
            UpstreamExecution(run.request_id, run.idempotency_key, run.at_seconds)
            for journal in plain
            for run in journal.executions
        ),
        platform=admin.platform_journal(),
        role_changes=sum(
            received.result == "run" and isinstance(received.order.action, SetRole)
            for journal in engines
            for received in journal.orders
        ),
        cut_streams=sum(journal.cut_streams for journal in engines),
        configuration=configuration,
        withdrawn_at_seconds=withdrawn_at_seconds,
        withdrawal_accepted=withdrawal_accepted,
    )


def _sleep_until(seconds: float) -> None:
    time.sleep(max(0.0, seconds - time.monotonic()))
