"""Tests of what tells a target that went down from one that lost an answer."""

import asyncio
import typing as t
import unittest

from parameterized import parameterized

from coralfall.ids import TargetId
from coralfall.placement.fingerprint import fingerprint, head_digest
from coralfall.traffic.crashes import Crash
from tests.traffic.makers import make_target
from tests.traffic.raw_target import RawTarget, Turn
from tests.traffic.test_forwarder import Path, close, garbage, never, ok, reset, short

#: Longer than it takes to find out whether a target listens.
_SETTLED_S = 0.2


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
        await path.forward(path.request(kind, seconds=0.5))
        await asyncio.sleep(_SETTLED_S)
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
                await asyncio.sleep(_SETTLED_S)
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
