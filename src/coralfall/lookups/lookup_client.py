"""Asks a running system which entries to use, as a caller does."""

import asyncio
import typing as t

import aiohttp
import msgspec

from ..exceptions import Fault, InputError, LookupFailedError
from ..ids import PartnerId
from ..settings import split_address
from .lookup import LookupAnswer

#: Seconds in which an entry must have answered.
LOOKUP_TIMEOUT_S = 3.0
_MAX_ANSWER_BYTES = 64 * 1024


class Found(t.NamedTuple):
    """An answer and the entry that gave it."""

    entry: str
    answer: LookupAnswer


class _Refusal(msgspec.Struct):
    """Body of an answer that refuses."""

    code: str
    message: str
    remedy: str = ""


async def look_up(
    entries: t.Sequence[str],
    partner: PartnerId,
    address: t.Optional[str] = None,
    timeout_s: float = LOOKUP_TIMEOUT_S,
) -> Found:
    """The answer of the first entry that gives one.

    :param entries: ``ip:port`` of entries' callers' ports, tried in this order.
    :param address: IP number to look up; without it the entry takes the one it sees.
    :param timeout_s: seconds for each entry.
    :raises InputError: if an address is wrong or an entry calls the question wrong, which
        every other entry would too.
    :raises LookupFailedError: if no entry answers.
    """
    _check_entries(entries)
    failures = []
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for entry in entries:
            try:
                return Found(entry, await _ask(session, entry, partner, address))
            except LookupFailedError as error:
                failures.append(f"{entry}: {error.message}")
    raise LookupFailedError(f"no entry answered; {'; '.join(failures)}", failures=failures)


def _check_entries(entries: t.Sequence[str]) -> None:
    faults = []
    for entry in entries:
        try:
            split_address(entry)
        except ValueError as error:
            faults.append(Fault("--entry", "bad-address", str(error)))
    if not entries:
        faults.append(Fault("--entry", "missing", "name at least one entry as ip:port"))
    if faults:
        listed = "; ".join(fault.message for fault in faults)
        raise InputError(f"--entry: {listed}", faults)


async def _ask(
    session: aiohttp.ClientSession, entry: str, partner: PartnerId, address: t.Optional[str]
) -> LookupAnswer:
    query: t.Dict[str, str] = {"partner": partner}
    if address is not None:
        query["address"] = address
    url = f"http://{entry}/lookup"
    try:
        async with session.get(url, params=query, allow_redirects=False) as answer:
            body = await answer.content.read(_MAX_ANSWER_BYTES)
    except asyncio.TimeoutError as error:
        raise LookupFailedError("no answer in time") from error
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise LookupFailedError(f"no answer: {error}") from error
    if answer.status != 200:
        raise _refusal_of(entry, answer.status, body)
    try:
        return msgspec.json.decode(body, type=LookupAnswer)
    except msgspec.MsgspecError as error:
        raise LookupFailedError(f"its answer is not that of an entry: {error}") from error


def _refusal_of(entry: str, status: int, body: bytes) -> Exception:
    try:
        refusal = msgspec.json.decode(body, type=_Refusal)
    except msgspec.MsgspecError:
        return LookupFailedError(f"HTTP status {status} that is not of an entry")
    text = f"{refusal.message}; {refusal.remedy}" if refusal.remedy else refusal.message
    if status in (400, 404):
        return InputError(f"{entry}: {text}", [Fault("", refusal.code, text)])
    return LookupFailedError(text)
