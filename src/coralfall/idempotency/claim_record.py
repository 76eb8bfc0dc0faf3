"""One idempotency key as an entry sees it: what its row is, and what it is to become."""

import enum
import typing as t

import msgspec

from ..cluster.rows import ClaimRow, ClaimState
from ..ids import Revision
from ..process import log
from ..stores.store import Write

if t.TYPE_CHECKING:
    import asyncio

    from .claims import Claim

ABSENT = Revision(0)


class Verdict(enum.Enum):
    """What a row allows to be done with the one that is wanted in its place."""

    #: Write it, expecting the revision of the row that was judged.
    WRITE = "write"
    #: It is there already.
    WRITTEN = "written"
    #: It is a claim on a key that another claimant has.
    BUSY = "busy"
    #: It is a claim on a key whose command was answered.
    DONE = "done"
    #: It is a claim on a key whose command may have run.
    UNKNOWN = "unknown"
    #: It is a claim on a key that names another command.
    MISMATCH = "mismatch"
    #: It settles a claim that is not there any more.
    MOOT = "moot"


def judge(row: t.Optional[ClaimRow], wanted: ClaimRow) -> Verdict:
    """What may be done to have ``wanted`` in the table.

    A claim counts only once the row bears its own attempt. A row with an earlier attempt of
    the same claimant is written anew, though it says nearly the same: a release of the
    earlier attempt may still be under way, and only a new revision keeps it out.

    :param row: the row as it is, ``None`` if absent.
    :param wanted: the row to have.
    """
    if row is None:
        return Verdict.WRITE
    mine = row.claim_id == wanted.claim_id
    if mine and row.attempt == wanted.attempt and row.state is wanted.state:
        return Verdict.WRITTEN
    if wanted.state is ClaimState.CLAIMED:
        return _judge_claim(row, wanted, mine)
    if mine and row.state in (ClaimState.CLAIMED, ClaimState.RELEASED):
        return Verdict.WRITE
    if wanted.state is ClaimState.RELEASED and row.state is ClaimState.RELEASED:
        # Keeps out a claim that was sent on top of this row and may still arrive.
        return Verdict.WRITE
    return Verdict.MOOT


def _judge_claim(row: ClaimRow, wanted: ClaimRow, mine: bool) -> Verdict:
    if row.state is ClaimState.RELEASED or (mine and row.state is ClaimState.CLAIMED):
        # Nothing was run with the key, so it may also name another command now.
        return Verdict.WRITE
    if row.fingerprint != wanted.fingerprint:
        return Verdict.MISMATCH
    return _BLOCKED_BY_STATE[row.state]


def judge_lost(row: t.Optional[ClaimRow], wanted: ClaimRow) -> Verdict:
    """What may be done to have ``wanted`` in a table that may have lost it.

    Other claimants dispatch nothing until this is over, so it replaces what they have released.
    """
    if row is None or row.state is ClaimState.RELEASED:
        return Verdict.WRITE
    if row.claim_id != wanted.claim_id:
        return Verdict.BUSY if row.state is ClaimState.CLAIMED else Verdict.MOOT
    if row.attempt == wanted.attempt and row.state is wanted.state:
        return Verdict.WRITTEN
    return Verdict.WRITE if row.state is ClaimState.CLAIMED else Verdict.MOOT


_BLOCKED_BY_STATE = {
    ClaimState.CLAIMED: Verdict.BUSY,
    ClaimState.DONE: Verdict.DONE,
    ClaimState.UNKNOWN: Verdict.UNKNOWN,
}


class ClaimRecord:
    """What an entry knows and wants of one key.

    :param key: key of the row.
    :param wanted: the row to have.
    """

    def __init__(self, key: str, wanted: ClaimRow) -> None:
        self.key = key
        self.wanted = wanted
        #: Revision of the row as last seen, ``None`` if it must be read before it is written.
        self.revision: t.Optional[Revision] = ABSENT
        #: The row as last seen.
        self.row: t.Optional[ClaimRow] = None
        #: Whether a write of this record took effect or still may.
        self.touched = False
        #: Whether the table may have lost the row.
        self.may_be_lost = False
        #: Whether the record is part of a transaction under way.
        self.in_flight = False
        #: Whoever waits for the claim.
        self.waiter: "t.Optional[asyncio.Future[t.Any]]" = None
        #: The claim, while its holder may dispatch or has not said what became of it.
        self.held: "t.Optional[Claim]" = None

    def answer_bytes(self) -> int:
        """Bytes of the answer that is to be kept."""
        answer = self.wanted.answer
        return 0 if answer is None else answer.size()

    def verdict(self) -> Verdict:
        """What to do next; the row must have been seen."""
        return (judge_lost if self.may_be_lost else judge)(self.row, self.wanted)

    def write(self) -> Write:
        """The write that makes the row what is wanted."""
        return Write(self.key, msgspec.msgpack.encode(self.wanted), self.revision)

    def observe(self, revision: Revision, row: t.Optional[ClaimRow]) -> None:
        """Take in the row as it is."""
        self.revision = revision
        self.row = row

    def observe_value(self, revision: Revision, value: t.Optional[bytes]) -> None:
        """Take in the row's bytes; a row that can't be read is never written over."""
        if value is None:
            self.observe(ABSENT, None)
            return
        try:
            row = msgspec.msgpack.decode(value, type=ClaimRow)
        except msgspec.DecodeError as error:
            log.error("claims.unreadable", key=self.key, error=error)
            row = msgspec.structs.replace(
                self.wanted, state=ClaimState.UNKNOWN, claim_id="", answer=None
            )
        self.observe(revision, row)

    def doubt(self) -> None:
        """Take in that a write was sent and no answer came."""
        self.revision = None
        self.touched = True
