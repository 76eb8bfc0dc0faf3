"""Tests of stops of entries that are cut off from targets, and of those that carry for them."""

import asyncio
import collections
import signal
import typing as t
import unittest

from parameterized import parameterized

from tests.linked_entry import Loss
from tests.platform_adapter.test_cut_entries import ORDER, Fleet, run_fleet

_WORK_S = 0.7
_PAUSE_S = 0.04
#: Sent before the signal, and after it until the listener of a stopping entry is closed.
_BEFORE, _AFTER = 20, 110


class CutStopTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("an entry that carries", (3,)),
            ("two of three that carry", (1, 3)),
            ("the entry that is cut off", (0,)),
            ("all", (0, 1, 2, 3)),
        ]
    )
    def test_carried_commands_are_answered_or_refused(
        self, _name: str, stopped: t.Sequence[int]
    ) -> None:
        """Guards against commands that are lost on the way through another entry at a stop, and
        against refusals of commands that run."""

        async def scenario(fleet: Fleet) -> None:
            cut = fleet.entries[0]
            cut.links.set(Loss.REFUSING)
            await fleet.send(cut, ORDER, 20, 0.15)
            for instance in fleet.instances:
                instance.service_time_s = _WORK_S
                instance.executed_ids.clear()

            sending: t.List["asyncio.Task[t.Any]"] = []

            def send() -> None:
                request = fleet.installation.request(cut, f"{ORDER}{len(sending)}", b"order")
                sending.append(asyncio.create_task(request))

            for _ in range(_BEFORE):
                send()
                await asyncio.sleep(_PAUSE_S)
            for number in stopped:
                fleet.entries[number].signal(signal.SIGTERM)
            for _ in range(_AFTER):
                send()
                await asyncio.sleep(_PAUSE_S)
            answers = await asyncio.gather(*sending)
            ended = [await fleet.entries[number].wait_ended() for number in stopped]
            log = "\n".join([entry.log.read_text() for entry in fleet.entries])
            executed = collections.Counter(
                [one for instance in fleet.instances for one in instance.executed_ids]
            )
            served = {answer[2] for answer in answers if answer[0] == 200}
            # An entry that has stopped takes no connection any more, which is answered by none.
            expected = {200, 503, 0} if 0 in stopped else {200, 503}
            self.assertLessEqual({answer[0] for answer in answers}, expected, log)
            self.assertEqual(served, set(executed), log)
            self.assertEqual({1}, set(executed.values()), log)
            self.assertEqual([0] * len(stopped), ended, log)
            # The entry of the same zone, which carries all until it leaves.
            self.assertIn(":via=e3", log)

        run_fleet(scenario)
