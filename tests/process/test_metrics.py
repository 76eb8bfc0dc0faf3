"""Tests of metrics: what reaches the server, and that nothing reaches the caller."""

import socket
import typing as t
import unittest

from parameterized import parameterized

from coralfall.process.metrics import FLUSH_COUNT, Metrics
from coralfall.settings import MetricsSettings

RECEIVE_TIMEOUT_S = 10.0

Step = t.Callable[[Metrics], None]


class MetricsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.server.close)
        self.server.bind(("127.0.0.1", 0))
        self.server.settimeout(RECEIVE_TIMEOUT_S)
        port = self.server.getsockname()[1]
        self.metrics = Metrics(MetricsSettings(host="127.0.0.1", port=port, prefix="cf"))
        self.addCleanup(self.metrics.close)

    def receive(self) -> t.List[str]:
        return self.server.recv(65536).decode().splitlines()

    @parameterized.expand(
        [
            ("count", lambda m: m.count("a"), ["cf.a:1|c"]),
            ("sum", lambda m: (m.count("a"), m.count("a", 2)), ["cf.a:3|c"]),
            ("timing", lambda m: m.timing("a", 0.25), ["cf.a:250.000000|ms"]),
            ("gauge", lambda m: (m.gauge("a", 1), m.gauge("a", 2)), ["cf.a:2|g"]),
            ("negative", lambda m: m.gauge("a", -2), ["cf.a:0|g", "cf.a:-2|g"]),
            ("name", lambda m: m.count("a:b|c\nd"), ["cf.a_b_c_d:1|c"]),
        ]
    )
    async def test_what_is_sent(self, _name: str, step: Step, expected: t.List[str]) -> None:
        step(self.metrics)
        self.metrics.flush()
        self.assertEqual(self.receive(), expected)

    async def test_many_timings_are_sent_without_waiting(self) -> None:
        for _ in range(FLUSH_COUNT):
            self.metrics.timing("a", 0.001)
        received: t.List[str] = []
        while len(received) < FLUSH_COUNT:
            received += self.receive()
        self.assertEqual(set(received), {"cf.a:1.000000|ms"})

    async def test_closing_sends_the_rest_and_then_drops(self) -> None:
        self.metrics.count("a")
        self.metrics.close()
        self.metrics.count("b")
        self.metrics.flush()
        self.assertEqual(self.receive(), ["cf.a:1|c"])

    def test_outside_a_loop_metrics_are_sent_at_once(self) -> None:
        self.metrics.count("a")
        self.assertEqual(self.receive(), ["cf.a:1|c"])


class QuietTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            ("no host", MetricsSettings()),
            ("nobody listens", MetricsSettings(host="127.0.0.1", port=9)),
            ("bad address", MetricsSettings(host="bad..name")),
        ]
    )
    async def test_nothing_is_raised(self, _name: str, settings: MetricsSettings) -> None:
        metrics = Metrics(settings)
        self.addCleanup(metrics.close)
        for _ in range(3):
            metrics.count("a")
            metrics.gauge("b", 1)
            metrics.timing("c", 0.1)
            metrics.flush()


if __name__ == "__main__":
    unittest.main()
