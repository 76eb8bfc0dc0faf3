"""Settings of the dispatch: whether dispatchers assign the slots of targets to requests."""

import enum

from .settings import Settings


class DispatchMode(enum.Enum):
    """Which services are contended."""

    #: Those of a contended installation, and those whose targets report their pace.
    AUTO = "auto"
    #: All.
    ON = "on"
    #: None.
    OFF = "off"


class DispatchSettings(Settings, frozen=True):
    """Whether dispatchers assign the slots of targets to requests of contended services."""

    #: `auto`: the services of a contended installation, and those whose targets report the pace of
    #: their machines; `on`: all services; `off`: none.
    mode: DispatchMode = DispatchMode.OFF
    #: Whether the installation is contended, so that all of its services are.
    contended: bool = False

    def is_installation_contended(self) -> bool:
        """Whether the whole installation is treated as contended."""
        return self.contended and self.mode is not DispatchMode.OFF
