"""Tests of linewriter: bounded, never waiting, and honest about what was dropped."""

import asyncio
import os
import typing as t
import unittest

from parameterized import parameterized

from coralfall.process import linewriter
from coralfall.process.linewriter import LineWriter


class Pipe:
    """A pipe with a writer of lines before it, and a clock that is moved by hand."""

    def __init__(self) -> None:
        self.reader, self.descriptor = os.pipe()
        os.set_blocking(self.reader, False)
        self.now = 0.0
        self.writer = LineWriter(self.descriptor, lambda count: f"dropped={count}", self.time)

    def time(self) -> float:
        return self.now

    def read(self) -> t.List[str]:
        data = b""
        while True:
            piece = self.waiting()
            if not piece and self.writer.flush():
                return data.decode().splitlines()
            data += piece

    def waiting(self) -> bytes:
        """What has left and was not read."""
        try:
            return os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return b""

    def close(self) -> None:
        os.close(self.reader)
        os.close(self.descriptor)


class LineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pipe = Pipe()
        self.addCleanup(self.pipe.close)

    def test_lines_come_out_in_order(self) -> None:
        for number in range(100):
            self.pipe.writer.write(f"line {number}")
        self.assertEqual([f"line {number}" for number in range(100)], self.pipe.read())

    def test_a_reader_that_stalls_costs_lines_and_no_time(self) -> None:
        line = "x" * 1000
        count = 3000
        for _ in range(count):
            self.pipe.now += 0.01
            self.pipe.writer.write(line)
        dropped = self.pipe.writer.dropped
        self.assertGreater(dropped, 0)
        kept = self.pipe.read()
        self.pipe.writer.write("back")
        kept += self.pipe.read()
        told = [int(text.removeprefix("dropped=")) for text in kept if "dropped=" in text]
        self.assertEqual((count - dropped, dropped), (kept.count(line), sum(told)))
        self.assertLess(kept.count(line) * 1001, linewriter.MAX_WAITING_BYTES + (1 << 20))
        self.assertEqual("back", kept[-1])

    def test_more_lines_than_the_bound_are_dropped_and_told_of(self) -> None:
        for _ in range(2000):
            self.pipe.writer.write("line")
        self.assertEqual(1000, len(self.pipe.read()))
        self.pipe.now += 1.0
        self.pipe.writer.write("later")
        self.assertEqual(["dropped=1000", "later"], self.pipe.read())

    def test_warnings_have_room_of_their_own(self) -> None:
        for _ in range(2000):
            self.pipe.writer.write("line")
        self.pipe.writer.write("warning", urgent=True)
        self.assertEqual("warning", self.pipe.read()[-1])

    def test_a_long_line_is_whole(self) -> None:
        self.pipe.writer.write("x" * 20_000)
        self.pipe.writer.write("next")
        self.assertEqual([20_000, 4], [len(line) for line in self.pipe.read()])

    @parameterized.expand([("reader gone", True), ("reader there", False)])
    def test_close(self, _name: str, gone: bool) -> None:
        reader, descriptor = os.pipe()
        writer = LineWriter(descriptor, str)
        if gone:
            os.close(reader)
        writer.write("line")
        writer.close()
        os.close(descriptor)
        if not gone:
            self.assertEqual(b"line\n", os.read(reader, 100))
            os.close(reader)

    def test_on_a_loop_lines_leave_at_the_end_of_its_turn(self) -> None:
        async def main() -> t.Tuple[bytes, bytes]:
            self.pipe.writer.write("one")
            waiting = self.pipe.waiting()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return waiting, self.pipe.waiting()

        self.assertEqual((b"", b"one\n"), asyncio.run(main()))
