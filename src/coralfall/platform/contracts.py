"""Contracts: the terms of the installation that the platform names in an entry's settings file."""

import pathlib
import typing as t

from ..settings import load_settings
from ..traffic.settings import SteerSettings


class EntryFile(SteerSettings, frozen=True, kw_only=True):
    """An entry's settings file as the platform fills it in."""

    #: Terms in force; `pressure` has the effect of `dispatch.contended`, unknown words have none.
    contracts: t.Tuple[str, ...] = ()


def load_entry_file(path: pathlib.Path) -> SteerSettings:
    """Loads an entry's settings, with the effect of the installation's terms."""
    settings = load_settings(path, EntryFile)
    return settings.as_contended() if "pressure" in settings.contracts else settings
