"""Reload: takes in a settings file that has changed while the entry runs."""

import pathlib
import typing as t

import msgspec

from ..exceptions import SettingsError
from ..process import log
from ..settings import load_settings
from .settings import SteerSettings

#: Settings that are taken in while the entry runs; all others need a new start.
LIVE = ("bounds", "log", "quarantine_s", "seeds")


class SettingsReloader:
    """Call it when the file may have changed.

    :param path: the settings file.
    :param settings: what is in force.
    :param apply: takes in settings of which only live ones differ.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: SteerSettings,
        apply: t.Callable[[SteerSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply

    def __call__(self) -> None:
        try:
            found = load_settings(self._path, SteerSettings)
        except SettingsError as error:
            log.error("settings.refused", error=error.message)
            return
        changed = _changed(self._settings, found)
        live = {name: getattr(found, name) for name in changed if name in LIVE}
        self._settings = msgspec.structs.replace(self._settings, **live)
        self._apply(self._settings)
        log.info(
            "settings.reloaded",
            applied=",".join(live) or "none",
            at_next_start=",".join([name for name in changed if name not in LIVE]) or "none",
        )


def _changed(old: SteerSettings, new: SteerSettings) -> t.List[str]:
    names = [field.name for field in msgspec.structs.fields(SteerSettings)]
    return [name for name in names if getattr(old, name) != getattr(new, name)]
