"""The operators' port: what an entry says of itself, to operators who sign their requests."""

import time
import typing as t

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..bundles.signing import Trust
from ..exceptions import SignatureError
from .request_signing import ReplayGuard, SignedParts, verify_request
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
    handlers = _Handlers(status, is_ready, trust, audience)
    routes = [
        Route("/health", handlers.health),
        Route("/ready", handlers.ready),
        Route("/status", handlers.status),
    ]
    return Starlette(routes=routes)


class _Handlers:
    """Answers the requests to the operators' port."""

    def __init__(
        self, status: StatusSource, is_ready: ReadySource, trust: Trust, audience: str
    ) -> None:
        self._status = status
        self._is_ready = is_ready
        self._trust = trust
        self._audience = audience
        self._guard = ReplayGuard()

    async def health(self, request: Request) -> Response:
        return Response("ok\n", media_type="text/plain")

    async def ready(self, request: Request) -> Response:
        if self._is_ready():
            return Response("ready\n", media_type="text/plain")
        return Response("not ready\n", status_code=503, media_type="text/plain")

    async def status(self, request: Request) -> Response:
        header = request.headers.get(HEADER_SIGNATURE)
        if header is None:
            return _refused("missing", f"send a signature in {HEADER_SIGNATURE}")
        path = request.url.path
        if request.url.query:
            path += "?" + request.url.query
        parts = SignedParts(request.method, path, audience=self._audience)
        try:
            verify_request(header, parts, time.time(), self._trust, self._guard)
        except SignatureError as error:
            return _refused(str(error.fields.get("reason", "refused")), error.message)
        return Response(msgspec.json.encode(self._status()), media_type="application/json")


def _refused(reason: str, message: str) -> Response:
    body = msgspec.json.encode({"code": "signature", "reason": reason, "message": message})
    return Response(body, status_code=401, media_type="application/json")
