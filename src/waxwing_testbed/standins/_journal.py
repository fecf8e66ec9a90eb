"""What stand-ins record for history checks."""

from attrs import frozen

from waxwingwinch._types import UpstreamId
from waxwingwinch.interfaces import EngineOrder, MarketOrder, UsageReport


@frozen
class ReceivedMarketOrder:
    """
    An order that reached the platform.

    :param at_seconds: Arrival, Unix time.
    :param order: The order.
    :param result: ``done``, ``repeated`` or ``refused``.
    :param upstream_id: The upstream that it brought or took away.
    """

    at_seconds: float
    order: MarketOrder
    result: str
    upstream_id: UpstreamId = UpstreamId("")


@frozen
class ReceivedReport:
    """
    A usage report that reached the platform.

    :param at_seconds: Arrival, Unix time.
    :param report: The report.
    """

    at_seconds: float
    report: UsageReport


@frozen
class SeenHeader:
    """
    A request header that reached a stand-in, recorded once a value.

    :param name: Name as sent.
    :param value: Value as sent.
    """

    name: str
    value: str


@frozen
class PlatformJournal:
    """
    The platform's records.

    :param orders: All received orders.
    :param reports: All received usage reports.
    :param spend: Price of all upstreams' running time since the start.
    """

    orders: tuple[ReceivedMarketOrder, ...]
    reports: tuple[ReceivedReport, ...]
    spend: float


@frozen
class ReceivedEngineOrder:
    """
    An order that reached an engine.

    :param at_seconds: Arrival, Unix time.
    :param order: The order.
    :param result: ``run``, ``repeated`` or ``refused``.
    """

    at_seconds: float
    order: EngineOrder
    result: str


@frozen
class GenerationRow:
    """
    A generation that an engine took.

    :param request_id: Name of the generation.
    :param at_seconds: Arrival, Unix time.
    :param resume_from_token: The first token asked for.
    """

    request_id: str
    at_seconds: float
    resume_from_token: int


@frozen
class EngineJournal:
    """
    An engine's records; they outlast its crashes.

    :param orders: All received orders.
    :param generations: All generations taken.
    :param cut_streams: Generations cut by a change of role or model.
    :param crashed_streams: Generations cut by a crash or withdrawal.
    :param cancelled: Generations cancelled by their callers.
    :param crashes: Number of crashes.
    :param headers: All different request headers.
    """

    orders: tuple[ReceivedEngineOrder, ...]
    generations: tuple[GenerationRow, ...]
    cut_streams: int
    crashed_streams: int
    cancelled: int
    crashes: int
    headers: tuple[SeenHeader, ...]


@frozen
class Execution:
    """
    A call that a plain service ran.

    :param at_seconds: Unix time.
    :param method: HTTP method.
    :param path: Path and query.
    :param request_id: The call's id.
    :param idempotency_key: The caller's key; empty for none.
    :param number: Count of this service's executions, from 1.
    :param customer_id: The customer named by the call; empty for none.
    """

    at_seconds: float
    method: str
    path: str
    request_id: str
    idempotency_key: str
    number: int
    customer_id: str = ""


@frozen
class PlainJournal:
    """
    A plain service's records.

    :param executions: All calls that ran.
    :param headers: All different request headers.
    """

    executions: tuple[Execution, ...]
    headers: tuple[SeenHeader, ...]
