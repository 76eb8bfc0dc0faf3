"""A client of coralfall: looks up entries, reads, and gives an order that runs at most once.

Try it while ``make run`` runs, with the address that it prints for look-ups::

    python examples/client.py 127.0.0.1:PORT
"""

import asyncio
import sys
import time
import typing as t
import uuid

import aiohttp

#: Seconds for which an idle connection is kept: less than the 20 for which entries keep theirs,
#: since a command on a connection that was just closed looks lost.
KEEPALIVE_S = 10.0
#: Milliseconds that a request may take, and seconds more after which no answer is awaited.
DEADLINE_MS = 2000
EXTRA_S = 1.0
#: Seconds for which a request is tried; entries remember a key for 24 hours.
TRY_FOR_S = 30.0
#: Pause before the next try where the answer names none.
PAUSE_S = 0.5


class Reply(t.NamedTuple):
    """What became of a request; ``unknown`` if it may have run and nobody can tell."""

    outcome: str
    status: int
    body: bytes
    #: Seconds after which a retry makes sense; ``None`` if a retry changes nothing.
    retry_after_s: t.Optional[float]


#: Stands for an answer that did not come, or not whole.
LOST = Reply("unknown", 0, b"", PAUSE_S)


class Client:
    """Asks for one partner's services.

    :param entries: ``ip:port`` of some entries, to begin with.
    """

    def __init__(self, session: aiohttp.ClientSession, partner: str, entries: t.List[str]) -> None:
        self._session = session
        self._partner = partner
        self._entries = entries
        self._look_up_at = 0.0

    async def read(self, service: str, path: str) -> Reply:
        """The answer to a GET, which may be sent again whatever became of it."""
        return await self._try("GET", f"/{self._partner}/{service}/{path}", {}, b"")

    async def command(self, service: str, path: str, body: bytes, key: str) -> Reply:
        """The answer to a POST that runs at most once, whichever entries it is sent through.

        :param key: names the command. Keep it with the order, and use it for nothing else.
        """
        headers = {"idempotency-key": key}
        return await self._try("POST", f"/{self._partner}/{service}/{path}", headers, body)

    async def _try(self, method: str, path: str, headers: t.Dict[str, str], body: bytes) -> Reply:
        give_up_at = time.monotonic() + TRY_FOR_S
        reply = LOST
        number = 0
        maybe_run = False
        while reply.retry_after_s is not None and time.monotonic() < give_up_at:
            if number:
                await asyncio.sleep(reply.retry_after_s)
            entries = await self._find_entries()
            reply = await self._send(entries[number % len(entries)], method, path, headers, body)
            number += 1
            maybe_run = maybe_run or reply.outcome == "unknown"
        if maybe_run and reply.outcome == "not-run":
            # Only this last try was not run; an earlier one may have been.
            return reply._replace(outcome="unknown")
        return reply

    async def _find_entries(self) -> t.List[str]:
        """The entries to use, in order; the ones known before if nobody tells."""
        if time.monotonic() < self._look_up_at:
            return self._entries
        for entry in self._entries:
            url = f"http://{entry}/lookup"
            try:
                async with self._session.get(url, params={"partner": self._partner}) as answer:
                    if answer.status != 200:
                        continue
                    found = await answer.json()
            except (aiohttp.ClientError, asyncio.TimeoutError):
                continue
            self._entries = found["entries"]
            self._look_up_at = time.monotonic() + found["ttl_s"]
            break
        return self._entries

    async def _send(
        self, entry: str, method: str, path: str, headers: t.Dict[str, str], body: bytes
    ) -> Reply:
        headers = {"coralfall-deadline-ms": str(DEADLINE_MS), **headers}
        url = f"http://{entry}{path}"
        try:
            async with self._session.request(method, url, headers=headers, data=body) as answer:
                whole = await answer.read()
        except aiohttp.ClientConnectorError:
            return Reply("not-run", 0, b"", PAUSE_S)
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return LOST
        return _reply_of(answer, whole, is_read=method == "GET")


def _reply_of(answer: aiohttp.ClientResponse, body: bytes, is_read: bool) -> Reply:
    # Without the header the answer is not of an entry, or of one that can't tell.
    outcome = answer.headers.get("coralfall-outcome", "unknown")
    milliseconds = answer.headers.get("coralfall-retry-after-ms")
    retry_after_s: t.Optional[float] = None
    if outcome != "done" and milliseconds is not None:
        retry_after_s = int(milliseconds) / 1000
    elif outcome == "unknown" and (is_read or answer.status != 409):
        # A read may be sent again; a command with its key is told what became of it.
        retry_after_s = PAUSE_S
    return Reply(outcome, answer.status, body, retry_after_s)


def new_session() -> aiohttp.ClientSession:
    """A session as :class:`Client` needs it."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(keepalive_timeout=KEEPALIVE_S),
        timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + EXTRA_S),
    )


async def main(entries: t.List[str]) -> int:
    """Read the menu, give an order, and give the same order once more."""
    async with new_session() as session:
        client = Client(session, "cosecha", entries)
        menu = await client.read("catalogo", "menu?bytes=100")
        print(f"menu: {menu.outcome}, {len(menu.body)} bytes")
        key = str(uuid.uuid4())
        first = await client.command("pedidos", "orders", b"2 kits", key)
        print(f"order {key}: {first.outcome}, {first.body.decode()}")
        again = await client.command("pedidos", "orders", b"2 kits", key)
        print(f"the same once more: {again.outcome}, same answer: {again.body == first.body}")
    return 0 if menu.outcome == first.outcome == again.outcome == "done" else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1:])))
