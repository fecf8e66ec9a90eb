"""Checks of the orders that engines and the platform received."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from attrs import frozen

from waxwing_testbed.history._checks import Violation


@frozen
class OrderArrival:
    """
    One order that reached its receiver.

    :param receiver: Name of the engine, or of the platform.
    :param order_id: Name of the order.
    :param epoch: The fencing token that it bore.
    :param content: What was ordered, in any stable form.
    :param is_run: True if it took effect then, False if it was refused or
        known already.
    :param seconds: When it arrived.
    """

    receiver: str
    order_id: str
    epoch: int
    content: str
    is_run: bool
    seconds: float


@frozen
class LoggedIntent:
    """
    An intent in the log.

    :param order_id: Name of the order.
    """

    order_id: str


@frozen
class LoggedOutcome:
    """
    An outcome in the log.

    :param order_id: Name of the order.
    """

    order_id: str


LoggedOrder = LoggedIntent | LoggedOutcome


def check_epochs_of_orders(arrivals: Iterable[OrderArrival]) -> list[Violation]:
    """
    Check that no receiver got an order of an older term after a newer one.

    :param arrivals: Orders in the order in which they arrived.
    """
    highest: dict[str, int] = {}
    violations = []
    for arrival in arrivals:
        newest = highest.get(arrival.receiver, -1)
        if arrival.epoch < newest:
            detail = f"{arrival.receiver}: epoch {arrival.epoch} after {newest}"
            violations.append(Violation("lost authority", detail))
        highest[arrival.receiver] = max(newest, arrival.epoch)
    return violations


def check_effects_by_epoch(arrivals: Iterable[OrderArrival]) -> list[Violation]:
    """
    Check that no order of an older term took effect after a newer one.

    Weaker than :func:`check_epochs_of_orders`, for receivers that delay
    orders after they have taken them in.

    :param arrivals: Orders in the order in which they arrived.
    """
    return check_epochs_of_orders(one for one in arrivals if one.is_run)


def check_order_names(arrivals: Iterable[OrderArrival]) -> list[Violation]:
    """
    Check that each name stands for one order, which ran once at most.

    :param arrivals: All received orders.
    """
    contents: dict[str, set[tuple[str, str]]] = defaultdict(set)
    runs: dict[str, int] = defaultdict(int)
    for arrival in arrivals:
        contents[arrival.order_id].add((arrival.receiver, arrival.content))
        runs[arrival.order_id] += arrival.is_run
    violations = [
        Violation("one order a name", f"{order_id}: {sorted(found)}")
        for order_id, found in contents.items()
        if len(found) > 1
    ]
    violations += [
        Violation("one order a name", f"{order_id} ran {count} times")
        for order_id, count in runs.items()
        if count > 1
    ]
    return violations


def check_one_open_order(
    arrivals: Iterable[OrderArrival], logged: Sequence[LoggedOrder]
) -> list[Violation]:
    """
    Check that no order went to a receiver over another that was open.

    :param arrivals: Orders to engines in the order in which they arrived.
    :param logged: Intents and outcomes in log order.
    """
    intents: dict[str, int] = {}
    outcomes: dict[str, int] = {}
    for position, record in enumerate(logged):
        match record:
            case LoggedIntent(order_id):
                intents.setdefault(order_id, position)
            case LoggedOutcome(order_id):
                outcomes.setdefault(order_id, position)
    names: dict[str, list[str]] = defaultdict(list)
    violations = []
    for arrival in arrivals:
        known = names[arrival.receiver]
        if arrival.order_id in known:
            continue
        if arrival.order_id not in intents:
            detail = f"{arrival.receiver}: {arrival.order_id} has no intent"
            violations.append(Violation("one open order", detail))
            continue
        for earlier in known:
            if outcomes.get(earlier, len(logged)) > intents[arrival.order_id]:
                detail = f"{arrival.receiver}: {arrival.order_id} over {earlier}"
                violations.append(Violation("one open order", detail))
        known.append(arrival.order_id)
    return violations
