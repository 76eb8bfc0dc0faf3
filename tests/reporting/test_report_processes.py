"""The report and the look-up against separate processes: counts are exact, strangers refused."""

import json
import pathlib
import shlex
import tempfile
import typing as t
import unittest

from tests.processes import PARTNER, Fleet
from tests.test_processes import ENTRIES, ProcessCase

#: Requests sent to each entry in turn, by service and outcome.
READS = 30
ORDERS = 12
KEYLESS = 6


class TestReport(ProcessCase):
    def report(self, *options: str) -> t.Any:
        key = str(self.fleet.folder / "ana.key")
        platform = self.fleet.platform_url()
        done = self.fleet.cli("report", "--platform", platform, "--key", key, "--json", *options)
        return json.loads(done.stdout)

    def counts(self, report: t.Any) -> t.Dict[str, t.Tuple[int, int, int, int]]:
        """Done, faulty, and the total and bad of the longest window, by service."""
        counts = {}
        for service in report["services"]:
            burn = service["burn"]
            window = burn["counts_by_window"]["6h"]
            counts[service["service"]] = (
                burn["outcomes"]["done"],
                burn["faulty"],
                window["total"],
                window["bad"],
            )
        return counts

    def refusal(self, number: int, body: bytes) -> str:
        """What a caller and the entry's log were told of a read that was not served."""
        lines = self.fleet.log_of(ENTRIES[number % 3]).splitlines()
        refused = [line for line in lines if "event=slot.refused" in line]
        return "\n".join([repr(body), *refused[-5:], *self.fleet.pauses()[-5:]])

    async def load(self) -> None:
        for number in range(READS):
            url = self.fleet.url(ENTRIES[number % 3], "catalogo", f"menu-{number}?bytes=100")
            async with self.session.get(url) as answer:
                body = await answer.read()
                self.assertEqual(200, answer.status, self.refusal(number, body))
        for number in range(ORDERS):
            done = await self.post(ENTRIES[number % 3], "pedidos", b"kit", f"order-{number}")
            self.assertEqual((200, "done"), done[:2])
        for number in range(KEYLESS):
            refused = await self.post(ENTRIES[number % 3], "pedidos", b"kit")
            self.assertEqual((400, "not-run"), refused[:2])

    async def test_counts_are_exact_over_all_entries(self) -> None:
        before = self.counts(self.report())
        await self.load()
        page = self.fleet.folder / "page.html"
        report = self.report("--html", str(page))
        after = self.counts(report)
        changes = {}
        for service, counts in after.items():
            pairs = zip(counts, before[service], strict=True)
            changes[service] = tuple(later - earlier for later, earlier in pairs)
        expected = {
            "catalogo": (READS, 0, READS, 0),
            "pedidos": (ORDERS, KEYLESS, ORDERS, 0),
            "acopio": (0, 0, 0, 0),
        }
        self.assertEqual(expected, changes)
        self.assertEqual((3, list(ENTRIES)), (report["answered"], self.names(report)))
        for service in report["services"]:
            burn = service["burn"]
            self.assertLess(0, burn["p50_s"])
            self.assertLessEqual(burn["p50_s"], burn["p999_s"])
        for target in report["targets"]:
            found = (target["headroom"]["usable"], target["headroom"]["owned"])
            self.assertEqual((4, 4), found, target)
        for entry in report["entries"]:
            self.assertEqual({PARTNER: 1}, entry["in_force"])
            self.assertEqual("held", entry["lease"])
        self.assertIn("3 of 3 entries answered", page.read_text())

    def names(self, report: t.Any) -> t.List[str]:
        return [entry["entry_id"] for entry in report["entries"]]

    async def test_strangers_are_refused_and_the_look_up_is_not(self) -> None:
        address = self.fleet.operator_address_by_name["e1"]
        signatures = (None, "ana:1:x:AAAA", "nonsense")
        for signature in signatures:
            headers = {} if signature is None else {"coralfall-signature": signature}
            async with self.session.get(f"http://{address}/status", headers=headers) as answer:
                self.assertEqual(401, answer.status)
                self.assertNotIn("entry_id", await answer.text())
        async with self.session.get(f"http://{address}/ready") as answer:
            self.assertEqual(200, answer.status)
        self.fleet.cli("keys", "new", str(self.fleet.folder / "eve.key"), "--id", "ana")
        key = str(self.fleet.folder / "eve.key")
        arguments = ("report", "--platform", self.fleet.platform_url(), "--key", key)
        refused = self.fleet.cli(*arguments, expect=1)
        self.assertIn("refused (forged)", refused.stderr)
        entries = ("--entry", "127.0.0.1:1", "--entry", self.fleet.address_by_name["e2"])
        found = self.fleet.cli("lookup", *entries, "--partner", PARTNER, "--json")
        named = set(json.loads(found.stdout)["answer"]["entries"])
        self.assertEqual({self.fleet.address_by_name[entry] for entry in ENTRIES}, named)
        unknown = self.fleet.cli("lookup", *entries, "--partner", "nobody", expect=2)
        self.assertIn("not known; use one of cosecha", unknown.stderr)


class TestDevelopmentMode(unittest.IsolatedAsyncioTestCase):
    async def test_the_command_that_it_prints_reports(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = Fleet(pathlib.Path(folder.name))
        self.addCleanup(fleet.close)
        fleet.start("dev", "dev", "--seconds", "6")
        prefix = "report     coralfall "
        await fleet.until(lambda: "Ctrl-C ends it" in fleet.log_of("dev"), "dev serves")
        (line,) = [line for line in fleet.log_of("dev").splitlines() if line.startswith(prefix)]
        page = fleet.folder / "page.html"
        command = line.removeprefix(prefix).replace("report.html", str(page))
        done = fleet.cli(*shlex.split(command))
        self.assertIn("4 of 4 entries answered", done.stdout)
        self.assertIn("4 of 4 entries answered", page.read_text())
        self.assertEqual(0, await fleet.exit_status("dev"))
