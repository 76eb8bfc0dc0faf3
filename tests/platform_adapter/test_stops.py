"""Tests of entries that are told to stop while kept connections bring requests that take long."""

import asyncio
import signal
import time
import typing as t
import unittest

from parameterized import parameterized

from tests.platform_adapter.standins import InstanceStandin
from tests.platform_adapter.test_processes import EntryProcess, Installation, run_scenario

_TIME_LIMIT_S = 4.6
_SERVICE_TIME_S = 3.0
_GRACE_S = 6.0
#: Seconds from the signal to the first and the last request, and how many there are.
_WAKES_S = (0.0, 4.4)
_CALLERS = 16
_READ_S = 12.0
#: A grace that is written to the settings file after the signal, and when.
_CHANGED_GRACE_S = 30.0
_CHANGE_AFTER_S = 0.5


class KeptCaller:
    """A caller with one connection, which it keeps.

    :param number: distinguishes the ids of its requests.
    """

    def __init__(self, entry: EntryProcess, number: int) -> None:
        self._entry = entry
        self._number = number
        self._sent = 0

    async def connect(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", self._entry.ports["caller"]
        )

    async def send(
        self, body_s: float = 0.0, time_limit_s: float = _TIME_LIMIT_S
    ) -> t.Tuple[str, int]:
        """Sends a request and returns its id and the status of its whole answer, or 0.

        :param body_s: seconds that it takes to send the body.
        """
        self._sent += 1
        request_id = f"c{self._number}-{self._sent}"
        body = b"order of " + request_id.encode()
        head = (
            "POST /p/1 HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"Cookie: X-Affinity-Key={self._number}\r\n"
            f"X-Request-Deadline: {time_limit_s * 1000:.0f}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            self._writer.write(head.encode() + body[:1])
            await asyncio.sleep(body_s)
            self._writer.write(body[1:])
            async with asyncio.timeout(_READ_S):
                answer = await self._reader.readuntil(b"\r\n\r\n")
                await self._reader.readexactly(_length_of(answer))
        except (OSError, EOFError, TimeoutError):
            return request_id, 0
        return request_id, int(answer.split(b" ")[1])

    def close(self) -> None:
        self._writer.close()


def _length_of(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


class StopTest(unittest.TestCase):
    @parameterized.expand([("requests", 0.0), ("bodies that take time", 1.2)])
    def test_what_a_stopping_entry_sends_to_a_target_is_answered(
        self, _name: str, body_s: float
    ) -> None:
        """Requests on kept connections were sent to targets though the process ended before."""
        self._check_stop(body_s)

    def test_a_grace_that_changes_after_the_signal_does_not_move_the_end(self) -> None:
        """Requests were sent to targets by a longer grace, and the process was not over in time."""

        async def change(entry: EntryProcess) -> None:
            await asyncio.sleep(_CHANGE_AFTER_S)
            with entry.settings.open("a") as settings:
                settings.write(f"[bounds]\ngrace_s = {_CHANGED_GRACE_S}\n")
            entry.signal(signal.SIGHUP)

        self._check_stop(0.0, change)

    def _check_stop(
        self,
        body_s: float,
        after_signal: t.Optional[t.Callable[[EntryProcess], t.Awaitable[None]]] = None,
    ) -> None:
        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            entry = installation.entries[0]
            callers = [KeptCaller(entry, number) for number in range(_CALLERS)]
            for caller in callers:
                await caller.connect()
                self.assertEqual(200, (await caller.send())[1])
            for instance in instances:
                instance.service_time_s = _SERVICE_TIME_S
                instance.executed_ids.clear()
            told_at = time.monotonic()
            entry.signal(signal.SIGTERM)
            first_s, last_s = _WAKES_S

            async def wake(caller: KeptCaller, number: int) -> t.Tuple[str, int]:
                await asyncio.sleep(first_s + (last_s - first_s) * number / (_CALLERS - 1))
                return await caller.send(body_s)

            waking = [asyncio.create_task(wake(one, n)) for n, one in enumerate(callers)]
            if after_signal is not None:
                await after_signal(entry)
            status = await entry.wait_ended()
            took_s = time.monotonic() - told_at
            status_by_id = dict(await asyncio.gather(*waking))
            for caller in callers:
                caller.close()
            executed = [one for instance in instances for one in instance.executed_ids]
            log = entry.log.read_text()
            self.assertEqual([200] * len(executed), [status_by_id[one] for one in executed], log)
            self.assertEqual(len(executed), list(status_by_id.values()).count(200), log)
            # What is sent early enough is served, though the process stops.
            self.assertTrue(executed, log)
            self.assertEqual(0, status, log)
            self.assertLess(took_s, _GRACE_S, log)

        route = {"kind": "unsafe", "timeoutS": 5.0, "maxAttempts": 1}
        run_scenario(scenario, entries=1, route=route)

    @parameterized.expand([("safe",), ("unsafe",)])
    def test_callers_of_requests_that_are_cut_off_are_told_so(self, kind: str) -> None:
        """Their connections were reset, which looks like a failure of the network."""

        async def scenario(installation: Installation, instances: t.List[InstanceStandin]) -> None:
            entry = installation.entries[0]
            for instance in instances:
                instance.service_time_s = 4 * _GRACE_S
            caller = KeptCaller(entry, 0)
            await caller.connect()
            asking = asyncio.create_task(caller.send(time_limit_s=3 * _GRACE_S))

            async def is_at_target() -> bool:
                return any(instance.executed_ids for instance in instances)

            await installation.wait_until("the request is at a target", is_at_target)
            entry.signal(signal.SIGTERM)
            status = await entry.wait_ended()
            log = entry.log.read_text()
            self.assertEqual(504, (await asking)[1], log)
            caller.close()
            self.assertEqual(1, sum([len(instance.executed_ids) for instance in instances]), log)
            self.assertIn("status=504 outcome=unknown reason=cut-off", log)
            self.assertIn("refused=0 cut_off=1", log)
            self.assertEqual(0, status, log)

        run_scenario(scenario, entries=1, route={"kind": kind, "timeoutS": 30.0})
