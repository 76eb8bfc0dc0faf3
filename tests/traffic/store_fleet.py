"""Entries on virtual time that follow a store which may come back from an older copy."""

import asyncio
import functools
import random
import typing as t

import msgspec

from coralfall.exceptions import HistoryLostError, PlatformUnavailableError
from coralfall.ids import Era, Position, Revision, TargetId
from coralfall.placement.targets import TargetState
from coralfall.process.clock import Clock
from coralfall.stores.store import Changes, Feed, Row
from coralfall.traffic.follower import Follower
from coralfall.traffic.messages import GossipMessage
from coralfall.traffic.poll_intervals import PollIntervals, poll_intervals_for
from coralfall.traffic.start_gate import StartGate
from tests.traffic.entry_fixture import EntryFixture, JsonRowCodec
from tests.traffic.makers import make_state, make_target

#: Seconds within which a change has to be in force at all entries.
BOUND_S = 2.5
#: Seconds between two writes of a target's row.
BEAT_S = 1.0
_ROUND_S = 0.4
_PARTNERS = 2
_ENTRIES_PACE = PollIntervals(interval_s=2.0, stale_s=3.0, rank_s=0.5, max_rank_s=1.0)


class StoreCopy(t.NamedTuple):
    """Rows and counter of a store at some moment."""

    rows: t.Dict[str, Row]
    revision: int


class EraStore:
    """A store in memory; all its calls count.

    :param clock: the entries' clock; the store's own is 5000 s ahead of it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.rows: t.Dict[str, Row] = {}
        self.revision = 0
        self.era = Era(1)
        self.down = False
        #: Monotonic times of all calls.
        self.called_at: t.List[float] = []

    def put(self, key: str, value: t.Any) -> None:
        """Writes a row; ``None`` deletes it."""
        assert not self.down
        self.revision += 1
        data = None if value is None else msgspec.json.encode(value)
        self.rows[key] = Row(key, data, Revision(self.revision))

    def value(self, key: str) -> t.Any:
        """Returns a row's value, ``None`` if there is no such row."""
        row = self.rows.get(key)
        return None if row is None or row.value is None else msgspec.json.decode(row.value)

    def copy(self) -> StoreCopy:
        return StoreCopy(dict(self.rows), self.revision)

    def restore(self, copy: StoreCopy, begins_era: bool = True) -> None:
        self.rows, self.revision = dict(copy.rows), copy.revision
        self.era = Era(self.era + begins_era)

    def snapshot(self, prefix: str) -> Changes:
        self._count_call()
        return self._changes(prefix, 0, deleted=False)

    def changes(self, prefix: str, since: Revision) -> Changes:
        self._count_call()
        if since > self.revision:
            raise HistoryLostError("never had that revision")
        return self._changes(prefix, since, deleted=True)

    def written_since(self, prefix: str, since: Revision) -> bool:
        return any(row.revision > since for row in self.rows.values() if row.key.startswith(prefix))

    def _count_call(self) -> None:
        self.called_at.append(self._clock.monotonic())
        if self.down:
            raise PlatformUnavailableError("away")

    def _changes(self, prefix: str, since: int, deleted: bool) -> Changes:
        rows = [row for row in self.rows.values() if row.key.startswith(prefix)]
        rows = [row for row in rows if row.revision > since and (deleted or row.value is not None)]
        rows.sort(key=lambda row: row.revision)
        now = self._clock.monotonic() + 5000.0
        return Changes(tuple(rows), Revision(self.revision), now, era=self.era)


class EntryFeed(Feed):
    """The store as one entry reaches it.

    :param answer_s: seconds until an answer arrives, after it was made.
    """

    def __init__(self, store: EraStore, answer_s: t.Callable[[], float]) -> None:
        self._store = store
        self._answer_s = answer_s
        self.cut_off = False

    async def snapshot(self, prefix: str) -> Changes:
        self._check()
        changes = self._store.snapshot(prefix)
        await asyncio.sleep(self._answer_s())
        self._check()
        return changes

    async def follow(self, prefix: str, since: Revision, wait_s: float) -> Changes:
        self._check()
        until = asyncio.get_running_loop().time() + wait_s
        era = self._store.era
        while asyncio.get_running_loop().time() < until:
            if self._store.down or self._store.era != era:
                raise PlatformUnavailableError("connection lost")
            if since > self._store.revision or self._store.written_since(prefix, since):
                break
            await asyncio.sleep(0.02)
        changes = self._store.changes(prefix, since)
        await asyncio.sleep(self._answer_s())
        self._check()
        return changes

    def _check(self) -> None:
        if self.cut_off:
            raise PlatformUnavailableError("cut off from the store")


class StoreEntry:
    """One entry: its rows, and the followers that read them."""

    def __init__(self, fleet: "StoreFleet", name: str, seed: int) -> None:
        self.name = name
        self.fixture = EntryFixture(name, fleet.clock, seed)
        self.feed = EntryFeed(fleet.store, fleet.answer_s)
        self.cut_from_peers = False
        #: Highest version that was ever in force, and lowest one that followed it.
        self.highest_version = 0
        self.reverted_to: t.Optional[int] = None
        #: Keys of rows of which it has what their writers said last.
        self.settled_keys: t.Set[str] = set()
        #: Keys of targets that it once knew to be ready.
        self.ready_keys: t.Set[str] = set()
        self.gate = StartGate(self.fixture.state_view, self.fixture.members, fleet.clock)
        self._fleet = fleet
        self._tasks: t.List["asyncio.Task[None]"] = []
        self._inbox: t.List[t.Callable[[], None]] = []
        self.paused = False

    @property
    def version(self) -> int:
        return self.fixture.state_view.version

    @property
    def is_in_touch(self) -> bool:
        return not (self.paused or self.feed.cut_off or self.cut_from_peers)

    def uses(self, target_id: str) -> bool:
        """Whether requests may be sent to a target."""
        targets = self.fixture.steered.targets
        state = targets.by_id.get(TargetId(target_id))
        return state is not None and targets.may_use(state)

    def state_of(self, target_id: str) -> t.Optional[TargetState]:
        return self.fixture.steered.targets.by_id.get(TargetId(target_id))

    def start(self) -> None:
        fixture = self.fixture
        view = fixture.state_view
        view.on_state = self._note_version
        shared = (
            self.feed,
            fixture.members,
            fixture.clock,
            view.store_clock,
            random.Random(self.name),
        )
        pace = poll_intervals_for(BOUND_S)
        followers = [
            Follower(
                JsonRowCodec.state_prefix,
                view.state_rows,
                *shared,
                pace=pace,
                long_poll=True,
                before_apply=lambda age_s: None,
                on_changed=view.apply_state_changes,
                push_since=functools.partial(self._fleet.push_state, self),
                initial_wait_s=0.5,
            ),
            Follower(
                JsonRowCodec.target_prefix,
                view.target_rows,
                *shared,
                pace=pace,
                long_poll=False,
                before_apply=view.note_outage,
                on_changed=view.apply_target_changes,
                push_since=functools.partial(self._fleet.push_targets, self),
                initial_wait_s=0.5,
            ),
            Follower(
                JsonRowCodec.entry_prefix,
                view.entry_rows,
                *shared,
                pace=_ENTRIES_PACE,
                long_poll=False,
                before_apply=lambda age_s: None,
                on_changed=lambda keys: None,
                push_since=lambda since: None,
                initial_wait_s=0.5,
                min_backoff_s=2.0,
            ),
        ]
        self._tasks = [asyncio.create_task(follower.run()) for follower in followers]
        self._tasks.append(asyncio.create_task(self._tick()))

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    def pause(self) -> None:
        """Stands still: messages wait, and reads are lost."""
        self.paused = True
        self.stop()

    def resume(self) -> None:
        self.paused = False
        for work in self._inbox:
            work()
        self._inbox.clear()
        self.start()

    def deliver(self, work: t.Callable[[], None]) -> None:
        """Handles a message now, or once it runs again."""
        if self.paused:
            self._inbox.append(work)
        else:
            work()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            self.fixture.state_view.tick()
            if self.gate.is_open():
                self.fixture.members.update_own(ready=True)

    def _note_version(self, _state: t.Any) -> None:
        if self.version < self.highest_version:
            self.reverted_to = self.version
        self.highest_version = max(self.highest_version, self.version)


class StoreFleet:
    """Entries of one fleet, the store, and the messages between them.

    :param clock: virtual time.
    :param count: number of entries.
    :param seed: draws partners and delays.
    :param way_s: seconds that a message takes.
    """

    def __init__(self, clock: Clock, count: int, seed: int = 1, way_s: float = 0.01) -> None:
        self.clock = clock
        self.store = EraStore(clock)
        self.rng = random.Random(seed)
        self.way_s = way_s
        self.slow_answer_s = 0.0
        self.sequence_by_id: t.Dict[str, int] = {}
        #: Rows and bytes that were sent between entries.
        self.sent_bytes = 0
        self.entries = [StoreEntry(self, f"e{number}", number) for number in range(count)]
        for entry in self.entries:
            self.introduce(entry)
        self._gossip: t.Optional["asyncio.Task[None]"] = None

    def introduce(self, entry: StoreEntry) -> None:
        records = [other.fixture.members.own_record for other in self.entries]
        entry.fixture.members.merge_records(records)

    def start(self) -> None:
        for entry in self.entries:
            entry.start()
        self._gossip = asyncio.create_task(self._exchange())

    def stop(self) -> None:
        assert self._gossip is not None
        self._gossip.cancel()
        for entry in self.entries:
            entry.stop()

    def restart(self, entry: StoreEntry) -> StoreEntry:
        """Kills an entry, and starts it again without anything that it knew."""
        number = self.entries.index(entry)
        entry.stop()
        fresh = StoreEntry(self, entry.name, number + 1000)
        self.entries[number] = fresh
        self.introduce(fresh)
        fresh.start()
        return fresh

    def answer_s(self) -> float:
        return 0.005 + self.rng.random() * self.slow_answer_s

    # What the operator and the targets write.

    def put_version(self, version: int) -> None:
        self.store.put("state/config", make_state(version))

    def put_target(self, number: int, leaving: bool = False, **changes: t.Any) -> None:
        """Writes a target's row, as it does at each beat."""
        target = make_target(number, leaving=leaving, **changes)
        sequence = self.sequence_by_id.get(target.target_id, 0) + 1
        self.sequence_by_id[target.target_id] = sequence
        fields = msgspec.structs.asdict(target)
        self.store.put(f"targets/{target.target_id}", {**fields, "sequence": sequence})

    def push_state(self, sender: StoreEntry, since: Position) -> None:
        self._push(sender, since, sender.fixture.state_view.target_rows.position)

    def push_targets(self, sender: StoreEntry, since: Position) -> None:
        self._push(sender, sender.fixture.state_view.state_rows.position, since)

    def _push(self, sender: StoreEntry, state_since: Position, targets_since: Position) -> None:
        message = sender.fixture.exchange.build_update(state_since, targets_since)
        self.sent_bytes += len(msgspec.msgpack.encode(message)) * (len(self.entries) - 1)
        for receiver in self.entries:
            self._send(sender, receiver, functools.partial(_merge, receiver, message))

    def _send(self, sender: StoreEntry, receiver: StoreEntry, work: t.Callable[[], None]) -> None:
        if receiver is sender or sender.cut_from_peers or receiver.cut_from_peers:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.way_s, receiver.deliver, work)

    async def _exchange(self) -> None:
        while True:
            for asker in list(self.entries):
                if asker.paused:
                    continue
                for asked in self.rng.sample(self.entries, min(_PARTNERS, len(self.entries))):
                    self._ask(asker, asked)
            await asyncio.sleep(_ROUND_S)

    def _ask(self, asker: StoreEntry, asked: StoreEntry, repeats: int = 2) -> None:
        message = asker.fixture.exchange.build_update()
        asked_at = self.clock.monotonic()

        def answer() -> None:
            asked.fixture.exchange.merge(message)
            reply = asked.fixture.exchange.build_reply(message)
            self.sent_bytes += len(msgspec.msgpack.encode(reply))
            self._send(asked, asker, functools.partial(take, reply))

        def take(reply: GossipMessage) -> None:
            if asker.fixture.exchange.merge(reply, asked_at) and repeats:
                self._ask(asker, asked, repeats - 1)

        self._send(asker, asked, answer)


def _merge(receiver: StoreEntry, message: GossipMessage) -> None:
    receiver.fixture.exchange.merge(message)
