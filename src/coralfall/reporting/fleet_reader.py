"""Reads the report: whom the platform or an entry names, asked one by one."""

import typing as t

import aiohttp

from ..bundles.rollout_status import read_status
from ..cluster.rows import ROSTER_PREFIX, Member, decode_row
from ..exceptions import Fault, InputError, PlatformError, StatusError
from ..ids import EntryId, Revision
from ..settings import split_address
from .fleet_merge import merge_statuses
from .fleet_report import FleetReport
from .operators_client import STATUS_TIMEOUT_S, AnyMember, ask_entries, fetch_status

if t.TYPE_CHECKING:
    from ..bundles.signing import Key
    from ..process.clock import Clock
    from ..stores.store import Platform


class Seed(t.NamedTuple):
    """An entry that is asked for the roster if the platform is away."""

    entry_id: EntryId
    #: ``ip:port`` of its operators' port.
    address: str


def parse_seeds(texts: t.Iterable[str]) -> t.Tuple[Seed, ...]:
    """Seeds from ``ID@ip:port``.

    :raises InputError: with every one that is something else.
    """
    seeds = []
    faults = []
    for text in texts:
        entry_id, _, address = text.partition("@")
        try:
            split_address(address)
        except ValueError:
            entry_id = ""
        if not entry_id:
            faults.append(Fault("--entry", "bad-address", f"{text!r} is not ID@ip:port"))
            continue
        seeds.append(Seed(EntryId(entry_id), address))
    if faults:
        raise InputError("; ".join(fault.message for fault in faults), faults)
    return tuple(seeds)


async def read_fleet(
    platform: "Platform", key: "Key", clock: "Clock", seeds: t.Sequence[Seed] = ()
) -> FleetReport:
    """Ask all entries of the roster and merge what they say.

    While the platform is away the roster is that of the first seed that answers: that is when
    a report is wanted most.

    :param key: an operator's key that the entries trust.
    :param clock: dates a report that is made without the platform.
    :param seeds: entries to ask for the roster while the platform is away, in this order.
    :raises PlatformError: if the roster can't be read, and there are no seeds.
    :raises StatusError: if there are entries and none of them answers, or what one counted
        can't be read.
    """
    try:
        changes = await platform.table.changes([ROSTER_PREFIX], Revision(0))
        status = await read_status(platform)
    except PlatformError as error:
        if not seeds:
            raise
        members = await _members_of_seeds(seeds, key)
        asked = await ask_entries(members, key)
        return merge_statuses(asked, (), clock.wall(), error.message)
    rows = [row for row in changes.rows if row.value is not None]
    asked = await ask_entries([decode_row(row, Member) for row in rows], key)
    if asked and all(answer.status is None for answer in asked):
        raise _none_answered([f"{answer.member.entry_id}: {answer.error}" for answer in asked])
    return merge_statuses(asked, status.partners, changes.now)


async def _members_of_seeds(seeds: t.Sequence[Seed], key: "Key") -> t.Sequence[AnyMember]:
    failures = []
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for seed in seeds:
            try:
                status = await fetch_status(session, seed.entry_id, seed.address, key)
            except StatusError as error:
                failures.append(f"{seed.entry_id}: {error.message}")
                continue
            return status.members
    raise _none_answered(failures)


def _none_answered(failures: t.Sequence[str]) -> StatusError:
    return StatusError(f"no entry answered; {'; '.join(failures)}", failures=list(failures))
