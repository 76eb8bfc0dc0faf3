"""Messages between entries that steer by a desired state; see :mod:`coralfall.peering.messages`."""

import typing as t

import msgspec

from ..ids import EntryId, Incarnation, Revision
from ..peering.message import Message
from ..placement.buckets import Grant, Limit, LimitKey, SlotGroup
from ..placement.lifetime import Lifetime
from ..placement.quarantine import Suspect
from ..placement.target_limits import ReportedLimit
from .delta import Delta
from .model import EntryRecord


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Somebody asked an entry, which last said this of itself, and got no answer."""

    entry_id: EntryId
    incarnation: Incarnation
    beat: int
    #: Seconds since its sender began to suspect it.
    age_s: float


class GossipMessage(Message, frozen=True, tag=32):
    """What the sender knows: entries, and how new its rows are; asks for what is newer."""

    #: The sender's own first, then those that are news, or all if the receiver asked for them.
    records: t.Tuple[EntryRecord, ...]
    suspicions: t.Tuple[Suspicion, ...]
    #: See :meth:`.members.Members.sum`.
    members_sum: int
    #: Whether the sender wants to be told of all entries.
    wants_all: bool
    #: Whether the sender wants the rows that it lacks, and not only to know that there are some.
    wants_rows: bool
    state_revision: Revision
    targets_revision: Revision
    #: Times of the store's clock at which these revisions were known to be the newest.
    state_read_s: float
    targets_read_s: float
    #: What the store's clock may show at the most when this is sent, if the sender knows it.
    store_s: t.Optional[float] = None
    #: What the receiver does not know, if that is known.
    state: t.Optional[Delta] = None
    targets: t.Optional[Delta] = None
    #: Suspected requests that are news, or all that matter if the receiver's sum is another one.
    suspects: t.Tuple[Suspect, ...] = ()
    #: See :meth:`..placement.quarantine.Quarantine.sum`.
    suspects_sum: int = 0
    #: Limits of targets that are news, or all if the receiver's sum is another one.
    limits: t.Tuple[ReportedLimit, ...] = ()
    #: See :meth:`..placement.target_limits.TargetLimits.sum`.
    limits_sum: int = 0
    #: Targets' lifetimes that leave, as far as they are news, or all if the receiver's sum is
    #: another one.
    departures: t.Tuple[Lifetime, ...] = ()
    #: See :meth:`..placement.departures.Departures.sum`.
    departures_sum: int = 0


class Push(Message, frozen=True, tag=33):
    """News that is not answered, to be handed on to the entries named."""

    news: GossipMessage
    relay: t.Tuple[EntryId, ...] = ()


class TokenRequest(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one limit that the sender asks for, and some that it returns."""

    key: LimitKey
    count: int
    #: Tokens that were granted and whose requests were not sent.
    unused: int
    #: The limit as the sender knows it; the owner's own knowledge goes first.
    limit: Limit
    #: Whether the reserved part of the bucket stays for others.
    spare_only: bool = False


class PermitRequest(Message, frozen=True, tag=34):
    """Asks an owner of limits for tokens, and leases it shares."""

    wants: t.Tuple[TokenRequest, ...]
    #: Slots whose shares are leased, the share of each, and for how many seconds.
    slots: t.Tuple[SlotGroup, ...] = ()
    share: float = 0.0
    seconds: float = 0.0
    #: What the owner's clock showed in the reply that the sender got last. Leases count from
    #: then, so that a message that took long leases nothing that its sender uses itself by now.
    answered_s: float = 0.0
    #: Lifetime of the owner that sent that reply.
    incarnation: t.Optional[Incarnation] = None


class PermitReply(Message, frozen=True, tag=35):
    """What the owner grants of each want, in their order."""

    grants: t.Tuple[Grant, ...]
    #: What the owner's clock shows.
    now_s: float
    #: Whether it grants nothing any more, and has ended all leases that it held.
    closed: bool = False
