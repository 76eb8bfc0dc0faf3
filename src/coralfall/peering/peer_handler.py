"""What an entry does with the messages of its peers."""

import abc
import typing as t

if t.TYPE_CHECKING:
    from ..cluster.rows import Member
    from ..ids import Digest, EntryId
    from .messages import Heartbeat, Hello, LoanAnswer, LoanRequest, LoanReturn, SyncAnswer


class PeerHandler(abc.ABC):
    """The entry's side of the conversation with its peers.

    All methods run on the loop and must not block it. ``peer`` is what the other side said
    of itself; it holds the fleet's key, but which entry it is, it only claims. Write your
    own::

        class QuietHandler(PeerHandler):
            def members_by_id(self):
                return self.roster.by_id

            def heartbeat(self):
                return Heartbeat(roster_revision=self.roster.revision, ...)

            def on_loan_request(self, peer, request):
                return LoanAnswer(loan_id=0, slots=(), seconds=0.0)
            ...
    """

    @abc.abstractmethod
    def members_by_id(self) -> "t.Mapping[EntryId, Member]":
        """The roster, this entry included or not."""

    @abc.abstractmethod
    def heartbeat(self) -> "Heartbeat":
        """What this entry knows now."""

    @abc.abstractmethod
    def on_heartbeat(
        self, peer: "Hello", heartbeat: "Heartbeat", asked_at: t.Optional[float]
    ) -> None:
        """Take in what a peer knows.

        :param asked_at: monotonic time since when ``heartbeat`` was true, if it answers one
            of ours; ``None`` if the peer sent it by itself, since nobody knows how long it
            was on its way.
        """

    @abc.abstractmethod
    def sync(self) -> "SyncAnswer":
        """This entry's heads and roster."""

    @abc.abstractmethod
    def on_sync(self, peer: "Hello", answer: "SyncAnswer") -> None:
        """Take in a peer's heads, and its roster if ``roster_revision`` is above 0.

        They may be older than what is known here.
        """

    @abc.abstractmethod
    def get_object(self, digest: "Digest") -> t.Optional[bytes]:
        """Bytes of an object that this entry holds."""

    @abc.abstractmethod
    def on_loan_request(self, peer: "Hello", request: "LoanRequest") -> "LoanAnswer":
        """Slots to lend to a peer, none included."""

    @abc.abstractmethod
    def on_loan_return(self, peer: "Hello", loan: "LoanReturn") -> None:
        """Take back slots that a peer will not use again."""
