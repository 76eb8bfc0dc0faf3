"""The platform's store over HTTP, as the product's feed and table.

A row's key here is ``table/key``; the part is always empty.
"""

import asyncio
import base64
import binascii
import typing as t
import urllib.parse

import msgspec

from .. import defaults
from ..exceptions import (
    HistoryLostError,
    PlatformError,
    PlatformRejectedError,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from ..ids import Revision
from ..process import log
from ..stores.store import Changes, Check, Feed, Row, Table, TransactResult, Write
from ..traffic.connection import (
    BrokenResponseError,
    ServerConnection,
    ServerResponse,
    connect,
    encode_head,
)
from ..traffic.settings import StoreSettings
from . import names

_MAX_ANSWER_BYTES = 4 * 1024 * 1024
_PAGE_ROWS = 500
_JSON = (b"content-type", b"application/json")
_GONE = 410
_CONFLICT = 412


class _Row(msgspec.Struct):
    table: str
    key: str
    part: str = ""
    value: t.Optional[str] = None
    ver: int = 0
    deleted: t.Union[bool, int, None] = None


class _Rows(msgspec.Struct, rename="camel"):
    rows: t.List[_Row] = []
    ver: int = 0
    now_s: float = 0.0
    has_more: bool = False


_rows_decoder = msgspec.json.Decoder(_Rows)


class RowStore(Feed, Table):
    """Calls to the platform's store.

    :param settings: where it answers.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self._settings = settings
        self._idle: t.List[ServerConnection] = []
        #: Calls made so far.
        self.calls = 0

    async def snapshot(self, prefix: str) -> Changes:
        rows: t.List[Row] = []
        first: t.Optional[_Rows] = None
        after = ""
        while True:
            query = {"table": _table_of(prefix), "part": "", "limit": str(_PAGE_ROWS)}
            if after:
                query["from"] = after
            page = await self._read(names.ROWS_GET_PATH, query, 0.0)
            first = first or page
            rows += [_row(row) for row in page.rows]
            if not page.has_more or not page.rows:
                return Changes(tuple(rows), Revision(first.ver), first.now_s)
            after = page.rows[-1].key + "\0"

    async def follow(self, prefix: str, since: Revision, wait_s: float) -> Changes:
        query = {
            "table": _table_of(prefix),
            "after": str(since),
            "waitMs": str(int(wait_s * 1000)),
        }
        page = await self._read(names.ROWS_FEED_PATH, query, wait_s)
        return Changes(tuple([_row(row) for row in page.rows]), Revision(page.ver), page.now_s)

    async def changes(
        self, prefixes: t.Sequence[str], since: Revision, limit: t.Optional[int] = None
    ) -> Changes:
        if len(prefixes) != 1:
            raise PlatformRejectedError("the platform's store tells the changes of one table")
        if since:
            return await self.follow(prefixes[0], since, 0.0)
        return await self.snapshot(prefixes[0])

    async def read(self, keys: t.Sequence[str]) -> t.Dict[str, Row]:
        found: t.Dict[str, Row] = {}
        for key in keys:
            table, _, name = key.partition("/")
            query = {"table": table, "part": "", "from": name, "limit": "1"}
            page = await self._read(names.ROWS_GET_PATH, query, 0.0)
            for row in page.rows:
                if row.key == name:
                    found[key] = _row(row)
        return found

    async def transact(
        self, writes: t.Sequence[Write], checks: t.Sequence[Check] = ()
    ) -> TransactResult:
        body = msgspec.json.encode(_transaction(writes, checks))
        answer = await self._write(body)
        if answer.status not in (200, _CONFLICT):
            raise _refusal(answer)
        result = _decode(answer)
        conflicts = tuple([_row(row) for row in result.rows])
        committed = answer.status == 200
        return TransactResult(committed, Revision(result.ver), conflicts, result.now_s)

    async def _read(self, path: str, query: t.Dict[str, str], wait_s: float) -> _Rows:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        answer = await self._get(target, wait_s)
        if answer.status == _GONE:
            raise HistoryLostError("the platform's store no longer has these changes")
        if answer.status != 200:
            raise _refusal(answer)
        return _decode(answer)

    async def _get(self, path: str, wait_s: float) -> ServerResponse:
        head = encode_head("GET", path, self._settings.address, [])
        kept = self._take_idle()
        if kept is not None:
            try:
                return await self._call(kept, head, b"", defaults.STORE_REUSED_TIMEOUT_S + wait_s)
            except (BrokenResponseError, OSError):
                # Open connections may have gone silent, or been cut, while new ones work.
                self._drop_idle()
        connection = await self._connect()
        try:
            return await self._call(connection, head, b"", self._settings.timeout_s + wait_s)
        except (BrokenResponseError, OSError) as error:
            raise PlatformUnavailableError(_unanswered(path, error)) from error

    async def _write(self, body: bytes) -> ServerResponse:
        fields = [_JSON, (b"content-length", str(len(body)).encode())]
        head = encode_head("POST", names.ROWS_TX_PATH, self._settings.address, fields)
        # Always a new connection: a write that an old one swallowed could not be sent again.
        connection = await self._connect()
        try:
            return await self._call(connection, head, body, self._settings.timeout_s)
        except (BrokenResponseError, OSError) as error:
            raise PlatformUnknownError(_unanswered(names.ROWS_TX_PATH, error)) from error

    async def _call(
        self, connection: ServerConnection, head: bytes, body: bytes, seconds: float
    ) -> ServerResponse:
        self.calls += 1
        async with asyncio.timeout(seconds):
            answer = await connection.exchange(head, body)
        if connection.is_reusable:
            self._idle.append(connection)
        return answer

    def _take_idle(self) -> t.Optional[ServerConnection]:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
        return None

    def _drop_idle(self) -> None:
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def _connect(self) -> ServerConnection:
        address = self._settings.address
        try:
            return await connect(address, self._settings.timeout_s, _MAX_ANSWER_BYTES)
        except OSError as error:
            message = f"store at {address} can't be connected: {error or type(error).__name__}"
            raise PlatformUnavailableError(message) from error


def _unanswered(path: str, error: Exception) -> str:
    return f"{path}: no answer: {error or type(error).__name__}"


def _table_of(prefix: str) -> str:
    return prefix.partition("/")[0]


def _row(row: _Row) -> Row:
    key = f"{row.table}/{row.key}"
    if row.deleted or row.value is None:
        return Row(key, None, Revision(row.ver))
    try:
        return Row(key, base64.b64decode(row.value, validate=True), Revision(row.ver))
    except binascii.Error as error:
        # One row must not hide the others; its reader finds nothing to read in it.
        log.warning("row.not-base64", key=key, revision=row.ver, error=str(error))
        return Row(key, b"", Revision(row.ver))


def _transaction(writes: t.Sequence[Write], checks: t.Sequence[Check]) -> t.Dict[str, t.Any]:
    expected = [(check.key, check.expected) for check in checks]
    expected += [(write.key, write.expected) for write in writes if write.expected is not None]
    puts = [write for write in writes if write.value is not None]
    return {
        "expectedRev": [{**_name(key), "ver": revision} for key, revision in expected],
        "put": [
            {**_name(write.key), "value": base64.b64encode(write.value or b"").decode()}
            for write in puts
        ],
        "remove": [_name(write.key) for write in writes if write.value is None],
    }


def _name(key: str) -> t.Dict[str, str]:
    table, _, name = key.partition("/")
    return {"table": table, "part": "", "key": name}


def _decode(answer: ServerResponse) -> _Rows:
    try:
        return _rows_decoder.decode(answer.body)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(f"the store's answer can't be read: {error}") from error


def _refusal(answer: ServerResponse) -> PlatformError:
    message = f"the store answered {answer.status}: {answer.body[:200]!r}"
    if answer.status in (429, 503):
        return PlatformUnavailableError(message, status=answer.status)
    return PlatformRejectedError(message, status=answer.status)
