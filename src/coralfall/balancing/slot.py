"""One slot: a unit of a target's capacity, and when an entry may use it."""

import typing as t

from .. import defaults
from ..ids import EntryId, TargetId

if t.TYPE_CHECKING:
    from .limits import TargetLimit

INFINITY = float("inf")

#: Target and index: what all entries call a slot by.
SlotKey = t.Tuple[TargetId, int]


class Slot:
    """One unit of a target's capacity, owned or borrowed; only the slot table changes it."""

    __slots__ = (
        "blocker",
        "busy",
        "index",
        "lent_until",
        "loan",
        "region",
        "rests_from",
        "runs_until",
        "service",
        "target_id",
        "used_at",
        "valid_until",
    )

    def __init__(self, target_id: TargetId, index: int, limit: "TargetLimit") -> None:
        self.target_id = target_id
        self.index = index
        self.service = limit.service
        self.region = limit.region
        #: Whether a request holds it.
        self.busy = False
        #: When the request that holds it must be over.
        self.runs_until = -INFINITY
        #: When a request last took it or gave it back.
        self.used_at = -INFINITY
        #: Last moment at which an earlier owner may have dispatched into it.
        self.rests_from = -INFINITY
        #: Member that may still own it by an older roster.
        self.blocker: t.Optional[EntryId] = None
        #: When the last request of a borrower must be over.
        self.lent_until = -INFINITY
        #: End of a borrowed slot's time; an owned slot has none.
        self.valid_until = INFINITY
        #: Lender and number of the loan, if it is borrowed.
        self.loan: t.Optional[t.Tuple[EntryId, int]] = None

    @property
    def key(self) -> SlotKey:
        """What all entries call it by."""
        return self.target_id, self.index

    def __repr__(self) -> str:
        return f"Slot({self.target_id!r}, {self.index})"


def may_use(slot: Slot, limit: "TargetLimit", ceiling: int, now: float, leased: bool) -> bool:
    """Whether the slot is this entry's to use now, busy or not.

    :param leased: whether the entry's lease counts, which borrowed slots do not need.
    """
    if slot.index >= ceiling or now >= slot.valid_until:
        return False
    if slot.loan is not None:
        return True
    if slot.blocker is not None or now < slot.lent_until or not leased:
        return False
    return now >= slot.rests_from + limit.timeout_s + defaults.HANDOVER_MARGIN_S
