"""Randomized test: reports of targets hold in any history of rows, answers and failures."""

import collections
import random
import typing as t
import unittest

from coralfall.exceptions import RefusedError
from coralfall.ids import TargetId
from coralfall.placement.reservation import TargetReservation
from coralfall.placement.target_reports import TargetReport
from coralfall.placement.targets import TargetState
from coralfall.traffic.model import Target
from tests.traffic.makers import PEDIDOS, SteeringFixture, make_route, make_target

_SEEDS = 250
_STEPS = 60
_TARGETS = 4
#: Fewer than targets, so that addresses are reused.
_ADDRESSES = 3
_SECONDS = (0.05, 0.3, 0.5, 1.0, 3.0)
_COOLDOWNS_S = (0.05, 0.5, 1.0, 3.0, 10.0)
#: Seconds by which a time that is told to a caller may be too short.
_ROUNDING_S = 1e-6

_Lifetime = t.Tuple[str, t.Optional[int], str]


class History:
    """One entry, targets that start, stop and report, and requests that wait before they are sent.

    :param rng: draws the events.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.steered = SteeringFixture()
        self.rows: t.Dict[TargetId, Target] = {}
        self.born = 1000
        #: Lifetimes that announced their departure to this entry, and ends of cooldowns.
        self.departed: t.Set[_Lifetime] = set()
        self.cooldown_until: t.Dict[_Lifetime, float] = {}
        #: Requests with a reservation that wait for a connection or a token.
        self.waiting: t.List[TargetReservation] = []
        #: Requests that were sent and not answered yet.
        self.sent: t.List[TargetReservation] = []
        #: Number of events by kind, to show that the histories cover them.
        self.counts: t.Counter[str] = collections.Counter()
        for number in range(2):
            self._start(number, number)

    def play(self, steps: int) -> None:
        events = (
            [self.ask] * 5 + [self.send] * 5 + [self.answer] * 5 + [self.wait] * 3 + [self.fail]
        )
        events += [self.start, self.rewrite_row, self.lose_row]
        for _ in range(steps):
            self.rng.choice(events)()
            self.check_unrestricted_targets_are_used()

    @property
    def now(self) -> float:
        return self.steered.clock.now

    def start(self) -> None:
        """Starts a lifetime, under an id and at an address that others may have had."""
        self._start(self._number(), self.rng.randrange(_ADDRESSES))

    def _start(self, number: int, address: int) -> None:
        self.born += 1
        target = make_target(number, address=f"127.0.0.1:{address + 1}", born=self.born)
        self.rows[target.target_id] = target
        self._update_rows()

    def rewrite_row(self) -> None:
        """Changes the row of a lifetime, perhaps to an outdated one."""
        number = self._number()
        target = self.rows.get(TargetId(f"t{number}"))
        if target is None:
            return
        self.rows[target.target_id] = make_target(
            number,
            address=target.address,
            born=target.born,
            cold_s=self.rng.choice((0.0, 0.0, 0.5)),
            leaving=self.rng.random() < 0.2,
        )
        self._update_rows()

    def lose_row(self) -> None:
        """Removes a row, for good or for a moment."""
        target = self.rows.pop(TargetId(f"t{self._number()}"), None)
        self._update_rows()
        if target is not None and self.rng.random() < 0.7:
            self.rows[target.target_id] = target
            self._update_rows()

    def wait(self) -> None:
        self.steered.clock.advance(self.rng.choice(_SECONDS))
        self.steered.targets.reports.tick(self.steered.targets.by_id)

    def fail(self) -> None:
        """Lets a target seem unhealthy, so that fallbacks are used."""
        state = self.steered.targets.by_id.get(TargetId(f"t{self._number()}"))
        if state is not None:
            state.record_failure(reached=False)

    def ask(self) -> None:
        """New requests arrive, or ones that a target rejected are retried."""
        shed = self.steered.targets.by_id.get(TargetId(f"t{self._number()}"))
        if shed is not None and not shed.sheds_at_random():
            shed = None
        tried = () if shed is None else (shed.target.target_id,)
        key = b"%d" % self.rng.randrange(5)
        for _ in range(self.rng.randint(1, 4)):
            try:
                reservation = self.steered.steering.choose(
                    make_route(), PEDIDOS, key, tried, again=shed
                )
            except RefusedError as refusal:
                self._check_refusal(refusal)
                return
            self.waiting.append(reservation)

    def send(self) -> None:
        """Sends requests that waited, unless the last check blocks them."""
        for _ in range(min(self.rng.randint(1, 4), len(self.waiting))):
            reservation = self.waiting.pop(0)
            expected = self._restriction(reservation.state)
            if self.steered.targets.block_reason(reservation.state) is not None:
                self.counts[f"held back, {expected}"] += 1
                reservation.cancel()
                continue
            assert expected is None, f"sent to {reservation.state.target}, which {expected}"
            self.counts["sent"] += 1
            self.sent.append(reservation)

    def answer(self) -> None:
        """A target answers, perhaps with a report."""
        if not self.sent:
            return
        reservation = self.sent.pop(self.rng.randrange(len(self.sent)))
        leaving = self.rng.random() < 0.1
        cooldown_s = self.rng.choice(_COOLDOWNS_S) if self.rng.random() < 0.4 else None
        report = TargetReport(leaving=leaving, cooldown_s=cooldown_s)
        self.steered.targets.reports.record(reservation.state, report, self.now)
        reservation.state.record_success()
        reservation.release()
        lifetime = _lifetime(reservation.state.target)
        if leaving:
            self.departed.add(lifetime)
        if cooldown_s is not None:
            until = self.now + cooldown_s
            self.cooldown_until[lifetime] = max(self.cooldown_until.get(lifetime, 0.0), until)

    def check_unrestricted_targets_are_used(self) -> None:
        """A target without restrictions is used, whatever other targets reported."""
        for state in self.steered.targets.by_id.values():
            unrestricted = self._restriction(state) is None and not state.target.leaving
            healthy = state.is_usable() and not state.is_cold() and not state.is_unresponsive()
            if not unrestricted or not healthy or not state.has_room():
                continue
            reservation = self.steered.steering.choose(make_route(), PEDIDOS, b"probe", ())
            reservation.cancel()
            assert self._restriction(reservation.state) is None, f"chose {reservation.state.target}"
            return

    def _number(self) -> int:
        return self.rng.randrange(_TARGETS)

    def _check_refusal(self, refusal: RefusedError) -> None:
        self.counts[f"refused, {refusal.fields['reason']}"] += 1
        if refusal.fields["reason"] != "cooldown":
            return
        states = self.steered.targets.of_service(PEDIDOS)
        ends = [self.cooldown_until[_lifetime(state.target)] for state in states]
        assert self.now + refusal.retry_after >= min(ends) - _ROUNDING_S

    def _restriction(self, state: TargetState) -> t.Optional[str]:
        lifetime = _lifetime(state.target)
        if lifetime in self.departed:
            return "leaves"
        return "cools down" if self.cooldown_until.get(lifetime, 0.0) > self.now else None

    def _update_rows(self) -> None:
        self.steered.targets.update(self.rows)


def _lifetime(target: Target) -> _Lifetime:
    return target.target_id, target.born, target.address


class HistoriesTest(unittest.TestCase):
    def test_any_history(self) -> None:
        counts: t.Counter[str] = collections.Counter()
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                history = History(random.Random(seed))
                history.play(_STEPS)
                counts += history.counts
        for seen in ("sent", "held back, leaves", "held back, cools down", "refused, cooldown"):
            self.assertGreater(counts[seen], 100, seen)
