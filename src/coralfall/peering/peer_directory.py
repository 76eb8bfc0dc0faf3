"""Remembers what each peer last said, and which ones failed to answer."""

import typing as t

from .. import defaults
from ..ids import EntryId

if t.TYPE_CHECKING:
    from ..cluster.rows import Member
    from ..process.clock import Clock
    from .messages import Heartbeat


class Heard(t.NamedTuple):
    """The last heartbeat of a peer."""

    heartbeat: "Heartbeat"
    #: Monotonic time at which it came.
    at: float


class PeerDirectory:
    """What is known of the peers that this entry has exchanged messages with.

    :param clock: the VM's clocks.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._heard_by_id: t.Dict[EntryId, Heard] = {}
        self._failed_at_by_id: t.Dict[EntryId, float] = {}

    def hear(self, entry_id: EntryId, heartbeat: "Heartbeat") -> None:
        """Note a heartbeat, whoever asked for it."""
        self._heard_by_id[entry_id] = Heard(heartbeat, self._clock.monotonic())

    def note_answer(self, entry_id: EntryId) -> None:
        """Note that a peer can be reached."""
        self._failed_at_by_id.pop(entry_id, None)

    def note_failure(self, entry_id: EntryId) -> None:
        """Note that a peer did not answer; it is avoided for ``PEER_COOLDOWN_S`` seconds."""
        self._failed_at_by_id[entry_id] = self._clock.monotonic()

    def heard(self, entry_id: EntryId) -> t.Optional[Heard]:
        """The last heartbeat of a peer, if it sent one to this entry."""
        return self._heard_by_id.get(entry_id)

    def avoided(self) -> t.Set[EntryId]:
        """Peers that failed lately."""
        since = self._clock.monotonic() - defaults.PEER_COOLDOWN_S
        return {entry_id for entry_id, at in self._failed_at_by_id.items() if at > since}

    def forget_others(self, members_by_id: t.Mapping[EntryId, "Member"]) -> None:
        """Drop what is known of entries that are not members."""
        for by_id in (self._heard_by_id, self._failed_at_by_id):
            for entry_id in by_id.keys() - members_by_id.keys():
                del by_id[entry_id]

    def best_informed(self, entry_ids: t.Iterable[EntryId]) -> t.List[EntryId]:
        """The ids, those first that know the newest versions, of these those heard last.

        Ids that nothing was heard of come last, in their order; avoided ones are left out.
        """
        avoided = self.avoided()
        candidates = [entry_id for entry_id in entry_ids if entry_id not in avoided]
        candidates.sort(key=self._rank, reverse=True)
        return candidates

    def _rank(self, entry_id: EntryId) -> t.Tuple[int, float]:
        heard = self._heard_by_id.get(entry_id)
        if heard is None:
            return -1, 0.0
        return sum(heard.heartbeat.staged.values()), heard.at
