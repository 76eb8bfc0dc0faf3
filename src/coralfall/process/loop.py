"""The event loop of a process: uvloop without io_uring, or asyncio's own where there is none."""

import asyncio
import os
import typing as t

from . import log

T = t.TypeVar("T")

#: Environment variable by which libuv is told whether it may use io_uring.
IO_URING_VARIABLE = "UV_USE_IO_URING"
#: Where a process sees what it has open.
DESCRIPTORS = "/proc/self/fd"


def run(main: t.Coroutine[t.Any, t.Any, T]) -> T:
    """Run a coroutine on a new loop until it ends; its result.

    Errors that reach the loop itself, such as one in a callback, are logged as ``loop.error``.

    :param main: what to run.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(main)


def new_loop() -> asyncio.AbstractEventLoop:
    """A loop that uses no io_uring and logs what nobody caught."""
    loop = _new_uvloop() or asyncio.new_event_loop()
    loop.set_exception_handler(_log_error)
    return loop


def _new_uvloop() -> t.Optional[asyncio.AbstractEventLoop]:
    # libuv reads this when its first loop is made. Its default changed between versions.
    os.environ[IO_URING_VARIABLE] = "0"
    try:
        from .fastloop import Loop
    except ImportError:
        return None
    loop = Loop()
    if not _has_io_uring():
        return loop
    # Some versions of libuv open one all the same.
    loop.close()
    log.warning("loop.uvloop-refused", reason="it opens an io_uring")
    return None


def _has_io_uring() -> bool:
    for descriptor in os.listdir(DESCRIPTORS):
        try:
            opened = os.readlink(os.path.join(DESCRIPTORS, descriptor))
        except OSError:
            continue
        if "io_uring" in opened:
            return True
    return False


def _log_error(_loop: asyncio.AbstractEventLoop, context: t.Dict[str, t.Any]) -> None:
    log.error("loop.error", reason=context.get("message"), error=context.get("exception"))
