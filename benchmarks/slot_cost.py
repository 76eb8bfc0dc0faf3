"""Measures what it costs an entry to keep its slots, today and at the letter's size.

Run as ``python -m benchmarks.slot_cost``.  The longest step is the longest time for which the
loop is held.
"""

import time
import typing as t

import msgspec
from tests.bundle_makers import COSECHA, make_bundle, make_target
from tests.members import make_member

from coralfall.balancing.handover import Ack
from coralfall.balancing.limits import CapacityLimits
from coralfall.balancing.slots import SlotTable
from coralfall.cluster.lease import Lease
from coralfall.cluster.roster import Roster
from coralfall.cluster.rows import roster_key
from coralfall.ids import EntryId, Incarnation, Revision, ServiceId
from coralfall.process.clock import ManualClock
from coralfall.settings import LeaseSettings
from coralfall.stores.store import Row

#: Members, and targets of six slots.
SIZES = ((22, 85), (530, 2000))
CALLS = 2000


class Subject:
    """One entry's table amid a fleet of some size."""

    def __init__(self, members: int, targets: int) -> None:
        self.clock = ManualClock()
        settings = LeaseSettings()
        lease = Lease(settings, self.clock)
        lease.renewed(1e9)
        named = {f"t{n}": make_target("sierra", 6, service=f"s{n % 6}") for n in range(targets)}
        bundles = {COSECHA: make_bundle("cosecha", {"sierra": 1_000_000}, named)}
        started = time.perf_counter()
        self.limits = CapacityLimits(self.clock).update(bundles, {}, {}, 0)
        self.limits_s = time.perf_counter() - started
        self.roster = Roster()
        self.members = members
        for number in range(members):
            self.put(f"e{number}", number + 1)
        self.slots = SlotTable(EntryId("e0"), lease, self.clock, settings)

    def put(self, name: str, revision: int, present: bool = True) -> None:
        value = msgspec.msgpack.encode(make_member(name)) if present else None
        self.roster.apply([Row(roster_key(EntryId(name)), value, Revision(revision))])

    def acks(self) -> t.List[Ack]:
        """What all other members say once they know of this one."""
        revision = Revision(self.members)
        names = [EntryId(f"e{number}") for number in range(1, self.members)]
        return [Ack(name, Incarnation(1), revision) for name in names]

    def work(self) -> t.List[float]:
        """Milliseconds of the update and of each step after it."""
        seconds = []
        started = time.perf_counter()
        self.slots.update(self.roster, self.limits)
        seconds.append(time.perf_counter() - started)
        steps = self.slots.update_steps()
        while True:
            started = time.perf_counter()
            if next(steps, self) is self:
                return [value * 1000 for value in seconds]
            seconds.append(time.perf_counter() - started)


def measure(members: int, targets: int) -> None:
    """Print the costs at one size."""
    subject = Subject(members, targets)
    print(f"{members} members, {targets} targets; limits {subject.limits_s * 1000:.1f} ms")
    costs = {"start": subject.work()}
    subject.slots.apply_acks(subject.acks())
    costs["all acknowledge"] = subject.work()
    subject.put("x", members + 1)
    costs["one joins"] = subject.work()
    subject.put("x", members + 2, present=False)
    costs["one leaves"] = subject.work()
    for what, values in costs.items():
        print(f"  {what:16} total {sum(values):7.2f} ms, longest step {max(values):5.2f} ms")
    subject.clock.advance(60)
    started = time.perf_counter()
    for _ in range(CALLS):
        subject.slots.free_by_target(ServiceId("s0"))
    print(f"  free_by_target   {(time.perf_counter() - started) / CALLS * 1e6:.1f} us")


if __name__ == "__main__":
    for size in SIZES:
        measure(*size)
