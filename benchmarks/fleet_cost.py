"""What an entry's decisions cost as the fleet and its targets grow.

``PYTHONPATH=src python -m benchmarks.fleet_cost`` prints microseconds of processor time a call at
12, 195 and 530 entries (or 20, 360 and 1,200 targets, or 20, 200 and 1,400 routes), and how much
the largest costs in relation to the smallest. All sizes of a row are measured in one run, in turns.
"""

import json
import random
import time
import typing as t

import msgspec
from tests.platform_adapter.standins import config
from tests.traffic.makers import (
    PEDIDOS,
    SteeringFixture,
    make_record,
    make_route,
    make_settings,
    make_state,
    make_target,
)

from coralfall.ids import EntryId, Era, Position, RegionId, Revision, TargetId, ZoneId
from coralfall.placement.cold_targets import ColdTargetShares
from coralfall.placement.transit_choice import choose_transit
from coralfall.platform.rows import PlatformRowCodec
from coralfall.process.clock import ManualClock
from coralfall.traffic.delta import DeltaRow, pack
from coralfall.traffic.lookup import Lookup
from coralfall.traffic.members import Members
from coralfall.traffic.model import DesiredState, EntryRecord
from coralfall.traffic.routes import RouteTable
from coralfall.traffic.row_codec import LookupQuery

ENTRIES = (12, 195, 530)
TARGETS = (20, 360, 1200)
ROUTES = (20, 200, 1400)
REGIONS = 3
ZONES = 9
TURNS = 20
CALLS = 50

Call = t.Callable[[int], t.Any]


def zone_of(number: int) -> ZoneId:
    """Zone of a VM or target."""
    return ZoneId(f"z{number % ZONES}")


def region_of(number: int) -> RegionId:
    """Region of that zone."""
    return RegionId(f"r{number % ZONES % REGIONS}")


def make_entry(number: int) -> EntryRecord:
    """An entry that serves, in one of nine zones."""
    return make_record(f"e{number}", zone=zone_of(number), region=region_of(number))


def make_members(count: int, clock: ManualClock) -> Members:
    """What one entry knows of a fleet that is well."""
    members = Members(make_entry(0), clock, random.Random(1))
    members.merge_records([make_entry(number) for number in range(1, count)])
    return members


def cold_share(count: int) -> Call:
    """A look at a cold target, of which there are 40."""
    clock = ManualClock(100.0)
    shares = ColdTargetShares(EntryId("e0"), clock)
    shares.set_entries(make_members(count, clock).known_ids())
    clock.advance(1.0)
    return lambda number: shares.allowance_of(TargetId(f"t{number % 40}"), 18.5)


def rank(count: int) -> Call:
    """The entry's place in the order of readers, asked for 20 times a second."""
    members = make_members(count, ManualClock(100.0))
    return lambda number: members.rank()


def members_sum(count: int) -> Call:
    """The sum that goes with each message to other entries."""
    members = make_members(count, ManualClock(100.0))
    return lambda number: members.checksum()


def reached(count: int) -> Call:
    """Noting that an entry has answered."""
    members = make_members(count, ManualClock(100.0))
    addresses = [make_entry(number).peer_address for number in range(1, count)]
    return lambda number: members.record_probe_success(addresses[number % len(addresses)])


def look_up(count: int) -> Call:
    """A look-up of a caller."""
    members = make_members(count, ManualClock(100.0))
    lookup = Lookup(make_settings(), members, t.cast(t.Any, None))
    return lambda number: lookup.addresses(
        LookupQuery(host="a.example", zone=zone_of(number), region=region_of(number))
    )


def find_route(count: int) -> Call:
    """The route of a request."""
    routes = [make_route(prefix=f"/p{n}/" + "x/" * (n % 4)) for n in range(count)]
    table = RouteTable(make_state(1, *routes))
    return lambda number: table.find("a.example", f"/p{number % count}/x/y")


def make_state_row(routes: int) -> bytes:
    """A desired state as the operators write it."""
    state = config(1)
    (route,) = state["routes"]
    state["routes"] = [dict(route, name=f"r{n}", prefix=f"/p{n}/") for n in range(routes)]
    return json.dumps(state).encode()


def take_state(count: int) -> Call:
    """Reading a desired state, and its routes' table."""
    row_codec = PlatformRowCodec()
    data = make_state_row(count)

    def call(_number: int) -> None:
        state = row_codec.decode_state_row("op/config", data)
        assert isinstance(state, DesiredState)
        RouteTable(state)

    return call


def hand_on_state(count: int) -> Call:
    """Packing a desired state for others, and unpacking it there."""
    row = DeltaRow("op/config", Revision(2), make_state_row(count))
    position = Position(Era(0), Revision(2))
    return lambda number: pack(Revision(1), position, [row]).unpack()


def place(count: int) -> Call:
    """A place for a request on an object that is new here."""
    zones = {zone_of(number): region_of(number) for number in range(ZONES)}
    settings = make_settings(regions_by_zone=zones, zone=zone_of(0), region=region_of(0))
    targets = [make_target(number, zone=zone_of(number)) for number in range(count)]
    steering = SteeringFixture(*targets, settings=settings).steering
    route = make_route()
    numbers = iter(range(10**9))

    def call(_number: int) -> None:
        key = f"object-{next(numbers)}".encode()
        steering.choose(route, PEDIDOS, key, ()).release()

    return call


def choose_carrier(count: int) -> Call:
    """The entry that carries a request while a third of the entries is cut off."""
    records = []
    for number in range(1, count):
        cut_off_from = (PEDIDOS,) if number % 3 == 0 else ()
        record = make_entry(number)
        records.append(msgspec.structs.replace(record, transit=True, cut_off_from=cut_off_from))
    rng = random.Random(1)
    return lambda number: choose_transit(make_entry(0), records, PEDIDOS, (), {}, (), rng)


ROWS: t.Tuple[t.Tuple[str, t.Callable[[int], Call], t.Tuple[int, ...]], ...] = (
    ("cold share of a target", cold_share, ENTRIES),
    ("rank among readers", rank, ENTRIES),
    ("sum of members", members_sum, ENTRIES),
    ("answer of an entry", reached, ENTRIES),
    ("look-up of a caller", look_up, ENTRIES),
    ("route of a request", find_route, ROUTES),
    ("desired state taken in", take_state, ROUTES),
    ("desired state handed on", hand_on_state, ROUTES),
    ("place of a new object", place, TARGETS),
    ("carrier while cut off", choose_carrier, ENTRIES),
)


def measure(calls: t.Sequence[Call]) -> t.List[float]:
    """Microseconds a call of each, the least of several turns."""
    least = [float("inf")] * len(calls)
    for _ in range(TURNS):
        for index, call in enumerate(calls):
            began = time.process_time_ns()
            for number in range(CALLS):
                call(number)
            spent = (time.process_time_ns() - began) / 1000 / CALLS
            least[index] = min(least[index], spent)
    return least


def main() -> None:
    """Print the table."""
    print(f"{'':28}{'small':>10}{'large':>10}{'largest':>10}{'ratio':>8}")
    for name, make, sizes in ROWS:
        spent = measure([make(size) for size in sizes])
        figures = "".join([f"{figure:10.1f}" for figure in spent])
        print(f"{name:28}{figures}{spent[-1] / spent[0]:8.1f}")


if __name__ == "__main__":
    main()
