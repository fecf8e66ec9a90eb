"""Input and results of purchase planning."""

from attrs import frozen

from waxwingwinch._types import EngineRole, ModelName, PriceClass, UpstreamId, ZoneName


@frozen
class OwnedEngine:
    """
    An engine that is in service or ordered.

    :param upstream_id: Id of the engine; empty while it is only ordered.
    :param zone: Its availability zone.
    :param price_class: Its price class.
    :param model: Its model.
    :param price_per_hour: Its price; 0 if unknown.
    :param running: Number of running generations.
    """

    upstream_id: UpstreamId
    zone: ZoneName
    price_class: PriceClass
    model: ModelName
    price_per_hour: float = 0.0
    running: int = 0


@frozen
class ModelNeed:
    """
    Work of a model over the time until an ordered engine is in service.

    :param model: The model.
    :param fully_utilized_engines: The work, as the number of fully utilized
        engines.
    :param surplus_since_seconds: Monotonic time since which fewer engines
        would have sufficed; None if all are needed.
    """

    model: ModelName
    fully_utilized_engines: float
    surplus_since_seconds: float | None = None


@frozen
class CapacityRefusal:
    """
    A refused order: a zone without capacity of a price class.

    :param zone: The availability zone.
    :param price_class: The price class.
    :param until_seconds: Monotonic time until which no engine of this price
        class is ordered in the zone.
    """

    zone: ZoneName
    price_class: PriceClass
    until_seconds: float


@frozen
class BuyingState:
    """
    Input of purchase planning.

    :param zones: Availability zones in which engines can be ordered.
    :param engines: Engines in service and those ordered but not yet listed;
        without leaving and draining ones.
    :param needs: Work of each model.
    :param refusals: Zones that recently refused an order.
    :param busy_models: Models with an order or a drain in progress, of which
        no engine is returned.
    """

    zones: tuple[ZoneName, ...]
    engines: tuple[OwnedEngine, ...]
    needs: tuple[ModelNeed, ...]
    refusals: tuple[CapacityRefusal, ...] = ()
    busy_models: frozenset[ModelName] = frozenset()


@frozen
class Purchase:
    """
    An engine to order.

    :param model: The initial model.
    :param zone: The availability zone.
    :param price_class: The price class.
    :param role: The initial role.
    :param reason: Reason of the order, in one sentence.
    """

    model: ModelName
    zone: ZoneName
    price_class: PriceClass
    role: EngineRole
    reason: str


@frozen
class Return:
    """
    An engine to drain and return to the platform.

    :param upstream_id: Id of the engine.
    :param model: Its model.
    :param reason: Reason of the return, in one sentence.
    """

    upstream_id: UpstreamId
    model: ModelName
    reason: str
