"""Fleet access: what an entry opens streams to the other entries of its installation with."""

import hashlib
import typing as t

from ..peering.channel import Traffic
from ..peering.cipher import FLEET_KEY_BYTES, FleetKey
from ..peering.messages import Hello

if t.TYPE_CHECKING:
    from .model import EntryRecord
    from .settings import SteerSettings


class FleetAccess(t.NamedTuple):
    """The key of the installation, the entry's greeting, and the count of its bytes."""

    fleet_key: FleetKey
    hello: Hello
    traffic: Traffic


def fleet_access(settings: "SteerSettings", own: "EntryRecord") -> FleetAccess:
    """Returns the access of an entry.

    :param own: record of the entry.
    """
    hello = Hello(entry_id=own.entry_id, incarnation=own.incarnation)
    return FleetAccess(_fleet_key(settings), hello, Traffic())


def _fleet_key(settings: "SteerSettings") -> FleetKey:
    # The platform gives its processes no secret, so the key is derived from public values. It keeps
    # fleets apart and does not protect against attackers.
    name = settings.fleet or settings.store.address
    return FleetKey(hashlib.blake2b(name.encode(), digest_size=FLEET_KEY_BYTES).digest())
