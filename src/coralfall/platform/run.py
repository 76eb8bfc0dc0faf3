"""Runs an entry on the platform: its settings, its store and its HTTP around the product's node."""

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
from ..settings import load_settings
from ..traffic.node import Node, Store
from ..traffic.settings import SteerSettings
from ..traffic.settings_reloader import SettingsReloader
from .http import ReadinessApp, ResolveApp
from .names import HEADERS
from .rows import PlatformRowCodec
from .store import RowStore

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "CORALFALL_SETTINGS"


def run_steer(path: t.Optional[pathlib.Path] = None) -> int:
    """Run an entry until told to stop; the process's exit status.

    :param path: settings file; by default the one that the platform names.
    """
    path = _path_of(path)
    settings = load_settings(path, SteerSettings)
    log.configure(settings.log)
    log.identify(entry=settings.entry_id)
    return loop.run(_run(settings, path))


def check_settings(path: t.Optional[pathlib.Path] = None) -> str:
    """What an operator is told of a settings file that an entry would start with.

    :param path: settings file; by default the one that the platform names.
    :raises SettingsError: with every fault, if it would not start.
    """
    path = _path_of(path)
    settings = load_settings(path, SteerSettings)
    return f"{path}: good, for entry {settings.entry_id} in {settings.zone}"


def _path_of(path: t.Optional[pathlib.Path]) -> pathlib.Path:
    if path is not None:
        return path
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, "/etc/coralfall/settings.toml"))


async def _run(settings: SteerSettings, path: pathlib.Path) -> int:
    store = RowStore(settings.store)
    node = Node(
        settings,
        HEADERS,
        PlatformRowCodec(),
        Store(store, store),
        SystemClock(),
        random.Random(),
    )
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
    reload = SettingsReloader(path, settings, node.apply_settings)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    if early.hung_up:
        reload()
    status = await supervise(root)
    log.info("entry.stopped", status=status)
    return status
