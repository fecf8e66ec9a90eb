"""Interface to the platform for ordering and returning upstreams."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import (
    Address,
    EngineRole,
    Epoch,
    ModelName,
    PriceClass,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    ZoneName,
)


@frozen
class ListedUpstream:
    """
    One upstream in the platform's list.

    :param upstream_id: Name of the upstream.
    :param kind: Model engine or plain service.
    :param address: Address at which it serves.
    :param zone: Its availability zone.
    :param price_class: How it is paid for.
    :param price_per_hour: Price in the platform's currency.
    :param state: Its life cycle state, without drains ordered by the system.
    :param leaves_in_seconds: Time from the creation of the list until a
        leaving upstream is withdrawn; None if the upstream isn't leaving.
    :param service: Name of the plain service; empty for an engine.
    :param model: The model loaded at start; empty for a plain service.
    :param role: The role at start; None for a plain service.
    :param checks_fencing: True if it refuses orders with old fencing tokens.
    :param order_id: The order by which it was started; empty if it was
        started without an order.
    """

    upstream_id: UpstreamId
    kind: UpstreamKind
    address: Address
    zone: ZoneName
    price_class: PriceClass
    price_per_hour: float
    state: UpstreamState
    leaves_in_seconds: float | None = None
    service: str = ""
    model: ModelName = ModelName("")
    role: EngineRole | None = None
    checks_fencing: bool = True
    order_id: str = ""


@frozen
class OrderUpstream:
    """
    Orders one more engine.

    :param zone: Availability zone in which to start the engine.
    :param price_class: Price class of the engine.
    :param model: The model to load at start.
    :param role: The role at start.
    """

    zone: ZoneName
    price_class: PriceClass
    model: ModelName
    role: EngineRole


@frozen
class GiveBack:
    """
    Returns an upstream to the platform.

    :param upstream_id: The upstream, which must have been drained.
    """

    upstream_id: UpstreamId


@frozen
class MarketOrder:
    """
    One order with its id and fencing token.

    :param order_id: Unique id; the platform executes orders with the same id
        only once, but its responses can be lost.
    :param epoch: Fencing token of the ordering process.
    :param action: The ordered action.
    """

    order_id: str
    epoch: Epoch
    action: OrderUpstream | GiveBack


class UpstreamMarket(Protocol):
    """Client for listing, ordering and returning upstreams."""

    def list_upstreams(self) -> tuple[ListedUpstream, ...]:
        """
        Fetch all upstreams, including those that are starting or leaving.

        :raises PlatformUnavailable: If no valid response was received.
        """

    def place(self, order: MarketOrder) -> None:
        """
        Send one order.

        :raises PlatformUnavailable: If no valid response was received; the
            order may take effect at any later time.
        :raises PlatformRefused: If the platform refuses the order, for example
            because the zone has no capacity.
        """

    def was_placed(self, order_id: str) -> bool:
        """
        Return whether an order has taken effect.

        :raises PlatformUnavailable: If no valid response was received.
        """
