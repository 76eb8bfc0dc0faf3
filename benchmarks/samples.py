"""Samples of a cost against a size, and the straight line through them."""

import math
import statistics
import typing as t

import msgspec


class Sample(msgspec.Struct, frozen=True):
    """What one run measured at one size."""

    slope: str
    #: What was varied, such as ``blocks``.
    by: str
    size: float
    #: Results by name, which ends in the unit.
    measured: t.Dict[str, float]


class Fit(msgspec.Struct, frozen=True):
    """Least-squares line through the samples of one result: ``intercept + per_unit * size``."""

    slope: str
    by: str
    result: str
    intercept: float
    per_unit: float
    #: Share of the variance that the line explains; ``None`` if there is no variance.
    r_squared: t.Optional[float]
    samples: int


def fit_all(samples: t.Iterable[Sample]) -> t.List[Fit]:
    """A line for each result of each slope that was measured at two sizes or more."""
    points_by_key: t.Dict[t.Tuple[str, str, str], t.List[t.Tuple[float, float]]] = {}
    for sample in samples:
        for result, value in sample.measured.items():
            key = (sample.slope, sample.by, result)
            points_by_key.setdefault(key, []).append((sample.size, value))
    fits = []
    for (slope, by, result), points in points_by_key.items():
        if len({size for size, _ in points}) < 2:
            continue
        fits.append(_fit(slope, by, result, points))
    return fits


def _fit(slope: str, by: str, result: str, points: t.Sequence[t.Tuple[float, float]]) -> Fit:
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    mean = statistics.fmean(values)
    total = math.fsum((value - mean) ** 2 for value in values)
    left = math.fsum((value - line.intercept - line.slope * size) ** 2 for size, value in points)
    r_squared = 1 - left / total if total else None
    return Fit(slope, by, result, line.intercept, line.slope, r_squared, len(points))
