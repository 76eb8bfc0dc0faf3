"""Measures how costs grow with sizes; writes benchmarks/results/capacity.json.

Run ``python -m benchmarks.capacity`` for all slopes or name some; the samples of the others are
kept. A slope is a function without arguments that returns samples; to add some, put them into a
module with a dict ``SLOPES`` and the module into :data:`MODULES`.
"""

import argparse
import pathlib
import sys
import typing as t

import msgspec

from . import capacity_fleet, capacity_lookup
from .samples import Fit, Sample, fit_all

MODULES = (capacity_lookup, capacity_fleet)
RESULTS = pathlib.Path(__file__).parent / "results" / "capacity.json"


class SlopeRun(msgspec.Struct):
    """The raw numbers of one slope function, and the command that made them."""

    command: str
    samples: t.List[Sample]


class Results(msgspec.Struct):
    """All that is known, by slope function."""

    runs: t.Dict[str, SlopeRun] = {}
    fits: t.List[Fit] = []


def main() -> None:
    """Measure the slopes named on the command line, or all."""
    slopes: t.Dict[str, t.Callable[[], t.List[Sample]]] = {}
    for module in MODULES:
        slopes.update(module.SLOPES)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("slopes", nargs="*", help=f"some of {', '.join(slopes)}")
    names = parser.parse_args().slopes or list(slopes)
    unknown = [name for name in names if name not in slopes]
    if unknown:
        sys.exit(f"unknown: {', '.join(unknown)}; known are {', '.join(slopes)}")
    results = read_results()
    for name in names:
        command = f"python -m benchmarks.capacity {name}"
        results.runs[name] = SlopeRun(command, slopes[name]())
        results.fits = fit_all(sample for run in results.runs.values() for sample in run.samples)
        write_results(results)
        print_run(name, results)


def read_results() -> Results:
    """What earlier runs found."""
    if not RESULTS.exists():
        return Results()
    return msgspec.json.decode(RESULTS.read_bytes(), type=Results)


def write_results(results: Results) -> None:
    """Keep what was found."""
    RESULTS.parent.mkdir(exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(results), indent=2)
    RESULTS.write_bytes(encoded + b"\n")


def print_run(name: str, results: Results) -> None:
    """Samples and lines of one slope function, for a person."""
    print(f"== {name}")
    slopes = set()
    for sample in results.runs[name].samples:
        slopes.add(sample.slope)
        values = "  ".join(f"{key}={value:.6g}" for key, value in sample.measured.items())
        print(f"{sample.slope}  {sample.by}={sample.size:.6g}  {values}")
    for fit in results.fits:
        if fit.slope not in slopes:
            continue
        quality = "" if fit.r_squared is None else f", R2 {fit.r_squared:.3f}"
        print(f"{fit.result} = {fit.intercept:.6g} + {fit.per_unit:.6g} * {fit.by}{quality}")


if __name__ == "__main__":
    main()
