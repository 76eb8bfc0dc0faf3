"""Runs the stand-ins of the platform and of targets as processes of their own."""

import random

from . import log, loop
from .child import Child
from .clock import SystemClock
from .memory_platform import Faults, MemoryPlatform
from .server import HttpServer
from .settings import PlatformStandinSettings, TargetStandinSettings
from .standin_platform import make_app
from .standin_target import TargetStandin
from .supervisor import Supervisor, supervise


def run_platform(settings: PlatformStandinSettings) -> int:
    """Serve a platform in memory until told to stop; the process's exit status."""
    log.configure(settings.log)
    memory = MemoryPlatform(SystemClock())
    memory.set_faults(Faults(vm_list_lag_s=settings.vm_list_lag_s))
    return _serve(HttpServer("platform", make_app(memory), settings.address))


def run_target(settings: TargetStandinSettings) -> int:
    """Serve one target until told to stop; the process's exit status."""
    log.configure(settings.log)
    return _serve(HttpServer("target", TargetStandin(settings), settings.address))


def _serve(server: Child) -> int:
    root = Supervisor("standin", [server], SystemClock(), random.Random())
    return loop.run(supervise(root))
