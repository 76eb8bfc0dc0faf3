"""Tests of the platform adapter: row codec, store client, settings template, package boundary."""

import asyncio
import json
import pathlib
import re
import time
import tomllib
import typing as t
import unittest
import unittest.mock

import hypothesis
import hypothesis.strategies as st
import msgspec
from parameterized import parameterized

from coralfall import defaults
from coralfall.exceptions import (
    DesiredStateError,
    HistoryLostError,
    PlatformError,
    PlatformRejectedError,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from coralfall.ids import Revision
from coralfall.platform.rows import PlatformRowCodec
from coralfall.platform.store import RowStore
from coralfall.stores.store import Check, Row, Write
from coralfall.traffic.model import DesiredState, RequestKind
from coralfall.traffic.replica import Replica
from coralfall.traffic.row_codec import Evacuation
from coralfall.traffic.settings import BoundSettings, StoreSettings
from coralfall.traffic.store_connections import StoreConnections
from tests.blackhole import drop_arriving
from tests.platform_adapter.standins import StoreStandin, config
from tests.traffic.makers import at, make_record

ROOT = pathlib.Path(__file__).parent.parent.parent
#: Names that may occur in the package ``platform`` only.
PLATFORM_NAMES = (
    "X-Request-Deadline|x-request-deadline|x-expected-instance|x-not-executed|x-server-load"
    "|x-response-signature|x-affinity-key|rows-tx|rows-get|rows-feed|rows-parts|blob-put"
    "|expectedRev|waitMs|warmupLeftS|warmupPerS|latencyTargetS|maxAttempts|sessionAffinity"
    "|allowedRegions|apiKeys|ratePerS|x-credential|X-Credential|x-tenant|X-Tenant|timeoutS|maxConns|CORALFALL_SETTINGS|/v1/resolve|/v1/ready|ttlS"
)


def render_template(section: str) -> t.Dict[str, t.Any]:
    """Renders the template of an entry's settings with 1 for each value.

    :param section: replacement for each section, with the section's content as group 1.
    """
    text = (ROOT / "deploy" / "entry.toml").read_text()
    text = re.sub(r"\{\{#[\w.]+\}\}(.*?)\{\{/[\w.]+\}\}", section, text, flags=re.DOTALL)
    text = re.sub(r'"\{\{[^}]*\}\}:\{\{[^}]*\}\}"', '"1"', text)
    text = text.replace("{{,}}", "").replace('"{{@}}"', "zone")
    return tomllib.loads(re.sub(r"\{\{[^}]*\}\}", "1", text))


def tenants_row(tenants: t.List[t.Dict[str, t.Any]]) -> bytes:
    """Returns a desired state with the given tenants, as the operator writes it."""
    return json.dumps({**config(1), "tenants": tenants}).encode()


class PackageBoundaryTest(unittest.TestCase):
    def test_platform_names_occur_in_this_package_only(self) -> None:
        found = []
        sources = [*(ROOT / "src" / "coralfall").rglob("*.py"), *(ROOT / "benchmarks").glob("*.py")]
        for path in sorted(sources):
            if "platform" in path.parent.parts:
                continue
            for name in re.findall(PLATFORM_NAMES, path.read_text()):
                found.append((path.name, name))
        self.assertEqual([], found)

    def test_package_stays_small(self) -> None:
        lines = 0
        for path in (ROOT / "src" / "coralfall" / "platform").glob("*.py"):
            lines += len([line for line in path.read_text().splitlines() if line.strip()])
        self.assertLess(lines, 600)

    def test_template_renders_to_valid_toml(self) -> None:
        rendered = render_template(r"\1")
        self.assertIn("entry_id", rendered)
        fields = {field.name for field in msgspec.structs.fields(BoundSettings)}
        self.assertEqual(fields, set(rendered["bounds"]))

    def test_missing_bounds_are_left_out(self) -> None:
        """Which bounds are given depends on the rules in force; the others keep their defaults."""
        self.assertEqual({}, render_template("")["bounds"])


class RowsTest(unittest.TestCase):
    row_codec = PlatformRowCodec()

    def test_desired_state(self) -> None:
        state = self.row_codec.decode_state_row("op/config", json.dumps(config(7)).encode())
        assert isinstance(state, DesiredState)
        route = state.routes[0]
        self.assertEqual(
            (7, "a.example", RequestKind.SAFE, 2.0, 2, "s1"),
            (
                state.version,
                route.host,
                route.kind,
                route.timeout_s,
                route.max_attempts,
                route.backends[0].service,
            ),
        )

    @parameterized.expand(
        [
            ("not JSON", b"{", "op/config"),
            ("no version", b'{"routes":[],"services":[]}', "version"),
            ("unknown kind", json.dumps(config(1, kind="odd")).encode(), "kind 'odd'"),
            ("wrong type", json.dumps(config(1, timeoutS="soon")).encode(), "timeoutS"),
            ("no service", json.dumps(config(1, service=None)).encode(), "neither a service"),
        ]
    )
    def test_invalid_desired_state(self, _name: str, data: bytes, expected: str) -> None:
        with self.assertRaises(DesiredStateError) as caught:
            self.row_codec.decode_state_row("op/config", data)
        self.assertIn(expected, caught.exception.message)

    def test_tenants(self) -> None:
        rows = [
            {
                "name": "t1",
                "apiKeys": ["k1", "k\u00e9"],
                "priority": 0,
                "ratePerS": 20,
                "burst": 5.5,
            },
            {"name": "t2", "allowedRegions": ["sierra"]},
        ]
        state = self.row_codec.decode_state_row("op/config", tenants_row(rows))
        assert isinstance(state, DesiredState) and state.tenants is not None
        first, second = state.tenants
        self.assertEqual((b"k1", "k\u00e9".encode()), first.keys)
        self.assertEqual((0, 20.0, 5.5), (first.priority, first.rate_per_s, first.burst))
        self.assertEqual((None, 0.0, 0.0), (second.priority, second.rate_per_s, second.burst))
        self.assertEqual({"sierra"}, second.allowed_regions)
        self.assertNotIn("k1", repr(state))

    @parameterized.expand([("left out", {}, None), ("none", {"tenants": []}, ())])
    def test_no_tenants(self, _name: str, part: t.Dict[str, t.Any], expected: t.Any) -> None:
        row = json.dumps({**config(1), **part}).encode()
        state = self.row_codec.decode_state_row("op/config", row)
        assert isinstance(state, DesiredState)
        self.assertEqual(expected, state.tenants)

    @parameterized.expand(
        [
            ("a name for two", [{"name": "a"}, {"name": "a"}], "$.tenants[1].name"),
            ("an empty name", [{"name": ""}], "$.tenants[0].name"),
            ("a name with a line end", [{"name": "a\r\nb"}], "$.tenants[0].name"),
            (
                "a key of two",
                [{"name": "a", "apiKeys": ["sesame"]}, {"name": "b", "apiKeys": ["x", "sesame"]}],
                "$.tenants[1].apiKeys",
            ),
            ("an empty key", [{"name": "a", "apiKeys": [""]}], "$.tenants[0].apiKeys[0]"),
            ("a key that is no text", [{"name": "a", "apiKeys": [1]}], "$.tenants[0].apiKeys[0]"),
            ("a rate below none", [{"name": "a", "ratePerS": -1}], "ratePerS"),
            ("a burst as text", [{"name": "a", "burst": "9"}], "burst"),
            ("half a priority", [{"name": "a", "priority": 0.5}], "priority"),
            ("regions as text", [{"name": "a", "allowedRegions": "sierra"}], "allowedRegions"),
        ]
    )
    def test_invalid_tenants(
        self, _name: str, rows: t.List[t.Dict[str, t.Any]], expected: str
    ) -> None:
        with self.assertRaises(DesiredStateError) as caught:
            self.row_codec.decode_state_row("op/config", tenants_row(rows))
        self.assertIn(expected, caught.exception.message)
        self.assertNotIn("sesame", str(caught.exception.as_dict()))

    def test_other_rows(self) -> None:
        self.assertEqual(
            Evacuation(t.cast(t.Any, "z")), self.row_codec.decode_state_row("op/evacuate/z", b"{}")
        )
        self.assertIsNone(self.row_codec.decode_state_row("op/something", b"{}"))

    def test_decode_target(self) -> None:
        row = {
            "address": "10.0.0.1:1",
            "info": {"service": "s", "version": "v", "zone": "z", "concurrency": 6},
            "status": {"state": "draining", "sequence": 3, "warmupLeftS": 1.5},
        }
        target = self.row_codec.decode_target_row("servers/i-1", json.dumps(row).encode())
        self.assertEqual(
            ("i-1", "s", 6, True, 1.5),
            (target.target_id, target.service, target.slots, target.leaving, target.cold_s),
        )

    @parameterized.expand(
        [
            ("no address", ("address",), None, "address"),
            ("a name for an address", ("address",), "host:80", "$.address"),
            ("no port", ("address",), "10.0.0.1", "$.address"),
            ("a port beyond all", ("address",), "10.0.0.1:70000", "$.address"),
            ("an address that is a number", ("address",), 7, "$.address"),
            ("no service", ("info", "service"), None, "service"),
            ("a service that is a list", ("info", "service"), ["s"], "$.info.service"),
            ("no slots", ("info", "concurrency"), None, "concurrency"),
            ("no slot", ("info", "concurrency"), 0, "$.info.concurrency"),
            ("slots as text", ("info", "concurrency"), "6", "$.info.concurrency"),
            ("slots as a truth", ("info", "concurrency"), True, "$.info.concurrency"),
            ("a zone that is no text", ("info", "zone"), 1, "$.info.zone"),
            ("a version that is no text", ("info", "version"), 1, "$.info.version"),
            ("an unknown state", ("status", "state"), "resting", "$.status.state"),
            ("no state", ("status", "state"), None, "state"),
            ("no sequence", ("status", "sequence"), None, "sequence"),
            ("half a sequence", ("status", "sequence"), 1.5, "$.status.sequence"),
            ("a sequence below none", ("status", "sequence"), -1, "$.status.sequence"),
            ("warm before its start", ("status", "warmupLeftS"), -1.0, "$.status.warmupLeftS"),
            ("no status", ("status",), None, "status"),
            ("a birth as text", ("born",), "1700000000000", "$.born"),
            ("half a birth", ("born",), 1.5, "$.born"),
        ]
    )
    def test_invalid_target(
        self, _name: str, path: t.Sequence[str], value: t.Any, expected: str
    ) -> None:
        row = target_row(born=1_700_000_000_000)
        parent = row
        for name in path[:-1]:
            parent = parent[name]
        parent[path[-1]] = value
        if value is None:
            del parent[path[-1]]
        with self.assertRaises(DesiredStateError) as caught:
            self.row_codec.decode_target_row("servers/i-1", json.dumps(row).encode())
        self.assertIn(expected, caught.exception.message)

    def test_born_is_required_once_it_was_written(self) -> None:
        row_codec = PlatformRowCodec()
        plain = json.dumps(target_row()).encode()
        self.assertIsNone(row_codec.decode_target_row("servers/i-1", plain).born)
        born = json.dumps(target_row(born=5)).encode()
        self.assertEqual(5, row_codec.decode_target_row("servers/i-1", born).born)
        with self.assertRaises(DesiredStateError):
            row_codec.decode_target_row("servers/i-1", plain)
        self.assertIsNone(row_codec.decode_target_row("servers/i-2", plain).born)

    @hypothesis.given(
        data=st.one_of(
            st.binary(max_size=200),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
                lambda inner: st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(("address", "info", "status", "born", "version", "routes")),
                    inner,
                    max_size=5,
                ),
            ).map(lambda value: json.dumps(value).encode()),
        )
    )
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    def test_random_bytes_are_decoded_or_rejected(self, data: bytes) -> None:
        for read in (
            lambda: self.row_codec.decode_target_row("servers/i-1", data),
            lambda: self.row_codec.decode_state_row("op/config", data),
            lambda: self.row_codec.decode_entry_row("entries/e1", data),
        ):
            try:
                read()
            except DesiredStateError as error:
                self.assertIn("can't be read", error.message)

    @hypothesis.given(position=st.integers(0, 200), byte=st.integers(0, 255))
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    def test_corrupt_row_does_not_affect_others(self, position: int, byte: int) -> None:
        good = json.dumps(target_row(born=5)).encode()
        index = position % len(good)
        corrupt = good[:index] + bytes([byte]) + good[index + 1 :]
        replica = Replica("targets", PlatformRowCodec().decode_target_row, drops_unreadable=True)
        rows = [
            Row("servers/i-1", good, Revision(1)),
            Row("servers/i-2", corrupt, Revision(2)),
            Row("servers/i-3", good, Revision(3)),
        ]
        replica.apply_changes(rows, at(3), 1.0)
        self.assertLessEqual({"servers/i-1", "servers/i-3"}, set(replica.values()))

    def test_entry_row_round_trip(self) -> None:
        record = make_record("e1")
        key, data = self.row_codec.encode_entry_row(record)
        self.assertEqual(record, self.row_codec.decode_entry_row(key, data))


def target_row(**fields: t.Any) -> t.Dict[str, t.Any]:
    """Returns a target's row as the target writes it.

    :param fields: fields to replace or add.
    """
    return {
        "address": "10.0.0.1:1",
        "info": {"service": "s", "version": "v", "zone": "z", "concurrency": 6},
        "status": {"state": "ready", "sequence": 3, "warmupLeftS": 0},
        **fields,
    }


Scenario = t.Callable[[StoreStandin, RowStore], t.Awaitable[t.Any]]


def run_with_store(scenario: Scenario, timeout_s: float = 0.3) -> t.Any:
    """Runs a scenario with a stand-in for the store and a client, and returns its result."""

    async def main() -> t.Any:
        async with StoreStandin() as standin:
            store = RowStore(StoreSettings(address=standin.address, timeout_s=timeout_s))
            return await scenario(standin, store)

    return asyncio.run(main())


class StandinTest(unittest.TestCase):
    """The stand-in's answers are consistent: rows and revision are of the same moment."""

    def test_write_at_the_end_of_a_feed_wait_is_included(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> t.Any:
            standin.put("op", "config", config(1))
            following = asyncio.create_task(store.follow("op/", Revision(1), 0.1))
            while not standin.calls:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
            loop = asyncio.get_running_loop()
            # Block the loop until both are due: the end of the wait, then the write.
            loop.call_later(0.15, standin.put, "op", "config", config(2))
            loop.call_later(0.02, time.sleep, 0.2)
            return await following

        changes = run_with_store(scenario, timeout_s=5.0)
        self.assertEqual(changes.revision, max([row.revision for row in changes.rows], default=1))


class SilentConnectionsTest(unittest.TestCase):
    """Open connections to the store stop transmitting for good, while new ones work."""

    def test_read_is_retried_on_a_new_connection(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> t.Any:
            standin.put("op", "config", config(1))
            await asyncio.gather(*[store.follow("op/", Revision(1), 0.05) for _ in range(2)])
            standin.silence_open_connections()
            before = len(standin.calls)
            rows = (await store.snapshot("op/")).rows
            await store.snapshot("op/")
            # One call fails with its connection; the other idle connection is not tried.
            return len(rows), len(standin.calls) - before, store.calls

        self.assertEqual((1, 3, 5), run_with_store(scenario, timeout_s=5.0))

    def test_write_uses_a_new_connection(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> t.Any:
            await store.snapshot("op/")
            standin.silence_open_connections()
            return await store.transact([Write("mine/a", b"1")])

        self.assertTrue(run_with_store(scenario).committed)

    def test_write_fails_in_time_if_its_connection_goes_silent(self) -> None:
        async def scenario() -> float:
            def accept(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                drop_arriving([writer.get_extra_info("socket")])

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            connections = StoreConnections(f"{host}:{port}", timeout_s=10.0)
            began = time.monotonic()
            with self.assertRaises(PlatformUnknownError):
                # More than can arrive before the connection is silent.
                await connections.write(b"POST / HTTP/1.1\r\n\r\n", b"1" * 8_000_000, "/")
            server.close()
            return time.monotonic() - began

        self.assertLess(asyncio.run(scenario()), 2 * defaults.DEAD_PEER_TIMEOUT_S)


class StoreTest(unittest.TestCase):
    def test_rows_are_written_and_read(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> t.Any:
            await store.transact([Write("mine/a", b"1"), Write("mine/b", b"2")])
            await store.transact([Write("mine/a", None)])
            before = await store.snapshot("mine/")
            await store.transact([Write("mine/c", b"3")])
            after = await store.follow("mine/", before.revision, 0.0)
            return before, after, await store.read(["mine/b", "mine/x"])

        before, after, read = run_with_store(scenario)
        self.assertEqual([("mine/b", b"2")], [(row.key, row.value) for row in before.rows])
        self.assertEqual([("mine/c", b"3")], [(row.key, row.value) for row in after.rows])
        self.assertEqual(["mine/b"], list(read))

    def test_follow_returns_deletions(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> t.Any:
            standin.put("op", "config", config(1))
            before = await store.snapshot("op/")
            standin.remove("op", "config")
            return await store.follow("op/", before.revision, 0.0)

        changes = run_with_store(scenario)
        self.assertEqual([("op/config", None)], [(row.key, row.value) for row in changes.rows])

    def test_snapshot_reads_all_pages(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> t.Any:
            for number in range(1200):
                standin.put("servers", f"i-{number:05}", {})
            return await store.snapshot("servers/")

        self.assertEqual(1200, len({row.key for row in run_with_store(scenario).rows}))

    def test_pages_of_two_eras_are_not_put_together(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> t.Any:
            for number in range(600):
                standin.put("servers", f"i-{number:05}", {})
            pages = []

            def get(query: t.Dict[str, str]) -> t.Dict[str, t.Any]:
                pages.append(query)
                standin.era = str(len(pages))
                return StoreStandin._get(standin, query)

            with unittest.mock.patch.object(standin, "_get", get):
                await store.snapshot("servers/")

        with self.assertRaisesRegex(PlatformUnavailableError, "between two pages"):
            run_with_store(scenario)

    def test_follow_waits_for_a_change(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> t.Any:
            standin.put("op", "config", config(1))
            read = asyncio.create_task(store.follow("op/", Revision(1), 5.0))
            await asyncio.sleep(0.05)
            standin.put("op", "config", config(2))
            return await read

        self.assertEqual(1, len(run_with_store(scenario).rows))

    @parameterized.expand(
        [
            ("condition holds", 0, True),
            ("condition broken", 7, False),
        ]
    )
    def test_transaction_condition(self, _name: str, expected: int, committed: bool) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> t.Any:
            checks = [Check("mine/a", Revision(expected))]
            return await store.transact([Write("mine/b", b"2")], checks)

        self.assertEqual(committed, run_with_store(scenario).committed)

    @parameterized.expand(
        [("a number", "7", 7), ("none", None, 0), ("leading zeros", "007", 7)],
    )
    def test_each_answer_tells_its_era(
        self, _name: str, header: t.Optional[str], expected: int
    ) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> t.Any:
            standin.era = header
            written = await store.transact([Write("mine/a", b"1")])
            refused = await store.transact([Write("mine/a", b"1", Revision(99))])
            read = await store.snapshot("mine/")
            return written, refused, read, await store.follow("mine/", read.revision, 0.0)

        eras = {answer.era for answer in run_with_store(scenario)}
        self.assertEqual({expected}, eras)

    @parameterized.expand([("a word", "new"), ("negative", "-1"), ("too long", "9" * 30)])
    def test_an_era_that_is_no_number_is_an_error(self, _name: str, header: str) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> None:
            standin.era = header
            await store.snapshot("op/")

        with self.assertRaisesRegex(PlatformUnavailableError, "Store-Era"):
            run_with_store(scenario)

    def test_a_write_that_was_answered_with_such_an_era_may_have_been_done(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> None:
            standin.era = "new"
            await store.transact([Write("mine/a", b"1")])

        with self.assertRaisesRegex(PlatformUnknownError, "Store-Era"):
            run_with_store(scenario)

    def test_a_version_that_the_store_lost_is_lost_history(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> None:
            standin.put("op", "config", config(1))
            copy = standin.copy()
            standin.put("op", "config", config(2))
            standin.restore(copy)
            await store.follow("op/", Revision(2), 0.0)

        with self.assertRaises(HistoryLostError):
            run_with_store(scenario)

    def test_discarded_history(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> None:
            standin.put("op", "config", config(1))
            standin.put("op", "config", config(2))
            standin.drop_history()
            await store.follow("op/", Revision(1), 0.0)

        with self.assertRaises(HistoryLostError):
            run_with_store(scenario)

    @parameterized.expand(
        [
            ("busy", "read", PlatformUnavailableError),
            ("many", "read", PlatformUnavailableError),
            ("silent", "read", PlatformUnavailableError),
            ("busy", "write", PlatformUnavailableError),
            ("many", "write", PlatformUnavailableError),
            ("silent", "write", PlatformUnknownError),
            ("lost", "write", PlatformUnknownError),
            ("late", "write", PlatformUnknownError),
        ]
    )
    def test_failures(self, mode: str, call: str, error: t.Type[PlatformError]) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> None:
            standin.mode = mode
            if call == "read":
                await store.snapshot("op/")
            else:
                await store.transact([Write("mine/a", b"1")])

        with self.assertRaises(error):
            run_with_store(scenario)

    def test_connection_refused(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> None:
            unreachable = RowStore(StoreSettings(address="127.0.0.1:1", timeout_s=0.3))
            await unreachable.transact([Write("mine/a", b"1")])

        with self.assertRaises(PlatformUnavailableError):
            run_with_store(scenario)

    def test_call_that_the_store_does_not_support(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> None:
            await store.changes(["a/", "b/"], Revision(0))

        with self.assertRaises(PlatformRejectedError):
            run_with_store(scenario)

    def test_new_connection_is_used_after_a_lost_answer(self) -> None:
        async def scenario(standin: StoreStandin, store: RowStore) -> t.Any:
            await store.snapshot("op/")
            standin.mode = "silent"
            try:
                await store.snapshot("op/")
            except PlatformUnavailableError:
                standin.mode = "ok"
            return await store.snapshot("op/")

        self.assertEqual((), run_with_store(scenario).rows)
