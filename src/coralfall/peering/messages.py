"""Messages between entries: one typed class each, told apart by a tag on the wire.

On the wire a message is an array, its tag first, then its fields in the order below. So a new
field goes last and has a default, and a tag or field that was in use never means anything else.
"""

import typing as t

import msgspec

from .. import defaults
from ..bundles.bundle import Head
from ..cluster.rows import Member
from ..ids import (
    BundleVersion,
    Digest,
    EntryId,
    Incarnation,
    PartnerId,
    RegionId,
    Revision,
    ServiceId,
    TargetId,
)
from ..traffic.messages import (
    DispatchNotice,
    DispatchReply,
    DispatchRequest,
    GossipMessage,
    PermitReply,
    PermitRequest,
    Push,
    ReachReply,
    ReachRequest,
    TransitCancel,
    TransitReply,
    TransitRequest,
)
from .message import Message as Message


class Hello(Message, frozen=True, tag=1):
    """First message of either side of a stream."""

    entry_id: EntryId
    incarnation: Incarnation
    protocol: int = defaults.PEER_PROTOCOL


class Heartbeat(Message, frozen=True, tag=2):
    """What the sender knows, so that the receiver can tell who is behind."""

    #: Revision of the last roster change the sender has applied.
    roster_revision: Revision
    #: Versions that the sender knows to be accepted, by partner.
    accepted: t.Dict[PartnerId, BundleVersion]
    #: Versions that the sender holds staged, by partner.
    staged: t.Dict[PartnerId, BundleVersion]
    #: Seconds since the platform last answered the sender.
    platform_age_s: float
    #: Sender's estimate of the platform's wall time.
    platform_now: float
    #: Slots the sender could lend, by service.
    idle: t.Dict[ServiceId, int] = {}
    #: Revision of the roster by which the sender uses slots, if it is not the one above.
    acknowledged: t.Optional[Revision] = None


class SyncRequest(Message, frozen=True, tag=3):
    """Asks for the peer's heads, and for its roster if wanted."""

    roster: bool = False


class SyncAnswer(Message, frozen=True, tag=4):
    """The sender's heads and roster as it knows them; revision 0 stands for "no roster"."""

    heads: t.Tuple[Head, ...]
    members: t.Tuple[Member, ...]
    roster_revision: Revision
    platform_now: float


class ObjectRequest(Message, frozen=True, tag=5):
    """Asks for an object that the object store may be unable to give."""

    digest: Digest


class ObjectAnswer(Message, frozen=True, tag=6):
    """The object's bytes, or ``None`` if the sender does not hold it."""

    digest: Digest
    data: t.Optional[bytes] = None


class LoanRequest(Message, frozen=True, tag=7):
    """Asks an owner to lend slots of a service."""

    service: ServiceId
    count: int
    #: Regions whose targets are wanted; empty for any.
    regions: t.Tuple[RegionId, ...] = ()
    #: Whether requests of callers wait for the slots.
    waiting: bool = False
    #: Whether only slots that the receiver has borrowed from the sender are wanted.
    recall: bool = False


class LentSlot(msgspec.Struct, frozen=True, array_like=True):
    """Names a slot of a target."""

    target: TargetId
    index: int


class LoanReturn(Message, frozen=True, tag=9):
    """Slots of a loan that the sender will not use again; nothing runs on them."""

    loan_id: int
    slots: t.Tuple[LentSlot, ...]


class LoanAnswer(Message, frozen=True, tag=8):
    """Slots that the receiver may use for ``seconds`` after it sent its request."""

    loan_id: int
    slots: t.Tuple[LentSlot, ...]
    seconds: float
    #: Slots of the receiver that the sender had borrowed and gives back with this answer.
    returns: t.Tuple[LoanReturn, ...] = ()
    #: Whether the sender calls slots back that others have borrowed, and may be asked again soon.
    recalling: bool = False


AnyMessage = t.Union[
    Hello,
    Heartbeat,
    SyncRequest,
    SyncAnswer,
    ObjectRequest,
    ObjectAnswer,
    LoanRequest,
    LoanAnswer,
    LoanReturn,
    GossipMessage,
    Push,
    PermitRequest,
    PermitReply,
    DispatchRequest,
    DispatchReply,
    DispatchNotice,
    ReachRequest,
    ReachReply,
    TransitRequest,
    TransitCancel,
    TransitReply,
]
