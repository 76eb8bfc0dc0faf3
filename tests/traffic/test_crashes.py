"""Tests of what tells a target that went down from one that lost an answer."""

import asyncio
import typing as t
import unittest
from unittest import mock

from parameterized import parameterized

from coralfall import defaults
from coralfall.ids import Outcome, TargetId
from coralfall.placement.fingerprint import caller_digest, fingerprint, head_digest
from coralfall.placement.quarantine import crash_digest
from coralfall.traffic.crashes import Crash, CrashWatch
from coralfall.traffic.reply import Reply
from tests.traffic.makers import make_target
from tests.traffic.raw_target import RawTarget, Turn
from tests.traffic.test_forwarder import (
    Path,
    close,
    garbage,
    never,
    ok,
    own_failure,
    reset,
    shed,
    short,
)

#: Seconds for which a request waits that nobody answers, and for which all others do: far longer
#: than they take, on a machine that stands still at times, too.
_UNANSWERED_S = 0.5
_PATIENCE_S = 30.0


async def settle(watch: CrashWatch) -> None:
    """Wait until it is known of all connections that ended whether their targets are gone."""
    while watch._tasks:
        await asyncio.wait(watch._tasks)


async def crash_seen(
    kind: str, script: t.Callable[[Turn], t.Awaitable[None]], down: bool, **row: t.Any
) -> t.Tuple[Path, t.List[Crash]]:
    """Forward a request to a target that answers by a script, and goes down with it if told to."""
    crashes: t.List[Crash] = []

    async def scripted(turn: Turn) -> None:
        if down:
            target.stop_listening()
        await script(turn)

    async with RawTarget(scripted) as target:
        path = Path([target.address])
        path.crashes.on_crash = crashes.append
        if row:
            changed = make_target(0, address=target.address, **row)
            path.targets.by_id[TargetId("t0")].target = changed
        seconds = _UNANSWERED_S if script is never else _PATIENCE_S
        with mock.patch.object(defaults, "TARGET_CONNECT_S", _PATIENCE_S):
            await path.forward(path.request(kind, seconds=seconds))
            await settle(path.crashes)
        path.pool.close()
    return path, crashes


class CrashWatchTest(unittest.TestCase):
    @parameterized.expand(
        [
            # script, whether nothing listens any more, whether that is a crash
            ("closed and gone", close, True, True),
            ("reset and gone", reset, True, True),
            ("half an answer and gone", short, True, True),
            ("closed", close, False, False),
            ("reset", reset, False, False),
            ("half an answer", short, False, False),
            ("no answer at all", garbage, True, False),
            ("silent", never, True, False),
            ("answered and gone", ok, True, False),
        ]
    )
    def test_what_is_a_crash(
        self, _name: str, script: t.Callable[[Turn], t.Awaitable[None]], down: bool, found: bool
    ) -> None:
        for kind in ("safe", "unsafe"):
            _, crashes = asyncio.run(crash_seen(kind, script, down))
            self.assertEqual([TargetId("t0")] * found, [one.target.target_id for one in crashes])

    def test_a_target_that_leaves_ends_as_planned(self) -> None:
        _, crashes = asyncio.run(crash_seen("unsafe", close, True, leaving=True))
        self.assertEqual([], crashes)

    def test_all_that_was_in_hand_is_named_once(self) -> None:
        async def main() -> t.List[Crash]:
            together = asyncio.Event()

            async def go_down(turn: Turn) -> None:
                if len(target.turns) == 3:
                    target.stop_listening()
                    together.set()
                await together.wait()
                turn.reset()

            crashes: t.List[Crash] = []
            async with RawTarget(go_down) as target:
                path = Path([target.address])
                path.crashes.on_crash = crashes.append
                requests = [path.request("unsafe", number) for number in range(3)]
                for number, request in enumerate(requests):
                    request.path = f"/p/{number}"
                await asyncio.gather(*[path.forward(request) for request in requests])
                await settle(path.crashes)
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
    """What the forwarder does with a request that targets ended of."""

    def suspect(self, path: Path, *targets: str) -> None:
        """Let targets have ended with a GET of /p/1?q=2 in hand, as ``path.request`` makes them."""
        head = head_digest("GET", "a.example", "/p/1?q=2", None, None)
        for target in targets:
            crash = crash_digest(TargetId(target), None)
            cut_off = [(fingerprint(head, b""), caller_digest(""))]
            path.quarantine.record_crash(crash, cut_off)

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
            async with RawTarget(ok) as target:
                path = Path([target.address])
                self.suspect(path, "a", "b", "c")
                request = path.request("safe")
                for name, value in changes.items():
                    extra = [(b"x-request-id", b"id1")] if name == "headers" else []
                    setattr(request, name, value + extra if extra else value)
                reply = await path.forward(request)
                path.pool.close()
                return reply, len(target.turns)

        reply, arrivals = asyncio.run(main())
        self.assertEqual((status, int(status == 200)), (reply.status, arrivals))
        if status == 503:
            self.assertEqual((Outcome.NOT_RUN, "quarantined"), (reply.outcome, reply.reason))
            self.assertIn((b"retry-after", b"300.000"), reply.headers)

    @parameterized.expand([("the same body", b"body", 503), ("another body", b"bodx", 200)])
    def test_bodies_tell_requests_apart(self, _name: str, body: bytes, status: int) -> None:
        async def main() -> int:
            async with RawTarget(ok) as target:
                path = Path([target.address])
                head = head_digest("POST", "a.example", "/p/1?q=2", None, None)
                cut_off = [(fingerprint(head, b"body"), caller_digest(""))]
                for name in "abc":
                    path.quarantine.record_crash(crash_digest(TargetId(name), None), cut_off)
                reply = await path.forward(path.request("upload", body=body))
                path.pool.close()
                return reply.status

        self.assertEqual(status, asyncio.run(main()))

    @parameterized.expand([("answered", ok, 200, 0), ("it ends a target again", close, 502, 1)])
    def test_a_trial_is_one_send(
        self,
        _name: str,
        script: t.Callable[[Turn], t.Awaitable[None]],
        status: int,
        still_refused: int,
    ) -> None:
        async def main() -> t.Tuple[t.List[int], int, int]:
            async with RawTarget(script) as target, RawTarget(script) as other:
                path = Path([target.address, other.address])
                self.suspect(path, "a", "b", "c")
                with mock.patch.object(defaults, "QUARANTINE_TRY_S", 0.0):
                    replies = [await path.forward(path.request("safe"))]
                replies.append(await path.forward(path.request("safe", 2)))
                path.pool.close()
                arrivals = len(target.turns) + len(other.turns)
                refused = path.quarantine.refused_count()
                return [reply.status for reply in replies], arrivals, refused

        later = 503 if still_refused else 200
        expected = ([status, later], 1 if still_refused else 2, still_refused)
        self.assertEqual(expected, asyncio.run(main()))

    def test_no_second_send_of_what_was_found_at_fault_meanwhile(self) -> None:
        async def main() -> t.Tuple[int, int]:
            async def third(turn: Turn) -> None:
                self.suspect(path, "c")
                turn.close()

            async with RawTarget(third) as target, RawTarget(ok) as other:
                path = Path([target.address, other.address])
                self.suspect(path, "a", "b")
                reply = await path.forward(path.request("safe", first="t0"))
                path.pool.close()
                return reply.status, len(other.turns)

        # The first send may have run, so nobody may promise that it did not.
        self.assertEqual((502, 0), asyncio.run(main()))

    @parameterized.expand(
        [
            ("answered", ok, True),
            ("failed by the target itself", own_failure, False),
            ("turned away", shed, False),
        ]
    )
    def test_what_an_answer_says(
        self, _name: str, script: t.Callable[[Turn], t.Awaitable[None]], clears: bool
    ) -> None:
        async def main() -> bool:
            async with RawTarget(script) as target:
                path = Path([target.address])
                self.suspect(path, "a", "b")
                await path.forward(path.request("safe"))
                self.suspect(path, "c")
                path.pool.close()
                return path.quarantine.refused_count() == 0

        self.assertEqual(clears, asyncio.run(main()))
