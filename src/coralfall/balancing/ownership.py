"""Ownership: which member each slot belongs to, by rendezvous hashing.

A slot is a target with an index.  Its owner is the member with the highest score for it, and
the score depends on nothing but the two.  So a bundle moves no slot between entries, entries
that serve under different bundles still agree on every owner, and a member that joins or
leaves moves its own slots only.  An assignment that balances the members' shares is more even,
but each of its choices hangs on all other slots and members; lending evens out what is needed.
"""

import hashlib
import struct
import typing as t

from ..ids import EntryId, TargetId

#: A BLAKE2b digest has 64 bytes, and a score takes 8.
SLOTS_PER_DIGEST = 8

_Scores = t.Tuple[int, ...]
_scores = struct.Struct("<8Q")


def owned_indices(
    target_id: TargetId, slots: int, entry_id: EntryId, others: t.Iterable[EntryId]
) -> t.List[int]:
    """Indices of a target's slots that belong to an entry, in rising order.

    :param slots: how many slots the target has.
    :param others: the other members; an entry that has no others owns all slots.
    """
    owned = []
    for first in range(0, slots, SLOTS_PER_DIGEST):
        last = min(first + SLOTS_PER_DIGEST, slots)
        owned += _won(target_id, range(first, last), entry_id, others)
    return owned


def retained_indices(
    target_id: TargetId, indices: t.Iterable[int], entry_id: EntryId, others: t.Iterable[EntryId]
) -> t.List[int]:
    """Which of the given slots of a target an entry does not lose to any of the others."""
    indices_by_first: t.Dict[int, t.List[int]] = {}
    for index in indices:
        first = index - index % SLOTS_PER_DIGEST
        indices_by_first.setdefault(first, []).append(index)
    won = []
    for block in indices_by_first.values():
        won += _won(target_id, block, entry_id, others)
    return won


def ranked_members(
    target_id: TargetId, index: int, members: t.Iterable[EntryId]
) -> t.List[EntryId]:
    """Members in the order in which they would own a slot, its owner first."""
    place = index % SLOTS_PER_DIGEST
    state = _state(target_id, index - place)
    scored = [(_score(state, entry_id)[place], entry_id) for entry_id in members]
    return [entry_id for _, entry_id in sorted(scored, reverse=True)]


def count_by_owner(
    target_id: TargetId, slots: int, members: t.Iterable[EntryId]
) -> t.Dict[EntryId, int]:
    """How many of a target's slots each member owns; members that own none are left out."""
    counts: t.Dict[EntryId, int] = {}
    members = list(members)
    for first in range(0, slots if members else 0, SLOTS_PER_DIGEST):
        state = _state(target_id, first)
        scored = [(_score(state, entry_id), entry_id) for entry_id in members]
        for place in range(min(SLOTS_PER_DIGEST, slots - first)):
            _, owner = max((score[place], entry_id) for score, entry_id in scored)
            counts[owner] = counts.get(owner, 0) + 1
    return counts


def _won(
    target_id: TargetId,
    indices: t.Sequence[int],
    entry_id: EntryId,
    others: t.Iterable[EntryId],
) -> t.List[int]:
    """As :func:`retained_indices`, for indices that share one digest."""
    first = indices[0] - indices[0] % SLOTS_PER_DIGEST
    state = _state(target_id, first)
    mine = _score(state, entry_id)
    won = [index - first for index in indices]
    for other in others:
        theirs = _score(state, other)
        won = [place for place in won if (mine[place], entry_id) > (theirs[place], other)]
        if not won:
            break
    return [first + place for place in won]


def _state(target_id: TargetId, first: int) -> "hashlib.blake2b":
    return hashlib.blake2b(f"{target_id}\0{first}\0".encode())


def _score(state: "hashlib.blake2b", entry_id: EntryId) -> _Scores:
    hasher = state.copy()
    hasher.update(entry_id.encode())
    return _scores.unpack(hasher.digest())
