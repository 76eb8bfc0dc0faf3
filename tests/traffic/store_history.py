"""Random histories of a store that comes back from older copies, and what has to hold in them."""

import asyncio
import random
import typing as t

from coralfall.process.clock import Clock
from tests.traffic.makers import NORTE, PUERTO
from tests.traffic.store_fleet import BEAT_S, BOUND_S, StoreCopy, StoreEntry, StoreFleet

#: Seconds within which a zone has to be empty after the order to evacuate it.
EVACUATION_BOUND_S = 5.0
#: Seconds for which a row may be missing once the store is back, though its target is alive (the
#: platform's page on service discovery).
RETURN_S = 2.0
#: Seconds within which entries read a change at the latest, whichever of them is cut off.
READ_S = 1.5
#: Seconds after which a target that is ready is used, whatever the store has lost.
UNUSED_S = BOUND_S + 6.0
#: Seconds of calm after which all entries agree with the store.
CALM_S = 18.0
_LOOK_S = 0.1
_COPY_S = 0.25
_ZONES = (NORTE, PUERTO)
_MOST_AWAY_S = 2.0
_MOST_LOST_S = 6.0
#: Most seconds until the operators write again what was lost.
_REWRITE_S = 1.5
_TROUBLE_S = (0.3, 4.0)


class Truth(t.NamedTuple):
    """What a writer said last of a row, and since when the store has had it without a break."""

    value: t.Any
    since: float


class History:
    """One history: a fleet, the operator, targets, and troubles drawn from a seed.

    :param in_order: whether writers write again all that was lost, or the last of it only.
    """

    def __init__(self, clock: Clock, count: int, seed: int, in_order: bool) -> None:
        self.rng = random.Random(seed)
        self.fleet = StoreFleet(clock, count, seed, way_s=self.rng.choice((0.002, 0.02, 0.06)))
        self.fleet.slow_answer_s = self.rng.choice((0.0, 0.0, 0.1))
        self.clock = clock
        self.faults: t.List[str] = []
        self.played: t.List[str] = []
        self._in_order = in_order
        self._version = 0
        self._numbers = 0
        #: Versions that were written, and the state of each target and zone.
        self._versions: t.List[int] = []
        self._leaving_by_number: t.Dict[int, bool] = {}
        self._zone_by_number: t.Dict[int, str] = {}
        self._evacuated: t.Set[str] = set()
        self._truth_by_key: t.Dict[str, Truth] = {}
        self._copies: t.List[t.Tuple[float, StoreCopy]] = []
        self._out_of_touch_until: t.Dict[str, float] = {}
        #: When a writer last changed each row.
        self._written_at: t.Dict[str, float] = {}
        self._back_at = 0.0
        self._down_at = float("inf")
        self._tasks: t.List["asyncio.Task[None]"] = []
        self._ends = False

    # What writers do.

    def change(self) -> None:
        self._version += self.rng.randint(1, 4)
        self._versions.append(self._version)
        self._write("state/config", self._version)

    def add(self) -> None:
        self._numbers += 1
        self._leaving_by_number[self._numbers] = False
        self._zone_by_number[self._numbers] = self.rng.choice(_ZONES)
        self._write(f"targets/t{self._numbers}", False)

    def leave(self) -> None:
        ready = [number for number, leaving in self._leaving_by_number.items() if not leaving]
        if len(ready) > 1:
            number = self.rng.choice(ready)
            self._leaving_by_number[number] = True
            self._write(f"targets/t{number}", True)

    def remove(self) -> None:
        """A target has left, or its row has expired."""
        numbers = sorted(self._leaving_by_number)
        if len(numbers) > 2:
            number = self.rng.choice(numbers)
            del self._leaving_by_number[number]
            self._write(f"targets/t{number}", None)

    def evacuate(self) -> None:
        zone = self.rng.choice(_ZONES)
        if zone in self._evacuated:
            self._evacuated.discard(zone)
            self._write(f"state/evacuate/{zone}", None)
        else:
            self._evacuated.add(zone)
            self._write(f"state/evacuate/{zone}", {})

    def _write(self, key: str, value: t.Any) -> None:
        """Notes what a writer says, and writes it as soon as the store is there."""
        self._truth_by_key[key] = Truth(value, float("inf"))
        self._written_at[key] = self.clock.monotonic()
        for entry in self.fleet.entries:
            entry.settled_keys.discard(key)
        if not self.fleet.store.down:
            self._put(key)

    def _put(self, key: str) -> None:
        value = self._truth_by_key[key].value
        if key == "state/config":
            self.fleet.put_version(value)
        elif key.startswith("targets/") and value is not None:
            number = int(key.removeprefix("targets/t"))
            self.fleet.put_target(number, leaving=value, zone=self._zone_by_number[number])
        else:
            self.fleet.store.put(key, value)
        if self._truth_by_key[key].since == float("inf"):
            self._truth_by_key[key] = Truth(value, self.clock.monotonic())

    def _is_stored(self, key: str) -> bool:
        value = self._truth_by_key[key].value
        found = self.fleet.store.value(key)
        if found is None or value is None:
            return found is value
        if key == "state/config":
            return bool(found["version"] == value)
        return key.startswith("state/") or found["leaving"] == value

    async def _beat(self) -> None:
        while not self._ends:
            for number in list(self._leaving_by_number):
                if not self.fleet.store.down:
                    self._put(f"targets/t{number}")
            await asyncio.sleep(BEAT_S * self.rng.uniform(0.8, 1.2))

    async def _copy(self) -> None:
        while not self._ends:
            if not self.fleet.store.down:
                self._copies.append((self.clock.monotonic(), self.fleet.store.copy()))
            await asyncio.sleep(_COPY_S)

    # Troubles.

    async def drill(self) -> None:
        store = self.fleet.store
        if store.down:
            return
        store.down = True
        self._down_at = self.clock.monotonic()
        await asyncio.sleep(self.rng.uniform(0.05, _MOST_AWAY_S))
        age_s = self.rng.uniform(0.3, _MOST_LOST_S)
        now = self.clock.monotonic()
        copies = [copy for at, copy in self._copies if at <= now - age_s]
        copy = copies[-1] if copies else self._copies[0][1]
        store.restore(copy)
        self._copies = [(now, copy)]
        store.down = False
        self._back_at = self.clock.monotonic()
        self.played.append(f"{now:.2f} era {store.era} from revision {store.revision}")
        for key, truth in self._truth_by_key.items():
            if not self._is_stored(key):
                self._truth_by_key[key] = Truth(truth.value, float("inf"))
        for key in list(self._truth_by_key):
            if self._truth_by_key[key].since == float("inf"):
                self._tasks.append(asyncio.create_task(self._write_again(key)))

    async def _write_again(self, key: str) -> None:
        stored = self.fleet.store.value(key)
        await asyncio.sleep(self.rng.uniform(0.05, _REWRITE_S))
        if self._in_order and key == "state/config":
            floor = 0 if stored is None else stored["version"]
            for version in [one for one in self._versions[:-1] if one > floor]:
                if not self.fleet.store.down and self._truth_by_key[key].since == float("inf"):
                    self.fleet.put_version(version)
                await asyncio.sleep(0.05)
        while self._truth_by_key[key].since == float("inf"):
            if not self.fleet.store.down:
                self._put(key)
            await asyncio.sleep(0.1)

    async def _disturb(
        self, begin: t.Callable[[StoreEntry], None], end: t.Callable[[StoreEntry], None]
    ) -> None:
        entry = self.rng.choice(self.fleet.entries)
        if not entry.is_in_touch:
            return
        begin(entry)
        self._out_of_touch_until[entry.name] = float("inf")
        await asyncio.sleep(self.rng.uniform(*_TROUBLE_S))
        end(entry)
        self._out_of_touch_until[entry.name] = self.clock.monotonic()

    async def cut_from_store(self) -> None:
        def cut(entry: StoreEntry) -> None:
            entry.feed.cut_off = True

        def mend(entry: StoreEntry) -> None:
            entry.feed.cut_off = False

        await self._disturb(cut, mend)

    async def cut_from_peers(self) -> None:
        def cut(entry: StoreEntry) -> None:
            entry.cut_from_peers = True

        def mend(entry: StoreEntry) -> None:
            entry.cut_from_peers = False

        await self._disturb(cut, mend)

    async def pause(self) -> None:
        await self._disturb(StoreEntry.pause, StoreEntry.resume)

    async def kill(self) -> None:
        entry = self.rng.choice(self.fleet.entries)
        if entry.is_in_touch:
            self.fleet.restart(entry)
            self._out_of_touch_until[entry.name] = self.clock.monotonic()

    # Judgement.

    async def play(self, seconds: float) -> None:
        self.change()
        for _ in range(4):
            self.add()
        self.fleet.start()
        background = [self._beat(), self._copy(), self._judge()]
        self._tasks += [asyncio.create_task(work) for work in background]
        await asyncio.sleep(4.0)
        until = self.clock.monotonic() + seconds
        writes = (self.change, self.change, self.add, self.leave, self.remove, self.evacuate)
        troubles = (self.drill, self.drill, self.drill)
        troubles += (self.cut_from_store, self.cut_from_peers, self.pause, self.kill)
        while self.clock.monotonic() < until:
            if self.rng.random() < 0.75:
                write = self.rng.choice(writes)
                self.played.append(f"{self.clock.monotonic():.2f} {write.__name__}")
                write()
            else:
                trouble = self.rng.choice(troubles)
                self.played.append(f"{self.clock.monotonic():.2f} {trouble.__name__}")
                self._tasks.append(asyncio.create_task(trouble()))
            await asyncio.sleep(self.rng.uniform(0.05, 1.0))
        await asyncio.sleep(CALM_S)
        self._check_agreement()
        self._ends = True
        self.fleet.stop()
        for task in self._tasks:
            task.cancel()
        for result in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(result, Exception):
                self.faults.append(f"the history itself failed: {result!r}")

    async def _judge(self) -> None:
        while not self._ends:
            await asyncio.sleep(_LOOK_S)
            now = self.clock.monotonic()
            for entry in self.fleet.entries:
                if entry.reverted_to is not None:
                    self._blame(entry, f"version {entry.reverted_to} after a later one")
                    entry.reverted_to = None
                if entry.is_in_touch and entry.gate.is_open():
                    self._judge_entry(entry, now)
                    self._judge_order(entry)

    def _judge_entry(self, entry: StoreEntry, now: float) -> None:
        # Bounds count from when the entry and the store were both there again.
        since = max(self._back_at, self._out_of_touch_until.get(entry.name, 0.0))
        config = self._truth_by_key["state/config"]
        late = self._is_late(now, max(config.since, since))
        if late and entry.version < config.value:
            self._blame(entry, f"version {entry.version}, {config.value} for over {BOUND_S} s")
        for key, truth in self._truth_by_key.items():
            if not key.startswith("targets/"):
                continue
            target_id = key.removeprefix("targets/")
            # An entry that was out of touch can't tell its own cut from an outage.
            grace_s = RETURN_S if truth.value is None else 0.0
            late = self._is_late(now, max(truth.since, since + grace_s))
            if truth.value is not False and late and entry.uses(target_id):
                self._blame(entry, f"uses {target_id}, leaving {truth.value} for over {BOUND_S} s")
            unused_s = now - max(truth.since, since)
            if truth.value is False and unused_s > UNUSED_S and not entry.uses(target_id):
                self._judge_unused(entry, int(target_id.removeprefix("t")), now)
        for zone in _ZONES:
            evacuation = self._truth_by_key.get(f"state/evacuate/{zone}")
            if evacuation is None or evacuation.value is None:
                continue
            if now - max(evacuation.since, since) > EVACUATION_BOUND_S:
                self._judge_zone(entry, zone)

    def _judge_unused(self, entry: StoreEntry, number: int, now: float) -> None:
        """A target that is ready is used before long, unless its zone is or was evacuated."""
        zone = self._zone_by_number[number]
        # Each era begins the limits of what is carried anew.
        ordered_at = max(self._written_at.get(f"state/evacuate/{zone}", 0.0), self._back_at)
        if zone not in self._evacuated and now - ordered_at > CALM_S:
            self._blame(entry, f"does not use t{number}, which is ready")

    def _judge_order(self, entry: StoreEntry) -> None:
        """What an entry once knew does not come back older, lost or not."""
        for key, truth in self._truth_by_key.items():
            if key == "state/config":
                continue
            if key.startswith("targets/"):
                state = entry.state_of(key.removeprefix("targets/"))
                ready = state is not None and not state.leaving
                agrees = truth.value is not False and not ready and key in entry.ready_keys
                if ready:
                    entry.ready_keys.add(key)
            else:
                rows = entry.fixture.state_view.state_rows
                agrees = (rows.get(key) is not None) == (truth.value is not None)
            if agrees:
                if self.clock.monotonic() - self._written_at[key] > BOUND_S:
                    entry.settled_keys.add(key)
            elif key in entry.settled_keys and truth.value is not False:
                self._blame(entry, f"{key} is older than what it knew: {truth.value}")
                entry.settled_keys.discard(key)

    def _is_late(self, now: float, since: float) -> bool:
        """Whether the bound is over, and the store was there for long enough to be read."""
        readable_s = self._down_at - since if self.fleet.store.down else BOUND_S
        return now - since > BOUND_S and readable_s > READ_S

    def _judge_zone(self, entry: StoreEntry, zone: str) -> None:
        for number, found in self._zone_by_number.items():
            if found == zone and entry.uses(f"t{number}"):
                self._blame(entry, f"uses t{number} of the evacuated {zone}")

    def _check_agreement(self) -> None:
        """After a calm, entries use what the store says: nothing of what was lost stays."""
        usable = {
            f"t{number}"
            for number, leaving in self._leaving_by_number.items()
            if not leaving and self._zone_by_number[number] not in self._evacuated
        }
        for entry in self.fleet.entries:
            used = {f"t{number}" for number in self._zone_by_number if entry.uses(f"t{number}")}
            if used != usable:
                self._blame(entry, f"uses {sorted(used)} in the end, not {sorted(usable)}")
            if entry.version != self._version:
                self._blame(entry, f"version {entry.version} in the end, not {self._version}")

    def _blame(self, entry: StoreEntry, text: str) -> None:
        self.faults.append(f"{self.clock.monotonic():.2f} {entry.name}: {text}")

    def most_calls(self, seconds: float) -> int:
        """Returns the most calls of the store within so many seconds."""
        called_at = self.fleet.store.called_at
        return max(
            sum(1 for at in called_at[n:] if at < began + seconds)
            for n, began in enumerate(called_at)
        )
