"""Look-ups from the command line: which entry is asked, what is told, and exit codes."""

import json
import typing as t
import unittest

import msgspec
from parameterized import parameterized
from typer.testing import CliRunner

from coralfall import cli
from coralfall.exceptions import InputError, LookupFailedError, RefusedError, RequestError
from coralfall.forwarding.answer import answer_of
from coralfall.ids import BundleVersion, Outcome, PartnerId, SiteId
from coralfall.lookups.lookup import LookupAnswer
from coralfall.lookups.lookup_client import Found, look_up
from coralfall.reporting import report_cli
from tests.loopback import serving

COSECHA = PartnerId("cosecha")
ANSWER = LookupAnswer(SiteId("sierra-1"), ("10.0.0.1:80", "10.0.0.2:80"), 5.0, BundleVersion(3))
#: A port that nothing listens on.
NOBODY = "127.0.0.1:1"


class Entry:
    """Answers every request alike and keeps what it was asked."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body
        self.asked: t.List[str] = []

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        self.asked.append(f"{scope['path']}?{scope['query_string'].decode()}")
        headers = [(b"content-length", str(len(self.body)).encode()), (b"location", b"/elsewhere")]
        await send({"type": "http.response.start", "status": self.status, "headers": headers})
        await send({"type": "http.response.body", "body": self.body})


def refusing(error: t.Any) -> Entry:
    answer = answer_of(error, Outcome.NOT_RUN)
    return Entry(answer.status, answer.body)


class LookUpTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_first_that_answers_counts(self) -> None:
        busy = refusing(RefusedError("no entry is serving", 1.0))
        good = Entry(200, msgspec.json.encode(ANSWER))
        unasked = Entry(200, b"?")
        async with serving(busy) as first, serving(good) as second, serving(unasked) as third:
            found = await look_up([NOBODY, first, second, third], COSECHA, "192.0.2.7")
            self.assertEqual(Found(second, ANSWER), found)
        self.assertEqual(["/lookup?partner=cosecha&address=192.0.2.7"], good.asked)
        self.assertEqual([], unasked.asked)

    async def test_without_an_address_the_entry_takes_its_own(self) -> None:
        good = Entry(200, msgspec.json.encode(ANSWER))
        async with serving(good) as address:
            await look_up([address], COSECHA)
        self.assertEqual(["/lookup?partner=cosecha"], good.asked)

    async def test_a_wrong_question_is_not_asked_again(self) -> None:
        error = RequestError("unknown-partner", 404, "not known", remedy="use one of calor")
        wrong, unasked = refusing(error), Entry(200, msgspec.json.encode(ANSWER))
        async with serving(wrong) as first, serving(unasked) as second:
            with self.assertRaisesRegex(InputError, "use one of calor") as caught:
                await look_up([first, second], COSECHA)
        self.assertEqual("unknown-partner", caught.exception.faults[0].code)
        self.assertEqual([], unasked.asked)

    @parameterized.expand(
        [
            ("busy", refusing(RefusedError("no entry is serving", 1.0)), "no entry is serving"),
            ("no JSON", Entry(200, b"<html>"), "not that of an entry"),
            ("another server", Entry(404, b"<html>"), "HTTP status 404"),
            ("redirect", Entry(302, b""), "HTTP status 302"),
        ]
    )
    async def test_every_failure_is_told(self, _name: str, entry: Entry, text: str) -> None:
        async with serving(entry) as address:
            with self.assertRaises(LookupFailedError) as caught:
                await look_up([NOBODY, address], COSECHA)
        first, second = caught.exception.fields["failures"]
        self.assertIn(f"{NOBODY}: no answer", first)
        self.assertIn(text, second)

    @parameterized.expand([("no port", "10.0.0.1"), ("a name", "entry:x"), ("port", "h:99999")])
    async def test_a_wrong_address_is_named(self, _name: str, entry: str) -> None:
        with self.assertRaisesRegex(InputError, entry):
            await look_up(["127.0.0.1:80", entry], COSECHA)


class CommandTest(unittest.TestCase):
    """The commands themselves, against nobody."""

    @classmethod
    def setUpClass(cls) -> None:
        app = cli.typer.Typer()
        app.command()(report_cli.lookup)
        app.command()(report_cli.report)
        cls.app = app

    @parameterized.expand(
        [
            ("nobody", ("lookup", "--entry", NOBODY, "--partner", "p"), 1, "lookup"),
            ("address", ("lookup", "--entry", "x", "--partner", "p"), 2, "input"),
            ("key", ("report", "--platform", "http://127.0.0.1:1", "--key", "x"), 1, "signature"),
        ]
    )
    def test_exit_codes(self, _name: str, arguments: t.Any, status: int, code: str) -> None:
        done = CliRunner().invoke(self.app, [*arguments, "--json"])
        self.assertEqual(status, done.exit_code, done.output)
        self.assertEqual(code, json.loads(done.output)["error"]["code"])


if __name__ == "__main__":
    unittest.main()
