"""Running calls of several customers, and checking what came of them."""

import pathlib
from collections.abc import Sequence

from attrs import frozen

from waxwing_testbed.history import (
    CallEvent,
    History,
    Violation,
    check_rate_by_calls,
    check_same_answer,
    check_whole_answers,
)
from waxwing_testbed.load._caller import Caller
from waxwing_testbed.load._calls import CallSender
from waxwing_testbed.load._discovery import Discovery
from waxwing_testbed.load._options import CustomerKey, CustomerLimit, Targets
from waxwing_testbed.load._traffic import Phase, TrafficSource


@frozen
class LoadPlan:
    """
    One run.

    :param targets: Whom to call, as whom.
    :param phase: What each customer sends.
    :param seed: Seed of arrivals and calls.
    :param zone: Availability zone of the callers; empty for none.
    :param max_tries: Tries of a call that may be repeated.
    """

    targets: Targets
    phase: Phase
    seed: int = 0
    zone: str = ""
    max_tries: int = 3


def run_load(plan: LoadPlan, path: pathlib.Path | None) -> tuple[CallEvent, ...]:
    """
    Send the calls and wait until all have ended.

    :param plan: The run.
    :param path: File for the history; None for none.
    """
    history = History(path)
    sources = [
        _source(plan, key, number, history)
        for number, key in enumerate(plan.targets.keys)
    ]
    for source in sources:
        source.start()
    for source in sources:
        source.join()
    history.close()
    return history.events()


def _source(
    plan: LoadPlan, key: CustomerKey, number: int, history: History
) -> TrafficSource:
    discovery = Discovery(key.key, plan.targets.entries, plan.zone)
    sender = CallSender(key.customer_id, key.key)
    caller = Caller(sender, discovery, history, plan.max_tries)
    return TrafficSource(caller, (plan.phase,), plan.seed + number)


def check_load(
    events: Sequence[CallEvent], limits: Sequence[CustomerLimit]
) -> list[Violation]:
    """
    Check the promises that callers alone can judge.

    :param events: What callers saw.
    :param limits: Rates and bursts to check.
    """
    violations = [*check_whole_answers(events), *check_same_answer(events)]
    for limit in limits:
        violations += check_rate_by_calls(
            events, limit.customer_id, limit.rate_per_second, limit.burst_requests
        )
    return violations
