"""Runs the platform's stand-in on loopback, within the loop of a test."""

import asyncio
import contextlib
import typing as t

from coralfall.http.server import HttpServer
from coralfall.process.clock import SystemClock
from coralfall.settings import PlatformSettings
from coralfall.standins.standin_platform import make_app
from coralfall.stores.http_platform import HttpPlatform
from coralfall.stores.memory_platform import MemoryPlatform


class Served(t.NamedTuple):
    """A stand-in that is being served, and a client of it."""

    memory: MemoryPlatform
    http: HttpPlatform
    url: str


@contextlib.asynccontextmanager
async def serve_platform(timeout_s: float = 20.0, **app_options: t.Any) -> t.AsyncIterator[Served]:
    """Serve a fresh platform for the length of the block."""
    memory = MemoryPlatform()
    server = HttpServer("platform", make_app(memory, **app_options), "127.0.0.1:0")
    await server.start()
    serving = asyncio.ensure_future(server.run())
    url = f"http://{server.bound_address}"
    http = HttpPlatform(PlatformSettings(url=url, timeout_s=timeout_s), SystemClock())
    try:
        yield Served(memory, http, url)
    finally:
        await http.close()
        await server.stop()
        serving.cancel()
        await asyncio.wait({serving})
