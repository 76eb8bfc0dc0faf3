"""Asks a look-up server at a given rate, on kept or on fresh connections."""

import asyncio
import time
import typing as t
import urllib.parse

import httptools

from coralfall.lookups.blocks import ClientAddress, Family
from coralfall.settings import split_address

CONNECTIONS = 32
#: Batches a second in which a rate is asked for.
TICKS_PER_S = 50


class Connection(asyncio.Protocol):
    """One connection with at most one look-up in flight."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._done: t.Optional["asyncio.Future[None]"] = None
        self._transport: t.Optional[asyncio.Transport] = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = t.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Called by the parser when the answer is whole."""
        assert self._done is not None
        if self._parser.get_status_code() != 200:
            self._done.set_exception(RuntimeError("a look-up failed"))
            return
        self._done.set_result(None)

    def connection_lost(self, exc: t.Optional[Exception]) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_exception(ConnectionError("connection lost"))

    async def ask(self, request: bytes) -> None:
        """Send one look-up and wait for its whole answer."""
        assert self._transport is not None
        self._done = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        await self._done

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()


class Load:
    """Look-ups against one server.

    :param address: ``ip:port`` of the server.
    :param requests: raw requests, sent in turn.
    """

    def __init__(self, address: str, requests: t.Sequence[bytes]) -> None:
        self._host, self._port = split_address(address)
        self._requests = requests
        self._next = 0
        self.answered = 0

    async def run(self, rate: float, seconds: float, fresh: bool = False) -> float:
        """Ask ``rate`` times a second; the rate that was reached.

        :param fresh: whether each look-up has a connection of its own.
        """
        queue: "asyncio.Queue[bytes]" = asyncio.Queue()
        workers = [asyncio.ensure_future(self._work(queue, fresh)) for _ in range(CONNECTIONS)]
        before = self.answered
        started = time.monotonic()
        due = 0.0
        try:
            while (now := time.monotonic()) < started + seconds:
                while due < (now - started) * rate:
                    queue.put_nowait(self._take())
                    due += 1
                await asyncio.sleep(1 / TICKS_PER_S)
            await queue.join()
        finally:
            for worker in workers:
                worker.cancel()
            results = await asyncio.gather(*workers, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result
        return (self.answered - before) / (time.monotonic() - started)

    def _take(self) -> bytes:
        request = self._requests[self._next % len(self._requests)]
        self._next += 1
        return request

    async def _work(self, queue: "asyncio.Queue[bytes]", fresh: bool) -> None:
        connection: t.Optional[Connection] = None
        try:
            while True:
                request = await queue.get()
                if connection is None:
                    connection = await self._connect()
                await connection.ask(request)
                self.answered += 1
                if fresh:
                    connection.close()
                    connection = None
                queue.task_done()
        finally:
            if connection is not None:
                connection.close()

    async def _connect(self) -> Connection:
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(Connection, self._host, self._port)
        return protocol


def make_request(partner: str, address: ClientAddress) -> bytes:
    """The raw request of a look-up, as a small client sends it."""
    query = urllib.parse.urlencode({"partner": partner, "address": text_of(address)})
    lines = [f"GET /lookup?{query} HTTP/1.1", "Host: entry", "Accept: application/json", "", ""]
    return "\r\n".join(lines).encode()


def text_of(address: ClientAddress) -> str:
    """The address as digits."""
    if address.family is Family.IPV4:
        return ".".join(str(part) for part in address.bits.to_bytes(4, "big"))
    groups = address.bits.to_bytes(8, "big").hex(":", 2)
    return f"{groups}::1"
