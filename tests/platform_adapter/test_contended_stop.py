"""Tests of entries of a contended installation that are told to stop while requests queue."""

import asyncio
import collections
import pathlib
import signal
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from tests.platform_adapter.standins import InstanceStandin
from tests.platform_adapter.test_processes import EntryProcess, Installation, run_scenario

_WORK_S = 0.6
#: For each of two entries: together more than the instances serve in the time limit.
_REQUESTS = 80
_BODY = b"order"


class ContendedEntry(EntryProcess):
    """An entry all of whose services are contended."""

    def __init__(self, folder: pathlib.Path, number: int, store: str) -> None:
        super().__init__(folder, number, store)
        with open(self.settings, "a") as settings:
            settings.write('[dispatch]\nmode = "on"\n')


class ContendedStopTest(unittest.TestCase):
    @parameterized.expand([("one", 1), ("both", 2)])
    def test_queued_requests_are_answered_or_refused(self, _name: str, count: int) -> None:
        """Guards against requests that are lost in the queues of dispatchers at a stop, and
        against refusals of requests that run."""

        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            entries = installation.entries
            for instance in instances:
                instance.service_time_s = _WORK_S

            def send(entry: EntryProcess, number: int) -> "asyncio.Task[t.Any]":
                path, limit_ms = f"/p/{number}", 2500 + number % 3 * 2500
                return asyncio.create_task(
                    installation.request(entry, path, _BODY, deadline_ms=limit_ms)
                )

            sending = [send(entry, n) for entry in entries for n in range(_REQUESTS)]
            await asyncio.sleep(0.4)
            for entry in entries[:count]:
                entry.signal(signal.SIGTERM)
            sending += [send(entry, n) for entry in entries[:count] for n in range(20)]
            answers = await asyncio.gather(*sending)
            ended = [await entry.wait_ended() for entry in entries[:count]]
            log = "\n".join([entry.log.read_text() for entry in entries])
            executed = collections.Counter(
                [one for instance in instances for one in instance.executed_ids]
            )
            statuses = collections.Counter([answer[0] for answer in answers])
            self.assertLessEqual(set(statuses), {200, 503}, log)
            served = {answer[2] for answer in answers if answer[0] == 200}
            self.assertEqual(served, set(executed), log)
            self.assertEqual({1}, set(executed.values()))
            self.assertEqual([0] * count, ended, log)
            # Requests did queue, and some were in queues when the entry was told to stop.
            self.assertIn(":queued:", log)
            self.assertIn("reason=stopping", log)

        route = {"kind": "unsafe", "timeoutS": 8.0, "maxAttempts": 1, "latencyTargetS": 1.0}
        with mock.patch.object(Installation, "entry_type", ContendedEntry):
            run_scenario(scenario, entries=2, route=route)
