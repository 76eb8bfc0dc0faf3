"""Plays seeds of the soak.

    python -m tests.soak --seeds 50                 fifty fresh seeds, four at a time
    python -m tests.soak --first 7 --seeds 1        one seed again
    python -m tests.soak --seeds 50 --deadly        the same, with requests that end targets
    python -m tests.soak --seeds 50 --retries       the same, with rejections and kills in series
    python -m tests.soak --seeds 50 --drills        the same, with a store that loses writes
    python -m tests.soak --seeds 50 --stops         entries told to stop, and nothing else
    python -m tests.soak --seconds 60 --jobs 2      longer runs

Logs of a seed that showed a fault stay in the folder that is named, with what was played. It
exits with 1 if any seed showed one.
"""

import argparse
import asyncio
import json
import pathlib
import shutil
import sys
import tempfile
import time
import typing as t

from tests.soak.run import Outcome, run

_SHOWN = 8


async def _one(seed: int, folder: pathlib.Path, options: argparse.Namespace) -> bool:
    place = folder / f"seed-{seed}"
    place.mkdir(parents=True, exist_ok=True)
    outcome = await run(
        seed,
        options.seconds,
        place,
        timed=True,
        deadly=options.deadly,
        retries=options.retries,
        drills=options.drills,
        stops=options.stops,
        entries=options.entries,
    )
    print(_line(seed, outcome), flush=True)
    if not outcome.faults:
        shutil.rmtree(place)
        return True
    for fault in outcome.faults[:_SHOWN]:
        print(f"    {fault}", flush=True)
    (place / "played.json").write_text(json.dumps(outcome._asdict(), indent=1))
    return False


def _line(seed: int, outcome: Outcome) -> str:
    result = f"{len(outcome.faults)} FAULTS" if outcome.faults else "well"
    return (
        f"seed {seed}: {result}; {outcome.served} of {outcome.attempts} served;"
        f" {len(outcome.troubles)} troubles"
    )


async def _all(options: argparse.Namespace) -> int:
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="soak-"))
    print(f"logs of faults stay in {folder}")
    turns = asyncio.Semaphore(options.jobs)
    failed: t.List[int] = []

    async def one(seed: int) -> None:
        async with turns:
            if not await _one(seed, folder, options):
                failed.append(seed)

    seeds = range(options.first, options.first + options.seeds)
    await asyncio.gather(*[one(seed) for seed in seeds])
    print(f"{len(seeds)} seeds, {len(failed)} with faults: {sorted(failed)}")
    return 1 if failed else 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10, help="how many")
    parser.add_argument("--first", type=int, default=int(time.time()), help="the first of them")
    parser.add_argument("--seconds", type=float, default=15.0, help="of trouble in each")
    parser.add_argument("--jobs", type=int, default=4, help="seeds at a time")
    parser.add_argument("--deadly", action="store_true", help="with requests that end targets")
    parser.add_argument(
        "--retries", action="store_true", help="with rejections and kills in series"
    )
    parser.add_argument("--drills", action="store_true", help="with a store that loses writes")
    parser.add_argument("--stops", action="store_true", help="with entries told to stop alone")
    parser.add_argument("--entries", type=int, default=4, help="how many entries there are")
    parser.add_argument("--folder", help="for logs of seeds that showed a fault")
    return asyncio.run(_all(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
