"""Look-up: which entries a caller should use, for how long, and under which version."""

import typing as t

import msgspec

from .. import defaults
from ..bundles.bundle import Bundle
from ..cluster.rows import Member
from ..exceptions import RefusedError, RequestError
from ..ids import BundleVersion, EntryId, PartnerId, SiteId
from .blocks import ClientAddress
from .blocktable import BlockTable
from .proximity import Plan, Proximity, client_hash, order_entries

#: Low bits of an address that do not count when callers are spread: a /24 or /56 is one
#: network of callers. Not the block, since one block may hold most of the callers.
NETWORK_SHIFT = 8


class LookupAnswer(msgspec.Struct, frozen=True, gc=False):
    """What a caller is told; also the body of the answer over HTTP."""

    #: Where the caller is steered to; ``None`` if the bundle states no site.
    site: t.Optional[SiteId]
    #: ``ip:port`` of the entries to try, in this order.
    entries: t.Tuple[str, ...]
    #: Seconds for which the answer may be used.
    ttl_s: float
    #: Version of the bundle that decided.
    version: BundleVersion


class LookupTable:
    """Look-ups under one bundle and one roster; never changes.

    :param bundle: the partner's bundle in force.
    :param blocks: the bundle's block table.
    :param proximity: the entries that may be named.
    :param ttl_s: seconds for which answers may be used.
    """

    def __init__(
        self, bundle: Bundle, blocks: BlockTable, proximity: Proximity, ttl_s: float
    ) -> None:
        self.bundle = bundle
        self.blocks = blocks
        self._proximity = proximity
        self._ttl_s = ttl_s
        self._site_ids = sorted(bundle.sites)
        self._plan_by_site: t.Dict[t.Optional[SiteId], Plan] = {}

    def answer(self, address: ClientAddress) -> LookupAnswer:
        """Where to steer a caller.

        An address in no block is steered to any of the sites, by a hash of its network; a
        wrong site costs the caller time and nothing else.

        :raises RefusedError: if no entry may be named.
        """
        client = client_hash(address.bits >> NETWORK_SHIFT)
        site = self.blocks.find(address)
        if site is None:
            site = self._any_site(client)
        plan = self._plan_by_site.get(site)
        if plan is None:
            plan = self._make_plan(site)
        entries = order_entries(plan, client)
        if not entries:
            raise RefusedError("no entry is serving", defaults.LOOKUP_TTL_S)
        return LookupAnswer(site, entries, self._ttl_s, self.bundle.version)

    def with_proximity(self, proximity: Proximity) -> "LookupTable":
        """The same bundle under another roster."""
        return LookupTable(self.bundle, self.blocks, proximity, self._ttl_s)

    def _any_site(self, client: int) -> t.Optional[SiteId]:
        if not self._site_ids:
            return None
        return self._site_ids[client % len(self._site_ids)]

    def _make_plan(self, site: t.Optional[SiteId]) -> Plan:
        # Made when a site is first asked for: a change of the roster costs the loop nothing
        # for sites that nobody asks for.
        if site is None:
            plan = self._proximity.plan_anywhere()
        else:
            plan = self._proximity.plan(site, self.bundle.sites[site])
        self._plan_by_site[site] = plan
        return plan


class Lookup:
    """Answers look-ups for all partners; holds what is in force.

    :param partners: partners that this entry serves.
    :param ttl_s: seconds for which answers may be used.
    """

    def __init__(
        self, partners: t.Iterable[PartnerId], ttl_s: float = defaults.LOOKUP_TTL_S
    ) -> None:
        self.ttl_s = ttl_s
        self._partners = frozenset(partners)
        self._proximity = Proximity({})
        self._table_by_partner: t.Dict[PartnerId, LookupTable] = {}

    def set_bundle(self, bundle: Bundle, blocks: BlockTable) -> None:
        """Answer under another bundle from now on.

        :param blocks: as :func:`~coralfall.lookups.blocktable.load_block_table` built it.
        """
        table = LookupTable(bundle, blocks, self._proximity, self.ttl_s)
        self._table_by_partner[bundle.partner] = table

    def set_members(
        self,
        members_by_id: t.Mapping[EntryId, Member],
        unsuitable: t.Container[EntryId] = frozenset(),
    ) -> None:
        """Name these entries from now on.

        :param members_by_id: :attr:`Roster.by_id`.
        :param unsuitable: entries that are not to be named though they are serving.
        """
        self._proximity = Proximity(members_by_id, unsuitable)
        for partner, table in list(self._table_by_partner.items()):
            self._table_by_partner[partner] = table.with_proximity(self._proximity)

    def blocks(self, partner: PartnerId) -> t.Optional[BlockTable]:
        """The block table in force, to load the next one from."""
        table = self._table_by_partner.get(partner)
        return table.blocks if table is not None else None

    def answer(self, partner: PartnerId, address: ClientAddress) -> LookupAnswer:
        """Where to steer a caller of a partner.

        :raises RequestError: if the partner is not known.
        :raises RefusedError: if no bundle of the partner is in force here yet, or no entry may
            be named.
        """
        table = self._table_by_partner.get(partner)
        if table is not None:
            return table.answer(address)
        if partner in self._partners:
            raise RefusedError(f"no bundle of {partner} is in force here", defaults.RETRY_AFTER_S)
        allowed = ", ".join(sorted(self._partners))
        raise RequestError(
            "unknown-partner",
            404,
            f"partner {partner!r} is not known",
            field="partner",
            remedy=f"use one of {allowed}",
        )
