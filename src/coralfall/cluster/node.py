"""What an entry knows and decides, without servers or streams.

A :class:`Node` joins the parts that follow the table and the peers and decide where requests
go. It opens no port and connection of its own, so tests run many in one loop. The process
around it, with its servers and its supervisor tree, is :class:`coralfall.cluster.entry.Entry`,
which
gives the node what it needs of them as :class:`NodeCallbacks`.
"""

import random
import typing as t

from ..balancing.borrowing import Borrower
from ..balancing.fleet_steering import FleetSteering
from ..balancing.lending import Lender
from ..balancing.slots import SlotTable
from ..bundles.rollout import PartnerRollout
from ..bundles.staging import PeerFetch, Staging
from ..bundles.trust import trust_of
from ..ids import Era, RegionId, ServiceId
from ..lookups.lookup import Lookup
from ..process.clock import Clock
from ..settings import EntrySettings
from ..stores.era_table import EraTable
from ..stores.store import Platform
from .control import Control
from .conversation import Conversation
from .coordinator import Coordinator
from .lease import Lease
from .membership import Membership
from .roster import Roster
from .rows import Member

if t.TYPE_CHECKING:
    from ..balancing.fleet_steering import StartLoanRequest


class NodeCallbacks(t.NamedTuple):
    """What a node calls in the process that it runs in."""

    #: Gives the roster row, once the entry's addresses are known.
    make_member: t.Callable[[], Member]
    #: Gives an object that a peer holds.
    peer_fetch: PeerFetch
    #: Asks peers for slots.
    start_loan_request: "StartLoanRequest"
    #: Spreads news to peers.
    announce: t.Callable[[], None]
    #: Told after each change of the roster.
    roster_changed: t.Callable[[], None]
    #: Told when the table came back from an older copy.
    era_began: t.Callable[[Era], None]


class Node:
    """What an entry knows and decides.

    :param settings: the entry's settings.
    :param platform: the platform, whatever implements it.
    :param clock: the VM's clocks.
    :param rng: the source of choices that may differ between entries.
    :param callbacks: what it calls in the process that it runs in.
    """

    def __init__(
        self,
        settings: EntrySettings,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
        callbacks: NodeCallbacks,
    ) -> None:
        self._callbacks = callbacks
        platform = platform._replace(table=EraTable(platform.table))
        self.roster = Roster()
        self.rollouts = {partner: PartnerRollout(partner) for partner in settings.partners}
        self.lease = Lease(settings.lease, clock)
        self.slots = SlotTable(settings.entry_id, self.lease, clock, settings.lease)
        self.membership = Membership(
            settings,
            platform,
            clock,
            self.roster,
            self.rollouts,
            self.lease,
            self._follow_roster,
            lambda: self.slots.acknowledged_revision,
            callbacks.era_began,
        )
        self.steering = FleetSteering(
            self.rollouts,
            self.roster,
            self.slots,
            clock,
            self.membership.platform_clock,
            self._ask_loan,
            settings.trace_slots,
        )
        trust = trust_of(settings.partners)
        self.staging = Staging(platform.objects, callbacks.peer_fetch, trust)
        self.lookup = Lookup(settings.partners, settings.lookup_ttl_s)
        self.control = Control(
            settings,
            platform,
            clock,
            self.membership,
            self.roster,
            self.rollouts,
            self.staging,
            self.steering,
            self.slots,
            self.lookup,
            callbacks.make_member,
            callbacks.announce,
        )
        self.coordinator = Coordinator(
            settings,
            platform,
            clock,
            self.membership,
            self.roster,
            self.rollouts,
            self.control.news.set,
        )
        self.lender = Lender(self.slots, self.lease, clock, rng)
        self.borrower = Borrower(self.slots, clock, rng)
        self.conversation = Conversation(
            settings.entry_id,
            clock,
            self.membership,
            self.roster,
            self.rollouts,
            self.lease,
            self.slots,
            self.staging,
            self.lender,
            self.borrower,
        )
        self.conversation.control = self.control
        self.conversation.services = self.steering.served.service_ids
        self.conversation.wake_waiters = self.steering.wake_waiters
        self.steering.loan_outlook = self.borrower
        self.steering.refusal_log.describe_loans = self.borrower.describe

    def _follow_roster(self) -> None:
        self._callbacks.roster_changed()
        self.steering.refresh()

    def _ask_loan(
        self, service: ServiceId, count: int, regions: t.Sequence[RegionId], waiting: bool
    ) -> None:
        self._callbacks.start_loan_request(service, count, regions, waiting)
