"""An entry's state without its process, for tests; rows are plain JSON."""

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
from coralfall.traffic.gossip_exchange import GossipExchange
from coralfall.traffic.members import Members
from coralfall.traffic.model import DesiredState, EntryRecord, Target
from coralfall.traffic.row_codec import Evacuation, RowCodec, StateRow
from coralfall.traffic.state_view import StateView
from tests.traffic.makers import SteeringFixture, at, make_record, make_settings, seeded_rng


class JsonRowCodec(RowCodec):
    """Rows as JSON of the model."""

    state_prefix = "state/"
    target_prefix = "targets/"
    entry_prefix = "entries/"

    def decode_state_row(self, key: str, data: bytes) -> StateRow:
        if key.startswith("state/evacuate/"):
            return Evacuation(ZoneId(key.removeprefix("state/evacuate/")))
        return self._decode(data, DesiredState)

    def decode_target_row(self, key: str, data: bytes) -> Target:
        return self._decode(data, Target)

    def target_order(self, data: bytes) -> t.Tuple[int, int]:
        fields = msgspec.json.decode(data)
        return fields.get("born") or 0, fields.get("sequence", 0)

    def encode_entry_row(self, record: EntryRecord) -> t.Tuple[str, bytes]:
        return f"entries/{record.entry_id}", msgspec.json.encode(record)

    def decode_entry_row(self, key: str, data: bytes) -> EntryRecord:
        return self._decode(data, EntryRecord)

    def _decode(self, data: bytes, model: t.Any) -> t.Any:
        try:
            return msgspec.json.decode(data, type=model)
        except msgspec.MsgspecError as error:
            raise DesiredStateError(str(error)) from error


class EntryFixture:
    """An entry's state view, members and exchange, without sockets.

    :param clock: a clock that is moved by hand, if not given.
    :param seed: seed of the members' randomness.
    """

    def __init__(
        self, name: str = "e1", clock: t.Optional[Clock] = None, seed: t.Optional[int] = None
    ) -> None:
        self.clock = clock or ManualClock(100.0)
        self.steered = SteeringFixture()
        rng = random.Random(seed) if seed is not None else seeded_rng()
        self.state_view = StateView(
            JsonRowCodec(),
            self.steered.steering,
            self.steered.targets,
            self.clock,
            seeded_rng(),
            make_settings().bounds,
        )
        self.members = Members(make_record(name), self.clock, rng)
        self.quarantine = Quarantine(defaults.QUARANTINE_S, self.clock)
        self.reports = TargetReports(self.clock)
        self.limits = self.reports.limits
        self.exchange = GossipExchange(
            self.members, self.state_view, self.quarantine, self.reports, self.clock
        )

    def learn_state(self, revision: int, key: str, value: t.Any) -> None:
        """Applies one state row, as a read of the store now; ``None`` deletes it."""
        rows = self.state_view.state_rows
        data = None if value is None else msgspec.json.encode(value)
        row = Row(key, data, Revision(revision))
        read_s = self._read_now()
        self.state_view.apply_state_changes(rows.apply_changes([row], at(revision), read_s))

    def learn_targets(self, revision: int, *targets: Target) -> None:
        """Applies a snapshot of the target rows, as a read of the store now."""
        rows = self.state_view.target_rows
        listed = [
            Row(f"targets/{target.target_id}", msgspec.json.encode(target), Revision(revision))
            for target in targets
        ]
        self.state_view.note_outage(self.state_view.targets_age_s())
        read_s = self._read_now()
        self.state_view.apply_target_changes(rows.apply_snapshot(listed, at(revision), read_s))

    def _read_now(self) -> float:
        """Observes the store's clock, which shows the same as the entry's; returns its time."""
        now = self.clock.monotonic()
        self.state_view.store_clock.observe(now, now)
        return now
