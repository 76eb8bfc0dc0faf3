"""Ledger: how many requests all entries together may send under one limit, in touch or not.

Each limit is a token bucket that is divided into equal shares, one for each entry. Entries lease
their shares for a short time to an owner, whose bucket fills as fast, and holds as much, as the
shares allow that are leased to it. An entry leases a share to another owner only once the first
can't use it any more, so no share is ever used twice: whoever is cut off, paused, killed or has
another view of the fleet, all owners together grant no more than all shares allow. A load that
comes to one entry or to a few gets what the whole limit allows, since the others' shares lie with
the same owners.

Buckets start empty: nothing is known after a restart of what was granted before it.
"""

import enum
import math
import typing as t
import zlib

import msgspec

from .. import defaults
from ..ids import RegionId

if t.TYPE_CHECKING:
    from ..ids import EntryId
    from ..process.clock import Clock

#: Limits of one region are dealt to this many slots by their names; shares are leased by slot.
SLOT_COUNT = 32
#: Part of a bucket that is kept for those who make the best use of tokens.
RESERVED_FRACTION = 0.5
#: Seconds in which changes of the shares are taken together.
_STEP_S = 0.05
#: Part of the shares that have to stay when others end, lest buckets that nobody asked for yet
#: start to fill up anew.
_FEW_LEFT = 0.5
#: Seconds without a permit request after which a full bucket is dropped.
_IDLE_S = 10.0
#: Longest time, in seconds, after which a refused caller is told to come back.
_MAX_WAIT_S = 5.0
#: Adding up many parts of a token leaves it this much short of a whole one.
_ROUNDING = 1e-6


class LimitKind(enum.Enum):
    """What a limit binds."""

    TENANT = 0
    TARGET = 1


class LimitKey(msgspec.Struct, frozen=True, array_like=True):
    """Names a limit."""

    kind: LimitKind
    name: str
    #: Region whose owner all entries lease to; by default each entry's own.
    region: t.Optional[RegionId] = None


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """Limits that are leased together: those of a region with one hash."""

    number: int
    region: t.Optional[RegionId] = None


class SlotGroup(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one region, as messages name them."""

    region: t.Optional[RegionId]
    numbers: t.Tuple[int, ...]

    def slots(self) -> t.Iterator[Slot]:
        """Those that there are."""
        for number in self.numbers:
            if 0 <= number < SLOT_COUNT:
                yield Slot(number, self.region)


def group_by_region(slots: t.Iterable[Slot]) -> t.Tuple[SlotGroup, ...]:
    """Slots by their region."""
    numbers_by_region: t.Dict[t.Optional[RegionId], t.List[int]] = {}
    for slot in slots:
        numbers_by_region.setdefault(slot.region, []).append(slot.number)
    return tuple([SlotGroup(region, tuple(some)) for region, some in numbers_by_region.items()])


class Limit(msgspec.Struct, frozen=True, array_like=True):
    """What all shares of a limit allow together."""

    #: Tokens a second, and tokens that buckets hold.
    rate_per_s: float
    burst: float


#: Allows everything.
UNLIMITED = Limit(math.inf, math.inf)


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """An owner's word on what was asked."""

    count: int
    #: Seconds until a token should be there for who got none, and is to ask again.
    wait_s: float
    #: What the owner knew: tokens in its bucket, and the part of all shares that is lent to it, as
    #: far as that has been so for a second.
    level: float
    part: float


class _Lease:
    __slots__ = ("share", "until")

    def __init__(self, share: float, until: float) -> None:
        self.share = share
        self.until = until


class _Shares:
    """The shares of one slot that were lent here.

    :param now: monotonic time.
    """

    __slots__ = ("_at", "_by_lender", "_empty_lent_s", "_lowest", "buckets", "lent_s")

    def __init__(self, now: float) -> None:
        self._by_lender: t.Dict["EntryId", _Lease] = {}
        self._at = now
        #: The part of all shares that was lent, added up over time.
        self.lent_s = 0.0
        self.buckets: t.Dict[LimitKey, _Bucket] = {}
        #: Where buckets that nobody asked for yet began to fill up, and the least part since.
        self._empty_lent_s = 0.0
        self._lowest = 1.0

    def lend(self, lender: "EntryId", share: float, now: float, until: float) -> None:
        """Use an entry's share until then, or for longer if it is used already."""
        lease = self._by_lender.get(lender)
        if lease is not None and lease.until >= now and lease.share == share:
            lease.until = max(lease.until, until)
            return
        self.add_up(now)
        if until > now:
            self._by_lender[lender] = _Lease(share, until)

    def end(self, lender: "EntryId", now: float) -> None:
        """Use an entry's share no more."""
        lease = self._by_lender.get(lender)
        if lease is not None:
            lease.until = min(lease.until, now)
            self.add_up(now)

    def part(self) -> float:
        """Part of all shares that is lent now."""
        return min(1.0, sum([lease.share for lease in self._by_lender.values()]))

    def known_part(self, limit: Limit) -> float:
        """The part that is lent, less while buckets have hardly begun to fill up."""
        filled_s = self.lent_s - self._empty_lent_s
        if filled_s * limit.rate_per_s < 1.0:
            return 0.0
        return min(self.part(), filled_s)

    def bucket(self, key: LimitKey, limit: Limit, now: float) -> "_Bucket":
        """A limit's bucket, refilled."""
        if now - self._at >= _STEP_S:
            self.add_up(now)
        part = self.part()
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = _Bucket(limit, self._empty_lent_s)
            bucket.refill(self.lent_s, min(part, self._lowest))
        bucket.limit = limit
        bucket.refill(self.lent_s, part)
        bucket.asked_at = now
        return bucket

    def add_up(self, now: float) -> None:
        """Add up what was lent until now."""
        ended = []
        for lender, lease in self._by_lender.items():
            self.lent_s += lease.share * max(0.0, min(now, lease.until) - self._at)
            if lease.until <= now:
                ended.append(lender)
        self._at = now
        for lender in ended:
            del self._by_lender[lender]
        if ended:
            self._drop_surplus()

    def _drop_surplus(self) -> None:
        """Keep no tokens that came of shares which are used elsewhere from now on."""
        part = self.part()
        for bucket in self.buckets.values():
            bucket.refill(self.lent_s, part)
        if part < self._lowest * _FEW_LEFT:
            self._empty_lent_s = self.lent_s
            self._lowest = 1.0
        else:
            self._lowest = min(self._lowest, part)


class _Bucket:
    __slots__ = ("asked_at", "free_at", "lent_s", "limit", "tokens")

    def __init__(self, limit: Limit, lent_s: float) -> None:
        self.limit = limit
        self.tokens = 0.0
        #: What had been lent of its slot when tokens were added last.
        self.lent_s = lent_s
        self.asked_at = -math.inf
        #: When a token will be there for the next who is refused.
        self.free_at = -math.inf

    def refill(self, lent_s: float, part: float) -> None:
        """Add what came since the last time.

        :param part: of all shares that is lent now.
        """
        came = self.limit.rate_per_s * (lent_s - self.lent_s)
        self.tokens = min(self.limit.burst * part, self.tokens + came)
        self.lent_s = lent_s

    def is_full(self, part: float) -> bool:
        """Whether it holds all that it can."""
        return self.tokens >= self.limit.burst * part


class TokenBuckets:
    """What was lent to one entry, and what it granted.

    :param clock: tells the time; it goes on while the VM is suspended.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._shares: t.Dict[Slot, _Shares] = {}

    def add_lease(
        self, lender: "EntryId", slots: t.Iterable[Slot], share: float, seconds: float
    ) -> None:
        """Use an entry's share of these slots for some time."""
        now = self._clock.monotonic()
        for slot in slots:
            self._of(slot, now).lend(lender, share, now, now + seconds)

    def end_leases(self, lender: "EntryId") -> None:
        """Use nothing more that an entry lent."""
        now = self._clock.monotonic()
        for shares in self._shares.values():
            shares.end(lender, now)

    def take(self, key: LimitKey, limit: Limit, count: int, spare_only: bool = False) -> Grant:
        """Take tokens of a limit, fewer than ``count`` if there are no more.

        :param spare_only: whether the reserved part of the bucket stays for others.
        """
        now = self._clock.monotonic()
        shares = self._of(slot_of(key), now)
        bucket = shares.bucket(key, limit, now)
        part = shares.part()
        level = bucket.tokens
        reserved = limit.burst * part * RESERVED_FRACTION if spare_only else 0.0
        granted = min(count, max(0, math.floor(level - reserved + _ROUNDING)))
        bucket.tokens -= granted
        wait_s = 0.0
        if granted < count:
            wait_s = _wait_s(bucket, limit.rate_per_s * part, now, reserved)
        return Grant(granted, wait_s, level, shares.known_part(limit))

    def return_tokens(self, key: LimitKey, count: int) -> None:
        """Put back tokens whose requests did not run."""
        shares = self._of(slot_of(key), self._clock.monotonic())
        bucket = shares.buckets.get(key)
        if bucket is not None:
            bucket.tokens += count
            bucket.refill(shares.lent_s, shares.part())

    def tick(self) -> None:
        """Adds up what is leased, and drops full buckets, as new ones start as full."""
        now = self._clock.monotonic()
        for shares in self._shares.values():
            shares.add_up(now)
            part = shares.part()
            for key, bucket in list(shares.buckets.items()):
                if now - bucket.asked_at < _IDLE_S:
                    continue
                bucket.refill(shares.lent_s, part)
                if bucket.is_full(part):
                    del shares.buckets[key]

    def _of(self, slot: Slot, now: float) -> _Shares:
        shares = self._shares.get(slot)
        if shares is None:
            shares = self._shares[slot] = _Shares(now)
        return shares


def slot_of(key: LimitKey) -> Slot:
    """The slot of a limit; all entries agree on it."""
    return Slot(zlib.crc32(key.name.encode()) % SLOT_COUNT, key.region)


def _wait_s(bucket: _Bucket, rate_per_s: float, now: float, reserved: float) -> float:
    """Seconds until a token should be there; who is refused comes back one after the other.

    :param reserved: tokens that are for others; who needs one beyond them queues behind nobody.
    """
    if rate_per_s <= 0:
        return defaults.QUOTA_TIMEOUT_S
    first = now + max(0.0, 1.0 + reserved - bucket.tokens) / rate_per_s
    if reserved:
        return min(first - now, _MAX_WAIT_S)
    bucket.free_at = min(max(bucket.free_at + 1 / rate_per_s, first), now + _MAX_WAIT_S)
    return bucket.free_at - now
