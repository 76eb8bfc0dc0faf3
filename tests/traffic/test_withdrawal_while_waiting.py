"""Tests of requests whose target stops accepting requests while they wait to be sent to it."""

import asyncio
import itertools
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall.ids import TargetId
from coralfall.placement.target_reports import TargetReport
from tests.traffic.scripted_target import ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness, ok

#: Report of the target in the meantime, and the result of the abandoned attempt.
_REPORTS = (
    (TargetReport(leaving=True), "withdrawn"),
    (TargetReport(cooldown_s=3.0), "cooldown"),
)
_KINDS = ("safe", "unsafe", "upload")


class WaitingTest(unittest.TestCase):
    @parameterized.expand(itertools.product(_KINDS, ("connection", "token"), _REPORTS))
    def test_it_goes_elsewhere_and_costs_no_second_send(
        self, kind: str, waits_for: str, said: t.Tuple[TargetReport, str]
    ) -> None:
        report, result = said

        async def main() -> t.Tuple[int, t.List[str], t.List[int]]:
            async with ScriptedTarget(ok) as target, ScriptedTarget(ok) as other:
                harness = ForwarderHarness([target.address, other.address])
                harness.forwarder._budget.acquire = mock.Mock(return_value=False)  # type: ignore
                state = harness.targets.by_id[TargetId("t0")]
                request = harness.request(kind, first="t0")
                waited = harness.pool if waits_for == "connection" else harness.forwarder._permits
                acquire = waited.acquire

                async def take_slowly(*arguments: t.Any) -> t.Any:
                    taken = await acquire(*arguments)
                    if arguments[0] is state.target:
                        harness.targets.reports.record(state, report, 0.0)
                    return taken

                with mock.patch.object(waited, "acquire", take_slowly):
                    reply = await harness.forward(request)
                harness.pool.close()
                results = [send.result for send in request.attempts]
                return reply.status, results, [len(target.received), len(other.received)]

        self.assertEqual((200, [result, "200"], [0, 1]), asyncio.run(main()))
