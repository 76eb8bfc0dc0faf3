"""Files and log lines of one build, read by both: what their commands print is compared."""

import concurrent.futures
import difflib
import pathlib
import re
import typing as t

from tests.mixed_builds.builds import NEW, OLD, OTHER, Builds, Report
from tests.platform_adapter.test_processes import EntryProcess

Command = t.Tuple[str, ...]
#: Commands at a time.
_AT_A_TIME = 6
#: Log lines of a run of the soak are many: those of the first seeds of each kind suffice.
_SOAKS = 3
_ENDED = re.compile(r"event=request\.(?:ended|refused) .*")
#: A line of a draft that is broken, and a line that no settings know.
_FAULT = ('policy = "latency"', 'policy = "speed"')
_UNKNOWN = 'regon = "sierra"\n'


def compare(builds: Builds, report: Report, name: str, commands: t.Sequence[Command]) -> None:
    """Tell whether commands print the same with both builds, letter for letter."""
    differing: t.List[str] = []
    with concurrent.futures.ThreadPoolExecutor(_AT_A_TIME) as pool:
        said = {
            build: pool.map(lambda command, build=build: builds.run(build, *command), commands)
            for build in (OLD, NEW)
        }
    for command, old_text, new_text in zip(commands, said[OLD], said[NEW], strict=True):
        old, new = old_text.splitlines(), new_text.splitlines()
        if old != new:
            differing.append(f"coralfall {' '.join(command)}")
            differing += difflib.unified_diff(old, new, OLD, NEW, lineterm="", n=0)
        elif old[-1] == "exit status 0" and len(old) < 2:
            differing.append(f"coralfall {' '.join(command)} printed nothing")
    report.tell(name, differing, f"{len(commands)} commands")


def settings(builds: Builds, report: Report, folder: pathlib.Path) -> None:
    """Settings of `steer` and of `entry`: what is said of good ones and of bad ones."""
    good = EntryProcess(folder, 1, "127.0.0.1:1").settings
    bad = folder / "bad.toml"
    bad.write_text(_UNKNOWN + good.read_text())
    checks: t.List[Command] = [
        ("steer", "--check", "--settings", str(path)) for path in (good, bad)
    ]
    checks.append(("entry", "--settings", str(bad)))
    compare(builds, report, "data: settings", checks)
    with report.check("data: settings are taken in") as differing:
        for build in (OLD, NEW):
            said = builds.run(build, *checks[0])
            if "exit status 0" not in said:
                differing.append(f"{build}: {said}")


def bundles(builds: Builds, report: Report, old_root: pathlib.Path, folder: pathlib.Path) -> None:
    """Drafts, keys and signed bundles, written by each build and used by the other one."""
    drafts = sorted((old_root / "examples").glob("*.toml"))
    signed: t.List[pathlib.Path] = []
    with report.check("data: drafts, keys and signatures pass from each build to the other") as no:
        for build in (OLD, NEW):
            place = folder / build
            place.mkdir()
            draft = place / "draft.toml"
            no += _faults(builds, build, "bundle", "new", str(draft), "--partner", "cosecha")
            drafts.append(draft)
            for name in ("ana", "bea"):
                no += _faults(builds, build, "keys", "new", str(place / name), "--id", name)
            no += _faults(builds, build, "keys", "fleet", str(place / "fleet"))
        for build in (OLD, NEW):
            made = folder / build
            for signer in (build, OTHER[build]):
                # A draft and keys of one build; the author signs with either, and the approver
                # with the other one.
                file = made / f"author-{signer}.signed"
                signed.append(file)
                words = ("--output", str(file), "--key")
                author = ("--role", "author", *words, str(made / "ana"))
                no += _faults(builds, signer, "bundle", "sign", str(made / "draft.toml"), *author)
                approver = ("--role", "approver", *words, str(made / "bea"))
                no += _faults(builds, OTHER[signer], "bundle", "sign", str(file), *approver)
            if signed[-1].read_bytes() != signed[-2].read_bytes():
                no.append(f"{signed[-1]} and {signed[-2]} differ")
        if drafts[-1].read_bytes() != drafts[-2].read_bytes():
            no.append(f"{drafts[-1]} and {drafts[-2]} differ")
    broken = folder / "broken.toml"
    broken.write_text(_UNKNOWN + drafts[0].read_text().replace(*_FAULT))
    checks = [("bundle", "check", str(path)) for path in (*drafts, broken, *signed)]
    compare(builds, report, "data: bundle check", checks)
    pairs = [(drafts[0], drafts[1]), (drafts[0], drafts[-1]), (signed[0], signed[-1])]
    pairs.append((drafts[0], signed[0]))
    diffs = [("bundle", "diff", str(old), str(new)) for old, new in pairs]
    compare(builds, report, "data: bundle diff", diffs)


def _faults(builds: Builds, build: str, *command: str) -> t.List[str]:
    said = builds.run(build, *command)
    return [] if "exit status 0" in said else [f"{build}: coralfall {' '.join(command)}", said]


def logs(builds: Builds, report: Report, folder: pathlib.Path) -> None:
    """Log lines of both builds' entries, explained by both."""
    found = False
    places = sorted({path.parent for path in folder.glob("*/*.log")})
    soaks = sorted([place for place in places if "soak-" in place.name], key=_seed_of)
    for place in places:
        if place in soaks[_SOAKS:]:
            continue
        files = tuple([str(path) for path in sorted(place.glob("*.log"))])
        ids = _ids(files)
        found = found or bool(ids)
        commands = [("explain", request_id, *files) for request_id in ids]
        commands += [("explain", "--lost", *files), ("explain", "--entries", *files)]
        compare(builds, report, f"data: explain, logs of {place.name}", commands)
    report.tell("data: logs were there to explain", [] if found else [f"none in {folder}"])


def _seed_of(place: pathlib.Path) -> int:
    return int(place.name.rpartition("-")[2])


def _ids(files: t.Sequence[str]) -> t.List[str]:
    """Ids of requests, one of each reason and of each entry's answered ones."""
    id_by_reason: t.Dict[str, str] = {}
    for file in files:
        for line in _ENDED.findall(pathlib.Path(file).read_text(errors="replace")):
            fields = dict([word.split("=", 1) for word in line.split() if "=" in word])
            reason = fields.get("reason", "")
            key = file if reason == "answered" else reason
            if "id" in fields:
                id_by_reason.setdefault(key, fields["id"])
    return list(id_by_reason.values())
