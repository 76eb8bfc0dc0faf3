"""Asks running entries for their status, as an operator."""

import asyncio
import time
import typing as t

import aiohttp
import msgspec

from ..bundles.signing import Key
from ..cluster.rows import Member
from ..exceptions import StatusError
from ..ids import EntryId
from .operators import HEADER_SIGNATURE
from .request_signing import SignedParts, sign_request
from .status import EntryStatus, MemberStatus

STATUS_PATH = "/status"
#: Seconds in which an entry must have told its status.
STATUS_TIMEOUT_S = 5.0
#: Entries that are asked at a time.
_PARALLEL = 32
_MAX_STATUS_BYTES = 16 * 1024 * 1024
_MAX_SHOWN = 200


#: An entry of the roster, as the platform or another entry knows it.
AnyMember = t.Union[Member, MemberStatus]


class Asked(t.NamedTuple):
    """What came of asking one entry."""

    member: AnyMember
    #: Present if the entry answered.
    status: t.Optional[EntryStatus]
    #: Why it did not.
    error: t.Optional[str]


class _Refusal(msgspec.Struct):
    """Body of an answer that is no status."""

    message: str
    reason: str = ""


async def ask_entries(
    members: t.Sequence[AnyMember], key: Key, timeout_s: float = STATUS_TIMEOUT_S
) -> t.List[Asked]:
    """The status of each entry, or why it could not be had, in the order given.

    :param members: entries of the roster.
    :param key: an operator's key that the entries trust.
    :param timeout_s: seconds for each entry.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    connector = aiohttp.TCPConnector(limit=0)
    permits = asyncio.Semaphore(_PARALLEL)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:

        async def ask(member: AnyMember) -> Asked:
            async with permits:
                return await _ask(session, member, key)

        return await asyncio.gather(*[ask(member) for member in members])


async def fetch_status(
    session: aiohttp.ClientSession, entry_id: EntryId, address: str, key: Key
) -> EntryStatus:
    """The status of one entry.

    :param entry_id: whom the request is signed for.
    :param address: ``ip:port`` of its operators' port.
    :raises StatusError: if it does not answer, refuses, or answers what can't be read.
    """
    url = f"http://{address}{STATUS_PATH}"
    parts = SignedParts("GET", STATUS_PATH, audience=entry_id)
    headers = {HEADER_SIGNATURE: sign_request(key, parts, time.time())}
    try:
        async with session.get(url, headers=headers, allow_redirects=False) as answer:
            body = await _read(answer)
    except asyncio.TimeoutError as error:
        raise StatusError("no answer in time") from error
    except (aiohttp.ClientError, OSError) as error:
        raise StatusError(f"no answer: {error}") from error
    if answer.status != 200:
        raise StatusError(_refusal_text(answer.status, body))
    try:
        status = msgspec.json.decode(body, type=EntryStatus)
    except msgspec.MsgspecError as error:
        raise StatusError(f"its status can't be read: {error}; is it of this version?") from error
    if status.entry_id != entry_id:
        raise StatusError(f"{status.entry_id!r} answers at its address")
    return status


async def _ask(session: aiohttp.ClientSession, member: AnyMember, key: Key) -> Asked:
    try:
        status = await fetch_status(session, member.entry_id, member.operator_address, key)
    except StatusError as error:
        return Asked(member, None, error.message)
    return Asked(member, status, None)


async def _read(answer: aiohttp.ClientResponse) -> bytes:
    parts = []
    size = 0
    async for part in answer.content.iter_any():
        size += len(part)
        if size > _MAX_STATUS_BYTES:
            raise StatusError(f"its status is longer than {_MAX_STATUS_BYTES} bytes")
        parts.append(part)
    return b"".join(parts)


def _refusal_text(status: int, body: bytes) -> str:
    try:
        refusal = msgspec.json.decode(body, type=_Refusal)
    except msgspec.MsgspecError:
        return f"refused with HTTP status {status}"
    return f"refused ({refusal.reason or status}): {refusal.message}"[:_MAX_SHOWN]
