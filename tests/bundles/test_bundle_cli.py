"""Tests of the commands ``coralfall bundle`` and ``coralfall keys``, as operators run them."""

import asyncio
import json
import pathlib
import sys
import tempfile
import typing as t
import unittest
from unittest import mock

import msgspec
from parameterized import parameterized
from typer.testing import CliRunner

from coralfall.bundles import bundle_cli, keys_cli, line
from coralfall.bundles.bundle import encode
from coralfall.bundles.signedfile import SignedFile
from coralfall.bundles.trust import load_trust
from coralfall.exceptions import PlatformUnavailableError, SettingsError
from coralfall.ids import PartnerId
from coralfall.peering.fleetkey import load_fleet_key
from coralfall.process.clock import ManualClock
from coralfall.stores.memory_platform import MemoryPlatform
from tests.checks import make_folder
from tests.operators import ANA, BEA, COSECHA, make_bundle, sign_bundle
from tests.platform_server import serve_platform

URL = "http://127.0.0.1:1"


class Result(t.NamedTuple):
    """What a command left."""

    code: int
    out: str
    err: str

    def json(self) -> t.Any:
        return json.loads(self.out)


class CommandTest(unittest.TestCase):
    """Base: a folder with keys of two operators, a trust file and a draft."""

    def setUp(self) -> None:
        self.folder = make_folder(self)
        self.memory = MemoryPlatform(ManualClock(100.0))
        self.down = False
        patch = mock.patch.object(bundle_cli, "with_platform", self._with_platform)
        patch.start()
        self.addCleanup(patch.stop)
        lines = [self.keys("new", f"{name}.key", "--id", name).out for name in ("ana", "bea")]
        self.write("trust.toml", "[partners.cosecha.keys]\n" + "".join(lines))
        self.bundle("new", "draft.toml", "--partner", "cosecha")

    async def _with_platform(self, url: str, run: t.Any) -> t.Any:
        self.assertEqual(URL, url)
        if self.down:
            raise PlatformUnavailableError("down")
        return await run(self.memory.platform)

    def write(self, name: str, text: str) -> None:
        (self.folder / name).write_text(text)

    def edit(self, name: str, old: str, new: str) -> None:
        text = (self.folder / name).read_text()
        self.assertIn(old, text)
        self.write(name, text.replace(old, new))

    def keys(self, *arguments: str) -> Result:
        return self._run(keys_cli.app, arguments)

    def bundle(self, *arguments: str) -> Result:
        return self._run(bundle_cli.app, arguments)

    def _run(self, app: t.Any, arguments: t.Sequence[str]) -> Result:
        files = {".toml", ".key", ".signed", ".csv"}
        placed = [str(self.folder / a) if pathlib.Path(a).suffix in files else a for a in arguments]
        result = CliRunner().invoke(app, placed)
        if result.exception is not None and not isinstance(result.exception, SystemExit):
            raise result.exception
        return Result(result.exit_code, result.stdout, result.stderr)

    def sign_as(self, role: str, name: str, file: str) -> Result:
        return self.bundle("sign", file, "--role", role, "--key", f"{name}.key")

    def sign(self) -> None:
        first = self.sign_as("author", "ana", "draft.toml")
        second = self.sign_as("approver", "bea", "draft.signed")
        self.assertEqual((0, 0), (first.code, second.code), first.err + second.err)

    def ask(self, command: str, *options: str) -> t.Any:
        """What a command that reads the platform prints as JSON."""
        return self.bundle(command, "--platform", URL, "--json", *options).json()

    def submit(self, *options: str, file: str = "draft.signed") -> Result:
        return self.bundle("submit", file, "--platform", URL, "--trust", "trust.toml", *options)

    def accept(self) -> None:
        async def run() -> None:
            row = await line.read_head(self.memory.platform, COSECHA)
            await line.accept(self.memory.platform, row.head, row.revision, {}, 101.0)

        asyncio.run(run())


class PathTest(CommandTest):
    """From a draft to the version in force."""

    def test_whole_path(self) -> None:
        self.assertEqual(0, self.bundle("check", "draft.toml").code)
        self.sign()
        self.assertEqual(0, self.submit().code)
        self.assertIn("staged:   version 1 by ana", self.bundle("status", "--platform", URL).out)
        self.accept()
        (status,) = self.ask("status")["partners"]
        in_force = status["in_force"]
        found = (in_force["version"], in_force["approver"], status["staged"])
        self.assertEqual((1, "bea", None), found)
        self.assertEqual(0, self.submit("--wait").code)
        history = self.ask("history", "--partner", "cosecha")
        self.assertEqual([(1, 101.0)], [(row["version"], row["accepted_at"]) for row in history])

    def test_submit_refuses_what_is_half_signed(self) -> None:
        self.sign_as("author", "ana", "draft.toml")
        result = self.submit()
        self.assertEqual((1, ""), (result.code, result.out))
        self.assertRegex(result.err, "^error: signature/missing: approver: .*--role approver`\n$")

    def test_the_author_cannot_approve(self) -> None:
        self.sign_as("author", "ana", "draft.toml")
        result = self.sign_as("approver", "ana", "draft.signed")
        self.assertEqual(1, result.code)
        self.assertIn("signature/self-approved", result.err)

    def test_the_loser_is_told_who_won(self) -> None:
        self.sign()
        self.submit()
        self.edit("draft.toml", "slots = 12", "slots = 11")
        self.sign()
        result = self.submit("--json")
        error = result.json()["error"]
        self.assertEqual((1, "submit", "lost-race"), (result.code, error["code"], error["reason"]))
        self.assertEqual("ana", error["winner"]["author"])
        self.assertEqual(["~ regions.sierra.slots: 12 -> 11"], error["differs"])

    def test_replace_names_what_it_replaces(self) -> None:
        self.sign()
        self.submit()
        digest = self.ask("status")["partners"][0]["staged"]["digest"]
        self.edit("draft.toml", "version = 1", "version = 2")
        self.sign()
        refused = [self.submit(), self.submit("--replace", "0" * 12), self.submit("--replace", "a")]
        self.assertEqual([1, 1, 2], [result.code for result in refused])
        self.assertEqual(0, self.submit("--replace", digest[:12]).code)

    def test_a_platform_that_is_down(self) -> None:
        self.sign()
        self.down = True
        for result in (self.submit(), self.bundle("status", "--platform", URL)):
            self.assertEqual((1, "error: platform-unavailable: down\n"), (result.code, result.err))

    def test_diff_with_what_is_on_the_platform(self) -> None:
        self.write("blocks.csv", "192.0.2.0/24,sierra-1\n")
        self.sign()
        self.submit()
        self.accept()
        self.edit("draft.toml", "slots = 12", "slots = 11")
        self.edit("draft.toml", "block_files = []", 'block_files = ["blocks.csv"]')
        place = ("--platform", URL, "--partner", "cosecha")
        lines = self.bundle("diff", "in-force", "draft.toml", *place).out.splitlines()
        self.assertIn("~ regions.sierra.slots: 12 -> 11", lines)
        self.assertIn('  + blocks.192.0.2.0/24 = "sierra-1"', lines)
        self.assertEqual(2, self.bundle("diff", "staged", "draft.toml", *place).code)
        self.assertEqual(2, self.bundle("diff", "in-force", "draft.toml").code)
        same = self.bundle("diff", "draft.signed", "draft.signed", "--json").json()
        self.assertEqual(([], 0), (same["changes"], same["blocks"]["added"]))


class InputTest(CommandTest):
    """What is wrong in itself ends with code 2, each fault on one line."""

    def test_check_lists_all_faults(self) -> None:
        self.edit("draft.toml", "shift_cap = 0.1", "shift_cap = 2\nshift_cup = 1")
        self.edit("draft.toml", "sierra = 1.0", "sierra = 0.5")
        result = self.bundle("check", "draft.toml")
        self.assertEqual((2, 3), (result.code, len(result.err.splitlines())))
        found = self.bundle("check", "draft.toml", "--json").json()
        self.assertEqual(False, found["ok"])
        codes = {fault["path"]: fault["code"] for fault in found["faults"]}
        wanted = {
            "services.catalogo.shift_cup": "unknown-field",
            "services.catalogo.shift_cap": "out-of-range",
            "services.catalogo.weights": "weight-sum",
        }
        self.assertEqual(wanted, codes)
        signed = self.sign_as("author", "ana", "draft.toml")
        self.assertEqual((2, 3), (signed.code, len(signed.err.splitlines())))

    @parameterized.expand(
        [
            ("missing draft", "check", "no.toml"),
            ("draft exists", "new", "draft.toml", "--partner", "cosecha"),
            ("bad partner", "new", "x.toml", "--partner", "a b"),
            ("not signed", "submit", "draft.toml", "--platform", URL, "--trust", "trust.toml"),
            ("no trust", "submit", "draft.signed", "--platform", URL, "--trust", "no.toml"),
            ("bad role", "sign", "draft.toml", "--role", "owner", "--key", "ana.key"),
            ("missing file", "diff", "draft.toml", "no.signed"),
            ("unknown option", "status", "--platfrom", URL),
        ]
    )
    def test_bad_input(self, _name: str, *arguments: str) -> None:
        self.sign()
        result = self.bundle(*arguments)
        self.assertEqual((2, ""), (result.code, result.out))
        self.assertTrue(result.err)

    def test_errors_are_json_when_asked(self) -> None:
        for arguments in (("check", "no.toml"), ("diff", "draft.toml", "no.signed")):
            result = self.bundle(*arguments, "--json")
            self.assertEqual((2, ""), (result.code, result.err))
            self.assertTrue(result.json())

    def test_a_key_that_others_can_read_is_refused(self) -> None:
        (self.folder / "ana.key").chmod(0o644)
        result = self.sign_as("author", "ana", "draft.toml")
        self.assertEqual(1, result.code)
        self.assertIn("chmod 600", result.err)
        self.assertFalse((self.folder / "draft.signed").exists())

    def test_keys_fleet(self) -> None:
        made = self.keys("fleet", "fleet.key", "--json")
        path = self.folder / "fleet.key"
        self.assertEqual((0, {"file": str(path)}), (made.code, made.json()))
        self.assertEqual(0o600, path.stat().st_mode & 0o777)
        key = load_fleet_key(path)
        self.assertNotIn(path.read_text().strip(), made.out + made.err)
        again = self.keys("fleet", "fleet.key")
        self.assertEqual(2, again.code)
        self.assertIn("unwritable", self.keys("fleet", "fleet.key", "--json").out)
        self.assertEqual(key, load_fleet_key(path))
        self.assertEqual(0, self.keys("fleet", "other.key").code)
        self.assertNotEqual(key, load_fleet_key(self.folder / "other.key"))

    def test_keys_new(self) -> None:
        made = self.keys("new", "caro.key", "--id", "caro", "--json").json()
        self.assertEqual("caro", made["key_id"])
        self.assertEqual(1, self.keys("new", "caro.key", "--id", "caro").code)
        self.assertEqual(2, self.keys("new", "x.key", "--id", "no id").code)

    @parameterized.expand(
        [
            ("cut", lambda data: data[:-1], "malformed", 2),
            (
                "wrong object",
                lambda data: data.replace(b"sierra-1", b"sierra-2"),
                "wrong-object",
                2,
            ),
            ("a block less", lambda data: _without_objects(data), "missing-object", 2),
            ("not canonical", lambda data: data.replace(b"format", b"farmot"), "malformed", 1),
        ]
    )
    def test_a_damaged_signed_file(
        self, _name: str, damage: t.Any, code: str, exit_code: int
    ) -> None:
        self.write("blocks.csv", "192.0.2.0/24,sierra-1\n")
        self.edit("draft.toml", "block_files = []", 'block_files = ["blocks.csv"]')
        self.sign()
        path = self.folder / "draft.signed"
        path.write_bytes(damage(path.read_bytes()))
        result = self.submit("--json")
        self.assertEqual(exit_code, result.code)
        self.assertIn(f'"{code}"', result.out)

    def test_a_signed_file_against_the_rules_is_not_approved(self) -> None:
        file = SignedFile(signed=sign_bundle(make_bundle(services={})))
        (self.folder / "x.signed").write_bytes(encode(file))
        result = self.sign_as("approver", "bea", "x.signed")
        self.assertEqual(2, result.code)


def _without_objects(data: bytes) -> bytes:
    file = msgspec.msgpack.decode(data, type=SignedFile)
    return encode(msgspec.structs.replace(file, objects=dict([file.objects.popitem()])))


class TrustTest(CommandTest):
    """Trust files."""

    @parameterized.expand(
        [
            ("not base64", 'ana = "*"', "partners.cosecha.keys.ana"),
            ("short", 'ana = "YWJj"', "partners.cosecha.keys.ana"),
            (
                "one key under two ids",
                f'ana = "{ANA.public_key}"\neva = "{ANA.public_key}"',
                "partners.cosecha.keys.eva",
            ),
            ("no text", "ana = 1", "partners.cosecha.keys"),
        ]
    )
    def test_fault(self, _name: str, keys: str, path: str) -> None:
        self.write("trust.toml", f"[partners.cosecha.keys]\n{keys}\n")
        with self.assertRaises(SettingsError) as caught:
            load_trust(self.folder / "trust.toml")
        self.assertTrue(caught.exception.faults[0].path.startswith(path))

    def test_keys_by_partner(self) -> None:
        trust = load_trust(self.folder / "trust.toml")
        self.assertEqual(
            {PartnerId("cosecha"): {"ana", "bea"}}, {p: set(k) for p, k in trust.items()}
        )


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """A command in a process of its own, over HTTP."""

    async def test_submit(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            keys = f'ana = "{ANA.public_key}"\nbea = "{BEA.public_key}"\n'
            (path / "trust.toml").write_text("[partners.cosecha.keys]\n" + keys)
            file = SignedFile(signed=sign_bundle(make_bundle()))
            (path / "b.signed").write_bytes(encode(file))
            async with serve_platform() as served:
                place = ("--platform", served.url, "--trust", "trust.toml", "--json")
                code, out = await self._run(path, "submit", "b.signed", *place)
                self.assertEqual((0, "submitted"), (code, json.loads(out)["state"]))
                waiting = ("--wait", "--timeout", "0")
                code, out = await self._run(path, "submit", "b.signed", *place, *waiting)
        self.assertEqual((1, "not-in-force"), (code, json.loads(out)["error"]["reason"]))

    async def _run(self, folder: pathlib.Path, *arguments: str) -> t.Tuple[t.Optional[int], str]:
        command = (
            sys.executable,
            "-c",
            "from coralfall.bundles.bundle_cli import app; app()",
            *arguments,
        )
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(*command, cwd=folder, stdout=pipe)
        out, _ = await process.communicate()
        return process.returncode, out.decode()


if __name__ == "__main__":
    unittest.main()
