"""Tests of :mod:`coralfall.bundles.draft` and its rules: every fault is found, in one run."""

import pathlib
import typing as t
import unittest

from parameterized import parameterized

from coralfall.bundles import draft, starter
from coralfall.bundles.bundle import Bundle, encode
from coralfall.exceptions import BundleError
from coralfall.ids import PartnerId
from tests.checks import make_folder
from tests.operators import COSECHA

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "examples"
BASE = starter.starter_draft(COSECHA)
Wanted = t.List[t.Tuple[str, str]]

SECOND = """
[targets.catalogo-02]
service = "catalogo"
region = "sierra"
zone = "sierra-2"
address = "{}"
slots = 6
connections = 400
"""
#: Text of the draft => what stands there instead => the faults by path and code.
FAULTS = r"""
version = 1 => version = 0 => version out-of-range
version = 1 => version = "1" => version wrong-type
version = 1 => version = 1\nvresion = 2 => vresion unknown-field
partner = "cosecha" => => partner missing-field
partner = "cosecha" => partner = "Cosecha/1" => partner bad-id
partner = "cosecha" => partner = "lookup" => partner reserved-id
", "sierra-2"] => ", "-"] => regions.sierra.zones[1] bad-id
", "sierra-2"] => ", "sierra-1"] => regions.sierra.zones[1] duplicate-zone
zones = ["sierra-1", "sierra-2"] => zones = [] => regions.sierra.zones empty, \
    targets.catalogo-01.zone wrong-zone, sites.sierra-1.zone wrong-zone
slots = 12 => slots = 0 => regions.sierra.slots out-of-range
= 125_000_000 => = -1 => regions.sierra.link_bytes_per_s out-of-range
# [grants.sierra.calor]\n# slots = 2 => [grants.costa.calor]\nslots = 1 => grants.costa not-owned
# [grants.sierra.calor]\n# slots = 2 => [grants.sierra.cosecha]\nslots = 1 => \
    grants.sierra.cosecha self-grant
# [grants.sierra.calor]\n# slots = 2 => [grants.sierra.calor]\nslots = 13 => \
    grants.sierra.calor.slots over-granted
# [grants.sierra.calor]\n# slots = 2 => [grants.sierra.calor]\nslots = 0 => \
    grants.sierra.calor.slots out-of-range
sierra = 1.0 => sierra = 0.9 => services.catalogo.weights weight-sum
sierra = 1.0 => => services.catalogo.weights weight-sum
sierra = 1.0 => sierra = 1.5\ncosta = -0.5 => services.catalogo.weights.sierra out-of-range, \
    services.catalogo.weights.costa out-of-range, services.catalogo.weights.costa no-target
sierra = 1.0 => sierra = nan => services.catalogo.weights.sierra out-of-range, \
    services.catalogo.weights weight-sum
sierra = 1.0 => sierra = 0.5\ncosta = 0.5 => services.catalogo.weights.costa no-target
sierra = 1.0 => sierra = 1.0\ncosta = 0.0 => services.catalogo.weights.costa no-target
shift_cap = 0.1 => shift_cap = 0 => services.catalogo.shift_cap out-of-range
shift_cap = 0.1 => shift_cap = 1.01 => services.catalogo.shift_cap out-of-range
shift_cap = 0.1 => shift_cap = nan => services.catalogo.shift_cap out-of-range
shift_cap = 0.1 => => services.catalogo.shift_cap missing-field
_window_s = 10.0 => _window_s = 0 => services.catalogo.shift_window_s out-of-range
timeout_ms = 2000 => timeout_ms = 0 => services.catalogo.timeout_ms out-of-range
timeout_ms = 2000 => timeout_ms = 1.5 => services.catalogo.timeout_ms wrong-type
= 1_048_576 => = 0 => services.catalogo.max_body_bytes out-of-range
ramp_s = 30.0 => ramp_s = -1 => services.catalogo.ramp_s out-of-range
ramp_s = 30.0 => ramp_s = inf => services.catalogo.ramp_s out-of-range
policy = "latency" => policy = "fast" => services.catalogo.policy wrong-value
availability = 0.999 => availability = 1.0 => \
    services.catalogo.objective.availability out-of-range
latency_ms = 250 => latency_ms = 0 => services.catalogo.objective.latency_ms out-of-range
service = "catalogo" => service = "pedidos" => targets.catalogo-01.service unknown-service, \
    services.catalogo.weights.sierra no-target
"catalogo"\nregion = "sierra" => "catalogo"\nregion = "seirra" => \
    targets.catalogo-01.region unknown-region, services.catalogo.weights.sierra no-target
[sites.sierra-1]\nregion = "sierra" => [sites.sierra-1]\nregion = "centro" => \
    sites.sierra-1.region unknown-region
"\nzone = "sierra-1"\n\n => "\nzone = "costa-1"\n\n => sites.sierra-1.zone wrong-zone
"\nzone = "sierra-1"\n# IP => "\nzone = "costa-1"\n# IP => targets.catalogo-01.zone wrong-zone
slots = 6 => slots = 0 => targets.catalogo-01.slots out-of-range
connections = 400 => connections = 5 => targets.catalogo-01.connections few-connections
state = "active" => state = "leaving" => services.catalogo.weights.sierra only-leaving
state = "active" => state = "gone" => targets.catalogo-01.state wrong-value
[targets.catalogo-01] => [targets.Catalogo_01] => targets.Catalogo_01 bad-id
block_files = [] => block_files = ["no.csv"] => no.csv unreadable
block_files = [] => block_files = ["a.csv"] => \
    a.csv:1 host-bits-set, a.csv:2 unknown-site, a.csv:4 duplicate
[regions.sierra] => [regions.sierra => - syntax
"""
#: Addresses that are not an IP number with a port, one a line.
BAD_ADDRESSES = """
target:80
127.0.0.1
127.0.0.1:0
127.0.0.1:65536
0.0.0.0:80
224.0.0.1:80
[127.0.0.1]:80
::1:80
[::]:80
127.0.0.1:-1
:80
"""
BLOCKS = """\
192.0.2.1/24,sierra-1
192.0.2.0/25,costa-1
198.51.100.0/24,sierra-1
198.51.100.0/24,sierra-1
"""


def read_table() -> t.List[t.Tuple[str, str, Wanted]]:
    rows = []
    for row in FAULTS.replace("\\\n", "").strip().splitlines():
        old, new, faults = (part.strip(" ").replace("\\n", "\n") for part in row.split("=>"))
        pairs = (fault.split() for fault in faults.split(","))
        wanted = sorted(("" if path == "-" else path, code) for path, code in pairs)
        rows.append((old, new, wanted))
    return rows


class FaultTest(unittest.TestCase):
    """Tables of drafts that break one rule or several."""

    def setUp(self) -> None:
        self.folder = make_folder(self)
        (self.folder / "a.csv").write_text(BLOCKS)
        self.path = self.folder / "draft.toml"

    def check(self, text: str) -> t.List[t.Tuple[str, str]]:
        self.path.write_text(text)
        return [(fault.path, fault.code) for fault in draft.check_draft(self.path)]

    def test_the_starting_draft_is_good(self) -> None:
        self.assertEqual([], self.check(BASE))

    def test_a_bundle_without_services_is_refused(self) -> None:
        text = 'partner = "cosecha"\nversion = 1\nregions = {}\nservices = {}\ntargets = {}\n'
        self.assertEqual([("services", "empty")], self.check(text))

    @parameterized.expand(read_table())
    def test_fault(self, old: str, new: str, wanted: Wanted) -> None:
        self.assertIn(old, BASE)
        text = BASE.replace(old, new, 1)
        self.assertEqual(wanted, sorted(self.check(text)))
        with self.assertRaises(BundleError) as caught:
            draft.load_draft(self.path)
        self.assertEqual(len(wanted), len(caught.exception.faults))

    @parameterized.expand([(address,) for address in BAD_ADDRESSES.split()])
    def test_address(self, address: str) -> None:
        text = BASE.replace("127.0.0.1:47000", address)
        self.assertEqual([("targets.catalogo-01.address", "bad-address")], self.check(text))

    def test_one_address_written_in_two_ways_is_a_duplicate(self) -> None:
        text = BASE.replace("127.0.0.1:47000", "[fd00::7]:80") + SECOND.format("[FD00:0::7]:80")
        self.assertEqual([("targets.catalogo-02.address", "duplicate-address")], self.check(text))

    def test_all_faults_are_found_in_one_run(self) -> None:
        """Each fault of the table is found beside a fault of shape elsewhere."""
        for old, new, wanted in read_table():
            if wanted[0][1] == "syntax":
                continue
            text = BASE.replace(old, new, 1) + "\n[targets.broken]\nslots = true\n"
            found = self.check(text)
            for fault in wanted:
                # Whether these hold depends on the target that is broken.
                if fault[1] not in ("no-target", "only-leaving"):
                    self.assertIn(fault, found)
            self.assertIn(("targets.broken.slots", "wrong-type"), found)

    def test_no_fault_is_drawn_from_a_broken_value(self) -> None:
        text = BASE.replace(
            'region = "sierra"\nzone = "sierra-1"\n# IP', "region = 1\nzone = 2\n# IP"
        )
        wanted = [("targets.catalogo-01.region", "wrong-type")]
        wanted += [("targets.catalogo-01.zone", "wrong-type")]
        self.assertEqual(wanted, self.check(text))

    @parameterized.expand([("not TOML", b"\xff\xfe"), ("a folder", None), ("missing", b"")])
    def test_unreadable(self, name: str, data: t.Optional[bytes]) -> None:
        if data is None:
            self.path.mkdir()
        elif data:
            self.path.write_bytes(data)
        self.assertEqual(1, len(draft.check_draft(self.path)), name)

    def test_granted_regions_may_be_named(self) -> None:
        text = BASE.replace("granted_regions = []", 'granted_regions = ["centro"]')
        foreign = SECOND.format("127.0.0.1:1").replace("sierra", "centro")
        text = text.replace("sierra = 1.0", "sierra = 0.5\ncentro = 0.5") + foreign
        self.assertEqual([], self.check(text))

    def test_blocks_are_split_into_objects(self) -> None:
        (self.folder / "good.csv").write_text("192.0.2.0/24,sierra-1\n")
        self.check(BASE.replace("block_files = []", 'block_files = ["good.csv"]'))
        loaded = draft.load_whole_draft(self.path)
        self.assertEqual(1, loaded.bundle.chunks[0].blocks)
        self.assertIn(loaded.bundle.chunks[0].digest, loaded.objects)


class ExampleTest(unittest.TestCase):
    """The drafts that are handed out."""

    @parameterized.expand(
        [
            (
                "cosecha",
                {"catalogo": (20, 6, 400), "pedidos": (15, 6, 400), "acopio": (10, 3, 400)},
            ),
            ("calor", {"termometro": (20, 6, 350), "mando": (10, 4, 350), "bodega": (10, 3, 350)}),
        ]
    )
    def test_example(self, name: str, sizes: t.Dict[str, t.Tuple[int, int, int]]) -> None:
        path = EXAMPLES / f"{name}.toml"
        self.assertEqual([], draft.check_draft(path))
        bundle = draft.load_draft(path)
        self.assertEqual((name, 3), (bundle.partner, len(bundle.regions)))
        self.assertEqual(6, sum(len(region.zones) for region in bundle.regions.values()))
        self.assertEqual(sizes, _sizes(bundle))
        self.assertEqual(encode(bundle), encode(draft.load_draft(path)))

    def test_starter_refuses_a_partner_that_is_no_id(self) -> None:
        with self.assertRaises(BundleError):
            starter.starter_draft(PartnerId('x"\nversion = 9 #'))


def _sizes(bundle: Bundle) -> t.Dict[str, t.Tuple[int, int, int]]:
    sizes: t.Dict[str, t.Tuple[int, int, int]] = {}
    for target in bundle.targets.values():
        count = sizes.get(target.service, (0, 0, 0))[0]
        sizes[target.service] = (count + 1, target.slots, target.connections)
    return sizes


if __name__ == "__main__":
    unittest.main()
