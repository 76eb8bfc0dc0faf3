"""Tests of loop: which loop runs, without io_uring, and that errors in callbacks are logged."""

import asyncio
import io
import os
import socket
import subprocess
import sys
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall.process import fastloop, log, loop
from coralfall.settings import LogSettings

#: Bound that only keeps a broken test from hanging.
PATIENCE_S = 60.0

#: Says which loop ran and on how many threads, after a connection by aiohttp.
ONE_THREAD_PROGRAM = """
import asyncio, os, socket
import aiohttp
from coralfall.process import loop

async def main():
    listener = socket.create_server(("127.0.0.1", 0))
    server = await asyncio.start_server(lambda reader, writer: writer.close(), sock=listener)
    async with aiohttp.ClientSession() as session:
        try:
            await session.get("http://127.0.0.1:%d/" % listener.getsockname()[1])
        except aiohttp.ClientError:
            pass
    server.close()
    print(type(asyncio.get_running_loop()).__module__, len(os.listdir("/proc/self/task")))

loop.run(main())
"""


class AbandonedConnectionTest(unittest.TestCase):
    """A task that is cancelled while a connection is made of its socket."""

    @parameterized.expand([("uvloop's", fastloop.Loop), ("asyncio's", asyncio.new_event_loop)])
    def test_its_descriptor_is_closed_once(
        self, _name: str, make_loop: t.Callable[[], asyncio.AbstractEventLoop]
    ) -> None:
        async def main() -> bytes:
            server = await asyncio.start_server(_echo, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            loop = asyncio.get_running_loop()
            abandoned = socket.socket()
            abandoned.setblocking(False)
            await loop.sock_connect(abandoned, address)
            making = asyncio.ensure_future(loop.create_connection(asyncio.Protocol, sock=abandoned))
            await asyncio.sleep(0)
            making.cancel()
            await asyncio.gather(making, return_exceptions=True)
            # The next connection gets the number of the descriptor that is free now.
            reader, writer = await asyncio.open_connection(*address)
            abandoned.close()
            writer.write(b"still open")
            answer = await reader.read(10)
            writer.close()
            server.close()
            return answer

        with asyncio.Runner(loop_factory=make_loop) as runner:
            self.assertEqual(b"still open", runner.run(asyncio.wait_for(main(), PATIENCE_S)))


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(await reader.read(10))
    writer.close()


class LoopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        log.configure(LogSettings(), self.stream)
        self.addCleanup(log.configure, LogSettings(level="error"), io.StringIO())

    @parameterized.expand(
        [
            ("as installed", {}, False, "coralfall.process.fastloop"),
            ("no uvloop", {"coralfall.process.fastloop": None}, False, "asyncio.unix_events"),
            ("uvloop opens an io_uring", {}, True, "asyncio.unix_events"),
        ]
    )
    def test_which_loop_runs(
        self, _name: str, modules: t.Dict[str, None], has_io_uring: bool, expected: str
    ) -> None:
        async def main() -> str:
            return type(asyncio.get_running_loop()).__module__

        with (
            mock.patch.dict(sys.modules, modules),
            mock.patch.object(loop, "_has_io_uring", return_value=has_io_uring),
        ):
            self.assertEqual(loop.run(main()), expected)
        self.assertEqual("event=loop.uvloop-refused" in self.stream.getvalue(), has_io_uring)

    def test_io_uring_is_off_though_the_environment_asks_for_it(self) -> None:
        async def main() -> t.Tuple[t.Optional[str], bool]:
            return os.environ.get(loop.IO_URING_VARIABLE), loop._has_io_uring()

        with mock.patch.dict(os.environ, {loop.IO_URING_VARIABLE: "1"}):
            self.assertEqual(loop.run(main()), ("0", False))

    def test_an_open_io_uring_is_seen(self) -> None:
        with (
            mock.patch.object(os, "listdir", return_value=["3", "4"]),
            mock.patch.object(os, "readlink", side_effect=[OSError, "anon_inode:[io_uring]"]),
        ):
            self.assertTrue(loop._has_io_uring())

    def test_a_process_stays_on_one_thread(self) -> None:
        # libuv's threads are shared by all loops of a process, so a new process is needed.
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        done = subprocess.run(
            [sys.executable, "-c", ONE_THREAD_PROGRAM],
            env=environment,
            capture_output=True,
            text=True,
            timeout=PATIENCE_S,
        )
        self.assertEqual(done.stdout, "coralfall.process.fastloop 1\n", done.stderr)

    def test_an_error_in_a_callback_is_logged(self) -> None:
        async def main() -> None:
            asyncio.get_running_loop().call_soon(lambda: 1 / 0)
            await asyncio.sleep(0.01)

        loop.run(main())
        self.assertIn("event=loop.error", self.stream.getvalue())
        self.assertIn("ZeroDivisionError", self.stream.getvalue())


if __name__ == "__main__":
    unittest.main()
