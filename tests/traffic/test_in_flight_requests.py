"""Tests of requests that wait in an entry when it is told to stop."""

import asyncio
import contextlib
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import EntryId
from coralfall.placement.stop_admission import AcceptTimes, StopAdmission
from coralfall.process.clock import Clock, SystemClock
from coralfall.process.shutdown import Shutdown
from coralfall.traffic.callers import CallersApp
from coralfall.traffic.dispatch_selection import DispatchSelector
from coralfall.traffic.model import RequestKind
from coralfall.traffic.target_selection import LocalSelector
from tests.traffic.makers import PEDIDOS, make_route
from tests.traffic.scripted_target import ReceivedRequest, ScriptedTarget
from tests.traffic.test_forwarder import ForwarderHarness, ok, server_error
from tests.traffic.test_target_selection import FakeClient
from tests.virtual_loop import LoopClock, run_virtual

_GRACE_S = 6.0
_OWNER = EntryId("e9")
_PATIENCE_S = 10.0


class CallersHarness:
    """The callers' application of an entry, with a fake desired state."""

    def __init__(
        self, addresses: t.Sequence[str], clock: Clock, kind: RequestKind = RequestKind.UNSAFE
    ) -> None:
        self.clock = clock
        self.forwarding = ForwarderHarness(addresses, clock=clock)
        self.shutdown = Shutdown(_GRACE_S, clock, lambda: 0.0)
        self.admission = StopAdmission(self.shutdown, AcceptTimes(0.0, _GRACE_S), clock)
        self.forwarding.forwarder._stop_admission = self.admission
        route = make_route(kind=kind, timeout_s=60.0, session_affinity=False)
        state_view = mock.Mock(state=None, version=1)
        state_view.routes.find.return_value = route
        state_view.split.choose.return_value = PEDIDOS
        state_view.state_age_s.return_value = state_view.targets_age_s.return_value = 0.0
        self.quotas = mock.Mock(acquire=mock.AsyncMock(return_value=_OWNER))
        self.app = CallersApp(
            mock.Mock(request_id=b"x-request-id", time_left=b"left"),
            state_view,
            mock.Mock(**{"authenticate.return_value": None}),
            self.quotas,
            self.forwarding.forwarder,
            mock.Mock(),
            mock.Mock(**{"is_contended.return_value": True}),
            self.admission,
            clock,
        )
        self.ended_at: t.Optional[float] = None

    async def ask(self, limit_s: float, body: bytes = b"") -> int:
        """Sends a request, of whose body only that part comes, and returns the status."""
        sent: t.List[t.Dict[str, t.Any]] = []
        pieces = [body] if body else []

        async def receive() -> t.Dict[str, t.Any]:
            if pieces:
                return {"type": "http.request", "body": pieces.pop(), "more_body": True}
            await asyncio.Event().wait()
            raise AssertionError("not reached")

        async def send(message: t.Dict[str, t.Any]) -> None:
            sent.append(message)

        headers = [(b"x-request-id", b"id1"), (b"left", b"%d" % (limit_s * 1000))]
        if body:
            headers.append((b"content-length", b"%d" % (len(body) + 1)))
        scope = {
            "type": "http",
            "method": "POST",
            "path": "/p/1",
            "raw_path": b"/p/1",
            "query_string": b"",
            "headers": headers,
            "client": ("10.0.0.1", 1),
        }
        await self.app(scope, t.cast(t.Any, receive), t.cast(t.Any, send))
        self.ended_at = self.clock.monotonic()
        return int(sent[0]["status"])

    def stop(self) -> None:
        self.shutdown.begin_now()
        self.app.requests.end_at_stop()


async def _forever(*_args: t.Any, **_options: t.Any) -> t.Any:
    await asyncio.Event().wait()


def _wait_in_body(harness: CallersHarness) -> t.Any:
    return contextlib.nullcontext(harness)


def _wait_for_quota(harness: CallersHarness) -> t.Any:
    return mock.patch.object(harness.quotas, "acquire", _forever)


def _wait_for_dispatcher(harness: CallersHarness) -> t.Any:
    return mock.patch.object(harness.forwarding.forwarder._selector, "select", _forever)


def _wait_in_queue(harness: CallersHarness) -> t.Any:
    forwarding = harness.forwarding
    # Busy, then queued, without a notice.
    client = FakeClient("B300 Q300")
    client.notice = asyncio.get_running_loop().create_future()
    selector = DispatchSelector(
        LocalSelector(forwarding.steering, forwarding.clock),
        client,
        forwarding.steering,
        forwarding.targets,
        forwarding.clock,
    )
    return mock.patch.object(forwarding.forwarder, "_selector", selector)


def _wait_for_permit(harness: CallersHarness) -> t.Any:
    return mock.patch.object(harness.forwarding.forwarder._permits, "acquire", _forever)


def _wait_for_connection(harness: CallersHarness) -> t.Any:
    return mock.patch.object(harness.forwarding.pool, "acquire", _forever)


_WAITS = [
    ("body", _wait_in_body, b"part", False),
    ("quota", _wait_for_quota, b"", False),
    ("dispatcher", _wait_for_dispatcher, b"", True),
    ("queue of a dispatcher", _wait_in_queue, b"", True),
    ("permit", _wait_for_permit, b"", True),
    ("connection", _wait_for_connection, b"", True),
]


class WaitingRequestTest(unittest.TestCase):
    @parameterized.expand(_WAITS)
    def test_a_wait_in_vain_ends_with_the_signal(
        self, _name: str, wait_at: t.Callable[..., t.Any], body: bytes, has_token: bool
    ) -> None:
        """Requests waited on for their whole time although no target could get them any more."""

        async def main(clock: LoopClock) -> None:
            harness = CallersHarness(["127.0.0.1:1"], clock)
            with wait_at(harness):
                asking = asyncio.create_task(harness.ask(8.0, body))
                await asyncio.sleep(1.0)
                harness.stop()
                self.assertEqual(503, await asking)
                self.assertEqual(0, asking.cancelling())
            assert harness.ended_at is not None
            self.assertLess(harness.ended_at, 1.01)
            self.assertEqual(1, harness.app.refused_at_stop)
            self.assertEqual((0, 0), (harness.app.in_flight, harness.app.cut_off_at_stop))
            self.assertEqual(int(has_token), harness.quotas.return_token.call_count)
            state = next(iter(harness.forwarding.targets.by_id.values()))
            self.assertEqual(0, state.in_flight)

        run_virtual(main)

    @parameterized.expand(_WAITS)
    def test_a_wait_that_may_still_be_of_use_goes_on(
        self, _name: str, wait_at: t.Callable[..., t.Any], body: bytes, _has_token: bool
    ) -> None:
        async def main(clock: LoopClock) -> None:
            harness = CallersHarness(["127.0.0.1:1"], clock)
            with wait_at(harness):
                asking = asyncio.create_task(harness.ask(5.0, body))
                await asyncio.sleep(1.0)
                harness.stop()
                await asyncio.sleep(3.9)
                self.assertFalse(asking.done())
                asking.cancel()
                await asyncio.wait({asking})

        run_virtual(main)

    def test_an_idempotent_request_waits_as_long_as_its_service_may_need(self) -> None:
        """Guards against checks at the signal only, where more time is left than is needed."""

        async def main(clock: LoopClock) -> None:
            harness = CallersHarness(["127.0.0.1:1"], clock, RequestKind.SAFE)
            harness.admission.record(PEDIDOS, 2.0)
            with _wait_for_dispatcher(harness):
                asking = asyncio.create_task(harness.ask(30.0))
                await asyncio.sleep(1.0)
                harness.stop()
                self.assertEqual(503, await asking)
            assert harness.ended_at is not None
            answers_s = _GRACE_S - defaults.STOP_RESERVE_S - defaults.STOP_ANSWER_MARGIN_S
            self.assertGreaterEqual(harness.ended_at, 1.0 + answers_s - 2.0)
            self.assertLess(harness.ended_at, 1.0 + answers_s - 2.0 + 2 * defaults.STOP_CHECK_S)

        run_virtual(main)

    def test_a_request_at_a_target_is_left_alone(self) -> None:
        """Guards against a request that runs and is refused, and would then run twice."""

        async def answer_later(received: ReceivedRequest) -> None:
            await asyncio.sleep(0.3)
            await ok(received)

        async def main() -> None:
            async with ScriptedTarget(answer_later) as target:
                harness = CallersHarness([target.address], SystemClock())
                asking = asyncio.create_task(harness.ask(20.0))
                async with asyncio.timeout(_PATIENCE_S):
                    await target.request_received.wait()
                    harness.stop()
                    self.assertEqual(200, await asking)
                harness.forwarding.pool.close()

        asyncio.run(main())

    def test_the_wait_for_a_retry_ends_with_the_answer_that_there_is(self) -> None:
        """Guards against a refusal of a request that a target has run and answered."""

        async def main() -> None:
            async with ScriptedTarget(server_error) as target:
                harness = CallersHarness([target.address] * 2, SystemClock(), RequestKind.SAFE)
                selector = harness.forwarding.forwarder._selector
                select = selector.select
                waits = asyncio.Event()

                async def select_once(request: t.Any, *rest: t.Any) -> t.Any:
                    if request.attempts:
                        waits.set()
                        await asyncio.Event().wait()
                    return await select(request, *rest)

                with mock.patch.object(selector, "select", select_once):
                    asking = asyncio.create_task(harness.ask(20.0))
                    async with asyncio.timeout(_PATIENCE_S):
                        await waits.wait()
                        # The service has needed too long for what is left of the grace.
                        harness.admission.record(PEDIDOS, 20.0)
                        harness.stop()
                        self.assertEqual(500, await asking)
                harness.forwarding.pool.close()

        asyncio.run(main())

    def test_a_retry_that_is_cut_off_ends_with_the_answer_that_there_is(self) -> None:
        """The answer of a target was replaced by one of the entry's own."""

        async def main() -> None:
            async def fail_then_hang(received: ReceivedRequest) -> None:
                if len(target.received) == 1:
                    await server_error(received)
                    return
                harness.stop()
                await asyncio.Event().wait()

            async with ScriptedTarget(fail_then_hang) as target:
                harness = CallersHarness([target.address] * 2, SystemClock(), RequestKind.SAFE)
                harness.shutdown.grace_s = 1.0
                async with asyncio.timeout(_PATIENCE_S):
                    self.assertEqual(500, await harness.ask(20.0))
                harness.forwarding.pool.close()
                self.assertEqual(2, len(target.received))
                for state in harness.forwarding.targets.by_id.values():
                    self.assertEqual(0, state.in_flight)

        asyncio.run(main())

    @parameterized.expand([("first", False), ("second", True)])
    def test_a_caller_that_leaves_at_the_same_time(self, _name: str, gone_first: bool) -> None:
        """Guards against a cancellation that is taken for the other one and ends nothing."""

        async def main(clock: LoopClock) -> None:
            harness = CallersHarness(["127.0.0.1:1"], clock)
            with _wait_for_dispatcher(harness):
                asking = asyncio.create_task(harness.ask(8.0))
                await asyncio.sleep(1.0)
                if gone_first:
                    asking.cancel()
                harness.stop()
                if not gone_first:
                    asking.cancel()
                await asyncio.wait({asking}, timeout=1.0)
            self.assertTrue(asking.done())
            self.assertEqual(0, harness.app.in_flight)

        run_virtual(main)
