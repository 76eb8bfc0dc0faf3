"""The platform over HTTP: its services as an aiohttp client, its errors turned here."""

import asyncio
import typing as t

import aiohttp
import msgspec

from .. import defaults
from ..bundles.bundle import digest_of
from ..exceptions import (
    ObjectMissingError,
    PlatformError,
    PlatformRejectedError,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from ..ids import Digest, Revision, VmId
from .platform_messages import (
    CONTENT_TYPE,
    ChangesRequest,
    ErrorAnswer,
    ReadAnswer,
    ReadRequest,
    TransactRequest,
)
from .store import (
    Changes,
    Check,
    ObjectStore,
    Platform,
    Row,
    Table,
    TransactResult,
    Vm,
    VmList,
    Write,
)

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from ..settings import PlatformSettings

AnswerT = t.TypeVar("AnswerT")
_READ_CHUNK_BYTES = 64 * 1024


class _Call(t.NamedTuple):
    """One exchange with the platform."""

    method: str
    path: str
    #: Whether an exchange that breaks may have taken effect.
    is_write: bool
    body: t.Optional[bytes] = None


class _Client:
    """Sends calls and turns every way they can fail into the platform layer's errors."""

    def __init__(
        self,
        settings: "PlatformSettings",
        max_answer_bytes: int,
        connector_type: t.Type[aiohttp.TCPConnector],
    ) -> None:
        self._settings = settings
        self._max_answer_bytes = max_answer_bytes
        self._connector_type = connector_type
        self._session: t.Optional[aiohttp.ClientSession] = None

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def send(self, call: _Call) -> bytes:
        """Body of the answer; raises the errors that :mod:`coralfall.stores.store` names."""
        try:
            return await self._exchange(call)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise self._error(PlatformUnavailableError, call, "can't connect", error) from error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            kind = PlatformUnknownError if call.is_write else PlatformUnavailableError
            raise self._error(kind, call, "no answer", error) from error

    async def _exchange(self, call: _Call) -> bytes:
        session = self._open()
        url = self._settings.url.rstrip("/") + call.path
        headers = {"content-type": CONTENT_TYPE}
        async with session.request(call.method, url, data=call.body, headers=headers) as answer:
            body = await self._read(call, answer)
            if answer.status in (200, 204):
                return body
            raise self._refusal(call, answer.status, body)

    async def _read(self, call: _Call, answer: aiohttp.ClientResponse) -> bytes:
        parts = []
        size = 0
        async for part in answer.content.iter_chunked(_READ_CHUNK_BYTES):
            size += len(part)
            if size > self._max_answer_bytes:
                kind = PlatformUnknownError if call.is_write else PlatformRejectedError
                raise kind(f"{call.path}: answer is longer than {self._max_answer_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    def _refusal(self, call: _Call, status: int, body: bytes) -> PlatformError:
        try:
            answer = msgspec.json.decode(body, type=ErrorAnswer)
        except msgspec.DecodeError:
            kind = PlatformUnknownError if call.is_write else PlatformUnavailableError
            return kind(f"{call.path}: status {status} without a reason", status=status)
        message = f"{call.path}: {answer.message}"
        if answer.code == ObjectMissingError.code:
            return ObjectMissingError(message)
        if status < 500:
            return PlatformRejectedError(message, status=status)
        return PlatformUnavailableError(message, status=status)

    def _error(
        self, kind: t.Type[PlatformError], call: _Call, what: str, error: Exception
    ) -> PlatformError:
        cause = str(error) or type(error).__name__
        return kind(f"{self._settings.url}{call.path}: {what}: {cause}")

    def _open(self) -> aiohttp.ClientSession:
        # Sessions belong to the loop that runs when they are made.
        if self._session is None:
            timeout_s = self._settings.timeout_s
            self._session = aiohttp.ClientSession(
                connector=self._connector_type(limit=defaults.PLATFORM_CONNECTIONS),
                timeout=aiohttp.ClientTimeout(total=timeout_s, connect=timeout_s / 2),
                auto_decompress=False,
            )
        return self._session


class HttpTable(Table):
    """The table over HTTP."""

    def __init__(self, client: _Client) -> None:
        self._client = client

    async def transact(
        self, writes: t.Sequence[Write], checks: t.Sequence[Check] = ()
    ) -> TransactResult:
        body = msgspec.msgpack.encode(TransactRequest(tuple(writes), tuple(checks)))
        call = _Call("POST", "/table/transact", True, body)
        return _decode(call, await self._client.send(call), TransactResult)

    async def changes(
        self, prefixes: t.Sequence[str], since: Revision, limit: t.Optional[int] = None
    ) -> Changes:
        body = msgspec.msgpack.encode(ChangesRequest(tuple(prefixes), since, limit))
        call = _Call("POST", "/table/changes", False, body)
        return _decode(call, await self._client.send(call), Changes)

    async def read(self, keys: t.Sequence[str]) -> t.Dict[str, Row]:
        body = msgspec.msgpack.encode(ReadRequest(tuple(keys)))
        call = _Call("POST", "/table/read", False, body)
        answer = _decode(call, await self._client.send(call), ReadAnswer)
        return {row.key: row for row in answer.rows}


class HttpObjectStore(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, client: _Client) -> None:
        self._client = client

    async def put(self, digest: Digest, data: bytes) -> None:
        await self._client.send(_Call("PUT", f"/objects/{digest}", True, data))

    async def get(self, digest: Digest) -> bytes:
        data = await self._client.send(_Call("GET", f"/objects/{digest}", False))
        if digest_of(data) != digest:
            raise PlatformUnavailableError(f"object {digest} came back with other bytes")
        return data


class HttpVmList(VmList):
    """The VM list over HTTP."""

    def __init__(self, client: _Client) -> None:
        self._client = client

    async def list(self) -> t.Dict[VmId, Vm]:
        body = await self._client.send(_Call("GET", "/vms", False))
        try:
            vms = msgspec.json.decode(body, type=t.Tuple[Vm, ...])
        except msgspec.DecodeError as error:
            raise PlatformUnavailableError(f"/vms: answer can't be read: {error}") from error
        return {vm.vm_id: vm for vm in vms}


class HttpPlatform:
    """The platform's three services behind one address.

    :param settings: where they answer and how long a call may take.
    :param clock: the VM's clocks.
    :param max_answer_bytes: longer answers are refused.
    :param connector_type: opens the connections; one that bounds what comes beside a body.
    """

    def __init__(
        self,
        settings: "PlatformSettings",
        clock: "Clock",
        max_answer_bytes: int = defaults.MAX_PLATFORM_BODY_BYTES,
        connector_type: t.Type[aiohttp.TCPConnector] = aiohttp.TCPConnector,
    ) -> None:
        self._client = _Client(settings, max_answer_bytes, connector_type)
        self.platform = Platform(
            HttpTable(self._client), HttpObjectStore(self._client), HttpVmList(self._client)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


def _decode(call: _Call, body: bytes, model: t.Type[AnswerT]) -> AnswerT:
    try:
        return msgspec.msgpack.decode(body, type=model)
    except msgspec.DecodeError as error:
        kind = PlatformUnknownError if call.is_write else PlatformUnavailableError
        raise kind(f"{call.path}: answer can't be read: {error}") from error
