"""Straight lines through measured points."""

import math
from collections.abc import Callable, Sequence

from attrs import frozen


@frozen
class Point:
    """
    One measurement.

    :param size: How many of the thing that the slope counts.
    :param value: What was measured, in the unit of the slope.
    """

    size: float
    value: float


@frozen
class Slope:
    """
    A least-squares line through measurements.

    :param name: Short name, unique.
    :param unit: Unit of the values, suffix of no field as it varies.
    :param per: What one step of the size is.
    :param method: How the values were taken.
    :param points: The measurements.
    :param slope: Rise for one more.
    :param intercept: Value at none.
    :param residual: Root mean square of the distances from the line.
    """

    name: str
    unit: str
    per: str
    method: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    residual: float


def fit_slope(
    name: str, unit: str, per: str, method: str, points: Sequence[Point]
) -> Slope:
    """
    Fit a line.

    :param points: At least two different sizes.
    """
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_value = sum(point.value for point in points) / count
    spread = sum((point.size - mean_size) ** 2 for point in points)
    joint = sum(
        (point.size - mean_size) * (point.value - mean_value) for point in points
    )
    slope = joint / spread
    intercept = mean_value - slope * mean_size
    errors = [point.value - intercept - slope * point.size for point in points]
    residual = math.sqrt(sum(error**2 for error in errors) / count)
    return Slope(name, unit, per, method, tuple(points), slope, intercept, residual)


def measure_slope(
    name: str,
    unit: str,
    per: str,
    method: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> Slope:
    """
    Measure at several sizes and fit a line.

    :param sizes: The sizes.
    :param measure: Returns the value at a size.
    """
    points = [Point(size, measure(size)) for size in sizes]
    return fit_slope(name, unit, per, method, points)
