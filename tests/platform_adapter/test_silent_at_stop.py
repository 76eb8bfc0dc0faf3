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
_WORK_S = 3.8
_BODY = b"order"


class SilentAtStopTest(unittest.TestCase):
    def test_what_targets_do_ends_no_request_in_flight(self) -> None:
        """Guards against an entry that answers in the place of a target that it holds silent, or
        that is withdrawn once the parts that bring the targets up to date have stopped."""

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
            await asyncio.sleep(2.7)
            # By now the entry reads no rows at intervals any more; gone and draining at once.
            store = installation.store
            store.remove("servers", instances[0].instance_id)
            row = instances[1].row("s1", ZONES[1])
            row["status"]["state"] = "draining"
            store.put("servers", instances[1].instance_id, row)
            answers = await asyncio.gather(*slow)
            status = await entry.wait_ended()
            log = entry.log.read_text()
            self.assertEqual([200] * _SLOW, [answer[0] for answer in answers], log)
            self.assertEqual({504}, set(hasty), log)
            self.assertIn("silent=true", log)
            self.assertEqual(0, status, log)

        route = {"kind": "unsafe", "timeoutS": 5.0, "maxAttempts": 1}
        run_scenario(scenario, entries=1, route=route)
