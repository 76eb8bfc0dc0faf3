"""Tests of requests at targets that a stopping entry holds silent, or that leave meanwhile."""

import asyncio
import signal
import typing as t
import unittest

from tests.platform_adapter.standins import InstanceStandin
from tests.platform_adapter.test_processes import ZONES, Installation, run_scenario

#: Fewer together than an instance has slots.
_SLOW = 3
_HASTY = 2
#: So long that the entry reads the rows of targets again after they were changed.
_WORK_S = 4.2
_BODY = b"order"


class SilentAtStopTest(unittest.TestCase):
    def test_what_targets_do_ends_no_request_in_flight(self) -> None:
        """Guards against an entry that answers in the place of a target that it holds silent, or
        that is withdrawn at the end of the stop."""

        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            entry = installation.entries[0]
            for instance in instances:
                instance.service_time_s = _WORK_S

            def send(count: int, deadline_ms: int) -> t.List["asyncio.Task[t.Any]"]:
                return [
                    asyncio.create_task(
                        installation.request(entry, f"/p/{n}", _BODY, deadline_ms=deadline_ms)
                    )
                    for n in range(count)
                ]

            entry.signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            slow = send(_SLOW, 4600)
            await asyncio.sleep(0.3)
            hasty = [answer[0] for answer in await asyncio.gather(*send(_HASTY, 300))]
            await asyncio.sleep(2.6)
            # By now the parts that bring targets up to date at intervals have stopped.
            store, instance = installation.store, instances[0]
            row = instance.row("s1", ZONES[0], state="draining")
            store.put("servers", instance.instance_id, row)
            await asyncio.sleep(0.2)
            store.remove("servers", instance.instance_id)
            answers = await asyncio.gather(*slow)
            status = await entry.wait_ended()
            log = entry.log.read_text()
            self.assertEqual([200] * _SLOW, [answer[0] for answer in answers], log)
            self.assertEqual({504}, set(hasty), log)
            self.assertEqual(_SLOW + _HASTY, len(instance.executed_ids), log)
            self.assertIn(f"target={instance.instance_id} failures=1 reached=true", log)
            self.assertIn("silent=true", log)
            self.assertIn(f"target.removed entry=e0 target={instance.instance_id}", log)
            self.assertEqual(0, status, log)

        route = {"kind": "unsafe", "timeoutS": 5.0, "maxAttempts": 1}
        run_scenario(scenario, entries=1, route=route)
