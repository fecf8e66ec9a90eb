"""What decisions on purchases are made from, and what they are."""

from attrs import frozen

from waxwingwinch._types import EngineRole, ModelName, PriceClass, UpstreamId, ZoneName


@frozen
class OwnedEngine:
    """
    One engine that is in service or will be.

    :param upstream_id: The engine; empty while it is only ordered.
    :param zone: Its availability zone.
    :param price_class: How it is paid for.
    :param model: Its model.
    :param price_per_hour: Its price; 0 if unknown.
    :param running: Generations under way.
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
    Work of a model over the time that an ordered engine takes to come.

    :param model: The model.
    :param engines: The work in engines kept busy all the time.
    :param surplus_since_seconds: Monotonic time since when fewer engines
        would have done; None if they wouldn't.
    """

    model: ModelName
    engines: float
    surplus_since_seconds: float | None = None


@frozen
class Refusal:
    """
    A zone that had no capacity of a price class.

    :param zone: The availability zone.
    :param price_class: The price class.
    :param until_seconds: Monotonic time until which it isn't asked again.
    """

    zone: ZoneName
    price_class: PriceClass
    until_seconds: float


@frozen
class BuyingState:
    """
    What a decision on purchases is made from.

    :param zones: The zones that can be ordered from.
    :param engines: Engines without the leaving and draining ones, with those
        ordered but not yet listed.
    :param needs: Work by model.
    :param refusals: Zones not to ask for now.
    :param busy_models: Models with an order or a drain under way, which give
        nothing back.
    """

    zones: tuple[ZoneName, ...]
    engines: tuple[OwnedEngine, ...]
    needs: tuple[ModelNeed, ...]
    refusals: tuple[Refusal, ...] = ()
    busy_models: frozenset[ModelName] = frozenset()


@frozen
class Purchase:
    """
    One engine to order.

    :param model: The model to start with.
    :param zone: Where.
    :param price_class: How to pay for it.
    :param role: The role to start with.
    :param reason: Why, as a plain sentence.
    """

    model: ModelName
    zone: ZoneName
    price_class: PriceClass
    role: EngineRole
    reason: str


@frozen
class Return:
    """
    One engine to drain and give back.

    :param upstream_id: The engine.
    :param model: Its model.
    :param reason: Why, as a plain sentence.
    """

    upstream_id: UpstreamId
    model: ModelName
    reason: str
