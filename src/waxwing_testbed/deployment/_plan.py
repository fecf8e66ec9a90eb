"""What a deployment consists of."""

from attrs import field, frozen

from waxwing_testbed.standins import (
    EngineLags,
    EngineLimits,
    EngineSpeeds,
    LogSettings,
    MarketSettings,
)
from waxwingwinch._types import EngineRole, ModelName, PriceClass, ZoneName


@frozen
class EngineGroup:
    """
    Engines that are alike, spread over the availability zones.

    :param model: Their model.
    :param count: How many.
    :param role: Their role at start.
    :param price_class: How they are paid for.
    :param adapters: Adapters loaded at start.
    :param checks_fencing: True to refuse old fencing tokens.
    """

    model: ModelName
    count: int
    role: EngineRole = EngineRole.MIXED
    price_class: PriceClass = PriceClass.ON_DEMAND
    adapters: tuple[str, ...] = ()
    checks_fencing: bool = True


@frozen
class PlainGroup:
    """
    Upstreams of one plain service, spread over the availability zones.

    :param service: Name of the service.
    :param count: How many.
    :param answer_delay_seconds: Time that each call takes.
    """

    service: str
    count: int
    answer_delay_seconds: float = 0.005


@frozen
class DeploymentPlan:
    """
    Sizes and speeds of a deployment.

    :param name: Its name.
    :param zones: Availability zones.
    :param instances: Number of entry instances, each with its control.
    :param engines: Model engines.
    :param plain: Plain services.
    :param speeds: How fast engines work.
    :param limits: What engines can hold.
    :param lags: How late engines report.
    :param log: Limits of the log.
    :param market: What can be ordered; spares are added by the launcher.
    :param spare_engines: Engines that can be ordered at most.
    :param crash_word: A prompt with this word crashes an engine.
    :param lease_seconds: Lease of the duties.
    :param instance_list_lag_seconds: Lag of the platform's list.
    :param weight_load_seconds: Length of one load of weights.
    :param entry_settings: Further lines of the entries' settings.
    :param control_settings: Further lines of the controls' settings.
    """

    name: str
    zones: tuple[ZoneName, ...]
    instances: int = 7
    engines: tuple[EngineGroup, ...] = ()
    plain: tuple[PlainGroup, ...] = ()
    speeds: EngineSpeeds = EngineSpeeds()
    limits: EngineLimits = EngineLimits()
    lags: EngineLags = EngineLags()
    log: LogSettings = LogSettings(appends_per_second=300.0)
    market: MarketSettings = MarketSettings()
    spare_engines: int = 0
    crash_word: str = "crash-please"
    lease_seconds: float = 8.0
    instance_list_lag_seconds: float = 0.5
    weight_load_seconds: float = 1.0
    entry_settings: dict[str, object] = field(factory=dict)
    control_settings: dict[str, object] = field(factory=dict)


def tahi_plan() -> DeploymentPlan:
    """Return the sizes of Tahi: 9 assistant engines and 3 shop services."""
    return DeploymentPlan(
        name="tahi",
        zones=(ZoneName("iloilo"), ZoneName("cebu"), ZoneName("bacolod")),
        engines=(
            EngineGroup(ModelName("tahi-assistant"), 6),
            EngineGroup(
                ModelName("tahi-assistant"),
                3,
                price_class=PriceClass.CHEAP,
                checks_fencing=False,
            ),
        ),
        plain=(PlainGroup("shop", 3),),
    )


def greenwood_plan() -> DeploymentPlan:
    """Return the sizes of Greenwood: 5 tutor engines, 3 booking services."""
    return DeploymentPlan(
        name="greenwood",
        zones=(ZoneName("north"), ZoneName("central"), ZoneName("south")),
        engines=(
            EngineGroup(ModelName("greenwood-tutor"), 4),
            EngineGroup(ModelName("greenwood-tutor"), 1, checks_fencing=False),
        ),
        plain=(PlainGroup("booking", 3),),
    )
