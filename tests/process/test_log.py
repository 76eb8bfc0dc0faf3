"""Tests of log: one event is one line, whatever is in it."""

import ast
import asyncio
import enum
import io
import logging
import typing as t
import unittest

import hypothesis
import hypothesis.strategies as st
from parameterized import parameterized

from coralfall.process import log
from coralfall.settings import LogSettings

LEVELS: t.List[t.Literal["debug", "info", "warning", "error"]] = [
    "debug",
    "info",
    "warning",
    "error",
]


class Colour(enum.Enum):
    """A state as the log sees it."""

    RED = "red"


class Unprintable:
    """An object that fails to say what it is."""

    def __str__(self) -> str:
        raise ValueError("no")


class BrokenStream(io.StringIO):
    """A stream whose reader has gone."""

    def write(self, text: str) -> int:
        raise BrokenPipeError


def render(**fields: t.Any) -> str:
    """What follows the leading keys for an event with these fields."""
    line = log.render({"timestamp": 0.0, "message_type": "a.b", "_level": "info", **fields})
    leading = "time=1970-01-01T00:00:00.000Z level=info event=a.b"
    assert line.startswith(leading), line
    return line.removeprefix(leading).strip()


class RenderTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("bare", "e1", "value=e1"),
            ("address", "127.0.0.1:80", "value=127.0.0.1:80"),
            ("empty", "", 'value=""'),
            ("space", "a b", 'value="a b"'),
            ("equals", "a=b", 'value="a=b"'),
            ("quote", 'a"b', r'value="a\"b"'),
            ("backslash", "a\\b", r'value="a\\b"'),
            ("newline", "a\nb", r'value="a\nb"'),
            ("return", "a\rb", r'value="a\rb"'),
            ("escape", "a\x1b[0m", r'value="a\u001b[0m"'),
            ("line separator", "a\u2028b", r'value="a\u2028b"'),
            ("next line", "a\x85b", r'value="a\u0085b"'),
            ("bidi override", "a\u202eb", r'value="a\u202eb"'),
            ("surrogate", "a\ud800b", r'value="a\ud800b"'),
            ("tag", "a\U000e0001", r'value="a\U000e0001"'),
            ("spanish", "Común", 'value="Común"'),
            ("none", None, "value=null"),
            ("true", True, "value=true"),
            ("number", 1.5, "value=1.5"),
            ("state", Colour.RED, "value=red"),
            ("bytes", b"a\xff", r'value="a\\xff"'),
            ("error", ValueError("bad\nline"), r'value="ValueError: bad\nline"'),
            ("list", ["a", 1], "value=\"['a', 1]\""),
            ("unprintable", Unprintable(), 'value="<Unprintable that can\'t be shown>"'),
        ]
    )
    def test_value(self, _name: str, value: t.Any, expected: str) -> None:
        self.assertEqual(render(value=value), expected)

    @parameterized.expand(
        [("level", "level_"), ("event", "event_"), ("time", "time_"), ("a b\n", "a_b_"), ("", "_")]
    )
    def test_key(self, key: str, expected: str) -> None:
        self.assertEqual(render(**{key: 1}), f"{expected}=1")

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @hypothesis.given(st.text(st.characters(exclude_categories=())))
    def test_any_text_stays_one_line_and_can_be_read_back(self, text: str) -> None:
        line = render(value=text, after=1)
        self.assertLessEqual(len(line.splitlines()), 1)
        value = line.removeprefix("value=").removesuffix(" after=1")
        read = ast.literal_eval(value) if value.startswith('"') else value
        self.assertEqual(read, text)


class LevelTest(unittest.TestCase):
    def setUp(self) -> None:
        # What other tests logged before the first stream comes out here.
        log.configure(LogSettings(), io.StringIO())
        self.stream = io.StringIO()
        self.addCleanup(log.configure, LogSettings(level="error"), io.StringIO())

    @parameterized.expand([(level,) for level in LEVELS])
    def test_lower_levels_are_dropped(
        self, level: t.Literal["debug", "info", "warning", "error"]
    ) -> None:
        log.configure(LogSettings(level=level), self.stream)
        for name in LEVELS:
            getattr(log, name)("a.b", n=1)
        lines = self.stream.getvalue().splitlines()
        seen = [line.split()[1].removeprefix("level=") for line in lines]
        self.assertEqual(seen, LEVELS[LEVELS.index(level) :])

    @parameterized.expand([("none", 0, []), ("some", 3, [3]), ("many", 450, [200, 200, 50])])
    def test_many_names_take_few_lines(self, _name: str, count: int, expected: t.List[int]) -> None:
        stream = io.StringIO()
        log.configure(LogSettings(), stream)
        names = [f"t{number}" for number in range(count)]
        log.many("target.added", "targets", names, service="s1")
        lines = stream.getvalue().splitlines()
        told = [line.partition(" targets=")[2].split(",") for line in lines]
        self.assertEqual(expected, [len(some) for some in told])
        self.assertEqual(names, [name for some in told for name in some])
        for line, number in zip(lines, expected, strict=True):
            self.assertIn(f"event=target.added count={number} service=s1", line)

    def test_field_names_of_the_library_are_kept_apart(self) -> None:
        log.configure(LogSettings(), self.stream)
        log.info("a.b", timestamp=1, message_type="x", event=2)
        self.assertIn("event=a.b timestamp_=1 message_type_=x event_=2\n", self.stream.getvalue())

    @parameterized.expand(
        [
            ("a cancelled request", "uvicorn.error", asyncio.CancelledError(), 0),
            ("a request that failed", "uvicorn.error", ValueError("bad"), 1),
            ("another library's", "some.library", asyncio.CancelledError(), 1),
        ]
    )
    def test_requests_that_a_stopping_server_cancels_are_no_errors(
        self, _name: str, logger: str, error: BaseException, lines: int
    ) -> None:
        """Each request that was cut off at a stop added a traceback at level error."""
        log.configure(LogSettings(), self.stream)
        library = logging.getLogger(logger)
        # Other tests silence uvicorn.
        self.addCleanup(library.setLevel, library.level)
        library.setLevel(logging.ERROR)
        library.error("Exception in ASGI application", exc_info=error)
        self.assertEqual(lines, self.stream.getvalue().count("\n"))

    @parameterized.expand(
        [("info", ""), ("warning", "level=warning event=library.message logger=some.library")]
        + [("error", "level=error event=library.message logger=some.library")]
    )
    def test_what_libraries_log(self, level: str, expected: str) -> None:
        log.configure(LogSettings(), self.stream)
        try:
            raise ValueError("bad\nline")
        except ValueError:
            getattr(logging.getLogger("some.library"), level)("%s\nfailed", "it", exc_info=True)
        line = self.stream.getvalue()
        self.assertIn(expected, line)
        self.assertEqual(line.count("\n"), 1 if expected else 0)
        if expected:
            self.assertIn(r'message="it\nfailed" error="ValueError: bad\nline" traceback=', line)

    @parameterized.expand(
        [
            ("no exception", "Task was destroyed", (), 'message="Task was destroyed"'),
            ("arguments do not fit", "%d of %d", ("one",), "message=\"%d of %d ('one',)\""),
        ]
    )
    def test_a_line_of_a_library_is_kept(
        self, _name: str, text: str, arguments: t.Tuple[t.Any, ...], expected: str
    ) -> None:
        """Guards against an error that reaches the library, and the loss of its line."""
        log.configure(LogSettings(), self.stream)
        logging.getLogger("asyncio").error(text, *arguments, exc_info=False)
        self.assertIn(f"logger=asyncio {expected}", self.stream.getvalue())

    def test_only_the_last_stream_is_written_to(self) -> None:
        log.configure(LogSettings(), io.StringIO())
        log.configure(LogSettings(), self.stream)
        log.info("a.b")
        self.assertEqual(self.stream.getvalue().count("event=a.b"), 1)

    def test_a_broken_stream_does_not_reach_the_caller(self) -> None:
        log.configure(LogSettings(), BrokenStream())
        log.error("a.b")
        log.configure(LogSettings(), self.stream)
        log.info("c.d")
        self.assertIn("event=c.d", self.stream.getvalue())


if __name__ == "__main__":
    unittest.main()
