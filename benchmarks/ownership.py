"""Compares two ways to share slots among entries: plain and balanced rendezvous hashing.

Prints, for services of today's sizes, how uneven the members' shares are and which part of the
slots changes its owner when a member joins, leaves, or a bundle takes one target out.  Seeded
by the names alone; run as ``python -m benchmarks.ownership``.
"""

import statistics
import typing as t

import msgspec

from coralfall.balancing.ownership import ranked_members
from coralfall.ids import EntryId, TargetId

Key = t.Tuple[TargetId, int]
Owners = t.Dict[Key, EntryId]
Assign = t.Callable[[t.Sequence[Key], t.Sequence[EntryId]], Owners]

#: Service, targets and slots of each.
SERVICES = (("mando", 10, 4), ("acopio", 10, 3), ("pedidos", 15, 6), ("catalogo", 20, 6))
MEMBERS = 22
#: Fleets with other names, over which each figure is a mean.
FLEETS = 8


class Shares(msgspec.Struct):
    """One row of the table."""

    #: Slots of the member with the fewest and the most, and members with none.
    least: float
    most: float
    without: float
    #: Share of the slots that change their owner when a member joins, one leaves, a target goes.
    joined: float
    left: float
    target_gone: float


def plain(keys: t.Sequence[Key], members: t.Sequence[EntryId]) -> Owners:
    """The owner is the first in rank."""
    return {key: ranked_members(*key, members)[0] for key in keys}


def balanced(keys: t.Sequence[Key], members: t.Sequence[EntryId]) -> Owners:
    """The owner is the first in rank that does not have its even share yet."""
    most = -(-len(keys) // len(members))
    owners: Owners = {}
    count = dict.fromkeys(members, 0)
    for key in keys:
        for member in ranked_members(*key, members):
            if count[member] < most:
                break
        owners[key] = member
        count[member] += 1
    return owners


def moved(before: Owners, after: Owners) -> float:
    """Share of the slots present in both whose owner differs."""
    both = [key for key in before if key in after]
    return sum(before[key] != after[key] for key in both) / len(both)


def measure(assign: Assign, service: str, targets: int, slots: int) -> Shares:
    """Figures for one service, as means over the fleets."""
    rows = []
    for fleet in range(FLEETS):
        row = _measure_fleet(assign, f"{fleet}-{service}", targets, slots)
        rows.append(msgspec.structs.astuple(row))
    return Shares(*(statistics.fmean(column) for column in zip(*rows, strict=True)))


def _measure_fleet(assign: Assign, service: str, targets: int, slots: int) -> Shares:
    members = [EntryId(f"{service}-entry-{number}") for number in range(MEMBERS)]
    names = [TargetId(f"{service}-{number}") for number in range(targets)]
    keys = [(name, index) for name in names for index in range(slots)]
    owners = assign(keys, members)
    counts = [list(owners.values()).count(member) for member in members]
    left = [moved(owners, assign(keys, [m for m in members if m != gone])) for gone in members]
    target_gone = []
    for gone_target in names:
        remaining = [key for key in keys if key[0] != gone_target]
        target_gone.append(moved(owners, assign(remaining, members)))
    newcomers = [EntryId(f"new-{number}") for number in range(MEMBERS)]
    joined = [moved(owners, assign(keys, [*members, newcomer])) for newcomer in newcomers]
    return Shares(
        min(counts),
        max(counts),
        counts.count(0),
        statistics.fmean(joined),
        statistics.fmean(left),
        statistics.fmean(target_gone),
    )


def main() -> None:
    """Print the table."""
    print(f"{MEMBERS} members; a member's even part is {1 / MEMBERS:.1%}")
    print("service   way       least most without   joined   left  target gone")
    for service, targets, slots in SERVICES:
        for assign in (plain, balanced):
            row = measure(assign, service, targets, slots)
            counts = f"{row.least:5.1f} {row.most:4.1f} {row.without:7.1f}"
            print(
                f"{service:9} {assign.__name__:9} {counts}"
                f"  {row.joined:7.1%} {row.left:6.1%} {row.target_gone:12.1%}"
            )


if __name__ == "__main__":
    main()
