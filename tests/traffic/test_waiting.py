"""Tests of requests whose target wants no more just as they wait to be sent to it."""

import asyncio
import itertools
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall.ids import TargetId
from coralfall.placement.target_reports import TargetReport
from tests.traffic.raw_target import RawTarget
from tests.traffic.test_forwarder import Path, ok

#: What the target says meanwhile, and the result of the send that was given up.
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
            async with RawTarget(ok) as target, RawTarget(ok) as other:
                path = Path([target.address, other.address])
                path.forwarder._budget.try_spend = mock.Mock(return_value=False)  # type: ignore
                state = path.targets.by_id[TargetId("t0")]
                request = path.request(kind, first="t0")
                waited = path.pool if waits_for == "connection" else path.forwarder._permits
                take = waited.take

                async def take_slowly(*arguments: t.Any) -> t.Any:
                    taken = await take(*arguments)
                    if arguments[0] is state.target:
                        path.targets.reports.record(state, report, 0.0)
                    return taken

                with mock.patch.object(waited, "take", take_slowly):
                    reply = await path.forward(request)
                path.pool.close()
                results = [send.result for send in request.sends]
                return reply.status, results, [len(target.turns), len(other.turns)]

        self.assertEqual((200, [result, "200"], [0, 1]), asyncio.run(main()))
