"""The option of commands that names the platform, and a client of it for one command."""

import typing as t

import typer

if t.TYPE_CHECKING:
    from .store import Platform

ResultT = t.TypeVar("ResultT")

#: Option of every command that asks the platform.
PlatformOption = t.Annotated[
    str, typer.Option("--platform", help="Base address, such as http://10.0.0.2:7000.")
]


async def with_platform(url: str, run: t.Callable[["Platform"], t.Awaitable[ResultT]]) -> ResultT:
    """What ``run`` returns; the client that it is given is closed afterwards.

    :param url: base address of the platform.
    :param run: makes all calls of one command.
    :raises PlatformError: as ``run`` does.
    """
    from ..process.clock import SystemClock
    from ..settings import PlatformSettings
    from .http_platform import HttpPlatform

    client = HttpPlatform(PlatformSettings(url=url), SystemClock())
    try:
        return await run(client.platform)
    finally:
        await client.close()
