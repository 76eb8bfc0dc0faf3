"""The slots that an entry owns, has borrowed, or has lost while they are still in use."""

import typing as t

from ..ids import ServiceId, TargetId
from .slot import Slot, SlotKey, TargetLife

if t.TYPE_CHECKING:
    from .limits import Limits, TargetLimit


class SlotInventory:
    """Slots by target, regardless of whether they may be used now."""

    def __init__(self) -> None:
        self.owned_by_target: t.Dict[TargetId, t.Dict[int, Slot]] = {}
        self._borrowed_by_target: t.Dict[TargetId, t.List[Slot]] = {}
        self._life_by_target: t.Dict[TargetId, TargetLife] = {}
        #: Slots no longer owned that are still held by a request or lent out.
        self.lost_by_key: t.Dict[SlotKey, Slot] = {}
        # Cache, cleared with each change of the inventory.
        self._by_service: t.Dict[ServiceId, t.List[t.Tuple[Slot, TargetLimit]]] = {}

    def life_of(self, target_id: TargetId) -> TargetLife:
        """Returns when a target was last seen alive."""
        life = self._life_by_target.get(target_id)
        if life is None:
            life = self._life_by_target[target_id] = TargetLife()
        return life

    def forget_lives(self, target_ids: t.Container[TargetId]) -> None:
        """Forgets targets other than these."""
        for target_id in list(self._life_by_target):
            if target_id not in target_ids and target_id not in self.owned_by_target:
                del self._life_by_target[target_id]

    def target_ids(self) -> t.Iterable[TargetId]:
        """Returns the targets with an owned or borrowed slot."""
        return {**self.owned_by_target, **self._borrowed_by_target}

    def of_target(self, target_id: TargetId) -> t.List[Slot]:
        """Returns the slots of a target, owned ones first."""
        owned = self.owned_by_target.get(target_id)
        borrowed = self._borrowed_by_target.get(target_id)
        return [*(owned.values() if owned else ()), *(borrowed or ())]

    def of_service(
        self, service: ServiceId, limits: "Limits"
    ) -> "t.List[t.Tuple[Slot, TargetLimit]]":
        """Returns the slots of a service, free or not, with the limits of their targets."""
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
        """Clears the cached slots by service, after limits have changed."""
        self._by_service = {}

    def owned_slot(self, target_id: TargetId, index: int) -> t.Optional[Slot]:
        """Returns an owned slot, or ``None`` if it is not owned."""
        return self.owned_by_target.get(target_id, {}).get(index)

    def add_owned(self, slot: Slot) -> None:
        """Adds an owned slot, which may have been lost before."""
        self.lost_by_key.pop(slot.key, None)
        self.owned_by_target.setdefault(slot.target_id, {})[slot.index] = slot
        self._by_service = {}

    def remove_owned(self, target_id: TargetId, index: int) -> Slot:
        """Removes an owned slot."""
        owned = self.owned_by_target[target_id]
        slot = owned.pop(index)
        self._by_service = {}
        if not owned:
            del self.owned_by_target[target_id]
        return slot

    def add_borrowed(self, slot: Slot) -> None:
        """Adds a borrowed slot."""
        self._borrowed_by_target.setdefault(slot.target_id, []).append(slot)
        self._by_service = {}

    def remove_borrowed(self, slot: Slot) -> None:
        """Removes a borrowed slot."""
        borrowed = self._borrowed_by_target[slot.target_id]
        borrowed.remove(slot)
        self._by_service = {}
        if not borrowed:
            del self._borrowed_by_target[slot.target_id]
