"""Look-ups: which entries a caller is told to connect to."""

import typing as t

from .. import defaults
from .members import nearest

if t.TYPE_CHECKING:
    from ..ids import RegionId
    from .belief import Belief
    from .members import Members
    from .model import EntryRecord
    from .settings import BoundSettings, SteerSettings
    from .translator import LookupQuestion


class Lookup:
    """Answers look-ups.

    :param settings: of the entry.
    :param members: the entries.
    :param belief: the desired state.
    """

    def __init__(self, settings: "SteerSettings", members: "Members", belief: "Belief") -> None:
        self._members = members
        self._belief = belief
        self.set_bounds(settings.bounds)

    def set_bounds(self, bounds: "BoundSettings") -> None:
        """Keep to these bounds from now on."""
        #: Seconds for which callers may keep an answer.
        self.ttl_s = min(defaults.STEER_TTL_S, bounds.max_ttl_s)

    def addresses(self, question: "LookupQuestion") -> t.List[str]:
        """Callers' addresses of entries, none if no entry can serve.

        Entries of the caller's zone and region go first, then those of the regions that the
        host's routes are held to, then any.
        """
        serving = self._members.serving()
        found = nearest(serving, question.zone, question.region)
        if not found:
            homes = self._homes(question.host)
            found = [record for record in serving if record.region in homes]
        if not found:
            found = list(serving)
        return [record.caller_address for record in _spread(found)]

    def _homes(self, host: str) -> "t.Set[RegionId]":
        if self._belief.routes is None:
            return set()
        homes: t.Set["RegionId"] = set()
        for route in self._belief.routes.of_host(host):
            homes |= route.allowed_regions
        return homes


def _spread(records: "t.Sequence[EntryRecord]") -> "t.Sequence[EntryRecord]":
    return records[: defaults.MAX_LOOKUP_ADDRESSES]
