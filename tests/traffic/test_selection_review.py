"""Tests of faults that a review of the selection of targets of contended services found."""

import asyncio
import contextlib
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall import defaults
from coralfall.exceptions import RefusedError
from coralfall.forwarding.request import MemoryAccount
from coralfall.placement.dispatch import DispatchAnswer, Ticket
from coralfall.placement.spill_limit import SpillLimit
from coralfall.process.clock import Clock
from coralfall.traffic.answer_memory import AnswerMemory, HeldAnswer
from coralfall.traffic.dispatch_selection import DispatchSelector
from coralfall.traffic.steered_request import SteeredRequest
from coralfall.traffic.target_selection import LocalSelector
from tests.traffic import test_forwarder as scripts
from tests.traffic.makers import PEDIDOS, PUERTO, SteeringFixture, make_route, make_target
from tests.traffic.scripted_target import ScriptedTarget
from tests.traffic.test_target_selection import FakeClient
from tests.virtual_loop import run_virtual


class Selection:
    """A selector with two targets in the entry's region and one in another, and a request."""

    def __init__(self, client: t.Any, seconds: float, clock: t.Optional[Clock] = None) -> None:
        targets = (make_target(1), make_target(2), make_target(3, zone=PUERTO))
        self.fixture = SteeringFixture(*targets)
        self.clock: t.Any = clock or self.fixture.clock
        steering, registry = self.fixture.steering, self.fixture.targets
        local = LocalSelector(steering, self.clock)
        self.selector = DispatchSelector(local, client, steering, registry, self.clock)
        route = make_route(timeout_s=seconds)
        arguments: t.Any = ("GET", "/p/1", "a.example", [], None, route, PEDIDOS, "id1", b"object")
        deadline = self.clock.monotonic() + seconds
        self.request = SteeredRequest(*arguments, deadline, contended=True)

    async def select(self) -> t.Any:
        return await self.selector.select(self.request, (), None)


class SpillTest(unittest.TestCase):
    @parameterized.expand([("within the window", 1.0, True), ("for longer", 2.5, False)])
    def test_refused_after_a_wait(self, _name: str, waited_s: float, has_room: bool) -> None:
        """Guards against spills beyond the limit: a request that was refused after the window took
        back the spill of another one."""
        client = FakeClient("B500 B600 B100 Q100")
        selection = Selection(client, 9.0)
        limit = selection.selector._spill_limit

        async def wait(ticket: Ticket, until: float) -> t.Optional[DispatchAnswer]:
            selection.clock.advance(waited_s)
            if not has_room:
                self.assertTrue(limit.try_spill(PEDIDOS, 0.0))
            return None

        client.wait = wait  # type: ignore[method-assign]
        with mock.patch.object(SpillLimit, "_rounding", return_value=1.0):
            with self.assertRaises(RefusedError):
                asyncio.run(selection.select())
            self.assertEqual(has_room, limit.try_spill(PEDIDOS, 0.0))

    def test_caller_gone_during_the_ask(self) -> None:
        """Guards against a spill that counts though its caller left before the answer."""
        client = FakeClient("B500 B600")
        selection = Selection(client, 9.0)
        limit = selection.selector._spill_limit
        answer = client.ask

        async def ask(target: t.Any, ask: t.Any) -> t.Optional[Ticket]:
            if not client.steps:
                raise asyncio.CancelledError
            return await answer(target, ask)

        client.ask = ask  # type: ignore[method-assign]
        with mock.patch.object(SpillLimit, "_rounding", return_value=1.0):
            with self.assertRaises(asyncio.CancelledError):
                asyncio.run(selection.select())
            self.assertTrue(limit.try_spill(PEDIDOS, 0.0))


class SilentClient(FakeClient):
    """Dispatchers that do not answer until the client's time-out."""

    async def ask(self, target: t.Any, ask: t.Any) -> t.Optional[Ticket]:
        await asyncio.sleep(0.0 if self.dispatcher == "answers" else defaults.DISPATCH_TIMEOUT_S)
        return await super().ask(target, ask)


class DeadlineTest(unittest.TestCase):
    @parameterized.expand(
        [("silent", "- - -", 0.06), ("answers", "A30", 0.06), ("silent", "A30", 1)]
    )
    def test_silent_dispatcher(self, dispatcher: str, script: str, seconds: float) -> None:
        """Guards against a reply after the deadline, as the last ask waits for a silent dispatcher
        beyond it."""

        async def main(clock: Clock) -> t.Tuple[float, bool]:
            client = SilentClient(script, dispatcher)
            selection = Selection(client, seconds, clock)
            with contextlib.suppress(RefusedError):
                await selection.select()
            return clock.monotonic(), bool(selection.selector._ticket_by_reservation)

        ended_at, is_assigned = run_virtual(main)
        self.assertLess(ended_at, seconds)
        self.assertEqual("A" in script, is_assigned)


class HeldAnswerTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("no proof of a rejection", scripts.rejection_without_proof, 0),
            ("not signed", scripts.unsigned, 0),
            ("broken", scripts.truncated, 0),
            ("answered", scripts.ok, 5),
        ]
    )
    def test_answer_of_a_failed_attempt(self, _name: str, script: t.Any, held: int) -> None:
        """Guards against an answer that is not passed on, but counts toward the entry's memory
        until the caller has read the answer of another attempt."""
        memory = AnswerMemory(MemoryAccount(100))
        answer = HeldAnswer(memory, "caller")
        most = mock.Mock(side_effect=answer.take)

        async def main() -> None:
            async with ScriptedTarget(script) as target:
                harness = scripts.ForwarderHarness([target.address])
                request = harness.request("safe", max_attempts=1)
                request.held_answer = mock.Mock(wraps=answer, held=0, take=most)
                await harness.forward(request)
                harness.pool.close()

        asyncio.run(main())
        most.assert_called()
        self.assertEqual(held, memory.held)
