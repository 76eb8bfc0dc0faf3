"""The operators' port: what an entry says of itself, to operators who sign their requests."""

import time
import typing as t

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .exceptions import SignatureError
from .signing import ReplayGuard, Trust, verify_request
from .status import EntryStatus

#: Header that carries an operator's signature of the request.
HEADER_SIGNATURE = "coralfall-signature"

StatusSource = t.Callable[[], EntryStatus]
ReadySource = t.Callable[[], bool]


def make_operators_app(
    status: StatusSource, is_ready: ReadySource, trust: Trust, audience: str
) -> Starlette:
    """The application of the operators' port.

    ``/health`` and ``/ready`` are open to everybody and say one word; ``/status`` takes a
    signature by a trusted operator of any partner.

    :param status: gives the entry's status now; that takes a few milliseconds.
    :param is_ready: tells whether callers may be sent here; that costs next to nothing, since
        anybody may ask.
    :param trust: public keys by partner and key id.
    :param audience: the entry's id; a request signed for another entry is refused.
    """
    guard = ReplayGuard()

    async def health(request: Request) -> Response:
        return Response("ok\n", media_type="text/plain")

    async def ready(request: Request) -> Response:
        if is_ready():
            return Response("ready\n", media_type="text/plain")
        return Response("not ready\n", status_code=503, media_type="text/plain")

    async def show_status(request: Request) -> Response:
        header = request.headers.get(HEADER_SIGNATURE)
        if header is None:
            return _refused("missing", f"send a signature in {HEADER_SIGNATURE}")
        path = request.url.path
        if request.url.query:
            path += "?" + request.url.query
        try:
            verify_request(header, request.method, path, b"", time.time(), trust, guard, audience)
        except SignatureError as error:
            return _refused(str(error.fields.get("reason", "refused")), error.message)
        return Response(msgspec.json.encode(status()), media_type="application/json")

    routes = [
        Route("/health", health),
        Route("/ready", ready),
        Route("/status", show_status),
    ]
    return Starlette(routes=routes)


def _refused(reason: str, message: str) -> Response:
    body = msgspec.json.encode({"code": "signature", "reason": reason, "message": message})
    return Response(body, status_code=401, media_type="application/json")
