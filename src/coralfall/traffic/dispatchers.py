"""Chooses the dispatcher of each target: the entry that assigns its slots. No consensus is needed.

Those entries of the target's region whose links are among the widest are ranked by rendezvous
hashing of target and entry. Two entries with different views of the fleet choose different
dispatchers, each of which counts a part of the load; what the target reports corrects both.
"""

import typing as t

from .. import defaults
from ..process import log
from .member import read_order_key, rendezvous_hash

if t.TYPE_CHECKING:
    from ..exceptions import PeerError
    from ..ids import EntryId, Incarnation, RegionId, TargetId
    from ..process.clock import Clock
    from .members import Members
    from .model import EntryRecord, Target
    from .settings import SteerSettings

#: Number of entries of a region that dispatch its targets, if it has that many, and the fraction of
#: the entries of a larger region.
_MIN_DISPATCHERS = 16
_ENTRIES_PER_DISPATCHER = 8
#: Fewest dispatchers of a region, if it has that many entries, and the least width of their links
#: as a fraction of the widest one: on a link of 10 Mbit/s a message waits 50 ms behind an upload of
#: 60 KB, a third of the work of a request.
_LEAST_DISPATCHERS = 2
_MIN_LINK_FRACTION = 0.5
#: Failures in a row after which a dispatcher is unresponsive; one may be a lost packet.
_MAX_FAILURES = 2


class Dispatcher:
    """State of another entry that dispatches targets, as seen from this one.

    :param record: its membership record.
    :param timeout_s: seconds that it has to answer.
    """

    def __init__(self, record: "EntryRecord", timeout_s: float) -> None:
        self.entry_id = record.entry_id
        self.address = record.peer_address
        self.region = record.region
        #: Incarnation of the record; another one is another process.
        self.record_incarnation = record.incarnation
        self.timeout_s = timeout_s
        #: Number of consecutive requests without an answer.
        self.failures = 0
        #: Whether it is not asked until it answers a probe, and when that is sent.
        self.is_unresponsive = False
        self.probe_at = -float("inf")
        #: The lifetime that sent its last answer.
        self.incarnation: t.Optional["Incarnation"] = None

    def is_described_by(self, record: "EntryRecord") -> bool:
        """Whether a record is of the same process."""
        return (record.peer_address, record.incarnation) == (self.address, self.record_incarnation)


class Dispatchers:
    """The dispatchers of each target, and whether they respond.

    :param members: the entries of the fleet.
    :param settings: map zones to regions.
    :param clock: tells the time.
    """

    def __init__(self, members: "Members", settings: "SteerSettings", clock: "Clock") -> None:
        self._members = members
        self._settings = settings
        self._clock = clock
        #: The other entries that dispatch targets and were asked.
        self.by_id: t.Dict["EntryId", Dispatcher] = {}
        self._serving: "t.Sequence[EntryRecord]" = ()
        self._records_by_id: t.Dict["EntryId", "EntryRecord"] = {}
        self._groups_by_region: t.Dict["RegionId", t.List["EntryId"]] = {}
        self._ranks_by_target: t.Dict["TargetId", t.List["EntryId"]] = {}

    def for_target(self, target: "Target") -> "t.Iterator[EntryId]":
        """Yields the dispatchers of a target in the order in which they are asked.

        Those that are unresponsive at the time of the choice are left out.
        """
        self.refresh()
        for entry_id in self._rank(target):
            dispatcher = self.by_id.get(entry_id)
            if dispatcher is None or not dispatcher.is_unresponsive:
                yield entry_id

    def get(self, entry_id: "EntryId") -> t.Optional[Dispatcher]:
        """Returns the state of another entry; ``None`` if it does not serve or is this entry."""
        self.refresh()
        dispatcher = self.by_id.get(entry_id)
        record = self._records_by_id.get(entry_id)
        if dispatcher is None and record is not None:
            near = record.region == self._settings.region
            timeout_s = defaults.DISPATCH_TIMEOUT_S if near else defaults.DISPATCH_FAR_TIMEOUT_S
            dispatcher = self.by_id[entry_id] = Dispatcher(record, timeout_s)
        return dispatcher

    def refresh(self) -> None:
        """Recomputes the groups if the serving entries have changed, and drops those gone."""
        serving = self._members.serving_records()
        if serving is self._serving:
            return
        self._serving = serving
        own_id = self._members.own_record.entry_id
        self._records_by_id = {one.entry_id: one for one in serving if one.entry_id != own_id}
        for entry_id, dispatcher in list(self.by_id.items()):
            record = self._records_by_id.get(entry_id)
            if record is None or not dispatcher.is_described_by(record):
                del self.by_id[entry_id]
        by_region: t.Dict["RegionId", t.List["EntryRecord"]] = {}
        for record in sorted(serving, key=read_order_key):
            by_region.setdefault(record.region, []).append(record)
        groups = {
            region: [record.entry_id for record in _group_of(records)]
            for region, records in by_region.items()
        }
        if groups != self._groups_by_region:
            self._groups_by_region = groups
            self._ranks_by_target.clear()

    def unresponsive_count(self) -> int:
        """Returns how many dispatchers are not asked as they did not answer."""
        return sum(dispatcher.is_unresponsive for dispatcher in self.by_id.values())

    def note_reply(
        self, dispatcher: Dispatcher, incarnation: "Incarnation", dispatches: bool
    ) -> bool:
        """Records an answer; returns whether the process that answered before has ended.

        :param dispatches: whether it answered as a dispatcher; if not, it counts as silent.
        """
        replaced = dispatcher.incarnation not in (None, incarnation)
        dispatcher.incarnation = incarnation
        if not dispatches:
            self._count_failure(dispatcher, "not-dispatcher", _MAX_FAILURES)
            return replaced
        if dispatcher.is_unresponsive:
            log.info("dispatch.answers", dispatcher=dispatcher.entry_id)
        dispatcher.failures = 0
        dispatcher.is_unresponsive = False
        return replaced

    def note_failure(self, dispatcher: Dispatcher, error: "PeerError") -> None:
        """Records that a dispatcher did not answer."""
        refused = isinstance(error.__cause__, ConnectionRefusedError)
        self._count_failure(dispatcher, error.code, 1 if refused else _MAX_FAILURES)

    def _count_failure(self, dispatcher: Dispatcher, code: str, limit: int) -> None:
        """Counts a failure; ``limit`` of them in a row make a dispatcher unresponsive."""
        dispatcher.failures += 1
        dispatcher.probe_at = self._clock.monotonic() + defaults.DISPATCH_COOLDOWN_S
        if dispatcher.is_unresponsive or dispatcher.failures < limit:
            return
        dispatcher.is_unresponsive = True
        log.info(
            "dispatch.silent",
            dispatcher=dispatcher.entry_id,
            failures=dispatcher.failures,
            code=code,
        )

    def _rank(self, target: "Target") -> "t.List[EntryId]":
        rank = self._ranks_by_target.get(target.target_id)
        if rank is None:
            region = self._settings.regions_by_zone.get(target.zone)
            group = self._groups_by_region.get(region, []) if region is not None else []
            rank = sorted(group, key=lambda one: rendezvous_hash(f"slots {target.target_id}", one))
            if len(self._ranks_by_target) >= defaults.MAX_DISPATCH_RANKS:
                self._ranks_by_target.clear()
            self._ranks_by_target[target.target_id] = rank
        return rank


def _group_of(records: "t.Sequence[EntryRecord]") -> "t.Sequence[EntryRecord]":
    """Returns the entries of a region that dispatch its targets.

    :param records: the region's entries, the widest link first.
    """
    min_mbps = records[0].link_mbps * _MIN_LINK_FRACTION
    wide_count = len([record for record in records if record.link_mbps >= min_mbps])
    count = max(_MIN_DISPATCHERS, len(records) // _ENTRIES_PER_DISPATCHER)
    return records[: max(_LEAST_DISPATCHERS, min(count, wide_count))]
