"""An entry's knowledge without its process, for tests: rows as plain JSON, moved by hand."""

import random
import typing as t

import msgspec

from coralfall import defaults
from coralfall.exceptions import DesiredStateError
from coralfall.ids import Revision, ZoneId
from coralfall.placement.quarantine import Quarantine
from coralfall.placement.target_reports import TargetReports
from coralfall.process.clock import Clock, ManualClock
from coralfall.stores.store import Row
from coralfall.traffic.belief import Belief
from coralfall.traffic.gossip_exchange import GossipExchange
from coralfall.traffic.members import Members
from coralfall.traffic.model import DesiredState, EntryRecord, Target
from coralfall.traffic.translator import Evacuation, StateRow, Translator
from tests.traffic.makers import (
    Steered,
    make_record,
    seeded,
)


class PlainTranslator(Translator):
    """Rows as the product itself would encode them."""

    state_prefix = "state/"
    target_prefix = "targets/"
    entry_prefix = "entries/"

    def state_row(self, key: str, data: bytes) -> StateRow:
        if key.startswith("state/evacuate/"):
            return Evacuation(ZoneId(key.removeprefix("state/evacuate/")))
        return self._decode(data, DesiredState)

    def target_row(self, key: str, data: bytes) -> Target:
        return self._decode(data, Target)

    def entry_row(self, record: EntryRecord) -> t.Tuple[str, bytes]:
        return f"entries/{record.entry_id}", msgspec.json.encode(record)

    def read_entry_row(self, key: str, data: bytes) -> EntryRecord:
        return self._decode(data, EntryRecord)

    def _decode(self, data: bytes, model: t.Any) -> t.Any:
        try:
            return msgspec.json.decode(data, type=model)
        except msgspec.MsgspecError as error:
            raise DesiredStateError(str(error)) from error


class Known:
    """A belief, its clock, and who it is told by."""

    def __init__(
        self, name: str = "e1", clock: t.Optional[Clock] = None, seed: t.Optional[int] = None
    ) -> None:
        self.clock = clock or ManualClock(100.0)
        self.steered = Steered()
        rng = random.Random(seed) if seed is not None else seeded()
        self.belief = Belief(
            PlainTranslator(), self.steered.steering, self.steered.targets, self.clock, seeded()
        )
        self.members = Members(make_record(name), self.clock, rng)
        self.quarantine = Quarantine(defaults.QUARANTINE_S, self.clock)
        self.reports = TargetReports(self.clock)
        self.limits = self.reports.limits
        self.exchange = GossipExchange(
            self.members, self.belief, self.quarantine, self.reports, self.clock
        )

    def learn_state(self, revision: int, key: str, value: t.Any) -> None:
        rows = self.belief.state_rows
        data = None if value is None else msgspec.json.encode(value)
        row = Row(key, data, Revision(revision))
        at = self._read_now()
        self.belief.state_changed(rows.apply_changes([row], Revision(revision), at))

    def learn_targets(self, revision: int, *targets: Target) -> None:
        rows = self.belief.target_rows
        listed = [
            Row(f"targets/{target.target_id}", msgspec.json.encode(target), Revision(revision))
            for target in targets
        ]
        self.belief.note_gap(self.belief.targets_age())
        at = self._read_now()
        self.belief.targets_changed(rows.apply_snapshot(listed, Revision(revision), at))

    def _read_now(self) -> float:
        """The time of the store's clock, which shows the same as this entry's."""
        now = self.clock.monotonic()
        self.belief.store_clock.observe(now, now)
        return now
