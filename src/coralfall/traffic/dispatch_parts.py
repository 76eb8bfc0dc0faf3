"""Dispatch parts: builds the parts of an entry that dispatch targets and that ask for slots."""

import typing as t

from ..placement.dispatch_ledger import DispatchLedger
from .dispatch_client import DispatchClient
from .dispatch_selection import DispatchSelector
from .dispatch_server import DispatchServer
from .dispatchers import Dispatchers
from .target_selection import LocalSelector

if t.TYPE_CHECKING:
    from ..peering.peer_links import PeerLinks
    from ..placement.affinity import AffinitySteering
    from ..placement.contention import Contention
    from ..placement.targets import TargetRegistry
    from ..process.clock import Clock
    from .members import Members
    from .target_selection import TargetSelector
    from .telemetry import Telemetry


class DispatchParts(t.NamedTuple):
    """The parts of one entry."""

    ledger: DispatchLedger
    server: DispatchServer
    client: DispatchClient
    selector: "TargetSelector"


def build_dispatch(
    members: "Members",
    targets: "TargetRegistry",
    steering: "AffinitySteering",
    contention: "Contention",
    make_links: "t.Callable[[], PeerLinks]",
    telemetry: "Telemetry",
    clock: "Clock",
) -> DispatchParts:
    """Builds the parts, and lets the fractions of regions follow the loads that dispatchers tell.

    :param make_links: returns streams of their own, with room for all dispatchers.
    """
    settings = steering.settings
    ledger = DispatchLedger(settings.entry_id, targets, steering.admission, clock)
    # Apart from each other, so that no notice waits for an answer on the same stream.
    notice_links, ask_links = make_links(), make_links()
    server = DispatchServer(members, ledger, notice_links, clock)
    dispatchers = Dispatchers(members, settings, clock)
    client = DispatchClient(members, dispatchers, server, ask_links, telemetry, clock)
    region_load = steering.rankings.region_load
    region_load.is_contended = contention.is_contended
    region_load.service_load = client.service_load
    region_load.remote_load = client.remote_load
    local = LocalSelector(steering, clock)
    selector = DispatchSelector(local, client, steering, targets, clock)
    return DispatchParts(ledger, server, client, selector)
