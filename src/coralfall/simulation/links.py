"""Links of simulated entries to targets: their loss, its detection, and the way through others.

Which entry is cut off, and which one carries its requests, is decided by
:mod:`coralfall.placement`; probes and questions to other entries are delays here.
"""

import collections
import functools
import random
import typing as t

from .. import defaults
from ..ids import Incarnation
from ..placement.reachability import Reachability, Witness
from ..placement.transit_choice import choose_transit
from ..traffic.model import EntryRecord

if t.TYPE_CHECKING:
    from ..ids import EntryId, ServiceId, TargetId
    from ..placement.targets import TargetRegistry
    from ..traffic.settings import SteerSettings
    from .agenda import Agenda
    from .scenario import Scenario


class EntryLinks:
    """Links of one entry to all targets.

    :param settings: settings of the entry.
    :param targets: the targets that it knows.
    :param scenario: distances.
    :param agenda: the clock and what is due.
    """

    def __init__(
        self,
        settings: "SteerSettings",
        targets: "TargetRegistry",
        scenario: "Scenario",
        agenda: "Agenda",
    ) -> None:
        self._settings = settings
        self._scenario = scenario
        self._agenda = agenda
        self._rng = random.Random(settings.entry_id)
        self.reachability = Reachability(targets, agenda.clock)
        self.reachability.on_change = self._start_probes
        #: Whether they are lost.
        self.lost = False
        #: Links of all entries, this one included.
        self.fleet: "t.Mapping[EntryId, EntryLinks]" = {}
        self._loads_by_id: "t.Counter[EntryId]" = collections.Counter()
        self._checked: t.Set["ServiceId"] = set()
        self._probed: t.Set["ServiceId"] = set()

    @property
    def region(self) -> str:
        """Region of the entry."""
        return self._settings.region

    def record(self) -> EntryRecord:
        """Returns the record of the entry as the others know it."""
        return EntryRecord(
            entry_id=self._settings.entry_id,
            incarnation=Incarnation(1),
            region=self._settings.region,
            zone=self._settings.zone,
            caller_address="",
            peer_address="",
            ready=True,
            transit=True,
            cut_off_from=self.reachability.cut_off_services(),
        )

    def note_connect(self, service: "ServiceId", target_id: "TargetId") -> None:
        """Starts an attempt to connect while the links are lost; it will fail."""
        slow_s, fail_s = defaults.REACH_SLOW_CONNECT_S, defaults.TARGET_CONNECT_S
        self._agenda.after(slow_s, lambda: self._suspect(service))
        self._agenda.after(
            fail_s, lambda: self.reachability.record_failure(service, target_id, False)
        )

    def choose_carrier(self, service: "ServiceId") -> "t.Optional[EntryLinks]":
        """Returns the links of the entry that carries a request of this one."""
        others = [links.record() for links in self.fleet.values() if links is not self]
        record = choose_transit(
            self.record(), others, service, (), self._loads_by_id, (), self._rng
        )
        return None if record is None else self.fleet[record.entry_id]

    def start_transit(self, carrier: "EntryLinks") -> t.Callable[[], None]:
        """Counts a request in transit; the returned function ends it."""
        entry_id = carrier._settings.entry_id
        self._loads_by_id[entry_id] += 1

        def end() -> None:
            self._loads_by_id[entry_id] -= 1

        return end

    def trip_to_s(self, region: str) -> float:
        """Returns the seconds that a message takes to a region."""
        return self._scenario.near_s if region == self.region else self._scenario.far_s

    def _suspect(self, service: "ServiceId") -> None:
        if service in self._checked or not self.reachability.may_check(service):
            return
        self._checked.add(service)
        began = self._agenda.clock.now
        probes = self.reachability.targets_to_probe(service, self._rng)
        probe_s = defaults.REACH_GRACE_S + defaults.REACH_PROBE_S if probes else 0.0
        self._agenda.after(
            probe_s + 2 * self._scenario.far_s, lambda: self._end_check(service, began)
        )

    def _end_check(self, service: "ServiceId", began: float) -> None:
        self._checked.discard(service)
        if not self.lost or self.reachability.has_connected_since(service, began):
            self.reachability.conclude_reached(service)
            return
        others = [links for links in self.fleet.values() if links is not self]
        count = min(len(others), self.reachability.entries_to_ask(service))
        asked = self._rng.sample(others, count)
        sound = [links for links in asked if not links.lost]
        if not sound:
            self.reachability.conclude_down(service)
            return
        witness = Witness(sound[0]._settings.entry_id, frozenset())
        self.reachability.conclude_cut_off(service, witness)

    def _start_probes(self) -> None:
        for service in self.reachability.cut_off_services():
            if service not in self._probed:
                self._probed.add(service)
                self._agenda.after(defaults.REACH_ROUND_S, functools.partial(self._probe, service))

    def _probe(self, service: "ServiceId") -> None:
        if not self.reachability.is_cut_off(service):
            self._probed.discard(service)
            return
        self.reachability.record_probes(service, not self.lost)
        self._agenda.after(defaults.REACH_ROUND_S, lambda: self._probe(service))
