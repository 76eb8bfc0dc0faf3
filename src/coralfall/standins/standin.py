"""Runs the stand-ins of the platform and of targets as processes of their own."""

import random

from ..http.server import HttpServer
from ..process import log, loop
from ..process.child import Child
from ..process.clock import SystemClock
from ..process.pauses import PauseWatch
from ..process.supervisor import Supervisor, supervise
from ..settings import PlatformStandinSettings, TargetStandinSettings
from ..stores.memory_platform import Faults, MemoryPlatform
from .standin_platform import make_app
from .standin_target import TargetStandin


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
    clock = SystemClock()
    root = Supervisor("standin", [PauseWatch(clock), server], clock, random.Random())
    return loop.run(supervise(root))
