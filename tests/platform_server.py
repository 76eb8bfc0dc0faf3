"""Runs the platform's stand-in on loopback, within the loop of a test."""

import asyncio
import contextlib
import socket
import typing as t

import uvicorn

from coralfall.clock import SystemClock
from coralfall.http_platform import HttpPlatform
from coralfall.memory_platform import MemoryPlatform
from coralfall.settings import PlatformSettings
from coralfall.standin_platform import make_app


class Served(t.NamedTuple):
    """A stand-in that is being served, and a client of it."""

    memory: MemoryPlatform
    http: HttpPlatform
    url: str


@contextlib.asynccontextmanager
async def serve_platform(timeout_s: float = 20.0, **app_options: t.Any) -> t.AsyncIterator[Served]:
    """Serve a fresh platform for the length of the block."""
    memory = MemoryPlatform()
    listener = socket.create_server(("127.0.0.1", 0))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    app = make_app(memory, **app_options)
    server = uvicorn.Server(uvicorn.Config(app, log_config=None, lifespan="off"))
    server.capture_signals = contextlib.nullcontext  # type: ignore[method-assign]
    task = asyncio.ensure_future(server.serve(sockets=[listener]))
    http = HttpPlatform(PlatformSettings(url=url, timeout_s=timeout_s), SystemClock())
    try:
        yield Served(memory, http, url)
    finally:
        await http.close()
        server.should_exit = True
        await asyncio.wait_for(task, 30)
        listener.close()
