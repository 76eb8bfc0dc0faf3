"""Ownership of slots by rendezvous hashing (highest random weight).

A slot is a target with an index.  Its owner is the member with the highest score for it, and the
score depends only on slot and member.  So a new bundle moves no slot between entries, entries
that serve under different bundles still agree on every owner, and a member that joins or leaves
moves only its own slots.  An assignment that balances the members' shares is more even, but
each of its choices depends on all other slots and members; lending covers uneven shares.
"""

import hashlib
import struct
import typing as t

from ..ids import EntryId, TargetId

#: A BLAKE2b digest has 64 bytes, and a score takes 8.
SLOTS_PER_DIGEST = 8

_Scores = t.Tuple[int, ...]
_SCORES_FORMAT = struct.Struct("<8Q")


def owned_indices(
    target_id: TargetId, slots: int, entry_id: EntryId, others: t.Iterable[EntryId]
) -> t.List[int]:
    """Returns the indices of a target's slots that an entry owns, ascending.

    :param slots: number of slots of the target.
    :param others: the other members; an entry without others owns all slots.
    """
    owned = []
    for first in range(0, slots, SLOTS_PER_DIGEST):
        last = min(first + SLOTS_PER_DIGEST, slots)
        owned += _retained_in_digest(target_id, range(first, last), entry_id, others)
    return owned


def retained_indices(
    target_id: TargetId, indices: t.Iterable[int], entry_id: EntryId, others: t.Iterable[EntryId]
) -> t.List[int]:
    """Returns which of the given slots of a target an entry does not lose to any of the others."""
    indices_by_first: t.Dict[int, t.List[int]] = {}
    for index in indices:
        first = index - index % SLOTS_PER_DIGEST
        indices_by_first.setdefault(first, []).append(index)
    retained = []
    for digest_indices in indices_by_first.values():
        retained += _retained_in_digest(target_id, digest_indices, entry_id, others)
    return retained


def ranked_members(
    target_id: TargetId, index: int, members: t.Iterable[EntryId]
) -> t.List[EntryId]:
    """Returns the members ranked by score for a slot, its owner first."""
    offset = index % SLOTS_PER_DIGEST
    hash_state = _hash_state(target_id, index - offset)
    scored = [(_scores_of(hash_state, entry_id)[offset], entry_id) for entry_id in members]
    return [entry_id for _, entry_id in sorted(scored, reverse=True)]


def count_by_owner(
    target_id: TargetId, slots: int, members: t.Iterable[EntryId]
) -> t.Dict[EntryId, int]:
    """Returns how many of a target's slots each member owns; members that own none are omitted."""
    counts: t.Dict[EntryId, int] = {}
    members = list(members)
    for first in range(0, slots if members else 0, SLOTS_PER_DIGEST):
        hash_state = _hash_state(target_id, first)
        scored = [(_scores_of(hash_state, entry_id), entry_id) for entry_id in members]
        for offset in range(min(SLOTS_PER_DIGEST, slots - first)):
            _, owner = max((score[offset], entry_id) for score, entry_id in scored)
            counts[owner] = counts.get(owner, 0) + 1
    return counts


def _retained_in_digest(
    target_id: TargetId,
    indices: t.Sequence[int],
    entry_id: EntryId,
    others: t.Iterable[EntryId],
) -> t.List[int]:
    """Does the work of :func:`retained_indices` for indices that share one digest."""
    first = indices[0] - indices[0] % SLOTS_PER_DIGEST
    hash_state = _hash_state(target_id, first)
    own_scores = _scores_of(hash_state, entry_id)
    retained = [index - first for index in indices]
    for other in others:
        other_scores = _scores_of(hash_state, other)
        retained = [
            offset
            for offset in retained
            if (own_scores[offset], entry_id) > (other_scores[offset], other)
        ]
        if not retained:
            break
    return [first + offset for offset in retained]


def _hash_state(target_id: TargetId, first: int) -> "hashlib.blake2b":
    return hashlib.blake2b(f"{target_id}\0{first}\0".encode())


def _scores_of(hash_state: "hashlib.blake2b", entry_id: EntryId) -> _Scores:
    hasher = hash_state.copy()
    hasher.update(entry_id.encode())
    return _SCORES_FORMAT.unpack(hasher.digest())
