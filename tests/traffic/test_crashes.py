"""Tests of telling a crashed target from a lost response, and of quarantined requests."""

import asyncio
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import Outcome, TargetId
from coralfall.placement.fingerprint import caller_digest, fingerprint, head_digest
from coralfall.placement.quarantine import crash_digest
from coralfall.traffic.crash_detector import Crash, CrashDetector
from coralfall.traffic.reply import Reply
from tests.traffic.makers import make_target
from tests.traffic.scripted_target import ReceivedRequest, ScriptedTarget
from tests.traffic.test_forwarder import (
    ForwarderHarness,
    close,
    garbage,
    never_answers,
    ok,
    reset,
    server_error,
    shed,
    truncated,
)

#: Timeouts of requests that get no response, and of all others. The latter is far longer than they
#: take, also on a machine that stalls at times.
_UNANSWERED_S = 0.5
_PATIENCE_S = 30.0


async def settle(watch: CrashDetector) -> None:
    """Waits until all connections that ended are attributed to a crash or to none."""
    while watch._tasks:
        await asyncio.wait(watch._tasks)


async def crash_seen(
    kind: str, script: t.Callable[[ReceivedRequest], t.Awaitable[None]], is_down: bool, **row: t.Any
) -> t.Tuple[ForwarderHarness, t.List[Crash]]:
    """Forwards a request to a target that runs a script, and stops listening if told to."""
    crashes: t.List[Crash] = []

    async def scripted(received: ReceivedRequest) -> None:
        if is_down:
            target.stop_listening()
        await script(received)

    async with ScriptedTarget(scripted) as target:
        harness = ForwarderHarness([target.address])
        harness.crash_detector.on_crash = crashes.append
        if row:
            changed = make_target(0, address=target.address, **row)
            harness.targets.by_id[TargetId("t0")].target = changed
        seconds = _UNANSWERED_S if script is never_answers else _PATIENCE_S
        with mock.patch.object(defaults, "TARGET_CONNECT_S", _PATIENCE_S):
            await harness.forward(harness.request(kind, seconds=seconds))
            await settle(harness.crash_detector)
        harness.pool.close()
    return harness, crashes


class CrashWatchTest(unittest.TestCase):
    @parameterized.expand(
        [
            # script, whether the target stops listening, whether that is a crash
            ("closed and gone", close, True, True),
            ("reset and gone", reset, True, True),
            ("half an answer and gone", truncated, True, True),
            ("closed", close, False, False),
            ("reset", reset, False, False),
            ("half an answer", truncated, False, False),
            ("no answer at all", garbage, True, False),
            ("silent", never_answers, True, False),
            ("answered and gone", ok, True, False),
        ]
    )
    def test_what_is_a_crash(
        self,
        _name: str,
        script: t.Callable[[ReceivedRequest], t.Awaitable[None]],
        is_down: bool,
        found: bool,
    ) -> None:
        for kind in ("safe", "unsafe"):
            _, crashes = asyncio.run(crash_seen(kind, script, is_down))
            self.assertEqual([TargetId("t0")] * found, [one.target.target_id for one in crashes])

    def test_a_target_that_leaves_ends_as_planned(self) -> None:
        _, crashes = asyncio.run(crash_seen("unsafe", close, True, leaving=True))
        self.assertEqual([], crashes)

    def test_all_that_was_in_hand_is_named_once(self) -> None:
        async def main() -> t.List[Crash]:
            together = asyncio.Event()

            async def go_down(received: ReceivedRequest) -> None:
                if len(target.received) == 3:
                    target.stop_listening()
                    together.set()
                await together.wait()
                received.reset()

            crashes: t.List[Crash] = []
            async with ScriptedTarget(go_down) as target:
                harness = ForwarderHarness([target.address])
                harness.crash_detector.on_crash = crashes.append
                requests = [harness.request("unsafe", number) for number in range(3)]
                for number, request in enumerate(requests):
                    request.path = f"/p/{number}"
                await asyncio.gather(*[harness.forward(request) for request in requests])
                await settle(harness.crash_detector)
            return crashes

        crashes = asyncio.run(main())
        self.assertEqual(1, len(crashes))
        self.assertEqual(3, len({one.fingerprint for one in crashes[0].requests}))


class FingerprintTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("itself", {}, True),
            ("method", {"method": "POST"}, False),
            ("host", {"host": "b.example"}, False),
            ("path", {"path": "/p/2"}, False),
            ("query", {"path": "/p/1?a=1"}, False),
            ("object", {"object_key": b"18"}, False),
            ("credentials", {"credentials": b"Bearer x"}, False),
            ("body", {"body": b"other"}, False),
        ]
    )
    def test_what_tells_requests_apart(
        self, _name: str, changes: t.Dict[str, t.Any], same: bool
    ) -> None:
        def named(**fields: t.Any) -> str:
            body = fields.pop("body", b"body")
            return str(fingerprint(head_digest(**fields), body))

        usual = {
            "method": "GET",
            "host": "a.example",
            "path": "/p/1",
            "object_key": b"17",
            "credentials": None,
        }
        self.assertEqual(same, named(**usual) == named(**{**usual, **changes}))


class QuarantineTest(unittest.TestCase):
    """Tests of what the forwarder does with requests that crash targets."""

    def suspect(self, harness: ForwarderHarness, *targets: str) -> None:
        """Records crashes of targets during a GET of /p/1?q=2, as ``harness.request`` makes it."""
        head = head_digest("GET", "a.example", "/p/1?q=2", None, None)
        for target in targets:
            crash = crash_digest(TargetId(target), None)
            cut_off = [(fingerprint(head, b""), caller_digest(""))]
            harness.quarantine.record_crash(crash, cut_off)

    @parameterized.expand(
        [
            ("the same", {}, 503),
            ("another path", {"path": "/p/2"}, 200),
            ("another method", {"method": "PUT"}, 200),
            ("another caller", {"caller": "10.0.0.9"}, 200),
            ("another object", {"headers": [(b"cookie", b"X-Affinity-Key=9")]}, 200),
            ("another's credentials", {"headers": [(b"authorization", b"x")]}, 200),
        ]
    )
    def test_it_is_refused_at_once_and_others_are_not(
        self, _name: str, changes: t.Dict[str, t.Any], status: int
    ) -> None:
        async def main() -> t.Tuple[Reply, int]:
            async with ScriptedTarget(ok) as target:
                harness = ForwarderHarness([target.address])
                self.suspect(harness, "a", "b", "c")
                request = harness.request("safe")
                for name, value in changes.items():
                    extra = [(b"x-request-id", b"id1")] if name == "headers" else []
                    setattr(request, name, value + extra if extra else value)
                reply = await harness.forward(request)
                harness.pool.close()
                return reply, len(target.received)

        reply, arrivals = asyncio.run(main())
        self.assertEqual((status, int(status == 200)), (reply.status, arrivals))
        if status == 503:
            self.assertEqual((Outcome.NOT_RUN, "quarantined"), (reply.outcome, reply.reason))
            self.assertIn((b"retry-after", b"300.000"), reply.headers)

    @parameterized.expand([("the same body", b"body", 503), ("another body", b"bodx", 200)])
    def test_bodies_tell_requests_apart(self, _name: str, body: bytes, status: int) -> None:
        async def main() -> int:
            async with ScriptedTarget(ok) as target:
                harness = ForwarderHarness([target.address])
                head = head_digest("POST", "a.example", "/p/1?q=2", None, None)
                cut_off = [(fingerprint(head, b"body"), caller_digest(""))]
                for name in "abc":
                    harness.quarantine.record_crash(crash_digest(TargetId(name), None), cut_off)
                reply = await harness.forward(harness.request("upload", body=body))
                harness.pool.close()
                return reply.status

        self.assertEqual(status, asyncio.run(main()))

    @parameterized.expand([("answered", ok, 200, 0), ("it ends a target again", close, 502, 1)])
    def test_a_trial_is_one_send(
        self,
        _name: str,
        script: t.Callable[[ReceivedRequest], t.Awaitable[None]],
        status: int,
        still_refused: int,
    ) -> None:
        async def main() -> t.Tuple[t.List[int], int, int]:
            async with ScriptedTarget(script) as target, ScriptedTarget(script) as other:
                harness = ForwarderHarness([target.address, other.address])
                self.suspect(harness, "a", "b", "c")
                with mock.patch.object(defaults, "QUARANTINE_TRY_S", 0.0):
                    replies = [await harness.forward(harness.request("safe"))]
                replies.append(await harness.forward(harness.request("safe", 2)))
                harness.pool.close()
                arrivals = len(target.received) + len(other.received)
                refused = harness.quarantine.refused_count()
                return [reply.status for reply in replies], arrivals, refused

        later = 503 if still_refused else 200
        expected = ([status, later], 1 if still_refused else 2, still_refused)
        self.assertEqual(expected, asyncio.run(main()))

    def test_no_second_send_of_what_was_found_at_fault_meanwhile(self) -> None:
        async def main() -> t.Tuple[int, int]:
            async def third(received: ReceivedRequest) -> None:
                self.suspect(harness, "c")
                received.close()

            async with ScriptedTarget(third) as target, ScriptedTarget(ok) as other:
                harness = ForwarderHarness([target.address, other.address])
                self.suspect(harness, "a", "b")
                reply = await harness.forward(harness.request("safe", first="t0"))
                harness.pool.close()
                return reply.status, len(other.received)

        # The first attempt may have run, so the reply must not say that the request did not run.
        self.assertEqual((502, 0), asyncio.run(main()))

    @parameterized.expand(
        [
            ("answered", ok, True),
            ("failed by the target itself", server_error, False),
            ("turned away", shed, False),
        ]
    )
    def test_what_an_answer_says(
        self, _name: str, script: t.Callable[[ReceivedRequest], t.Awaitable[None]], clears: bool
    ) -> None:
        async def main() -> bool:
            async with ScriptedTarget(script) as target:
                harness = ForwarderHarness([target.address])
                self.suspect(harness, "a", "b")
                await harness.forward(harness.request("safe"))
                self.suspect(harness, "c")
                harness.pool.close()
                return harness.quarantine.refused_count() == 0

        self.assertEqual(clears, asyncio.run(main()))
