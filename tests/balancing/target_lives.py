"""Targets that are always seen alive, for tests of the other conditions of a slot's use."""

from coralfall.balancing.slot import INFINITY, TargetLife
from coralfall.balancing.slots import SlotTable
from coralfall.ids import TargetId


def let_targets_answer(slots: SlotTable) -> None:
    """Makes all targets of a slot table count as alive at any time; call it before any update."""
    life = TargetLife()
    life.proved_at = INFINITY

    def life_of(_target_id: TargetId) -> TargetLife:
        return life

    slots._inventory.life_of = life_of  # type: ignore[method-assign]
