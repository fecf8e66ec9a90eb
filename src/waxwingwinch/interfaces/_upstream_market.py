"""The platform's interface for ordering and giving back upstreams."""

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
    One upstream that the platform runs.

    :param upstream_id: Name of the upstream.
    :param kind: Model engine or plain service.
    :param address: Where it serves.
    :param zone: Its availability zone.
    :param price_class: How it is paid for.
    :param price_per_hour: Price in the platform's currency.
    :param state: Where it is in its life, without the system's own drains.
    :param leaves_in_seconds: Time until a leaving upstream is withdrawn, when
        the list was made; None if it isn't leaving.
    :param service: Name of the plain service; empty for an engine.
    :param model: The model loaded at start; empty for a plain service.
    :param role: The role at start; None for a plain service.
    :param checks_fencing: True if it refuses old fencing tokens.
    :param order_id: The order that brought it; empty if none did.
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
    Asks for one more engine.

    :param zone: Availability zone to place it in.
    :param price_class: How to pay for it.
    :param model: The model to start with.
    :param role: The role to start with.
    """

    zone: ZoneName
    price_class: PriceClass
    model: ModelName
    role: EngineRole


@frozen
class GiveBack:
    """
    Returns an upstream to the platform.

    :param upstream_id: The upstream; must have been drained.
    """

    upstream_id: UpstreamId


@frozen
class MarketOrder:
    """
    One order with its identity.

    :param order_id: Unique name; the platform carries out an order with a
        known name once, but its answers can be lost.
    :param epoch: Fencing token of the ordering process.
    :param action: What is ordered.
    """

    order_id: str
    epoch: Epoch
    action: OrderUpstream | GiveBack


class UpstreamMarket(Protocol):
    """Lists, orders and gives back upstreams."""

    def list_upstreams(self) -> tuple[ListedUpstream, ...]:
        """
        Return all upstreams, starting and leaving ones included.

        :raises PlatformUnavailable: If no answer came.
        """

    def place(self, order: MarketOrder) -> None:
        """
        Send one order.

        :raises PlatformUnavailable: If no answer came; the order may take
            effect at any later time.
        :raises PlatformRefused: If the platform will not carry it out, for
            example because the zone has no capacity.
        """

    def was_placed(self, order_id: str) -> bool:
        """
        Tell whether an order has taken effect.

        :raises PlatformUnavailable: If no answer came.
        """
