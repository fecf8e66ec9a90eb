"""Checks of what the stand-ins recorded against what callers saw."""

from collections import Counter
from collections.abc import Container, Iterable

from waxwing_testbed.history import (
    CallEvent,
    UpstreamExecution,
    Violation,
    check_at_most_once,
    check_refusals_are_true,
    check_same_answer,
    check_whole_answers,
)
from waxwing_testbed.scenario._configuration import CATALOGUE_PATH, PAYMENT_PATH
from waxwing_testbed.scenario._world import World
from waxwing_testbed.standins import Execution
from waxwingwinch._exceptions import UpstreamFailed
from waxwingwinch._types import CustomerId
from waxwingwinch.adapters import HttpEngine, HttpPlatformLog
from waxwingwinch.idempotency import digest_idempotency_key

#: Streams of claims that are looked at.
CLAIM_STREAMS = ("claims-0", "claims-1", "claims-2", "claims-3")
#: How long one read of the log may take.
READ_TIMEOUT_SECONDS = 5.0


def request_violations(world: World) -> list[Violation]:
    """
    Check every promise about single requests over the history of a world.

    :param world: Its callers and stand-ins.
    """
    calls = world.history.events()
    runs = world.executions()
    in_full = world.executions_in_full()
    return [
        *check_at_most_once(calls, runs),
        *check_refusals_are_true(calls, [*runs, *_generations(world)]),
        *check_same_answer(calls),
        *check_whole_answers(calls),
        *check_payments(in_full),
        *check_customers(calls, in_full),
    ]


def check_payments(executions: Iterable[Execution]) -> list[Violation]:
    """
    Check that no payment ran twice, whatever its caller was told.

    Each payment has a path of its own, so that one whose caller got no
    request id is checked too.

    :param executions: What the plain services recorded.
    """
    paths = Counter(
        run.path for run in executions if run.path.startswith(f"{PAYMENT_PATH}?")
    )
    return [
        Violation("at most once", f"{path} ran {count} times")
        for path, count in paths.items()
        if count > 1
    ]


def check_customers(
    calls: Iterable[CallEvent], executions: Iterable[Execution]
) -> list[Violation]:
    """
    Check that each request ran for the customer whose key came with it.

    :param calls: What callers saw.
    :param executions: What the plain services recorded.
    """
    customers = {call.request_id: call.customer_id for call in calls}
    return [
        Violation("own customer", f"{run.path} ran for {run.customer_id!r}")
        for run in executions
        if run.path != CATALOGUE_PATH
        and run.customer_id != customers.get(run.request_id, run.customer_id)
    ]


def count_order_runs(world: World, key: str) -> int:
    """
    Return how often an order ran.

    :param world: Its stand-ins.
    :param key: The order's idempotency key.
    """
    return sum(run.idempotency_key == key for run in world.executions())


def count_payment_runs(world: World, name: str) -> int:
    """
    Return how often a payment ran.

    :param world: Its stand-ins.
    :param name: Name of the payment.
    """
    path = world.payment(name=name).path
    return sum(run.path == path for run in world.executions_in_full())


def is_claimed(world: World, customer_id: CustomerId, key: str) -> bool:
    """
    Tell whether the log has a claim on an idempotency key.

    :param world: Its platform.
    :param customer_id: The customer.
    :param key: The key.
    """
    log = HttpPlatformLog(world.deployment.places.platform)
    digest = digest_idempotency_key(customer_id, key)
    pages = [log.read(name, 0, 0.0, READ_TIMEOUT_SECONDS) for name in CLAIM_STREAMS]
    return any(digest in record.payload for page in pages for record in page.records)


def engines_of(world: World, request_ids: Container[str]) -> set[str]:
    """
    Return the engines that took some generations.

    :param world: Its engines.
    :param request_ids: Names of the generations.
    """
    return {
        name
        for name, journal in world.engine_journals().items()
        if any(row.request_id in request_ids for row in journal.generations)
    }


def is_every_engine_up(world: World) -> bool:
    """
    Tell whether each engine answers calls for its load.

    :param world: Its engines.
    """
    engine = HttpEngine()
    for settings in world.deployment.standin_settings.engines:
        try:
            engine.load_report(settings.address)
        except UpstreamFailed:
            return False
    return True


def instance_names(world: World) -> list[str]:
    """
    Return the names of all instances.

    :param world: The instances.
    """
    return [str(instance.instance_id) for instance in world.deployment.instances]


def _generations(world: World) -> list[UpstreamExecution]:
    return [
        UpstreamExecution(row.request_id, "", row.at_seconds)
        for journal in world.engine_journals().values()
        for row in journal.generations
    ]
