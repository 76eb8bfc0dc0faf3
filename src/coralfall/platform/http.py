"""What the platform and its callers ask over HTTP, as small ASGI applications."""

import typing as t
import urllib.parse

import msgspec

from ..ids import RegionId, ZoneId
from ..process import log
from ..traffic.row_codec import LookupQuery
from . import names

if t.TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

    from ..traffic.lookup import Lookup
    from ..traffic.telemetry import Telemetry

_JSON = (b"content-type", b"application/json")


class ReadinessApp:
    """Answers the platform's own checks.

    :param ready: whether callers may be sent here.
    """

    def __init__(self, ready: t.Callable[[], bool]) -> None:
        self._ready = ready

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        status = 404
        if scope["path"] == names.READY_PATH:
            status = 200 if self._ready() else 503
        await _answer(send, status, b"{}")


class ResolveApp:
    """Answers callers who ask where to connect.

    :param lookup: knows the answer.
    :param telemetry: counts the questions.
    """

    def __init__(self, lookup: "Lookup", telemetry: "Telemetry") -> None:
        self._lookup = lookup
        self._telemetry = telemetry

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        if scope["path"] != names.RESOLVE_PATH:
            await _answer(send, 404, b"{}")
            return
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
        question = LookupQuery(
            query.get("name", ""),
            RegionId(query.get("region", "")),
            ZoneId(query.get("zone", "")),
        )
        addresses = self._lookup.addresses(question)
        self._telemetry.count_lookup(bool(addresses))
        if not addresses:
            log.info("lookup.refused", zone=question.zone, reason="no-entry-ready")
            await _answer(send, 503, b"{}")
            return
        body = msgspec.json.encode({"addresses": addresses, "ttlS": self._lookup.ttl_s})
        await _answer(send, 200, body)


async def _answer(send: "Send", status: int, body: bytes) -> None:
    headers = [_JSON, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
