"""Records of the stream ``fleet-<cell>``."""

import enum

from attrs import frozen

from waxwingwinch._types import EngineRole, Epoch, ModelName, UpstreamId, UpstreamState
from waxwingwinch.codec import message
from waxwingwinch.interfaces import (
    GiveBack,
    LoadAdapter,
    LoadModel,
    OrderAction,
    OrderUpstream,
    SetRole,
)

#: Action of an intent.
AnyAction = OrderAction | OrderUpstream | GiveBack


def fleet_stream(cell: str) -> str:
    """Return the name of the fleet stream of a cell."""
    return f"fleet-{cell}"


def fleet_duty(cell: str) -> str:
    """Return the name of the duty under which a cell's orders are sent."""
    return f"fleet-{cell}"


def buying_planner(cell: str) -> str:
    """
    Return the name in the records of the buying planner of a cell.

    It is never claimed as a duty; the planner runs under the fleet duty.
    """
    return f"buying-{cell}"


@message("fleet_term")
@frozen
class TermBegun:
    """
    First record of a term of a duty; voids later records of older terms.

    :param duty: Name of the duty.
    :param epoch: Fencing token of the term.
    """

    duty: str
    epoch: Epoch


@message("fleet_directive")
@frozen
class Directive:
    """
    Takes an upstream out of service or puts it back into service.

    :param duty: The duty under which it was decided.
    :param epoch: Fencing token of the term.
    :param upstream_id: The upstream.
    :param state: ``DRAINING`` or ``ACTIVE``.
    :param role: The planned role; None if it doesn't change.
    :param model: The planned model; empty if it doesn't change.
    :param reason: Reason for the decision as plain text.
    """

    duty: str
    epoch: Epoch
    upstream_id: UpstreamId
    state: UpstreamState
    role: EngineRole | None = None
    model: ModelName = ModelName("")
    reason: str = ""


@message("fleet_intent")
@frozen
class OrderIntent:
    """
    Announces an order before it is sent; exactly one action is set.

    :param duty: The duty under which it was decided.
    :param epoch: Fencing token of the term.
    :param order_id: Unique id of the order, the same in all its retries.
    :param upstream_id: The affected upstream; empty for a purchase.
    :param set_role: A change of role.
    :param load_model: A change of model.
    :param load_adapter: An adapter to load.
    :param purchase: An upstream to order.
    :param give_back: An upstream to return.
    """

    duty: str
    epoch: Epoch
    order_id: str
    upstream_id: UpstreamId = UpstreamId("")
    set_role: SetRole | None = None
    load_model: LoadModel | None = None
    load_adapter: LoadAdapter | None = None
    purchase: OrderUpstream | None = None
    give_back: GiveBack | None = None

    @property
    def action(self) -> AnyAction:
        """
        The action that is set.

        :raises ValueError: If no action is set.
        """
        actions: tuple[AnyAction | None, ...] = (
            self.set_role,
            self.load_model,
            self.load_adapter,
            self.purchase,
            self.give_back,
        )
        for action in actions:
            if action is not None:
                return action
        raise ValueError(f"intent {self.order_id!r} has no action")

    @classmethod
    def of(
        cls,
        duty: str,
        epoch: Epoch,
        order_id: str,
        upstream_id: UpstreamId,
        action: AnyAction,
    ) -> "OrderIntent":
        """Build the intent of an action."""
        match action:
            case SetRole():
                return cls(duty, epoch, order_id, upstream_id, set_role=action)
            case LoadModel():
                return cls(duty, epoch, order_id, upstream_id, load_model=action)
            case LoadAdapter():
                return cls(duty, epoch, order_id, upstream_id, load_adapter=action)
            case OrderUpstream():
                return cls(duty, epoch, order_id, upstream_id, purchase=action)
            case GiveBack():
                return cls(duty, epoch, order_id, upstream_id, give_back=action)


class OrderFate(enum.Enum):
    """The way in which an order ended."""

    #: The receiver reported the order as done.
    DONE = "done"
    #: The order has certainly not taken effect and never will.
    FAILED = "failed"
    #: The effect was observed or the receiver is gone, or a market order was
    #: not listed in time.
    OBSERVED = "observed"


@message("fleet_outcome")
@frozen
class OrderOutcome:
    """
    Closes an intent.

    :param duty: The duty under which it was decided.
    :param epoch: Fencing token of the term that closes it.
    :param order_id: Id of the order.
    :param fate: The way in which the order ended.
    """

    duty: str
    epoch: Epoch
    order_id: str
    fate: OrderFate


FleetRecord = TermBegun | Directive | OrderIntent | OrderOutcome
