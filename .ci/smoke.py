"""Starts the one-file program and checks that it works as one process without a child."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing as t

START_TIMEOUT_S = 60.0
STANDIN_SETTINGS = 'address = "127.0.0.1:0"\n'


def children_of(pid: int) -> t.List[int]:
    """Process ids of all direct children of a process."""
    children = []
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        children += [int(child) for child in (task / "children").read_text().split()]
    return children


def check_help(binary: str, environment: t.Dict[str, str]) -> None:
    """The file runs and says how it is used."""
    done = subprocess.run(
        [binary, "--help"], env=environment, capture_output=True, text=True, timeout=START_TIMEOUT_S
    )
    if done.returncode != 0 or "Usage" not in done.stdout:
        raise SystemExit(f"--help: status {done.returncode}\n{done.stdout}{done.stderr}")


def check_standin(binary: str, environment: t.Dict[str, str], folder: str) -> None:
    """A long-running command runs as one process, without a child, and ends at SIGTERM."""
    settings = pathlib.Path(folder) / "platform.toml"
    settings.write_text(STANDIN_SETTINGS)
    process = subprocess.Popen(
        [binary, "standin", "platform", "--settings", str(settings)],
        env=environment,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        first_line = process.stdout.readline()
        if not first_line:
            raise SystemExit(f"standin platform: ended with status {process.wait()}")
        if children_of(process.pid):
            raise SystemExit(f"standin platform: has children {children_of(process.pid)}")
        process.terminate()
        if process.wait(timeout=START_TIMEOUT_S) != 0:
            raise SystemExit(f"standin platform: status {process.returncode} at SIGTERM")
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()


def main() -> None:
    """Check the file named on the command line."""
    binary = os.path.abspath(sys.argv[1])
    folder = tempfile.mkdtemp(prefix="coralfall-smoke-")
    environment = {**os.environ, "SHIV_ROOT": folder}
    environment.pop("PYTHONPATH", None)
    try:
        check_help(binary, environment)
        check_standin(binary, environment, folder)
    finally:
        shutil.rmtree(folder)
    print(f"{sys.argv[1]}: one process, no child")


if __name__ == "__main__":
    main()
