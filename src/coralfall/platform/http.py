"""ASGI applications for the platform's HTTP endpoints: readiness checks and look-ups.

Requests of callers are forwarded to targets elsewhere, in :mod:`coralfall.traffic`.
"""

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
    """Answers the platform's readiness checks.

    :param is_ready: returns whether callers may be sent to this entry.
    """

    def __init__(self, is_ready: t.Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        status = 404
        if scope["path"] == names.READY_PATH:
            status = 200 if self._is_ready() else 503
        await _send_response(send, status, b"{}")


class ResolveApp:
    """Answers look-ups: tells callers which entries to connect to.

    :param lookup: selects the addresses.
    :param telemetry: counts the look-ups.
    """

    def __init__(self, lookup: "Lookup", telemetry: "Telemetry") -> None:
        self._lookup = lookup
        self._telemetry = telemetry

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        if scope["path"] != names.RESOLVE_PATH:
            await _send_response(send, 404, b"{}")
            return
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
        lookup_query = LookupQuery(
            query.get("name", ""),
            RegionId(query.get("region", "")),
            ZoneId(query.get("zone", "")),
        )
        addresses = self._lookup.addresses(lookup_query)
        self._telemetry.count_lookup(bool(addresses))
        if not addresses:
            log.info("lookup.refused", zone=lookup_query.zone, reason="no-entry-ready")
            await _send_response(send, 503, b"{}")
            return
        body = msgspec.json.encode({"addresses": addresses, "ttlS": self._lookup.ttl_s})
        await _send_response(send, 200, body)


async def _send_response(send: "Send", status: int, body: bytes) -> None:
    headers = [_JSON, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
