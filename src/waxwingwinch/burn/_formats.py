"""How figures are written for people."""

import datetime

from waxwingwinch._types import CustomerId
from waxwingwinch.operators_api import OPEN_ROUTES

#: Shown in place of a figure that doesn't exist.
NO_FIGURE = "–"


def customer_text(customer_id: CustomerId) -> str:
    """
    Write the name of a customer.

    :param customer_id: The customer, or ``OPEN_ROUTES``.
    """
    return "(open routes)" if customer_id == OPEN_ROUTES else customer_id


def ratio_text(ratio: float) -> str:
    """
    Write a share as a percentage.

    :param ratio: The share.
    """
    return "−∞" if ratio == float("-inf") else f"{100 * ratio:.1f} %"


def rate_text(burn_rate: float) -> str:
    """
    Write a burn rate.

    :param burn_rate: The burn rate.
    """
    return "∞" if burn_rate == float("inf") else f"{burn_rate:.2f}"


def seconds_text(seconds: float | None) -> str:
    """
    Write a time.

    :param seconds: The time; None if there is none.
    """
    return NO_FIGURE if seconds is None else f"{seconds:.3f} s"


def wall_text(wall_seconds: float) -> str:
    """
    Write a moment.

    :param wall_seconds: Unix time.
    """
    moment = datetime.datetime.fromtimestamp(wall_seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")
