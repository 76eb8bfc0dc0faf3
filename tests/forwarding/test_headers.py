"""Tests of what headers pass through an entry."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.exceptions import RequestError
from coralfall.forwarding.headers import headers_to_caller, headers_to_target

Fields = t.List[t.Tuple[bytes, bytes]]


class TestHeadersToTarget(unittest.TestCase):
    """A target gets end-to-end headers, and the caller's address from the entry alone."""

    @parameterized.expand(
        [
            ("end_to_end", [(b"accept", b"*/*")], [("accept", "*/*")]),
            ("key", [(b"idempotency-key", b"k")], [("idempotency-key", "k")]),
            ("repeated", [(b"a", b"1"), (b"a", b"2")], [("a", "1"), ("a", "2")]),
            ("utf8", [(b"a", "ñ".encode())], [("a", "ñ")]),
            ("host", [(b"host", b"calor.example")], [("x-forwarded-host", "calor.example")]),
            ("hop", [(b"te", b"x"), (b"upgrade", b"x"), (b"transfer-encoding", b"chunked")], []),
            ("named", [(b"connection", b"close, X-Own"), (b"x-own", b"1")], []),
            ("length", [(b"content-length", b"5"), (b"expect", b"100-continue")], []),
            ("forged", [(b"x-forwarded-for", b"9.9.9.9"), (b"forwarded", b"for=9.9.9.9")], []),
            ("forged_host", [(b"x-forwarded-host", b"a"), (b"x-real-ip", b"9.9.9.9")], []),
            ("deadline", [(b"deadline-ms", b"9"), (b"coralfall-deadline-ms", b"9")], []),
        ]
    )
    def test_passed(self, _: str, headers: Fields, passed: t.List[t.Tuple[str, str]]) -> None:
        expected = [*passed, ("x-forwarded-for", "10.0.0.1")]
        self.assertEqual(headers_to_target(headers, "10.0.0.1"), expected)

    def test_value_that_is_not_text(self) -> None:
        with self.assertRaises(RequestError) as caught:
            headers_to_target([(b"a", b"\xff")], "10.0.0.1")
        self.assertEqual((caught.exception.code, caught.exception.status), ("header-encoding", 400))


class TestHeadersToCaller(unittest.TestCase):
    """A caller gets end-to-end headers, and the outcome from the entry alone."""

    @parameterized.expand(
        [
            ("end_to_end", [(b"Content-Type", b"text/plain")], [(b"content-type", b"text/plain")]),
            ("encoded", [(b"Content-Encoding", b"gzip")], [(b"content-encoding", b"gzip")]),
            ("length", [(b"Content-Length", b"5")], [(b"content-length", b"5")]),
            ("cookies", [(b"Set-Cookie", b"a"), (b"Set-Cookie", b"b")], None),
            ("hop", [(b"Transfer-Encoding", b"chunked"), (b"Keep-Alive", b"1")], []),
            ("named", [(b"Connection", b"x-own"), (b"X-Own", b"1")], []),
            ("forged", [(b"coralfall-outcome", b"done"), (b"Coralfall-Version", b"9")], []),
            ("date", [(b"Date", b"Wed, 02 Dec 2026 14:58:46 GMT")], []),
            ("own", [(b"Outcome", b"not-run"), (b"Load", b"1/6")], []),
        ]
    )
    def test_passed(self, _: str, headers: Fields, passed: t.Optional[Fields]) -> None:
        if passed is None:
            passed = [(name.lower(), value) for name, value in headers]
        self.assertEqual(headers_to_caller(headers), passed)


if __name__ == "__main__":
    unittest.main()
