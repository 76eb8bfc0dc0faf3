"""A slot, one unit of a target's capacity, and the rule for when an entry may use it."""

import enum
import typing as t

from .. import defaults
from ..ids import EntryId, TargetId

if t.TYPE_CHECKING:
    from .limits import TargetLimit

INFINITY = float("inf")

#: Target and index, which identify a slot on all entries.
SlotKey = t.Tuple[TargetId, int]


class SlotState(enum.Enum):
    """Whether an entry may use a slot now, and if not, why."""

    FREE = "free"
    #: A request of this entry holds it.
    BUSY = "busy"
    #: Its index is above what the bundles or the target's ramp allow.
    WITHHELD = "withheld"
    #: It was borrowed, and the loan is over.
    LOAN_EXPIRED = "loan-expired"
    #: It is lent to another entry.
    LENT = "lent"
    #: The entry's lease has lapsed.
    UNLEASED = "unleased"
    #: A member that may own it by an older roster has not acknowledged this one.
    UNACKNOWLEDGED = "unacknowledged"
    #: Requests of an earlier owner may still run.
    HANDOVER = "handover"
    #: Requests of others are past their deadlines, but the target was not seen alive since.
    UNPROVED = "unproved"


class TargetLife:
    """When a target was last seen alive; shared by the slots of the target."""

    __slots__ = ("proved_at",)

    def __init__(self) -> None:
        #: Monotonic time at which the latest message was sent that the target has answered.
        self.proved_at = -INFINITY


class Slot:
    """One unit of a target's capacity, owned or borrowed; only the slot table changes it."""

    __slots__ = (
        "blocking_member",
        "busy",
        "index",
        "lent_until",
        "life",
        "loan",
        "prior_dispatch_until",
        "region",
        "runs_until",
        "service",
        "target_id",
        "used_at",
        "valid_until",
    )

    def __init__(
        self,
        target_id: TargetId,
        index: int,
        limit: "TargetLimit",
        life: t.Optional[TargetLife] = None,
    ) -> None:
        self.target_id = target_id
        self.life = life or TargetLife()
        self.index = index
        self.service = limit.service
        self.region = limit.region
        #: Whether a request holds the slot.
        self.busy = False
        #: Monotonic time by which the request that holds the slot must be over.
        self.runs_until = -INFINITY
        #: Monotonic time at which a request last took or released the slot.
        self.used_at = -INFINITY
        #: Last monotonic time at which an earlier owner may have dispatched into the slot.
        self.prior_dispatch_until = -INFINITY
        #: Member that may still own the slot by an older roster.
        self.blocking_member: t.Optional[EntryId] = None
        #: Monotonic time by which the last request of a borrower must be over.
        self.lent_until = -INFINITY
        #: Monotonic time at which the loan of a borrowed slot ends; infinite for an owned slot.
        self.valid_until = INFINITY
        #: Lender and loan id, if the slot is borrowed.
        self.loan: t.Optional[t.Tuple[EntryId, int]] = None

    @property
    def key(self) -> SlotKey:
        """Target and index, which identify the slot on all entries."""
        return self.target_id, self.index

    def __repr__(self) -> str:
        return f"Slot({self.target_id!r}, {self.index})"


def may_use(slot: Slot, limit: "TargetLimit", ceiling: int, now: float, leased: bool) -> bool:
    """Returns whether this entry may use the slot now, busy or not.

    :param ceiling: index below which slots may be used.
    :param leased: whether the entry's lease is valid, which borrowed slots do not need.
    """
    if slot.index >= ceiling or now >= slot.valid_until:
        return False
    if slot.loan is not None:
        return True
    if slot.blocking_member is not None or not leased:
        return False
    ended_by = others_end_by(slot, limit)
    return now >= ended_by + defaults.HANDOVER_MARGIN_S and slot.life.proved_at >= ended_by


def others_end_by(slot: Slot, limit: "TargetLimit") -> float:
    """Returns the last deadline of requests of earlier owners and borrowers of an owned slot.

    A target that is paused goes on serving them after that, until it is seen alive again.
    """
    lent_until = slot.lent_until - defaults.HANDOVER_MARGIN_S
    return max(slot.prior_dispatch_until + limit.timeout_s, lent_until)


def needs_proof(slot: Slot, limit: "TargetLimit", now: float) -> bool:
    """Returns whether only a sign of life of its target is missing for the use of an owned slot."""
    ended_by = others_end_by(slot, limit)
    if slot.blocking_member is not None or now < ended_by + defaults.HANDOVER_MARGIN_S:
        return False
    return slot.life.proved_at < ended_by


def state_of(slot: Slot, limit: "TargetLimit", now: float, leased: bool) -> SlotState:
    """Returns the state of a slot by the rule of :func:`may_use`, for logs.

    :param leased: whether the entry's lease is valid.
    """
    if slot.busy:
        return SlotState.BUSY
    if slot.index >= limit.usable:
        return SlotState.WITHHELD
    if now >= slot.valid_until:
        return SlotState.LOAN_EXPIRED
    if may_use(slot, limit, limit.usable, now, leased):
        return SlotState.FREE
    if slot.blocking_member is not None:
        return SlotState.UNACKNOWLEDGED
    if now < slot.lent_until:
        return SlotState.LENT
    if not leased:
        return SlotState.UNLEASED
    return SlotState.UNPROVED if needs_proof(slot, limit, now) else SlotState.HANDOVER
