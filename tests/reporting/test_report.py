"""The report over all entries: sums that are right, a page that stands alone, clear errors."""

import asyncio
import html.parser
import pathlib
import tempfile
import time
import typing as t
import unittest
from unittest import mock

import msgspec
from parameterized import parameterized

from coralfall.bundles.bundle import Objective
from coralfall.bundles.rollout_status import PartnerStatus, VersionStatus
from coralfall.cluster.rows import Member, roster_key
from coralfall.exceptions import InputError, PlatformError, StatusError
from coralfall.ids import (
    BundleVersion,
    Digest,
    EntryId,
    Incarnation,
    Outcome,
    RegionId,
    Revision,
    ServiceId,
    TargetId,
    TargetState,
)
from coralfall.process.clock import ManualClock
from coralfall.process.metrics import Metrics
from coralfall.reporting import report_cli
from coralfall.reporting.burn import BurnReport, WindowCount
from coralfall.reporting.fleet_merge import merge_statuses
from coralfall.reporting.fleet_reader import parse_seeds, read_fleet
from coralfall.reporting.fleet_report import FleetReport, make_headroom
from coralfall.reporting.operators import make_operators_app
from coralfall.reporting.operators_client import Asked, ask_entries
from coralfall.reporting.report_html import render_page
from coralfall.reporting.report_text import report_lines
from coralfall.reporting.service_levels import ServiceLevels
from coralfall.reporting.status import (
    DrainStatus,
    EntryStatus,
    HeardStatus,
    HeldVersions,
    MemberStatus,
    TargetStatus,
)
from coralfall.settings import MetricsSettings
from coralfall.stores.memory_platform import FaultMode, Faults, MemoryPlatform, ServiceFault
from coralfall.stores.store import Write
from tests.loopback import serving
from tests.members import make_member
from tests.operators import ANA, COSECHA, TRUST, make_bundle, make_key

CATALOGO = ServiceId("catalogo")
LINE = PartnerStatus(
    partner=COSECHA,
    in_force=VersionStatus(version=BundleVersion(2), digest=Digest("d")),
    staged=None,
    lagging=(),
)


def make_burn(outcomes: t.Sequence[Outcome], seconds: float, objective: Objective) -> BurnReport:
    levels = ServiceLevels(ManualClock(1000.0), Metrics(MetricsSettings()))
    rules = msgspec.structs.replace(make_bundle().services[CATALOGO], objective=objective)
    for outcome in outcomes:
        levels.ended(COSECHA, CATALOGO, rules, outcome, outcome is Outcome.DONE, seconds)
    bundle = make_bundle(services={CATALOGO: rules})
    return levels.reports({COSECHA: bundle})[COSECHA][CATALOGO]


def make_target(target: str, in_flight: int, **fields: t.Any) -> TargetStatus:
    values: t.Dict[str, t.Any] = {
        "target_id": TargetId(target),
        "partner": COSECHA,
        "service": CATALOGO,
        "region": RegionId("sierra"),
        "state": TargetState.ACTIVE,
        "usable": 6,
        "owned": 2,
        "in_flight": in_flight,
        "suspect": False,
    }
    return TargetStatus(**{**values, **fields})


def make_drain(in_flight: int, age_s: float, drained_s: t.Optional[float]) -> DrainStatus:
    return DrainStatus(
        target_id=TargetId("t9"), in_flight=in_flight, age_s=age_s, drained_s=drained_s
    )


def make_status(entry: str = "e1", version: int = 2, **fields: t.Any) -> EntryStatus:
    values: t.Dict[str, t.Any] = {
        "entry_id": EntryId(entry),
        "incarnation": Incarnation(1),
        "membership": "joined",
        "lease": "held",
        "lease_remaining_s": 4.0,
        "ready": True,
        "platform_age_s": 0.5,
        "roster_revision": Revision(7),
        "versions": {
            COSECHA: HeldVersions(
                in_force=BundleVersion(version),
                staged=BundleVersion(version),
                accepted=BundleVersion(2),
            )
        },
        "members": (),
        "regions": (),
        "targets": (),
        "drains": (),
        "burns": {},
        "outcomes": {},
        "resident_bytes": 50_000_000,
        "processor_s": 1.0,
        "started_s": 100.0,
    }
    return EntryStatus(**{**values, **fields})


def make_member_status(
    name: str, address: str, heard: t.Optional[HeardStatus] = None
) -> MemberStatus:
    fields = msgspec.structs.asdict(make_member(name))
    del fields["peer_address"]
    return MemberStatus(**{**fields, "operator_address": address, "heard": heard})


def merge(*statuses: EntryStatus, failed: t.Sequence[str] = ()) -> FleetReport:
    asked = [Asked(make_member(status.entry_id), status, None) for status in statuses]
    for name in failed:
        asked.append(Asked(make_member(name), None, "no answer in time"))
    return merge_statuses(asked, [LINE], 1_800_000_000.0)


class MergeTest(unittest.TestCase):
    def test_service_levels_are_of_all_requests_together(self) -> None:
        objective = Objective(availability=0.9, latency_ms=1000)
        fast = make_burn([Outcome.DONE] * 99, 0.010, objective)
        slow = make_burn([Outcome.UNKNOWN], 0.900, objective)
        report = merge(
            make_status("e1", burns={COSECHA: {CATALOGO: fast}}, outcomes={"done": 99}),
            make_status("e2", burns={COSECHA: {CATALOGO: slow}}, outcomes={"unknown": 1}),
        )
        (service,) = report.services
        burn = service.burn
        self.assertEqual(WindowCount(100, 1), burn.counts_by_window["6h"])
        self.assertAlmostEqual(0.1, burn.burn_by_window["6h"])
        self.assertAlmostEqual(0.9, burn.budget_left)
        self.assertAlmostEqual(0.010, burn.p99_s or 0, 3)
        self.assertAlmostEqual(0.900, burn.p999_s or 0, 2)
        self.assertEqual({"done": 99, "unknown": 1}, report.outcomes)

    def test_the_newest_version_states_the_objective(self) -> None:
        old, new = Objective(availability=0.5), Objective(availability=0.9)
        report = merge(
            make_status(
                "e1", 2, burns={COSECHA: {CATALOGO: make_burn([Outcome.UNKNOWN], 0.1, new)}}
            ),
            make_status("e2", 1, burns={COSECHA: {CATALOGO: make_burn([Outcome.DONE], 0.1, old)}}),
        )
        self.assertEqual(new, report.services[0].burn.objective)
        self.assertAlmostEqual(5.0, report.services[0].burn.burn_by_window["5m"])
        self.assertEqual([False, True], [entry.lags for entry in report.entries])

    def test_headroom_by_target_and_region(self) -> None:
        report = merge(
            make_status("e1", targets=(make_target("t1", 1), make_target("t2", 0))),
            make_status(
                "e2", targets=(make_target("t1", 2, usable=5, suspect=True), make_target("t2", 1))
            ),
        )
        headrooms = {target.target_id: target.headroom for target in report.targets}
        self.assertEqual(make_headroom(usable=5, owned=4, in_flight=3), headrooms["t1"])
        self.assertEqual([1, 0], [target.suspected_by for target in report.targets])
        (region,) = report.regions
        self.assertEqual(make_headroom(usable=11, owned=8, in_flight=4), region.headroom)
        self.assertAlmostEqual(7 / 11, region.headroom.free_share or 0)

    @parameterized.expand(
        [
            ("free", 4, 1, 0.75),
            ("full", 4, 4, 0.0),
            ("more than full, after a cut", 2, 4, 0.0),
            ("nothing usable", 0, 0, None),
        ]
    )
    def test_free_share(
        self, _name: str, usable: int, in_flight: int, share: t.Optional[float]
    ) -> None:
        self.assertEqual(share, make_headroom(usable, usable, in_flight).free_share)

    @parameterized.expand(
        [
            ("all idle", [(0, 9.0, 2.0), (0, 8.0, 3.0)], 0, 9.0, 3.0),
            ("one under way", [(0, 9.0, 2.0), (4, 8.0, None)], 4, 9.0, None),
        ]
    )
    def test_drains(
        self,
        _name: str,
        seen: t.Sequence[t.Tuple[int, float, t.Optional[float]]],
        in_flight: int,
        age_s: float,
        drained_s: t.Optional[float],
    ) -> None:
        statuses = []
        for number, drain in enumerate(seen):
            statuses.append(make_status(f"e{number}", drains=(make_drain(*drain),)))
        (summary,) = merge(*statuses).drains
        found = (summary.in_flight, summary.age_s, summary.drained_s, summary.entries)
        self.assertEqual((in_flight, age_s, drained_s, 2), found)

    def test_an_entry_that_did_not_answer_is_named(self) -> None:
        report = merge(make_status("e1"), failed=["e2"])
        self.assertEqual((1, 2), (report.answered, len(report.entries)))
        self.assertEqual([None, "no answer in time"], [entry.error for entry in report.entries])

    @parameterized.expand(
        [
            ("by nobody", [], None, 0, "no entry has heard it"),
            ("by two", [(3.0, True), (1.5, False)], 1.5, 1, "an entry heard it 1.5 s ago"),
            ("long ago", [(60.0, True)], 60.0, 0, "an entry heard it 60.0 s ago"),
        ]
    )
    def test_who_heard_a_silent_entry(
        self,
        _name: str,
        words: t.Sequence[t.Tuple[float, bool]],
        heard_s: t.Optional[float],
        behind_by: int,
        text: str,
    ) -> None:
        statuses = []
        for number, (age_s, behind) in enumerate(words):
            heard = HeardStatus(
                age_s=age_s,
                roster_revision=Revision(6),
                accepted={},
                platform_age_s=1.0,
                behind=behind,
            )
            member = make_member_status("e9", "127.0.0.1:1", heard)
            statuses.append(make_status(f"e{number}", members=(member,)))
        report = merge(*statuses, failed=["e9"])
        silent = report.entries[-1]
        self.assertEqual((heard_s, behind_by), (silent.heard_s, silent.behind_by))
        self.assertIn(text, "\n".join(report_lines(report)))
        self.assertIn(text, _Page(render_page(report)).text)


class _Page(html.parser.HTMLParser):
    """Tags, texts and references of a page."""

    def __init__(self, page: str) -> None:
        super().__init__()
        self.tags: t.List[str] = []
        self.references: t.List[str] = []
        self.text = ""
        self.feed(page)

    def handle_starttag(self, tag: str, attrs: t.List[t.Tuple[str, t.Optional[str]]]) -> None:
        self.tags.append(tag)
        for name, value in attrs:
            if name in ("src", "href", "xlink:href", "action") or name.startswith("on"):
                self.references.append(f"{name}={value}")

    def handle_data(self, data: str) -> None:
        self.text += data


class PageTest(unittest.TestCase):
    def make_report(self, service: str = "catalogo") -> FleetReport:
        burn = make_burn([Outcome.DONE] * 3 + [Outcome.NOT_RUN], 0.0123, Objective())
        return merge(
            make_status(
                "e1",
                1,
                burns={COSECHA: {ServiceId(service): burn}},
                targets=(make_target("t1", 6), make_target("t2", 0, usable=0, owned=0)),
                drains=(make_drain(1, 5.0, None),),
                outcomes={"done": 3, "not-run": 1},
            ),
            failed=["e2"],
        )

    def test_it_stands_alone(self) -> None:
        page = render_page(self.make_report())
        parsed = _Page(page)
        self.assertEqual([], parsed.references)
        self.assertNotIn("script", parsed.tags)
        self.assertNotIn("link", parsed.tags)
        self.assertNotRegex(page, r"url\(|@import|https?://")
        self.assertIn("prefers-color-scheme: dark", page)
        self.assertGreaterEqual(parsed.tags.count("svg"), 3)

    @parameterized.expand(
        [
            ("entries", "1 of 2 entries answered", "1 of 2 entries answered"),
            ("lag", "cosecha 1 (lags)", "  lags"),
            ("latency", "12 ms", "12 ms"),
            ("burn", "250", "250"),
            ("drain", "draining", "5.0 s ago"),
            ("no headroom", "0.0 %", "6          0.0 %"),
            ("who did not answer", "no answer in time", "did not answer: no answer in time"),
        ]
    )
    def test_what_it_says(self, _name: str, on_page: str, in_text: str) -> None:
        report = self.make_report()
        self.assertIn(on_page, _Page(render_page(report)).text)
        self.assertIn(in_text, "\n".join(report_lines(report)))

    def test_of_many_targets_a_terminal_shows_those_that_stand_out(self) -> None:
        targets = [make_target(f"t{number:02d}", 1) for number in range(20)]
        targets.append(make_target("t20", 6))
        targets.append(make_target("t21", 0, state=TargetState.JOINING))
        targets.append(make_target("t22", 0, suspect=True))
        report = merge(make_status("e1", targets=tuple(targets)))
        lines = report_lines(report)
        shown = [line.split()[0] for line in lines if line.startswith("  t") and "sierra" in line]
        self.assertEqual(["t22", "t21", "t20", "t00", "t01"], shown[:5])
        self.assertEqual(12, len(shown))
        self.assertIn("  11 more with as much room", "\n".join(lines))
        self.assertEqual(23, render_page(report).count('class="target"'))

    def test_names_are_escaped(self) -> None:
        name = "<script>&'\""
        parsed = _Page(render_page(self.make_report(name)))
        self.assertNotIn("script", parsed.tags)
        self.assertIn(name, parsed.text)

    def test_a_watched_page_loads_itself_anew(self) -> None:
        report = self.make_report()
        self.assertIn('http-equiv="refresh"', render_page(report, 5.0))
        self.assertNotIn("refresh", render_page(report))

    def test_nothing_to_show_is_no_error(self) -> None:
        report = merge_statuses([], [], 0.0)
        self.assertIn("0 of 0 entries answered", _Page(render_page(report)).text)
        self.assertIn("0 of 0 entries answered", report_lines(report)[0])

    def test_a_page_that_cannot_be_written(self) -> None:
        with tempfile.TemporaryDirectory() as folder, self.assertRaises(InputError):
            path = pathlib.Path(folder) / "absent" / "page.html"
            report_cli._write_page(self.make_report(), path, None)


class AskTest(unittest.IsolatedAsyncioTestCase):
    """Asks the operators' port of one entry."""

    async def ask(self, app: t.Any, entry: str = "e1", key: t.Any = ANA) -> Asked:
        async with serving(app) as address:
            member = make_member(entry, operator_address=address)
            (asked,) = await ask_entries([member], key, timeout_s=10.0)
        return asked

    def make_app(self, status: EntryStatus) -> t.Any:
        return make_operators_app(lambda: status, lambda: True, TRUST, status.entry_id)

    async def test_a_status_comes_back_as_it_was(self) -> None:
        status = make_status("e1", targets=(make_target("t1", 1),))
        self.assertEqual(status, (await self.ask(self.make_app(status))).status)

    @parameterized.expand(
        [
            ("unknown key", "e1", make_key("mallory"), 0.0, "forged"),
            ("another's key id", "e1", make_key("mallory")._replace(key_id="ana"), 0.0, "forged"),
            ("signed for another entry", "e2", ANA, 0.0, "forged"),
            ("signed long ago", "e1", ANA, -60.0, "stale"),
        ]
    )
    async def test_a_wrong_signature_is_refused(
        self, _name: str, entry: str, key: t.Any, shift_s: float, reason: str
    ) -> None:
        now = time.time() + shift_s
        with mock.patch("coralfall.reporting.operators_client.time.time", lambda: now):
            # Both sides read the same module; the entry's clock is put right again.
            app = self.make_app(make_status("e1"))
            with mock.patch("coralfall.reporting.operators.time") as entry_time:
                entry_time.time.side_effect = lambda: now - shift_s
                asked = await self.ask(app, entry, key)
        self.assertIsNone(asked.status)
        self.assertIn(reason, asked.error or "")

    @parameterized.expand(
        [
            ("a part of one", b'{"entry_id": "e1"}', "can't be read"),
            ("no JSON", b"<html>", "can't be read"),
        ]
    )
    async def test_what_is_no_status(self, _name: str, body: bytes, text: str) -> None:
        async def app(scope: t.Any, receive: t.Any, send: t.Any) -> None:
            headers = [(b"content-length", str(len(body)).encode())]
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            await send({"type": "http.response.body", "body": body})

        self.assertIn(text, (await self.ask(app)).error or "")

    async def test_another_entry_at_the_address(self) -> None:
        app = make_operators_app(lambda: make_status("e9"), lambda: True, TRUST, "e1")
        self.assertEqual("'e9' answers at its address", (await self.ask(app)).error)

    async def test_an_entry_that_hangs_holds_up_nothing(self) -> None:
        async def app(scope: t.Any, receive: t.Any, send: t.Any) -> None:
            await asyncio.Event().wait()

        async with serving(app) as address:
            member = make_member("e1", operator_address=address)
            (asked,) = await ask_entries([member], ANA, timeout_s=0.2)
        self.assertEqual("no answer in time", asked.error)


class ReadFleetTest(unittest.IsolatedAsyncioTestCase):
    """One entry that answers, one that nobody reaches, and a platform that may be away."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.memory = MemoryPlatform(self.clock)
        await self.write(make_member("e2"))

    async def write(self, member: Member) -> None:
        value = msgspec.msgpack.encode(member)
        await self.memory.platform.table.transact([Write(roster_key(member.entry_id), value)])

    async def read(self, seeds: t.Sequence[str] = ()) -> FleetReport:
        return await read_fleet(self.memory.platform, ANA, self.clock, parse_seeds(seeds))

    def stop_platform(self) -> None:
        self.memory.set_faults(Faults(table=ServiceFault(mode=FaultMode.DOWN)))

    async def test_entries_are_found_by_the_roster(self) -> None:
        app = make_operators_app(lambda: make_status("e1"), lambda: True, TRUST, "e1")
        async with serving(app) as address:
            await self.write(make_member("e1", operator_address=address))
            report = await self.read()
        self.assertEqual((1, 100.0, None), (report.answered, report.at, report.platform_error))
        self.assertEqual(["e1", "e2"], [entry.entry_id for entry in report.entries])
        self.assertIn("no answer", report.entries[1].error or "")

    async def test_no_entry_answers(self) -> None:
        with self.assertRaisesRegex(StatusError, "e2: no answer"):
            await self.read()

    async def test_entries_are_found_by_a_seed_while_the_platform_is_away(self) -> None:
        self.stop_platform()
        members: t.List[MemberStatus] = []
        status = make_status("e1", 1, members=members)
        app = make_operators_app(lambda: status, lambda: True, TRUST, "e1")
        async with serving(app) as address:
            for name in ("e1", "e2"):
                there = address if name == "e1" else "127.0.0.1:1"
                members.append(make_member_status(name, there))
            report = await self.read(["e3@127.0.0.1:1", f"e1@{address}"])
        self.assertEqual((1, 2), (report.answered, len(report.entries)))
        self.assertTrue(report.entries[0].lags, "version 2 is known to be accepted")
        for text in ("\n".join(report_lines(report)), _Page(render_page(report)).text):
            self.assertIn("the platform can't be read", text)

    @parameterized.expand(
        [("no seed", (), PlatformError), ("none answers", ("e3@127.0.0.1:1",), StatusError)]
    )
    async def test_platform_away(self, _name: str, seeds: t.Any, error: t.Any) -> None:
        self.stop_platform()
        with self.assertRaises(error):
            await self.read(seeds)

    @parameterized.expand([("no id", "10.0.0.1:80"), ("empty id", "@10.0.0.1:80"), ("a", "e1@x")])
    def test_a_seed_that_is_none(self, _name: str, text: str) -> None:
        with self.assertRaisesRegex(InputError, "is not ID@ip:port"):
            parse_seeds(["e1@10.0.0.1:80", text])


class WatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_outage_does_not_end_it(self) -> None:
        reads = [merge(make_status("e1")), PlatformError("away"), merge(make_status("e2"))]
        read = mock.AsyncMock(side_effect=reads)
        sleep = mock.AsyncMock(side_effect=[None, None, asyncio.CancelledError])
        shown: t.List[str] = []
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(report_cli, "_report_once", read),
            mock.patch.object(report_cli.asyncio, "sleep", sleep),
            mock.patch.object(
                report_cli.terminal, "report", lambda error, _: shown.append("error")
            ),
            mock.patch.object(report_cli, "show", lambda *_: shown.append("report")),
        ):
            path = pathlib.Path(folder) / "page.html"
            with self.assertRaises(asyncio.CancelledError):
                await report_cli._watch(mock.Mock(), path, 5.0, False)
            self.assertIn('content="5"', path.read_text())
            self.assertEqual([path], list(path.parent.iterdir()), "no part is left behind")
        self.assertEqual(["report", "error", "report"], shown)
        self.assertEqual([mock.call(5.0)] * 3, sleep.call_args_list)


if __name__ == "__main__":
    unittest.main()
