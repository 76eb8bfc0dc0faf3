"""Lines that tell why an entry refused requests."""

import io
import typing as t
import unittest

from parameterized import parameterized

from coralfall.balancing.refusals import MAX_LINES_PER_S, RefusalLog, RefusalReason
from coralfall.balancing.slot import Slot, SlotState, state_of
from coralfall.balancing.slots import SlotTable
from coralfall.cluster.lease import Lease
from coralfall.exceptions import RefusedError
from coralfall.ids import EntryId, PartnerId, RegionId, ServiceId
from coralfall.process import log
from coralfall.process.clock import ManualClock
from coralfall.settings import LeaseSettings, LogSettings
from tests.balancing.test_handover import SLOTS, T0, make_limits

PARTNER, SERVICE = PartnerId("cosecha"), ServiceId("pedidos")


class LinesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        log.configure(LogSettings(), self.stream)
        self.addCleanup(log.configure, LogSettings(level="error"), io.StringIO())
        self.clock = ManualClock(100)
        lease = Lease(LeaseSettings(), self.clock)
        slots = SlotTable(EntryId("a"), lease, self.clock, LeaseSettings())
        self.log = RefusalLog(slots, self.clock)

    def _refuse(self, count: int) -> t.List[str]:
        """Returns the lines that so many refusals add."""
        before = len(self.stream.getvalue())
        for _ in range(count):
            refusal = RefusedError("busy", 1.0, reason=RefusalReason.NO_SLOT.value)
            self.log.write(PARTNER, SERVICE, refusal, 0.05, 3, [RegionId("sierra")])
        return self.stream.getvalue()[before:].splitlines()

    def test_a_line_has_what_the_entry_knew(self) -> None:
        (line,) = self._refuse(1)
        for pair in (
            "event=slot.refused",
            "service=pedidos",
            "reason=no-slot",
            "waited_ms=50.0",
            "waiting=3",
            "slots=none",
            "regions=sierra",
            "lease=lapsed",
            "loans=none",
        ):
            self.assertIn(pair, line.split())

    def test_lines_of_a_second_are_bounded_and_the_next_counts_the_rest(self) -> None:
        self.assertEqual(len(self._refuse(1000)), MAX_LINES_PER_S)
        self.clock.advance(1.0)
        self.assertIn(f"left_out={1000 - MAX_LINES_PER_S}", self._refuse(1)[0])


class StateTest(unittest.TestCase):
    """Each reason for which a slot is not free has a name."""

    @parameterized.expand(
        [
            (SlotState.FREE, {}),
            (SlotState.BUSY, {"busy": True}),
            (SlotState.WITHHELD, {"index": SLOTS}),
            (SlotState.LOAN_EXPIRED, {"valid_until": 99.0}),
            (SlotState.LENT, {"lent_until": 101.0}),
            (SlotState.UNLEASED, {}, False),
            (SlotState.UNACKNOWLEDGED, {"blocking_member": EntryId("b")}),
            (SlotState.HANDOVER, {"prior_dispatch_until": 100.0}),
            (SlotState.UNPROVED, {"prior_dispatch_until": 90.0}),
        ]
    )
    def test_state(
        self, state: SlotState, values: t.Mapping[str, t.Any], leased: bool = True
    ) -> None:
        limit = make_limits()[T0]
        slot = Slot(T0, 0, limit)
        for name, value in values.items():
            setattr(slot, name, value)
        self.assertIs(state_of(slot, limit, 100.0, leased), state)
