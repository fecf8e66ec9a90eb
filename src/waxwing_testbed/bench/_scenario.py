"""What a scenario of the bench consists of."""

from attrs import field, frozen

from waxwing_testbed.deployment import EngineGroup
from waxwing_testbed.standins import EngineLags
from waxwingwinch._types import EngineRole, ZoneName
from waxwingwinch.configuration import Defaults

#: The usual policies, in every scenario.
OURS = "ours"


@frozen
class LoadPhase:
    """
    Calls of one customer for part of the run.

    :param part: Part of the run's length.
    :param calls_per_second: Arrivals.
    :param prompt_words: Mean length of a prompt.
    :param output_tokens: Mean length of an answer.
    """

    part: float
    calls_per_second: float
    prompt_words: int
    output_tokens: int


@frozen
class CustomerLoad:
    """
    What one customer may send, and sends.

    :param customer_id: Its name.
    :param rate_per_second: Its rate.
    :param burst_requests: Its burst.
    :param phases: What it sends, one phase after the other.
    :param pinned: True if all its callers use one instance, and another
        one from the middle of the run.
    :param exceeds_rate: True if it means to send more than its rate.
    """

    customer_id: str
    rate_per_second: float
    burst_requests: float
    phases: tuple[LoadPhase, ...]
    pinned: bool = False
    exceeds_rate: bool = False


@frozen
class SlowEngine:
    """
    Makes the first engine slower.

    :param at_part: Part of the run after which it happens.
    :param factor: How much slower.
    """

    at_part: float
    factor: float


@frozen
class ReclaimZone:
    """
    Takes back the cheap engines of a zone.

    :param at_part: Part of the run after which it happens.
    :param zone: The zone.
    :param notice_seconds: Time until they stop.
    """

    at_part: float
    zone: ZoneName
    notice_seconds: float


@frozen
class LogOutage:
    """
    Takes the platform's log down until the run ends.

    :param at_part: Part of the run after which it happens.
    """

    at_part: float


@frozen
class OrderRoles:
    """
    Gives the engines their roles, without a drain.

    :param at_part: Part of the run after which it happens.
    :param roles: One for each engine.
    """

    at_part: float
    roles: tuple[EngineRole, ...]


Action = SlowEngine | ReclaimZone | LogOutage | OrderRoles


@frozen
class Variant:
    """
    One policy or baseline.

    :param name: Its name.
    :param engines: The engines at start.
    :param entry_settings: Lines of the entries' settings.
    :param control_settings: Lines of the controls' settings.
    :param actions: What happens in this variant only.
    :param defaults: Fleet-wide settings.
    """

    name: str
    engines: tuple[EngineGroup, ...]
    entry_settings: dict[str, object] = field(factory=dict)
    control_settings: dict[str, object] = field(factory=dict)
    actions: tuple[Action, ...] = ()
    defaults: Defaults = Defaults()


@frozen
class Scenario:
    """
    One load with its faults, and the variants that meet it.

    :param name: Its name.
    :param title: What happens, in one line.
    :param customers: The load.
    :param variants: The usual policies first.
    :param actions: What happens in all variants.
    :param lags: How late engines report.
    :param is_market_open: True if engines can be ordered.
    :param flips: Number of changes of the mix.
    """

    name: str
    title: str
    customers: tuple[CustomerLoad, ...]
    variants: tuple[Variant, ...]
    actions: tuple[Action, ...] = ()
    lags: EngineLags = EngineLags()
    is_market_open: bool = False
    flips: int = 0
