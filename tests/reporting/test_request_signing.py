"""Tests of :mod:`coralfall.reporting.request_signing`: who may ask an entry, and how often."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.exceptions import SignatureError
from coralfall.reporting.request_signing import (
    Operator,
    ReplayGuard,
    SignedParts,
    sign_request,
    verify_request,
)
from tests.checks import refused
from tests.operators import ANA, COSECHA, TRUST

NOW = 1_700_000_000.0
ASKED = SignedParts("GET", "/roster?x=1", b"", "10.0.0.1:9000")


class RequestTest(unittest.TestCase):
    """Signed requests to the operators' port."""

    def setUp(self) -> None:
        self.guard = ReplayGuard(capacity=3)
        self.header = sign_request(ANA, ASKED, NOW)

    def verify(self, header: str, now: float = NOW, **changes: t.Any) -> Operator:
        return verify_request(header, ASKED._replace(**changes), now, TRUST, self.guard)

    def assert_refused(self, reason: str, header: str, now: float = NOW, **changes: t.Any) -> None:
        with refused(SignatureError, reason):
            self.verify(header, now, **changes)

    def test_names_the_operator(self) -> None:
        self.assertEqual(Operator(COSECHA, ANA.key_id), self.verify(self.header))

    @parameterized.expand(
        [
            ("method", {"method": "POST"}),
            ("path", {"path": "/roster?x=2"}),
            ("body", {"body": b"x"}),
            ("audience", {"audience": "10.0.0.2:9000"}),
        ]
    )
    def test_signs_every_part(self, _name: str, changes: t.Dict[str, t.Any]) -> None:
        self.assert_refused("forged", self.header, **changes)

    @parameterized.expand([("time", 1, str(int(NOW * 1000) + 1)), ("nonce", 2, "other")])
    def test_signs_time_and_nonce(self, _name: str, position: int, value: str) -> None:
        parts = self.header.split(":")
        parts[position] = value
        self.assert_refused("forged", ":".join(parts))

    @parameterized.expand([(-30.5, True), (-29.5, False), (29.5, False), (30.5, True)])
    def test_freshness(self, late_s: float, refused: bool) -> None:
        if refused:
            self.assert_refused("stale", self.header, NOW + late_s)
            return
        self.verify(self.header, NOW + late_s)

    def test_a_replay_is_refused_for_as_long_as_it_is_fresh(self) -> None:
        self.verify(self.header, NOW - 29)
        for now in (NOW - 29, NOW, NOW + 30):
            self.assert_refused("replayed", self.header, now)

    def test_a_full_guard_refuses_until_requests_are_stale(self) -> None:
        for _ in range(3):
            self.verify(sign_request(ANA, SignedParts("GET", "/"), NOW), path="/", audience="")
        self.assert_refused("busy", self.header)
        later = NOW + 61
        header = sign_request(ANA, SignedParts("GET", "/"), later)
        self.verify(header, later, path="/", audience="")

    @parameterized.expand(
        [("",), ("ana",), ("ana:1:2",), ("ana:x:n:s",), ("ana:-1:n:s",), ("ana:1:n:\u00e9",)]
        + [("ana:" + "9" * 17 + ":n:s",), ("ana:1:n:s:t",)]
    )
    def test_malformed(self, header: str) -> None:
        self.assert_refused("malformed", header)


if __name__ == "__main__":
    unittest.main()
