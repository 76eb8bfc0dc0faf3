"""An HTTP application that stands in for the platform, over a platform in memory."""

import typing as t

import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .. import defaults
from ..bundles.bundle import digest_of
from ..exceptions import (
    CoralfallError,
    ObjectMissingError,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from ..ids import Digest, VmId
from ..stores.memory_platform import Faults, MemoryPlatform
from ..stores.platform_messages import (
    CONTENT_TYPE,
    ChangesRequest,
    ErrorAnswer,
    ReadAnswer,
    ReadRequest,
    TransactRequest,
)
from ..stores.store import Vm

if t.TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

BodyT = t.TypeVar("BodyT")
_JSON = "application/json"


class _BrokenResponse(Response):
    """An answer that breaks off, so that its caller can't tell what became of its call."""

    async def __call__(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        # The server closes a connection whose answer is shorter than it said.
        headers = [(b"content-length", b"1")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})


class _Handlers:
    """The endpoints, one method each."""

    def __init__(self, memory: MemoryPlatform, max_body_bytes: int) -> None:
        self._memory = memory
        self._platform = memory.platform
        self._max_body_bytes = max_body_bytes

    async def transact(self, request: Request) -> Response:
        call = await self._decode(request, TransactRequest)
        return _packed(await self._platform.table.transact(call.writes, call.checks))

    async def changes(self, request: Request) -> Response:
        call = await self._decode(request, ChangesRequest)
        return _packed(await self._platform.table.changes(call.prefixes, call.since, call.limit))

    async def read(self, request: Request) -> Response:
        call = await self._decode(request, ReadRequest)
        rows = await self._platform.table.read(call.keys)
        return _packed(ReadAnswer(tuple(rows.values())))

    async def put_object(self, request: Request) -> Response:
        digest = Digest(request.path_params["digest"])
        data = await self._body(request)
        if digest_of(data) != digest:
            raise HTTPException(400, "body has another digest than the path")
        await self._platform.objects.put(digest, data)
        return Response(status_code=204)

    async def get_object(self, request: Request) -> Response:
        data = await self._platform.objects.get(Digest(request.path_params["digest"]))
        return Response(data, media_type="application/octet-stream")

    async def vms(self, request: Request) -> Response:
        by_id = await self._platform.vms.list()
        return _json(list(by_id.values()))

    async def put_vm(self, request: Request) -> Response:
        vm = await self._decode_json(request, Vm)
        if vm.vm_id != request.path_params["vm_id"]:
            raise HTTPException(400, "vm_id in the body is not the one in the path")
        self._memory.set_vm(vm)
        return Response(status_code=204)

    async def delete_vm(self, request: Request) -> Response:
        self._memory.remove_vm(VmId(request.path_params["vm_id"]))
        return Response(status_code=204)

    async def set_faults(self, request: Request) -> Response:
        self._memory.set_faults(await self._decode_json(request, Faults))
        return _json(self._memory.faults)

    async def counters(self, request: Request) -> Response:
        return _json(self._memory.counters)

    async def _decode(self, request: Request, model: t.Type[BodyT]) -> BodyT:
        body = await self._body(request)
        try:
            return msgspec.msgpack.decode(body, type=model)
        except msgspec.DecodeError as error:
            raise HTTPException(400, f"body is not a {model.__name__}: {error}") from error

    async def _decode_json(self, request: Request, model: t.Type[BodyT]) -> BodyT:
        body = await self._body(request)
        try:
            return msgspec.json.decode(body, type=model)
        except msgspec.DecodeError as error:
            raise HTTPException(400, f"body is not a {model.__name__}: {error}") from error

    async def _body(self, request: Request) -> bytes:
        parts = []
        size = 0
        async for part in request.stream():
            size += len(part)
            if size > self._max_body_bytes:
                raise HTTPException(413, f"body is longer than {self._max_body_bytes} bytes")
            parts.append(part)
        return b"".join(parts)


def make_app(
    memory: MemoryPlatform, max_body_bytes: int = defaults.MAX_PLATFORM_BODY_BYTES
) -> Starlette:
    """The application that serves ``memory``.

    Bodies under ``/table`` are msgpack (see :mod:`coralfall.stores.platform_messages`), those
    under ``/objects`` are plain bytes, all others JSON. An answer with an error status
    means that nothing was done.

    :param memory: the platform to serve.
    :param max_body_bytes: longer bodies are answered with status 413.
    """
    handlers = _Handlers(memory, max_body_bytes)
    routes = [
        Route("/table/transact", handlers.transact, methods=["POST"]),
        Route("/table/changes", handlers.changes, methods=["POST"]),
        Route("/table/read", handlers.read, methods=["POST"]),
        Route("/objects/{digest}", handlers.put_object, methods=["PUT"]),
        Route("/objects/{digest}", handlers.get_object, methods=["GET"]),
        Route("/vms", handlers.vms, methods=["GET"]),
        Route("/vms/{vm_id}", handlers.put_vm, methods=["PUT"]),
        Route("/vms/{vm_id}", handlers.delete_vm, methods=["DELETE"]),
        Route("/faults", handlers.set_faults, methods=["POST"]),
        Route("/counters", handlers.counters, methods=["GET"]),
    ]
    exception_handlers: t.Dict[t.Any, t.Any] = {
        PlatformUnavailableError: _unavailable,
        PlatformUnknownError: _unknown,
        ObjectMissingError: _missing,
        HTTPException: _rejected,
    }
    return Starlette(routes=routes, exception_handlers=exception_handlers)


async def _unavailable(request: Request, error: CoralfallError) -> Response:
    return _json(ErrorAnswer(error.code, f"{error.message}; nothing was done"), 503)


async def _unknown(request: Request, error: CoralfallError) -> Response:
    return _BrokenResponse()


async def _missing(request: Request, error: CoralfallError) -> Response:
    return _json(ErrorAnswer(error.code, error.message), 404)


async def _rejected(request: Request, error: HTTPException) -> Response:
    return _json(ErrorAnswer("rejected", error.detail), error.status_code)


def _packed(value: t.Any) -> Response:
    return Response(msgspec.msgpack.encode(value), media_type=CONTENT_TYPE)


def _json(value: t.Any, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status_code=status, media_type=_JSON)
