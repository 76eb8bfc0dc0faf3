"""Messages between entries that steer by a desired state; see :mod:`coralfall.peering.messages`."""

import typing as t

from ..ids import EntryId, Revision
from ..peering.message import Message
from .model import EntryRecord
from .replica import Delta


class News(Message, frozen=True, tag=32):
    """What the sender knows: entries, and how new its rows are; asks for what is newer."""

    records: t.Tuple[EntryRecord, ...]
    state_revision: Revision
    targets_revision: Revision
    #: Seconds since these revisions were known to be the newest.
    state_age_s: float
    targets_age_s: float
    #: What the receiver does not know, if that is known.
    state: t.Optional[Delta] = None
    targets: t.Optional[Delta] = None


class Push(Message, frozen=True, tag=33):
    """News that is not answered, to be handed on to the entries named."""

    news: News
    relay: t.Tuple[EntryId, ...] = ()
