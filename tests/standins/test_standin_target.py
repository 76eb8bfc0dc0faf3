"""Tests of the target stand-in, asked as a target without an entry."""

import asyncio
import json
import typing as t
import unittest

from parameterized import parameterized

from coralfall.standins.standin_target import Faults
from tests import loopback
from tests.forwarding.test_dispatch import Got, ask, connect, until


async def asks(address: str, method: str, paths: t.Iterable[str]) -> t.List[Got]:
    """Requests that are under way at the same time."""
    return await asyncio.gather(*[ask(address, method, path) for path in paths])


class TestWork(unittest.IsolatedAsyncioTestCase):
    """What the stand-in does with requests for work."""

    async def test_sheds_beyond_its_slots(self) -> None:
        async with loopback.target(slots=2, service_ms=50.0) as (address, standin):
            answers = await asks(address, "POST", ["/x"] * 5)
            self.assertEqual(sorted(got.status for got in answers), [200, 200, 503, 503, 503])
            outcomes = [got.headers.get("outcome") for got in answers if got.status == 503]
            self.assertEqual(outcomes, ["not-run"] * 3)
            self.assertEqual((standin.state.max_in_flight, standin.state.shed), (2, 3))
            self.assertEqual([effect.done for effect in standin.state.effects], [True, True])

    async def test_leaving_finishes_what_it_has(self) -> None:
        async with loopback.target(service_ms=50.0) as (address, standin):
            first = asyncio.ensure_future(ask(address, "POST", "/x"))
            await until(lambda: standin.state.in_flight == 1)
            drain = await ask(address, "POST", "/drain")
            self.assertEqual(json.loads(drain.body), {"in_flight": 1})
            refused = await ask(address, "POST", "/x")
            self.assertEqual((refused.status, refused.headers["outcome"]), (503, "not-run"))
            self.assertEqual((await first).status, 200)
            health = await ask(address, "GET", "/health")
            self.assertEqual(json.loads(health.body), {"state": "leaving"})

    @parameterized.expand(
        [("passed_before", "0", 503, "not-run", 0), ("passed_within", "20", 504, "unknown", 1)]
    )
    async def test_deadline(
        self, _: str, deadline: str, status: int, outcome: str, effects: int
    ) -> None:
        async with loopback.target(service_ms=5000.0) as (address, standin):
            got = await ask(address, "POST", "/x", headers={"deadline-ms": deadline})
            self.assertEqual((got.status, got.headers["outcome"]), (status, outcome))
            self.assertEqual([effect.done for effect in standin.state.effects], [False] * effects)

    async def test_work_that_needs_most_of_its_time_is_answered(self) -> None:
        """Work was measured against what was left of its time after it was done."""
        async with loopback.target(service_ms=0.0) as (address, standin):
            standin.faults = Faults(slow_ms=600.0)
            got = await ask(address, "POST", "/x", headers={"deadline-ms": "1000"})
            self.assertEqual(got.status, 200)
            self.assertEqual([effect.done for effect in standin.state.effects], [True])

    async def test_cancellation_frees_the_slot(self) -> None:
        async with loopback.target(slots=1, service_ms=60_000.0) as (address, standin):
            _reader, writer = await connect(address)
            writer.write(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(lambda: standin.state.in_flight == 1)
            writer.close()
            await until(lambda: standin.state.in_flight == 0)
            self.assertEqual(standin.state.cancelled, 1)

    async def test_tells_what_is_in_flight_beyond_its_limit(self) -> None:
        async with loopback.target(slots=9, limit=2, service_ms=50.0) as (address, standin):
            headers = {"coralfall-slot": "entry=e1 slot=t/1", "deadline-ms": "5000"}
            await asks(address, "GET", ["/x"] * 2)
            self.assertEqual(standin.state.overruns, [])
            one_more = asyncio.ensure_future(ask(address, "GET", "/y", headers=headers))
            await asks(address, "GET", ["/x"] * 2)
            await one_more
            (overrun,) = standin.state.overruns
            self.assertEqual(sorted(found.path for found in overrun.in_flight), ["/x", "/x", "/y"])
            (found,) = [found for found in overrun.in_flight if found.path == "/y"]
            self.assertEqual(found.slot, headers["coralfall-slot"])
            self.assertAlmostEqual(found.until - found.since, 5.0, delta=0.5)
            self.assertFalse(found.disconnected)

    @parameterized.expand([("cold", 60.0, 10.0), ("warm", 0.0, 1.0)])
    async def test_cold_start(self, _: str, cold_s: float, factor: float) -> None:
        async with loopback.target(cold_s=cold_s, cold_factor=10.0) as (_address, standin):
            standin.settings = loopback.target_settings(
                cold_s=cold_s, cold_factor=10.0, service_ms=100.0
            )
            times = [standin.service_seconds() for _ in range(200)]
            self.assertAlmostEqual(sum(times) / 200, 0.1 * factor, delta=0.01 * factor)


class TestMeasurements(unittest.IsolatedAsyncioTestCase):
    """Health and load can lag and mislead."""

    @parameterized.expand(
        [
            ("true", {}, "1/6"),
            ("frozen", {"load": "frozen"}, "0/6"),
            ("wrong", {"load": "wrong", "load_value": "5/6"}, "5/6"),
            ("lagging", {"load_lag_s": 60.0}, "0/6"),
        ]
    )
    async def test_load(self, _: str, faults: t.Dict[str, t.Any], load: str) -> None:
        async with loopback.target() as (address, standin):
            told = await ask(address, "POST", "/faults", json=faults)
            self.assertEqual(told.status, 200)
            standin.faults.work = "hang"
            asked = asyncio.ensure_future(ask(address, "GET", "/x"))
            await until(lambda: standin.state.in_flight == 1)
            got = await ask(address, "GET", "/load")
            self.assertEqual(json.loads(got.body), {"load": load})
            asked.cancel()

    async def test_health(self) -> None:
        async with loopback.target() as (address, standin):
            self.assertEqual((await ask(address, "GET", "/health")).status, 200)
            standin.faults = Faults(health="fail")
            self.assertEqual((await ask(address, "GET", "/health")).status, 503)
            standin.faults = Faults(health="hang")
            with self.assertRaises(asyncio.TimeoutError):
                await asyncio.wait_for(ask(address, "GET", "/health"), 0.05)

    async def test_faults_that_are_not_known(self) -> None:
        async with loopback.target() as (address, standin):
            told = await ask(address, "POST", "/faults", json={"work": "dance"})
            self.assertEqual(told.status, 400)
            self.assertEqual(standin.faults, Faults())

    async def test_effects(self) -> None:
        async with loopback.target() as (address, _standin):
            await ask(address, "POST", "/x", headers={"idempotency-key": "k"}, data=b"1")
            told = json.loads((await ask(address, "GET", "/effects")).body)
            self.assertEqual(told["effects"][0]["key"], "k")
            self.assertEqual(told["effects"][0]["length"], 1)
            self.assertEqual(told["in_flight"], 0)


if __name__ == "__main__":
    unittest.main()
