"""Runs an entry on the platform: connects a node to the platform's store, row codec and HTTP."""

import asyncio
import os
import pathlib
import random
import signal
import typing as t

from ..process import log, loop
from ..process.clock import SystemClock
from ..process.signals import early
from ..process.supervisor import supervise
from ..traffic.node import Node, Store
from ..traffic.settings import SteerSettings
from ..traffic.settings_reloader import SettingsReloader
from .contracts import load_entry_file
from .http import ReadinessApp, ResolveApp
from .names import HEADERS
from .rows import PlatformRowCodec
from .store import RowStore

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "CORALFALL_SETTINGS"


def run_steer(path: t.Optional[pathlib.Path] = None) -> int:
    """Runs an entry until it is told to stop, and returns the exit status of the process.

    :param path: settings file; by default the one that the platform provides.
    """
    path = _settings_path(path)
    settings = load_entry_file(path)
    log.configure(settings.log)
    log.identify(entry=settings.entry_id)
    return loop.run(_run(settings, path))


def check_settings(path: t.Optional[pathlib.Path] = None) -> str:
    """Validates a settings file and returns a confirmation for the operator.

    :param path: settings file; by default the one that the platform provides.
    :raises SettingsError: with every fault found in the file.
    """
    path = _settings_path(path)
    settings = load_entry_file(path)
    return f"{path}: good, for entry {settings.entry_id} in {settings.zone}"


def _settings_path(path: t.Optional[pathlib.Path]) -> pathlib.Path:
    if path is not None:
        return path
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, "/etc/coralfall/settings.toml"))


async def _run(settings: SteerSettings, path: pathlib.Path) -> int:
    store = RowStore(settings.store)
    stores = Store(store, store)
    node = Node(settings, HEADERS, PlatformRowCodec(), stores, SystemClock(), random.Random())
    root = node.build_supervisor(
        ResolveApp(node.lookup, node.telemetry), ReadinessApp(lambda: node.ready)
    )
    log.info(
        "entry.starting",
        zone=settings.zone,
        region=settings.region,
        link_mbps=settings.link_mbps,
        seeds=len(settings.seeds),
    )
    reload = SettingsReloader(path, settings, load_entry_file, node.apply_settings)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    if early.hung_up:
        reload()
    status = await supervise(root, shutdown=node.shutdown)
    log.info("entry.stopped", status=status, **node.shutdown_fields())
    return status
