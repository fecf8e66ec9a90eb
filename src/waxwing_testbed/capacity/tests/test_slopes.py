import pathlib

import pytest
from hypothesis import given, strategies as st

from waxwing_testbed.capacity import (
    PAGE_PATH,
    RESULT_PATH,
    Point,
    budget_rows,
    fit_slope,
    read_run,
    render_tables,
    replace_between,
    total_use,
)

ROOT = pathlib.Path(__file__).parents[4]
COEFFICIENTS = st.floats(-1e3, 1e3)


@given(COEFFICIENTS, COEFFICIENTS)
def test_points_on_a_line_give_the_line(slope, intercept):
    points = [Point(size, intercept + slope * size) for size in (1, 2, 5, 9)]
    fitted = fit_slope("name", "B", "thing", "method", points)
    assert fitted.slope == pytest.approx(slope, abs=1e-6)
    assert fitted.intercept == pytest.approx(intercept, abs=1e-6)
    assert fitted.residual == pytest.approx(0.0, abs=1e-6)


def test_the_residual_is_the_mean_distance():
    points = [Point(0, 1.0), Point(1, -1.0), Point(2, -1.0), Point(3, 1.0)]
    fitted = fit_slope("name", "B", "thing", "method", points)
    assert (fitted.slope, fitted.residual) == (0.0, 1.0)


def test_the_page_shows_the_tables_of_the_run():
    tables = render_tables(read_run(ROOT / RESULT_PATH))
    page = (ROOT / PAGE_PATH).read_text()
    for name, table in tables.items():
        assert f"<!-- {name}:begin -->\n{table}<!-- {name}:end -->" in page


def test_every_slope_has_at_least_four_sizes():
    for slope in read_run(ROOT / RESULT_PATH).slopes:
        assert len({point.size for point in slope.points}) >= 4, slope.name


def test_the_recorded_slopes_fit_their_points():
    for slope in read_run(ROOT / RESULT_PATH).slopes:
        fitted = fit_slope(
            slope.name, slope.unit, slope.per, slope.method, slope.points
        )
        assert fitted == slope


def test_the_sum_leaves_out_what_is_not_measured():
    rows = budget_rows(read_run(ROOT / RESULT_PATH))
    measured = [row.today.core_percent for row in rows if row.today.core_percent]
    assert len(measured) < len(rows)
    assert total_use(rows, True).core_percent == pytest.approx(sum(measured))


def test_a_page_without_markers_is_refused():
    with pytest.raises(ValueError, match="budget"):
        replace_between("a page", "budget", "a table")
