"""The two builds, which of them each process runs, and the lines that tell what was found."""

import collections
import contextlib
import os
import pathlib
import subprocess
import sys
import traceback
import typing as t
from unittest import mock

NEW_ROOT = pathlib.Path(__file__).resolve().parents[2]
OLD, NEW = "old", "new"
OTHER = {OLD: NEW, NEW: OLD}
_SHOWN = 40
_COMMAND_S = 120.0
#: Names the build of a command that is run with both.
_FIXED = "MIXED_BUILDS_FIXED"

#: The build of an entry, by its name and by how often it was started before.
Choice = t.Callable[[str, int], str]


def even_runs(build: str) -> Choice:
    """Entries of even number run one build, the others the other one, after restarts too."""
    return lambda name, _starts: build if int(name[1:]) % 2 == 0 else OTHER[build]


def rolling(name: str, starts: int) -> str:
    """Each restart brings the other build."""
    return even_runs(OLD)(name, starts) if starts % 2 == 0 else even_runs(NEW)(name, starts)


class Builds:
    """An old checkout and this one.

    :ivar others: what commands and stand-ins run.
    :ivar starts: how many entries were started, by their build.
    """

    def __init__(self, old_root: pathlib.Path) -> None:
        self._sources = {OLD: str(old_root / "src"), NEW: str(NEW_ROOT / "src")}
        self.others = NEW
        self.starts: t.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def chosen(self, choice: Choice) -> t.Iterator[None]:
        """Within, each process of `coralfall` that is started runs the build of its own."""
        starts_by_settings: t.Counter[str] = collections.Counter()

        def build_of(arguments: t.Sequence[str], environment: t.Mapping[str, str]) -> str:
            if _FIXED in environment:
                return environment[_FIXED]
            settings = environment.get("CORALFALL_SETTINGS", "") if "steer" in arguments else ""
            if "entry" in arguments:
                settings = arguments[arguments.index("--settings") + 1]
            if not settings:
                return self.others
            build = choice(pathlib.Path(settings).stem, starts_by_settings[settings])
            starts_by_settings[settings] += 1
            self.starts[build] += 1
            return build

        class ChoosingPopen(subprocess.Popen):  # type: ignore[type-arg]
            """Sets the path that modules are imported from."""

            def __init__(self, arguments: t.Sequence[str], **options: t.Any) -> None:
                environment = dict(options.get("env") or os.environ)
                source = sources[build_of(arguments, environment)]
                environment["PYTHONPATH"] = os.pathsep.join((source, str(NEW_ROOT)))
                super().__init__(arguments, **{**options, "env": environment})

        sources = self._sources
        with mock.patch("subprocess.Popen", ChoosingPopen):
            yield

    def run(self, build: str, *arguments: str) -> str:
        """What a command of one build prints, and its exit status."""
        return self._python(build, "-m", "coralfall.cli", *arguments)

    def missing(self) -> t.List[str]:
        """Builds that are not imported from their own checkouts."""
        where = "import coralfall; print(coralfall.__file__)"
        return [
            f"{build} is imported from {found}"
            for build, source in self._sources.items()
            if not (found := self._python(build, "-c", where)).startswith(f"{source}/")
        ]

    def _python(self, build: str, *arguments: str) -> str:
        done = subprocess.run(
            [sys.executable, *arguments],
            capture_output=True,
            text=True,
            timeout=_COMMAND_S,
            stdin=subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": self._sources[build], _FIXED: build},
            check=False,
        )
        return f"{done.stdout}{done.stderr}exit status {done.returncode}\n"


class Report:
    """Prints one line a check, with what differed beneath."""

    def __init__(self) -> None:
        self.failed = 0

    def tell(self, check: str, differing: t.Sequence[str], note: str = "") -> None:
        """Tell of a check, which is well if nothing differed."""
        told = f" ({note})" if note else ""
        print(f"{check}: {f'{len(differing)} DIFFER' if differing else 'ok'}{told}", flush=True)
        for line in differing[:_SHOWN]:
            print(f"    {line}", flush=True)
        self.failed += bool(differing)

    @contextlib.contextmanager
    def check(self, name: str) -> t.Iterator[t.List[str]]:
        """A check, which adds what differed to a list; an error of any kind differs too."""
        differing: t.List[str] = []
        try:
            yield differing
        except AssertionError as error:
            differing += str(error).splitlines()
        except Exception:
            differing += traceback.format_exc().splitlines()
        self.tell(name, differing)
