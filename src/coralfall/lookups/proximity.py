"""Proximity: which entries are near a site, and in which order a caller should try them."""

import functools
import hashlib
import heapq
import typing as t

from .. import defaults
from ..bundles.bundle import Site
from ..cluster.rows import Member
from ..ids import EntryId, EntryState, RegionId, SiteId, ZoneId

#: Entries outside the zone among which the callers of one site are spread.
MAX_BACKUPS = 16

# Scores have 30 bits: Python keeps such integers in one machine word, and reckons faster.
_BITS = 30
_MASK = (1 << _BITS) - 1
# Odd multiplier of Fibonacci hashing: 2**64 divided by the golden ratio.
_MULTIPLIER = 0x9E3779B97F4A7C15
_LONG_BITS = 64
_LONG_MASK = (1 << _LONG_BITS) - 1
_CACHED_SEEDS = 4096


class Candidate(t.NamedTuple):
    """An entry that a look-up may name."""

    #: Odd number drawn from the entry's id.
    seed: int
    address: str


class Group(t.NamedTuple):
    """Entries that are equally near, and how many of them an answer names."""

    candidates: t.Tuple[Candidate, ...]
    named: int


#: What a look-up names, nearest first.
Plan = t.Tuple[Group, ...]


class Proximity:
    """The entries that look-ups may name, grouped by where they are.

    :param members_by_id: the roster; members that are leaving are passed over.
    :param unsuitable: other entries that are not to be named.
    """

    def __init__(
        self,
        members_by_id: t.Mapping[EntryId, Member],
        unsuitable: t.Container[EntryId] = frozenset(),
    ) -> None:
        self._suitable: t.List[Member] = []
        self._by_site: t.Dict[SiteId, t.List[Member]] = {}
        self._by_zone: t.Dict[ZoneId, t.List[Member]] = {}
        self._by_region: t.Dict[RegionId, t.List[Member]] = {}
        for entry_id, member in members_by_id.items():
            if member.state is not EntryState.SERVING or entry_id in unsuitable:
                continue
            self._suitable.append(member)
            self._by_site.setdefault(member.site, []).append(member)
            self._by_zone.setdefault(member.zone, []).append(member)
            self._by_region.setdefault(member.region, []).append(member)

    def plan(self, site_id: SiteId, site: Site) -> Plan:
        """Which entries answers for a site name.

        Entries of the site come first, then those of its zone, its region, and all others.
        If the site's zone and others have entries, the last place goes to one outside it, so
        that the loss of the zone leaves each caller an entry that it knows.
        """
        at_site = self._by_site.get(site_id, [])
        in_zone = _without(self._by_zone.get(site.zone, []), at_site)
        near = at_site + in_zone
        in_region = _without(self._by_region.get(site.region, []), near)
        elsewhere = _without(self._suitable, near + in_region)
        near_room = defaults.MAX_LOOKUP_ENTRIES
        if in_region or elsewhere:
            near_room -= 1
        groups = _take([at_site, in_zone], near_room)
        room = defaults.MAX_LOOKUP_ENTRIES - sum(group.named for group in groups)
        # With no entry near these carry the site's callers, and all of them share the load.
        sample_for = site_id if near else None
        return (*groups, *_take([in_region, elsewhere], room, sample_for))

    def plan_anywhere(self) -> Plan:
        """Which entries answers name if the bundle states no site: all are equally near."""
        return _take([self._suitable], defaults.MAX_LOOKUP_ENTRIES)


def order_entries(plan: Plan, client: int) -> t.Tuple[str, ...]:
    """Addresses of the entries that a caller should try, in order.

    Equally near entries are ordered by rendezvous hashing: callers spread evenly over the
    first place and, without the first, over the second; one caller always gets the same order;
    and an entry that comes or goes changes the order of those callers alone that it serves.

    :param plan: from :meth:`Proximity.plan`.
    :param client: from :func:`client_hash`.
    """
    addresses: t.List[str] = []
    for candidates, named in plan:
        # As in _score, written out: this runs for each look-up.
        scored = [((client * seed) & _MASK, address) for seed, address in candidates]
        if named == 1:
            addresses.append(max(scored)[1])
            continue
        scored.sort(reverse=True)
        for _, address in scored[:named]:
            addresses.append(address)
    return tuple(addresses)


def client_hash(network: int) -> int:
    """30 well-mixed bits of a caller's network."""
    mixed = ((network + 1) * _MULTIPLIER) & _LONG_MASK
    mixed ^= mixed >> (_LONG_BITS // 2)
    return ((mixed * _MULTIPLIER) & _LONG_MASK) >> (_LONG_BITS - _BITS)


def _take(
    groups: t.Sequence[t.Sequence[Member]], room: int, sample_for: t.Optional[SiteId] = None
) -> Plan:
    taken = []
    for members in groups:
        named = min(len(members), room)
        if named == 0:
            continue
        if sample_for is not None:
            members = _sample(members, sample_for)
        taken.append(Group(tuple(_candidate(member) for member in members), named))
        room -= named
    return tuple(taken)


def _sample(members: t.Sequence[Member], site_id: SiteId) -> t.Sequence[Member]:
    """A few of many members, others for other sites; scoring all of them would cost too much."""
    if len(members) <= MAX_BACKUPS:
        return members
    site_seed = _seed(site_id)
    return heapq.nlargest(
        MAX_BACKUPS, members, key=lambda member: _score(site_seed, _seed(member.entry_id))
    )


def _candidate(member: Member) -> Candidate:
    return Candidate(_seed(member.entry_id), member.caller_address)


@functools.lru_cache(maxsize=_CACHED_SEEDS)
def _seed(name: str) -> int:
    digest = hashlib.blake2b(name.encode()).digest()
    # Odd, so that multiplying by it loses no bit.
    return int.from_bytes(digest, "big") & _MASK | 1


def _score(key: int, seed: int) -> int:
    return (key * seed) & _MASK


def _without(members: t.Sequence[Member], others: t.Sequence[Member]) -> t.List[Member]:
    left_out = {member.entry_id for member in others}
    return [member for member in members if member.entry_id not in left_out]
