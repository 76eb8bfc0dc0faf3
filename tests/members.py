"""Roster rows of entries, for tests of what is decided by them."""

import typing as t

import msgspec

from coralfall.cluster.rows import Member, roster_key
from coralfall.ids import EntryId, Incarnation, RegionId, Revision, SiteId, VmId, ZoneId
from coralfall.stores.store import Row


def make_member(name: str, incarnation: int = 1, vm: str = "", **changes: t.Any) -> Member:
    """An entry of region sierra, on a VM named after it unless ``vm`` names one."""
    values: t.Dict[str, t.Any] = {
        "entry_id": EntryId(name),
        "vm_id": VmId(vm or f"vm-{name}"),
        "incarnation": Incarnation(incarnation),
        "region": RegionId("sierra"),
        "zone": ZoneId("sierra-1"),
        "site": SiteId("sierra-1"),
        "caller_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2",
        "operator_address": "127.0.0.1:3",
    }
    return Member(**{**values, **changes})


def put(name: str, revision: int, incarnation: int = 1) -> Row:
    """The roster row of an entry as the table gives it."""
    value = msgspec.msgpack.encode(make_member(name, incarnation))
    return Row(roster_key(EntryId(name)), value, Revision(revision))


def deleted(name: str, revision: int) -> Row:
    """The roster row of an entry that is gone."""
    return Row(roster_key(EntryId(name)), None, Revision(revision))
