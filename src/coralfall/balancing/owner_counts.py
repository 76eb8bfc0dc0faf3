"""Owner counts: how many slots of a service other entries own, by the roster known here."""

import typing as t

from ..ids import EntryId, RegionId, ServiceId, TargetId
from .ownership import count_by_owner

if t.TYPE_CHECKING:
    from .limits import Limits, TargetLimit

#: Members times targets that one call of :meth:`OwnerCounts.of_service` works through at most.
MEMBERS_PER_CALL = 5000


class OwnerCounts:
    """Works owners out when asked for, and remembers them until roster or limits change.

    :param entry_id: this entry, which is no other.
    """

    def __init__(self, entry_id: EntryId) -> None:
        self._entry_id = entry_id
        self._others: t.Collection[EntryId] = ()
        self._by_target: t.Dict[TargetId, t.Dict[EntryId, int]] = {}

    def set_others(self, others: t.Collection[EntryId]) -> None:
        """Take in the other members of the roster."""
        self._others = others
        self._by_target = {}

    def forget(self, target_id: TargetId) -> None:
        """Work a target's owners out anew, after its limit has changed."""
        self._by_target.pop(target_id, None)

    def of_service(
        self, service: ServiceId, regions: t.Collection[RegionId], limits: "Limits"
    ) -> t.Dict[EntryId, int]:
        """How many slots of the service each other member owns.

        In a large fleet a call works out some targets only, and further calls the others.

        :param regions: regions whose targets count; empty for any.
        """
        counts: t.Dict[EntryId, int] = {}
        unknown = max(1, MEMBERS_PER_CALL // (len(self._others) + 1))
        for target_id, limit in limits.items():
            if limit.service != service or (regions and limit.region not in regions):
                continue
            if target_id not in self._by_target:
                unknown -= 1
                if unknown < 0:
                    continue
            for entry_id, count in self._of_target(target_id, limit).items():
                counts[entry_id] = counts.get(entry_id, 0) + count
        return counts

    def _of_target(self, target_id: TargetId, limit: "TargetLimit") -> t.Dict[EntryId, int]:
        owners = self._by_target.get(target_id)
        if owners is None:
            members = {*self._others, self._entry_id}
            owners = count_by_owner(target_id, min(limit.usable, limit.reserved), members)
            owners.pop(self._entry_id, None)
            self._by_target[target_id] = owners
        return owners
