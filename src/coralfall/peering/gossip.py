"""Decides which peers an entry talks to, and which side of an exchange is behind.

An entry does not talk to all others. It keeps a few *neighbours*, most of them in its own
region and some outside, and exchanges heartbeats with them; each is replaced after a while.
What is new is told to all neighbours at once, who tell theirs. Whoever nobody chose as a
neighbour learns of it by its own next heartbeat, since the answer to one says as much as the
heartbeat itself. In quiet times the neighbours take turns, one in a round.
"""

import typing as t

from .. import defaults
from ..ids import EntryId, RegionId

if t.TYPE_CHECKING:
    import random as random_module

    from ..cluster.rows import Member
    from .messages import Heartbeat

MembersById = t.Mapping[EntryId, "Member"]


class Shape(t.NamedTuple):
    """How many neighbours an entry has, and for how long."""

    #: Neighbours at a time.
    fanout: int = defaults.HEARTBEAT_FANOUT
    #: How many of them are of another region.
    outside: int = defaults.HEARTBEAT_REMOTE_FANOUT
    #: Rounds for which a neighbour is kept.
    rounds: int = defaults.NEIGHBOUR_ROUNDS


DEFAULT_SHAPE = Shape()


class Lag(t.NamedTuple):
    """In what one side of an exchange is behind the other."""

    heads: bool
    roster: bool


class Neighbours:
    """The entries that this entry exchanges heartbeats with.

    :param entry_id: this entry.
    :param region: its region.
    :param random: the source of choice.
    :param shape: how many, and for how long.
    """

    def __init__(
        self,
        entry_id: EntryId,
        region: RegionId,
        random: "random_module.Random",
        shape: Shape = DEFAULT_SHAPE,
    ) -> None:
        self._entry_id = entry_id
        self._region = region
        self._random = random
        self._shape = shape
        self._round = 0
        #: Ids in the order in which they were chosen.
        self.entry_ids: t.Tuple[EntryId, ...] = ()

    def next_round(
        self,
        members_by_id: MembersById,
        avoid: t.Collection[EntryId] = (),
        all_at_once: bool = True,
    ) -> t.Tuple[EntryId, ...]:
        """Whom to exchange heartbeats with in this round.

        :param members_by_id: the roster.
        :param avoid: entries that did not answer lately; taken only if there are no others.
        :param all_at_once: whether all neighbours are wanted, or the one whose turn it is.
        """
        kept = [entry_id for entry_id in self.entry_ids if entry_id not in avoid]
        if self._is_replacement_due():
            kept = kept[1:]
        self._round += 1
        others_by_id = {**members_by_id}
        others_by_id.pop(self._entry_id, None)
        self.entry_ids = choose_neighbours(
            self._region, others_by_id, kept, avoid, self._random, self._shape
        )
        if all_at_once or not self.entry_ids:
            return self.entry_ids
        turn = self._round % len(self.entry_ids)
        return self.entry_ids[turn : turn + 1]

    def _is_replacement_due(self) -> bool:
        interval = max(1, self._shape.rounds // self._shape.fanout)
        return self._round % interval == interval - 1


def choose_neighbours(
    region: RegionId,
    others_by_id: MembersById,
    kept: t.Sequence[EntryId],
    avoid: t.Collection[EntryId],
    random: "random_module.Random",
    shape: Shape,
) -> t.Tuple[EntryId, ...]:
    """Neighbours out of the other members: those kept, and as many new ones as are missing.

    If a region has too few members for its share, members of the other kind fill up; if all
    that are left are to be avoided, they are taken nevertheless.

    :param region: region of the entry that chooses.
    :param others_by_id: the roster without that entry.
    :param kept: neighbours so far that are to stay if they still are members.
    """
    chosen = [entry_id for entry_id in kept if entry_id in others_by_id]
    if len(chosen) >= min(shape.fanout, len(others_by_id)):
        return tuple(chosen[: shape.fanout])
    inside, outside = _split(region, others_by_id, set(chosen), avoid)
    if not chosen and not inside and not outside:
        inside, outside = _split(region, others_by_id, set(), ())
    random.shuffle(inside)
    random.shuffle(outside)
    outside_kept = sum(1 for entry_id in chosen if others_by_id[entry_id].region != region)
    missing = shape.fanout - len(chosen)
    chosen += _take(outside, min(missing, shape.outside - outside_kept))
    chosen += _take(outside + inside, shape.fanout - len(chosen))
    return tuple(chosen)


def _split(
    region: RegionId,
    others_by_id: MembersById,
    chosen: t.Collection[EntryId],
    avoid: t.Collection[EntryId],
) -> t.Tuple[t.List[EntryId], t.List[EntryId]]:
    inside = []
    outside = []
    for entry_id, member in others_by_id.items():
        if entry_id in chosen or entry_id in avoid:
            continue
        if member.region == region:
            inside.append(entry_id)
            continue
        outside.append(entry_id)
    return inside, outside


def _take(candidates: t.List[EntryId], count: int) -> t.List[EntryId]:
    """Up to ``count`` ids, removed from the end of ``candidates``."""
    taken: t.List[EntryId] = []
    while candidates and len(taken) < count:
        taken.append(candidates.pop())
    return taken


def lag(ours: "Heartbeat", theirs: "Heartbeat") -> Lag:
    """In what the sender of ``ours`` is behind the sender of ``theirs``.

    A roster is read from the table while the table answers, in changes; from a peer it would
    come whole, so it counts only when the table has been silent for a while.
    """
    heads = _is_older(ours.accepted, theirs.accepted) or _is_older(ours.staged, theirs.staged)
    silent = ours.platform_age_s >= defaults.PEER_ROSTER_FALLBACK_S
    return Lag(heads=heads, roster=silent and ours.roster_revision < theirs.roster_revision)


def _is_older(ours: t.Mapping[t.Any, int], theirs: t.Mapping[t.Any, int]) -> bool:
    return any(version > ours.get(partner, 0) for partner, version in theirs.items())
