"""The report as one HTML page without external links."""

from importlib import resources

import jinja2

from waxwingwinch.burn._formats import (
    customer_text,
    rate_text,
    ratio_text,
    seconds_text,
    wall_text,
)
from waxwingwinch.burn._model import BurnReport
from waxwingwinch.burn._plots import draw_burn_rates, draw_course
from waxwingwinch.burn._text import spend_lines

_TEMPLATE = "report.html.jinja"


def write_html(report: BurnReport) -> str:
    """
    Return the page.

    :param report: The report.
    """
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    environment.filters.update(
        customer=customer_text,
        rate=rate_text,
        ratio=ratio_text,
        seconds=seconds_text,
        wall=wall_text,
    )
    source = resources.files("waxwingwinch.burn").joinpath(_TEMPLATE).read_text()
    return environment.from_string(source).render(
        report=report,
        spend_lines=spend_lines(report),
        burn_plot=draw_burn_rates(report) if report.customers else "",
        course_plot=draw_course(report),
    )
