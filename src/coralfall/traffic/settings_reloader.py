"""Settings reloader: applies a settings file that has changed while the entry runs."""

import pathlib
import typing as t

import msgspec

from ..exceptions import SettingsError
from ..process import log
from .settings import SteerSettings

#: Settings that can change while the entry runs; all others take effect at the next start.
RELOADABLE = ("bounds", "dispatch", "log", "quarantine_s", "seeds")


class SettingsReloader:
    """Reads the settings file again whenever it is called.

    An invalid file is logged and leaves the settings in force.

    :param path: the settings file.
    :param settings: the settings in force.
    :param load: reads the file.
    :param apply: called with the new settings, of which only reloadable ones differ.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: SteerSettings,
        load: t.Callable[[pathlib.Path], SteerSettings],
        apply: t.Callable[[SteerSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._load = load
        self._apply = apply

    def __call__(self) -> None:
        try:
            found = self._load(self._path)
        except SettingsError as error:
            log.error("settings.refused", error=error.message)
            return
        changed = _changed_fields(self._settings, found)
        reloaded = {name: getattr(found, name) for name in changed if name in RELOADABLE}
        self._settings = msgspec.structs.replace(self._settings, **reloaded)
        self._apply(self._settings)
        log.info(
            "settings.reloaded",
            applied=",".join(reloaded) or "none",
            at_next_start=",".join([name for name in changed if name not in RELOADABLE]) or "none",
        )


def _changed_fields(old: SteerSettings, new: SteerSettings) -> t.List[str]:
    names = [field.name for field in msgspec.structs.fields(SteerSettings)]
    return [name for name in names if getattr(old, name) != getattr(new, name)]
