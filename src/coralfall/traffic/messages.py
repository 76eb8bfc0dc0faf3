"""Messages between entries that steer by a desired state; see :mod:`coralfall.peering.messages`."""

import enum
import typing as t

import msgspec

from ..ids import EntryId, Era, Incarnation, Position, Revision, TargetId
from ..peering.message import Message
from ..placement.buckets import Grant, Limit, LimitKey, SlotGroup
from ..placement.dispatch import (
    AskNumber,
    DispatchAnswer,
    DispatchAsk,
    DispatchRelease,
    ServiceLoad,
)
from ..placement.lifetime import Lifetime
from ..placement.quarantine import Suspect
from ..placement.target_limits import ReportedLimit
from .carried_rows import CarriedRow
from .delta import Delta
from .model import EntryRecord


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """An entry did not answer a probe; it is refuted by a newer version of the entry's record."""

    entry_id: EntryId
    #: Version of the newest record that the suspecting entry knew.
    incarnation: Incarnation
    beat: int
    #: Seconds since the sender began to suspect the entry.
    age_s: float


class GossipMessage(Message, frozen=True, tag=32):
    """Updates that the sender knows, and the revisions of its rows; requests newer ones."""

    #: The sender's own record first, then recently updated ones, or all if requested.
    records: t.Tuple[EntryRecord, ...]
    suspicions: t.Tuple[Suspicion, ...]
    #: See :meth:`.members.Members.checksum`.
    members_sum: int
    #: Whether the answer is to hold the records of all live entries.
    wants_all: bool
    #: Whether the answer is to hold the rows that the sender lacks, and not their revisions alone.
    wants_rows: bool
    state_revision: Revision
    targets_revision: Revision
    #: Times of the store's clock at which these revisions were known to be the newest.
    state_read_s: float
    targets_read_s: float
    #: Upper bound of the store's clock at the time of sending; ``None`` if the sender has none.
    store_s: t.Optional[float] = None
    #: Rows that the receiver lacks, as far as the sender knows its revisions.
    state: t.Optional[Delta] = None
    targets: t.Optional[Delta] = None
    #: Recently suspected requests, or all that matter if the receiver's checksum differs.
    suspects: t.Tuple[Suspect, ...] = ()
    #: See :meth:`..placement.quarantine.Quarantine.sum`.
    suspects_sum: int = 0
    #: Recently changed limits of targets, or all of them if the receiver's checksum differs.
    limits: t.Tuple[ReportedLimit, ...] = ()
    #: See :meth:`..placement.target_limits.TargetLimits.sum`.
    limits_sum: int = 0
    #: Lifetimes of targets that began to leave recently, or of all leaving ones if the receiver's
    #: checksum differs.
    departures: t.Tuple[Lifetime, ...] = ()
    #: See :meth:`..placement.departures.Departures.sum`.
    departures_sum: int = 0
    #: Revision of the entries' rows, when it was known to be the newest, and those rows that the
    #: receiver lacks.
    entries_revision: Revision = Revision(0)
    entries_read_s: float = 0.0
    entries: t.Optional[Delta] = None
    #: Eras of the three revisions; earlier builds send none.
    state_era: Era = Era(0)
    targets_era: Era = Era(0)
    entries_era: Era = Era(0)
    #: Seconds since the newest of these eras was first seen.
    era_age_s: float = 0.0
    #: Rows of earlier eras that the store has lost, if the receiver's checksum differs.
    carried: t.Tuple[CarriedRow, ...] = ()
    #: See :meth:`.state_view.StateView.carried_checksum`.
    carried_sum: int = 0

    @property
    def state_position(self) -> Position:
        """Position of the sender's state rows."""
        return Position(self.state_era, self.state_revision)

    @property
    def targets_position(self) -> Position:
        """Position of the sender's target rows."""
        return Position(self.targets_era, self.targets_revision)

    @property
    def entries_position(self) -> Position:
        """Position of the sender's entry rows."""
        return Position(self.entries_era, self.entries_revision)


class Push(Message, frozen=True, tag=33):
    """A gossip message that is not answered, and that the receiver relays to other entries."""

    news: GossipMessage
    relay: t.Tuple[EntryId, ...] = ()


class TokenRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests tokens of one limit, and returns some that were not used."""

    key: LimitKey
    count: int
    #: Tokens that were granted but whose requests were not sent.
    unused: int
    #: The limit as the sender knows it; the owner's own value takes precedence.
    limit: Limit
    #: Whether the reserved part of the bucket is left for others.
    spare_only: bool = False


class PermitRequest(Message, frozen=True, tag=34):
    """Requests tokens from an owner of limits, and leases shares to it."""

    wants: t.Tuple[TokenRequest, ...]
    #: Slots whose shares are leased, the share of each, and the lease's length in seconds.
    slots: t.Tuple[SlotGroup, ...] = ()
    share: float = 0.0
    seconds: float = 0.0
    #: Time of the owner's clock in the last reply received. Leases run from then, so that one in a
    #: delayed message has expired by the time at which its sender uses the shares itself.
    answered_s: float = 0.0
    #: Incarnation of the owner that sent that reply.
    incarnation: t.Optional[Incarnation] = None


class PermitReply(Message, frozen=True, tag=35):
    """Grants for each token request, in the order of the requests."""

    grants: t.Tuple[Grant, ...]
    #: Time of the owner's clock.
    now_s: float
    #: Whether the owner has stopped granting and has ended all leases that it held.
    closed: bool = False


class DispatchRequest(Message, frozen=True, tag=36):
    """Asks the dispatcher of some targets for slots, and ends assignments and asks."""

    asks: t.Tuple[DispatchAsk, ...] = ()
    releases: t.Tuple[DispatchRelease, ...] = ()
    #: Queued asks that are not needed any more, and assignments whose answer came too late.
    cancels: t.Tuple[AskNumber, ...] = ()


class DispatchReply(Message, frozen=True, tag=37):
    """Answers to the asks of a request, in their order."""

    answers: t.Tuple[DispatchAnswer, ...] = ()
    #: Loads by service; empty if the entry was told recently.
    loads: t.Tuple[ServiceLoad, ...] = ()


class DispatchNotice(Message, frozen=True, tag=38):
    """Answers to asks that were queued; it is not answered itself."""

    answers: t.Tuple[DispatchAnswer, ...]


class ReachRequest(Message, frozen=True, tag=39):
    """Asks whether the receiver can connect to some targets."""

    target_ids: t.Tuple[TargetId, ...]
    #: Seconds for which the sender has failed to; a connection counts that was established since.
    failing_s: float


class ReachReply(Message, frozen=True, tag=40):
    """The targets of a request that the sender can connect to."""

    reached_ids: t.Tuple[TargetId, ...]


class TransitRequest(Message, frozen=True, tag=41):
    """Asks the receiver to exchange one request with a target, at most once.

    The sender has chosen the target and counted the request; the receiver only carries it, and
    never passes it on to another entry.
    """

    #: Identifies the request on its stream.
    number: int
    target: Lifetime
    #: Request line and headers as the target gets them; the receiver updates the time left.
    head: bytes
    body: bytes
    #: Milliseconds until the request's deadline.
    time_left_ms: int
    #: Whether it may be sent on a connection that was used before.
    reusable: bool = False
    #: Whether the answer has no body, whatever its head says.
    bodiless: bool = False


class TransitCancel(Message, frozen=True, tag=42):
    """Ends a request in transit, as its caller has left."""

    number: int


class TransitOutcome(enum.Enum):
    """What became of a request in transit."""

    ANSWERED = "answered"
    #: Nothing was sent to the target.
    NOT_SENT = "not-sent"
    #: The target may have run it.
    UNKNOWN = "unknown"
    #: The target gave no whole answer before the deadline.
    TIMED_OUT = "timed-out"


#: Number of a reply that ends no request, and only tells that its sender lives.
BEAT_NUMBER = 0


class TransitReply(Message, frozen=True, tag=43):
    """The end of a request in transit, or a sign of life while some last."""

    #: Of the request, or ``BEAT_NUMBER``.
    number: int
    outcome: TransitOutcome
    #: The target's answer.
    status: int = 0
    headers: t.Tuple[t.Tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    #: Reason of a request that was not answered, as in the log.
    reason: str = ""
    #: Whether nothing listened at the target's address.
    refused: bool = False
    #: Whether the target's process has ended while it had the request.
    crashed: bool = False
    #: Seconds for which the target accepts no requests from the sender.
    cooldown_s: float = 0.0
