"""Shows that this build works beside an old one, and on the settings and data that it wrote.

    PYTHONPATH=src python -m tests.mixed_builds OLD_CHECKOUT           all checks
    PYTHONPATH=src python -m tests.mixed_builds OLD_CHECKOUT --seeds 8 with more of the soak

Each check prints a line, with what differed beneath. It exits with 1 if anything did; the logs
then stay in the folder that is named.
"""

import argparse
import pathlib
import shutil
import sys
import tempfile
import time

from tests.mixed_builds import data, entry, steer
from tests.mixed_builds.builds import Builds, Report


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.mixed_builds", description=__doc__)
    parser.add_argument("old", type=pathlib.Path, help="a checkout of the old build")
    parser.add_argument("--seeds", type=int, default=2, help="runs of the soak of each kind")
    parser.add_argument("--first", type=int, default=int(time.time()), help="the first seed")
    options = parser.parse_args()
    old_root = options.old.resolve()
    builds = Builds(old_root)
    report = Report()
    missing = builds.missing()
    report.tell("builds: each is imported from its checkout", missing)
    if missing:
        return 1
    folder = pathlib.Path(tempfile.mkdtemp(prefix="mixed-builds-"))
    for name in ("steer", "entry", "data"):
        (folder / name).mkdir()
    seeds = range(options.first, options.first + options.seeds)
    steer.soak(builds, report, seeds, folder / "steer")
    steer.knowledge(builds, report, folder / "steer")
    entry.fleet(builds, report, folder / "entry")
    data.settings(builds, report, folder / "data")
    data.bundles(builds, report, old_root, folder / "data")
    data.logs(builds, report, folder / "steer")
    if report.failed:
        print(f"{report.failed} checks failed; logs and files are in {folder}")
        return 1
    shutil.rmtree(folder)
    print("all is well")
    return 0


if __name__ == "__main__":
    sys.exit(main())
