"""Concurrent callers of entries that record every event, for :mod:`tests.event_rules`."""

import asyncio
import hashlib
import itertools
import time
import typing as t

import aiohttp

from coralfall.ids import Outcome
from coralfall.standins.standin_target import pattern
from tests.event_rules import ALWAYS, Event, Kind, Rule, done_as_the_effect_said, violations
from tests.processes import PARTNER, Fleet

#: Seconds that a caller waits for an answer; entries answer far sooner.
CALLER_TIMEOUT_S = 20.0
#: Tries of one command, each through the next entry.
MAX_TRIES = 8
#: Seconds between two tries, and between two requests of one caller.
PAUSE_S = 0.05
BODY_BYTES = 900


class Load:
    """Callers that read and command until told to stop.

    :param name: begins the name of every request, so that runs can share targets.
    """

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession, name: str) -> None:
        self.events: t.List[Event] = []
        #: Reads and commands that were served, by entry.
        self.served_by_entry: t.Dict[str, int] = {}
        #: Requests that found nobody at the entry's address.
        self.unreachable = 0
        #: Longest time without a served request, in seconds.
        self.longest_gap_s = 0.0
        self._fleet = fleet
        self._session = session
        self._name = name
        self._reads: t.Set[str] = set()
        self._numbers = itertools.count(1)
        self._stopped = asyncio.Event()
        self._tasks: t.List["asyncio.Task[None]"] = []
        self._served_at = time.monotonic()

    def read(self, *entries: str) -> None:
        """Add a caller that reads through the first of ``entries`` that listens."""
        self._add(self._read_all(entries))

    def read_as_looked_up(self, entry: str) -> None:
        """Add a caller that asks ``entry`` first, and goes on with the entries it is told of."""
        self._add(self._read_as_looked_up(entry))

    def command(self, *entries: str) -> None:
        """Add a caller whose commands have keys and are retried through the next entry."""
        self._add(self._command_all(entries))

    def command_once(self, entry: str) -> None:
        """Add a caller whose commands have no key and are sent once."""
        self._add(self._command_once_all(entry))

    @property
    def served(self) -> int:
        return sum(self.served_by_entry.values())

    def answers(self) -> t.List[Event]:
        """Answers that say which version they were given under."""
        return [event for event in self.events if event.kind is Kind.ANSWER and event.version]

    async def serves_more(self, count: int = 40) -> None:
        """Wait until so many further requests were served."""
        enough = self.served + count
        await self._fleet.until(lambda: self.served >= enough, "more requests are served")

    async def stop(self) -> None:
        """Let every caller finish what it began."""
        self._stopped.set()
        await asyncio.gather(*self._tasks)

    async def check(
        self,
        targets: t.Iterable[str],
        rules: t.Sequence[Rule] = ALWAYS,
        command_rules: t.Sequence[Rule] = (done_as_the_effect_said,),
    ) -> t.List[str]:
        """Every fault found in what the callers saw and the targets did.

        :param rules: for all events.
        :param command_rules: for those of commands alone; without the one on effects if a
            target has lost its record of them.
        """
        faults = []
        effects = []
        for target in targets:
            done = await self._fleet.effects(self._session, target)
            if done["max_in_flight"] > self._fleet.slots:
                overruns = "; ".join(str(overrun) for overrun in done["overruns"])
                faults.append(
                    f"{target} had {done['max_in_flight']} requests in flight: {overruns}"
                )
            for effect in done["effects"]:
                request = effect["path"].strip("/")
                if not request.startswith(f"{self._name}-"):
                    continue
                key = effect["key"] or ""
                effects.append(Event(Kind.EFFECT, request, key, value=effect["digest"]))
        # Targets do not say when; that they ran what is called done is all that is asked.
        events = effects + self.events
        commands = [event for event in events if event.request not in self._reads]
        for violation in violations(events, rules) + violations(commands, command_rules):
            faults.append(str(violation))
        return faults

    def _add(self, caller: t.Coroutine[t.Any, t.Any, None]) -> None:
        self._tasks.append(asyncio.create_task(caller))

    async def _read_all(self, entries: t.Sequence[str]) -> None:
        turns = itertools.cycle(entries)
        entry = next(turns)
        while not self._stopped.is_set():
            path = f"{self._name}-{next(self._numbers)}"
            request = Event(Kind.INVOKE, path, entry=entry)
            self._reads.add(path)
            url = self._fleet.url(entry, "catalogo", f"{path}?bytes={BODY_BYTES}")
            outcome = await self._send(request, "GET", url, pattern(f"/{path}", BODY_BYTES))
            if outcome is not Outcome.DONE:
                entry = next(turns)
                await asyncio.sleep(PAUSE_S)

    async def _read_as_looked_up(self, entry: str) -> None:
        name_by_address = {address: name for name, address in self._fleet.address_by_name.items()}
        while not self._stopped.is_set():
            url = f"http://{self._fleet.address_by_name[entry]}/lookup"
            asked_at = time.monotonic()
            async with self._session.get(url, params={"partner": PARTNER}) as answer:
                named = await answer.json()
            entry = name_by_address[named["entries"][0]]
            while time.monotonic() < asked_at + named["ttl_s"] and not self._stopped.is_set():
                path = f"{self._name}-{next(self._numbers)}"
                request = Event(Kind.INVOKE, path, entry=entry)
                self._reads.add(path)
                url = self._fleet.url(entry, "catalogo", f"{path}?bytes={BODY_BYTES}")
                await self._send(request, "GET", url, pattern(f"/{path}", BODY_BYTES))

    async def _command_all(self, entries: t.Sequence[str]) -> None:
        while not self._stopped.is_set():
            key = f"{self._name}-{next(self._numbers)}"
            for number, entry in zip(range(MAX_TRIES), itertools.cycle(entries)):
                request = Event(Kind.INVOKE, f"{key}/{number}", key, entry=entry)
                outcome = await self._post(request, "pedidos", key)
                if outcome is Outcome.DONE:
                    break
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(PAUSE_S)

    async def _command_once_all(self, entry: str) -> None:
        while not self._stopped.is_set():
            name = f"{self._name}-{next(self._numbers)}"
            await self._post(Event(Kind.INVOKE, name, entry=entry), "acopio", name)
            await asyncio.sleep(PAUSE_S)

    async def _post(self, request: Event, service: str, name: str) -> Outcome:
        body = f"order {name}".encode()
        receipt = f'{{"sha256":"{hashlib.sha256(body).hexdigest()}","length":{len(body)}}}'
        url = self._fleet.url(request.entry, service, name)
        return await self._send(request, "POST", url, receipt.encode(), body)

    async def _send(
        self, request: Event, method: str, url: str, expected: bytes, body: t.Optional[bytes] = None
    ) -> Outcome:
        """Send one request and record what became of it."""
        self.events.append(request)
        headers = {"idempotency-key": request.key} if request.key else {}
        timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)
        try:
            async with self._session.request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as answer:
                return self._take(request, answer, await answer.read(), expected)
        except aiohttp.ClientConnectorError:
            self.unreachable += 1
            # Nothing was sent; the caller knows as much without being told.
            self._record(request, Kind.ANSWER, Outcome.NOT_RUN)
            return Outcome.NOT_RUN
        except (aiohttp.ClientError, TimeoutError) as error:
            self._record(request, Kind.CUT_OFF, Outcome.UNKNOWN, repr(error))
            return Outcome.UNKNOWN

    def _take(
        self, request: Event, answer: aiohttp.ClientResponse, body: bytes, expected: bytes
    ) -> Outcome:
        if "coralfall-outcome" not in answer.headers:
            raise AssertionError(f"{request}: {answer.status} without outcome, {body[:200]!r}")
        outcome = Outcome(answer.headers["coralfall-outcome"])
        version = int(answer.headers.get("coralfall-version", "0"))
        whole = answer.status == 200 and body == expected
        if outcome is Outcome.DONE and not whole:
            raise AssertionError(f"{request}: {answer.status}, {body[:200]!r}")
        if outcome is Outcome.DONE:
            self._note_served(request.entry)
        self._record(request, Kind.ANSWER, outcome, _digest(body), version)
        return outcome

    def _record(
        self,
        request: Event,
        kind: Kind,
        outcome: Outcome,
        value: t.Optional[str] = None,
        version: int = 0,
    ) -> None:
        self.events.append(
            request._replace(kind=kind, outcome=outcome, value=value, version=version)
        )

    def _note_served(self, entry: str) -> None:
        now = time.monotonic()
        self.longest_gap_s = max(self.longest_gap_s, now - self._served_at)
        self._served_at = now
        self.served_by_entry[entry] = self.served_by_entry.get(entry, 0) + 1


def _digest(body: bytes) -> t.Optional[str]:
    """The digest that a target's receipt names."""
    _, _, rest = body.partition(b'"sha256":"')
    return rest[:64].decode() or None
