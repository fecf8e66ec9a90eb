"""Plots of the report, as SVG to embed in a page."""

import io

from matplotlib.figure import Figure

from waxwingwinch.burn._formats import customer_text
from waxwingwinch.burn._model import BurnReport, Objective

#: Burn rates above this are drawn at the edge of the plot.
BURN_RATE_DRAWN_MAX = 20.0
#: Customers that are drawn at most; the table holds all.
CUSTOMERS_DRAWN_MAX = 10
_WIDTH_INCHES = 10.0
_CAP_NOTE = f"rates above {BURN_RATE_DRAWN_MAX:.0f} are drawn at the edge"
_SVG_METADATA = {"Date": None, "Creator": None, "Format": None, "Type": None}


def draw_burn_rates(report: BurnReport) -> str:
    """
    Draw the long burn rates of each customer as bars.

    :param report: The report.
    """
    customers = report.customers[:CUSTOMERS_DRAWN_MAX]
    figure = Figure(
        figsize=(_WIDTH_INCHES, 1.2 + 0.6 * len(customers)), layout="constrained"
    )
    axes = figure.add_subplot()
    height = 0.8 / len(Objective)
    for index, objective in enumerate(Objective):
        rates = [
            min(customer.objectives[index].long_burn_rate, BURN_RATE_DRAWN_MAX)
            for customer in customers
        ]
        places = [row + index * height for row in range(len(customers))]
        axes.barh(places, rates, height, align="edge", label=objective.value)
    axes.axvline(1.0, color="black", linewidth=1, linestyle="--")
    centres = [row + 0.4 for row in range(len(customers))]
    axes.set_yticks(
        centres, [customer_text(customer.customer_id) for customer in customers]
    )
    axes.invert_yaxis()
    axes.set_xlabel("burn rate over the long window; 1 spends the budget exactly")
    axes.set_title(_CAP_NOTE, loc="left", fontsize="small")
    _add_legend(figure)
    return _svg(figure)


def draw_course(report: BurnReport) -> str:
    """
    Draw the highest burn rate of each customer over time; empty if there
    are too few snapshots.

    :param report: The report.
    """
    customers = report.customers[:CUSTOMERS_DRAWN_MAX]
    if not customers or len(customers[0].course) < 2:
        return ""
    figure = Figure(figsize=(_WIDTH_INCHES, 3.2), layout="constrained")
    axes = figure.add_subplot()
    for customer in customers:
        seconds = [point.seconds for point in customer.course]
        rates = [min(point.burn_rate, BURN_RATE_DRAWN_MAX) for point in customer.course]
        axes.plot(seconds, rates, marker=".", label=customer_text(customer.customer_id))
    axes.axhline(1.0, color="black", linewidth=1, linestyle="--")
    axes.set_xlabel("seconds since the first snapshot")
    axes.set_ylabel("highest burn rate")
    axes.set_title(_CAP_NOTE, loc="left", fontsize="small")
    _add_legend(figure)
    return _svg(figure)


def _add_legend(figure: Figure) -> None:
    """Add the legend beside the plot, where it covers nothing."""
    figure.legend(loc="outside right upper", fontsize="small")


def _svg(figure: Figure) -> str:
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata=_SVG_METADATA)
    text = buffer.getvalue()
    # The XML declaration and the document type belong to files of their own.
    return text[text.index("<svg") :]
