"""Starts the one-file program and checks that it works as one process without a child."""

import asyncio
import os
import pathlib
import re
import sys
import tempfile
import typing as t

#: Bound that only keeps a broken program from hanging.
PATIENCE_S = 60.0
STANDIN_SETTINGS = 'address = "127.0.0.1:0"\n'
LISTENING = re.compile(r"event=server\.listening .*address=([0-9.]+):([0-9]+)")


async def check_help(binary: str, environment: t.Dict[str, str]) -> None:
    """The file runs and says how it is used."""
    process = await _start(binary, ["--help"], environment)
    output, _ = await asyncio.wait_for(process.communicate(), PATIENCE_S)
    if process.returncode != 0 or b"Usage" not in output:
        raise SystemExit(f"--help: status {process.returncode}: {output.decode()}")


async def check_standin(binary: str, environment: t.Dict[str, str], folder: str) -> None:
    """A server runs as one process on one thread, answers, and ends in order at SIGTERM."""
    settings = pathlib.Path(folder) / "platform.toml"
    settings.write_text(STANDIN_SETTINGS)
    arguments = ["standin", "platform", "--settings", str(settings)]
    process = await _start(binary, arguments, environment)
    try:
        host, port = await asyncio.wait_for(_listening_address(process), PATIENCE_S)
        await asyncio.wait_for(_ask(host, port), PATIENCE_S)
        _check_alone(process.pid)
        process.terminate()
        status = await asyncio.wait_for(process.wait(), PATIENCE_S)
        if status != 0:
            raise SystemExit(f"standin: status {status} at SIGTERM")
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def _start(
    binary: str, arguments: t.List[str], environment: t.Dict[str, str]
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        binary, *arguments, env=environment, stdout=asyncio.subprocess.PIPE
    )


async def _listening_address(process: asyncio.subprocess.Process) -> t.Tuple[str, int]:
    assert process.stdout is not None
    async for line in process.stdout:
        found = LISTENING.search(line.decode())
        if found:
            return found.group(1), int(found.group(2))
    raise SystemExit(f"standin: ended with status {await process.wait()}")


async def _ask(host: str, port: int) -> None:
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(b"GET / HTTP/1.1\r\nHost: smoke\r\nConnection: close\r\n\r\n")
    answer = await reader.read()
    writer.close()
    if not answer.startswith(b"HTTP/1.1 "):
        raise SystemExit(f"standin: answered {answer!r}")


def _check_alone(pid: int) -> None:
    tasks = list(pathlib.Path(f"/proc/{pid}/task").iterdir())
    children = (tasks[0] / "children").read_text().split()
    if len(tasks) != 1 or children:
        raise SystemExit(f"standin: {len(tasks)} threads, children {children}")


async def main(binary: str) -> None:
    """Check the file ``binary``, given by its whole path."""
    with tempfile.TemporaryDirectory(prefix="coralfall-smoke-") as folder:
        environment = {**os.environ, "SHIV_ROOT": folder}
        environment.pop("PYTHONPATH", None)
        await check_help(binary, environment)
        await check_standin(binary, environment, folder)
    print(f"{os.path.basename(binary)}: one process on one thread, no child; ended in order")


if __name__ == "__main__":
    asyncio.run(main(os.path.abspath(sys.argv[1])))
