"""Even division of a whole number of units among entries, by rendezvous hashing.

An equal division among hundreds of entries would round to nothing. Instead, the entries that come
first by a hash of name and entry get one unit more than the others.
"""

import hashlib
import typing as t

if t.TYPE_CHECKING:
    from ..ids import EntryId


class EvenDivision:
    """This entry's place among the entries that divide units.

    :param entry_id: id of this entry.
    """

    def __init__(self, entry_id: "EntryId") -> None:
        self._entry_id = entry_id
        self._entries: t.Collection["EntryId"] = (entry_id,)
        self._rank_by_name: t.Dict[str, int] = {}

    @property
    def entry_count(self) -> int:
        """Number of entries that divide."""
        return max(1, len(self._entries))

    def set_entries(self, entries: "t.Collection[EntryId]") -> None:
        """Sets the entries that divide, this one included."""
        if entries is self._entries or entries == self._entries:
            return
        self._entries = entries
        self._rank_by_name.clear()

    def part_of(self, name: str, units: int) -> int:
        """Returns how many of the units belong to this entry.

        An entry that counts more entries than others do never gets more by it than its part among
        those that all of them count.

        :param name: what is divided; the order of the entries depends on it.
        """
        part, rest = divmod(units, self.entry_count)
        return part + (1 if rest and self.rank_for(name) < rest else 0)

    def rank_for(self, name: str) -> int:
        """Returns how many entries come before this one by their hashes."""
        # Cached, since each computation hashes all entries.
        rank = self._rank_by_name.get(name)
        if rank is None:
            own_hash = _weight(self._entry_id, name)
            rank = sum(_weight(other, name) < own_hash for other in self._entries)
            self._rank_by_name[name] = rank
        return rank


def _weight(entry_id: "EntryId", name: str) -> bytes:
    return hashlib.blake2b(f"{name}\0{entry_id}".encode(), digest_size=8).digest()
