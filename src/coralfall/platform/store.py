"""Client for the platform's store over HTTP, as a feed and a table.

Rows have the key ``table/key`` in this package; the platform's field ``part`` is always empty.
"""

import base64
import binascii
import typing as t
import urllib.parse

import msgspec

from ..exceptions import (
    HistoryLostError,
    PlatformError,
    PlatformRejectedError,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from ..ids import Era, Revision
from ..process import log
from ..stores.store import Changes, Check, Feed, Row, Table, TransactResult, Write
from ..traffic.connection import encode_head
from ..traffic.response_parser import ServerResponse
from ..traffic.settings import StoreSettings
from ..traffic.store_connections import StoreConnections
from . import names

_ROWS_PER_PAGE = 500
_JSON_HEADER = (b"content-type", b"application/json")
_STATUS_HISTORY_LOST = 410
_STATUS_CONFLICT = 412
#: Longer numbers can't be sent to other entries.
_MAX_ERA_DIGITS = 18


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
    """Client for the platform's store.

    :param settings: address and timeout.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self._settings = settings
        self._connections = StoreConnections(settings.address, settings.timeout_s)

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        return self._connections.calls

    async def snapshot(self, prefix: str) -> Changes:
        rows: t.List[Row] = []
        first_page: t.Optional[_Rows] = None
        era = Era(0)
        after = ""
        while True:
            query = {"table": _table_name(prefix), "part": "", "limit": str(_ROWS_PER_PAGE)}
            if after:
                query["from"] = after
            page, page_era = await self._read(names.ROWS_GET_PATH, query, 0.0)
            if first_page is None:
                first_page, era = page, page_era
            if page_era != era:
                raise PlatformUnavailableError("the store began an era between two pages of rows")
            rows += [_row(row) for row in page.rows]
            if not page.has_more or not page.rows:
                revision = Revision(first_page.ver)
                return Changes(tuple(rows), revision, first_page.now_s, era=era)
            after = page.rows[-1].key + "\0"

    async def follow(self, prefix: str, since: Revision, wait_s: float) -> Changes:
        query = {
            "table": _table_name(prefix),
            "after": str(since),
            "waitMs": str(int(wait_s * 1000)),
        }
        page, era = await self._read(names.ROWS_FEED_PATH, query, wait_s)
        rows = tuple([_row(row) for row in page.rows])
        return Changes(rows, Revision(page.ver), page.now_s, era=era)

    async def changes(
        self, prefixes: t.Sequence[str], since: Revision, limit: t.Optional[int] = None
    ) -> Changes:
        if len(prefixes) != 1:
            raise PlatformRejectedError("the platform's store returns changes of one table only")
        if since:
            return await self.follow(prefixes[0], since, 0.0)
        return await self.snapshot(prefixes[0])

    async def read(self, keys: t.Sequence[str]) -> t.Dict[str, Row]:
        found: t.Dict[str, Row] = {}
        for key in keys:
            table, _, name = key.partition("/")
            query = {"table": table, "part": "", "from": name, "limit": "1"}
            page, _ = await self._read(names.ROWS_GET_PATH, query, 0.0)
            for row in page.rows:
                if row.key == name:
                    found[key] = _row(row)
        return found

    async def transact(
        self, writes: t.Sequence[Write], checks: t.Sequence[Check] = ()
    ) -> TransactResult:
        body = msgspec.json.encode(_transaction(writes, checks))
        answer = await self._write(body)
        if answer.status not in (200, _STATUS_CONFLICT):
            raise _status_error(answer)
        try:
            result, era = _decode(answer), _era(answer)
        except PlatformUnavailableError as error:
            # The write was carried out.
            raise PlatformUnknownError(error.message, **error.fields) from error
        conflicts = tuple([_row(row) for row in result.rows])
        committed = answer.status == 200
        return TransactResult(committed, Revision(result.ver), conflicts, result.now_s, era=era)

    async def _read(self, path: str, query: t.Dict[str, str], wait_s: float) -> t.Tuple[_Rows, Era]:
        """Returns the decoded answer, and the era that its revisions belong to."""
        target = f"{path}?{urllib.parse.urlencode(query)}"
        answer = await self._get(target, wait_s)
        if answer.status == _STATUS_HISTORY_LOST:
            raise HistoryLostError("the platform's store no longer has the changes since then")
        if answer.status != 200:
            raise _status_error(answer)
        return _decode(answer), _era(answer)

    async def _get(self, path: str, wait_s: float) -> ServerResponse:
        head = encode_head("GET", path, self._settings.address, [])
        return await self._connections.read(head, path, wait_s)

    async def _write(self, body: bytes) -> ServerResponse:
        fields = [_JSON_HEADER, (b"content-length", str(len(body)).encode())]
        head = encode_head("POST", names.ROWS_TX_PATH, self._settings.address, fields)
        return await self._connections.write(head, body, names.ROWS_TX_PATH)


def _table_name(prefix: str) -> str:
    return prefix.partition("/")[0]


def _row(row: _Row) -> Row:
    key = f"{row.table}/{row.key}"
    if row.deleted or row.value is None:
        return Row(key, None, Revision(row.ver))
    try:
        return Row(key, base64.b64decode(row.value, validate=True), Revision(row.ver))
    except binascii.Error as error:
        # One invalid row must not make the others unreadable; its decoder rejects the empty value.
        log.warning("row.not-base64", key=key, revision=row.ver, error=str(error))
        return Row(key, b"", Revision(row.ver))


def _transaction(writes: t.Sequence[Write], checks: t.Sequence[Check]) -> t.Dict[str, t.Any]:
    expected = [(check.key, check.expected) for check in checks]
    expected += [(write.key, write.expected) for write in writes if write.expected is not None]
    puts = [write for write in writes if write.value is not None]
    return {
        "expectedRev": [{**_row_key(key), "ver": revision} for key, revision in expected],
        "put": [
            {**_row_key(write.key), "value": base64.b64encode(write.value or b"").decode()}
            for write in puts
        ],
        "remove": [_row_key(write.key) for write in writes if write.value is None],
    }


def _row_key(key: str) -> t.Dict[str, str]:
    table, _, name = key.partition("/")
    return {"table": table, "part": "", "key": name}


def _decode(answer: ServerResponse) -> _Rows:
    try:
        return _rows_decoder.decode(answer.body)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(f"the store's answer can't be decoded: {error}") from error


def _era(answer: ServerResponse) -> Era:
    value = answer.header(names.ERA_HEADER)
    if value is None:
        return Era(0)
    if not value.isdigit() or len(value) > _MAX_ERA_DIGITS:
        text = value.decode("latin-1")
        message = f"the store's header Store-Era is {text!r}, but has to be a whole number"
        raise PlatformUnavailableError(message, field="Store-Era")
    return Era(int(value))


def _status_error(answer: ServerResponse) -> PlatformError:
    message = f"the store answered {answer.status}: {answer.body[:200]!r}"
    if answer.status in (429, 503):
        return PlatformUnavailableError(message, status=answer.status)
    return PlatformRejectedError(message, status=answer.status)
