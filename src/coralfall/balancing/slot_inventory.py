"""Holdings: the slots that an entry owns, has borrowed, or has lost with something still out."""

import typing as t

from ..ids import ServiceId, TargetId
from .slot import Slot, SlotKey

if t.TYPE_CHECKING:
    from .limits import Limits, TargetLimit


class SlotInventory:
    """Slots by target; they say nothing of whether a slot may be used now."""

    def __init__(self) -> None:
        self.owned_by_target: t.Dict[TargetId, t.Dict[int, Slot]] = {}
        self._borrowed_by_target: t.Dict[TargetId, t.List[Slot]] = {}
        #: Slots owned no longer on which a request or a loan is still out.
        self.lost_by_key: t.Dict[SlotKey, Slot] = {}
        # Worked out when asked for, and forgotten with each change of what is held.
        self._by_service: t.Dict[ServiceId, t.List[t.Tuple[Slot, TargetLimit]]] = {}

    def target_ids(self) -> t.Iterable[TargetId]:
        """Targets of which a slot is owned or borrowed."""
        return {**self.owned_by_target, **self._borrowed_by_target}

    def of_target(self, target_id: TargetId) -> t.List[Slot]:
        """Slots of a target, the owned ones first."""
        owned = self.owned_by_target.get(target_id)
        borrowed = self._borrowed_by_target.get(target_id)
        return [*(owned.values() if owned else ()), *(borrowed or ())]

    def of_service(
        self, service: ServiceId, limits: "Limits"
    ) -> "t.List[t.Tuple[Slot, TargetLimit]]":
        """Slots of a service, free or not, with the limits of their targets."""
        found = self._by_service.get(service)
        if found is not None:
            return found
        found = []
        for target_id in self.target_ids():
            limit = limits.get(target_id)
            if limit is not None and limit.service == service:
                found += [(slot, limit) for slot in self.of_target(target_id)]
        self._by_service[service] = found
        return found

    def clear_service_cache(self) -> None:
        """Work out anew which slots a service has, after limits have changed."""
        self._by_service = {}

    def owned_slot(self, target_id: TargetId, index: int) -> t.Optional[Slot]:
        """An owned slot, or ``None`` if it is not owned."""
        return self.owned_by_target.get(target_id, {}).get(index)

    def add_owned(self, slot: Slot) -> None:
        """Take a slot as owned, lost before or not."""
        self.lost_by_key.pop(slot.key, None)
        self.owned_by_target.setdefault(slot.target_id, {})[slot.index] = slot
        self._by_service = {}

    def remove_owned(self, target_id: TargetId, index: int) -> Slot:
        """Let go of an owned slot."""
        owned = self.owned_by_target[target_id]
        slot = owned.pop(index)
        self._by_service = {}
        if not owned:
            del self.owned_by_target[target_id]
        return slot

    def add_borrowed(self, slot: Slot) -> None:
        """Take a slot as borrowed."""
        self._borrowed_by_target.setdefault(slot.target_id, []).append(slot)
        self._by_service = {}

    def remove_borrowed(self, slot: Slot) -> None:
        """Let go of a borrowed slot."""
        borrowed = self._borrowed_by_target[slot.target_id]
        borrowed.remove(slot)
        self._by_service = {}
        if not borrowed:
            del self._borrowed_by_target[slot.target_id]
