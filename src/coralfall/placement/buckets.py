"""Distributed token buckets: limit the requests of all entries together by leased shares.

Each limit is a token bucket that is divided into equal shares, one for each entry. Entries lease
their shares for a short time to an owner, whose bucket has the fill rate and the size of the shares
that are leased to it. An entry leases a share to another owner only once the first one can't use it
any more, so no share is ever used twice: even if entries are partitioned, paused or killed, or have
different views of the fleet, all owners together grant no more than the limit. Load that arrives at
one or a few entries gets the whole limit, since the same owners hold the shares of the others.

Buckets start empty, since after a restart it is unknown what was granted before.
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

#: Number of hash slots that the limits of a region are distributed to; shares are leased by slot.
SLOT_COUNT = 32
#: Fraction of a bucket that is reserved for the requests that make the best use of tokens.
RESERVED_FRACTION = 0.5
#: Seconds between two accruals of the leased shares.
_ACCRUAL_INTERVAL_S = 0.05
#: Fraction of the shares that has to remain when leases end; below it, buckets that are not in use
#: yet count as empty again.
_MIN_REMAINING_FRACTION = 0.5
#: Seconds without a permit request after which a full bucket is removed.
_IDLE_TIMEOUT_S = 10.0
#: Longest time, in seconds, after which a rejected caller is told to retry.
_MAX_RETRY_AFTER_S = 5.0
#: Tolerance in tokens for the rounding errors of accrued fractions.
_ROUNDING_TOLERANCE = 1e-6


class LimitKind(enum.Enum):
    """What a limit applies to."""

    TENANT = 0
    TARGET = 1


class LimitKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a limit."""

    kind: LimitKind
    name: str
    #: Region whose owner all entries lease to; each entry's own region by default.
    region: t.Optional[RegionId] = None


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """A hash slot: the limits of a region whose shares are leased together."""

    number: int
    region: t.Optional[RegionId] = None


class SlotGroup(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one region, as they are sent in messages."""

    region: t.Optional[RegionId]
    numbers: t.Tuple[int, ...]

    def slots(self) -> t.Iterator[Slot]:
        """Yields the valid slots of the group."""
        for number in self.numbers:
            if 0 <= number < SLOT_COUNT:
                yield Slot(number, self.region)


def group_by_region(slots: t.Iterable[Slot]) -> t.Tuple[SlotGroup, ...]:
    """Groups slots by region."""
    numbers_by_region: t.Dict[t.Optional[RegionId], t.List[int]] = {}
    for slot in slots:
        numbers_by_region.setdefault(slot.region, []).append(slot.number)
    return tuple(
        [SlotGroup(region, tuple(numbers)) for region, numbers in numbers_by_region.items()]
    )


class Limit(msgspec.Struct, frozen=True, array_like=True):
    """Parameters of the token bucket that all shares of a limit make up."""

    #: Fill rate in tokens a second, and size in tokens.
    rate_per_s: float
    burst: float


#: Grants every request.
UNLIMITED = Limit(math.inf, math.inf)


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Answer of an owner to a token request."""

    count: int
    #: Seconds after which a request that got no token should ask again.
    wait_s: float
    #: State of the owner: tokens in its bucket, and the fraction of all shares that is leased to
    #: it, as far as that has been so for a second.
    level: float
    part: float


class _Lease:
    __slots__ = ("share", "until")

    def __init__(self, share: float, until: float) -> None:
        self.share = share
        self.until = until


class _Shares:
    """The shares of one slot that are leased to this entry.

    :param now: monotonic time.
    """

    __slots__ = (
        "_accrued_at",
        "_empty_accrued_s",
        "_lease_by_lessor",
        "_lowest_fraction",
        "accrued_s",
        "buckets",
    )

    def __init__(self, now: float) -> None:
        self._lease_by_lessor: t.Dict["EntryId", _Lease] = {}
        self._accrued_at = now
        #: Integral over time of the leased fraction of all shares, in seconds.
        self.accrued_s = 0.0
        self.buckets: t.Dict[LimitKey, _Bucket] = {}
        #: Value of ``accrued_s`` at which unused buckets were empty, and the lowest fraction since.
        self._empty_accrued_s = 0.0
        self._lowest_fraction = 1.0

    def add_lease(self, lessor: "EntryId", share: float, now: float, until: float) -> None:
        """Adds or extends the lease of an entry's share."""
        lease = self._lease_by_lessor.get(lessor)
        if lease is not None and lease.until >= now and lease.share == share:
            lease.until = max(lease.until, until)
            return
        self.accrue(now)
        if until > now:
            self._lease_by_lessor[lessor] = _Lease(share, until)

    def end(self, lessor: "EntryId", now: float) -> None:
        """Ends the lease of an entry's share."""
        lease = self._lease_by_lessor.get(lessor)
        if lease is not None:
            lease.until = min(lease.until, now)
            self.accrue(now)

    def leased_fraction(self) -> float:
        """Fraction of all shares that is leased now."""
        return min(1.0, sum([lease.share for lease in self._lease_by_lessor.values()]))

    def settled_fraction(self, limit: Limit) -> float:
        """The leased fraction, less while buckets have hardly begun to fill."""
        since_empty_s = self.accrued_s - self._empty_accrued_s
        if since_empty_s * limit.rate_per_s < 1.0:
            return 0.0
        return min(self.leased_fraction(), since_empty_s)

    def bucket(self, key: LimitKey, limit: Limit, now: float) -> "_Bucket":
        """The refilled bucket of a limit."""
        if now - self._accrued_at >= _ACCRUAL_INTERVAL_S:
            self.accrue(now)
        leased_fraction = self.leased_fraction()
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = _Bucket(limit, self._empty_accrued_s)
            bucket.refill(self.accrued_s, min(leased_fraction, self._lowest_fraction))
        bucket.limit = limit
        bucket.refill(self.accrued_s, leased_fraction)
        bucket.last_used_at = now
        return bucket

    def accrue(self, now: float) -> None:
        """Accrues the leased shares until now."""
        ended = []
        for lessor, lease in self._lease_by_lessor.items():
            self.accrued_s += lease.share * max(0.0, min(now, lease.until) - self._accrued_at)
            if lease.until <= now:
                ended.append(lessor)
        self._accrued_at = now
        for lessor in ended:
            del self._lease_by_lessor[lessor]
        if ended:
            self._trim_buckets()

    def _trim_buckets(self) -> None:
        """Shrinks the buckets to the remaining leases, and discards the tokens that do not fit."""
        leased_fraction = self.leased_fraction()
        for bucket in self.buckets.values():
            bucket.refill(self.accrued_s, leased_fraction)
        if leased_fraction < self._lowest_fraction * _MIN_REMAINING_FRACTION:
            self._empty_accrued_s = self.accrued_s
            self._lowest_fraction = 1.0
        else:
            self._lowest_fraction = min(self._lowest_fraction, leased_fraction)


class _Bucket:
    __slots__ = ("accrued_s", "last_used_at", "limit", "next_token_at", "tokens")

    def __init__(self, limit: Limit, accrued_s: float) -> None:
        self.limit = limit
        self.tokens = 0.0
        #: Value of the slot's ``accrued_s`` at the last refill.
        self.accrued_s = accrued_s
        self.last_used_at = -math.inf
        #: When a token should be available for the next request that is rejected.
        self.next_token_at = -math.inf

    def refill(self, accrued_s: float, leased_fraction: float) -> None:
        """Adds the tokens since the last refill.

        :param leased_fraction: fraction of all shares that is leased now.
        """
        added = self.limit.rate_per_s * (accrued_s - self.accrued_s)
        self.tokens = min(self.limit.burst * leased_fraction, self.tokens + added)
        self.accrued_s = accrued_s

    def is_full(self, leased_fraction: float) -> bool:
        """Whether the bucket is full for the leased fraction of its size."""
        return self.tokens >= self.limit.burst * leased_fraction


class TokenBuckets:
    """Token buckets of the shares that are leased to one entry.

    :param clock: time source, which continues while the VM is suspended.
    """

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._shares: t.Dict[Slot, _Shares] = {}

    def add_lease(
        self, lessor: "EntryId", slots: t.Iterable[Slot], share: float, seconds: float
    ) -> None:
        """Adds leases of an entry's share of these slots."""
        now = self._clock.monotonic()
        for slot in slots:
            self._shares_of(slot, now).add_lease(lessor, share, now, now + seconds)

    def end_leases(self, lessor: "EntryId") -> None:
        """Ends all leases of an entry."""
        now = self._clock.monotonic()
        for shares in self._shares.values():
            shares.end(lessor, now)

    def take(self, key: LimitKey, limit: Limit, count: int, spare_only: bool = False) -> Grant:
        """Takes up to ``count`` tokens of a limit.

        :param spare_only: whether to leave the reserved part of the bucket to others.
        """
        now = self._clock.monotonic()
        shares = self._shares_of(slot_of(key), now)
        bucket = shares.bucket(key, limit, now)
        leased_fraction = shares.leased_fraction()
        level = bucket.tokens
        reserved = limit.burst * leased_fraction * RESERVED_FRACTION if spare_only else 0.0
        granted = min(count, max(0, math.floor(level - reserved + _ROUNDING_TOLERANCE)))
        bucket.tokens -= granted
        wait_s = 0.0
        if granted < count:
            wait_s = _wait_s(bucket, limit.rate_per_s * leased_fraction, now, reserved)
        return Grant(granted, wait_s, level, shares.settled_fraction(limit))

    def return_tokens(self, key: LimitKey, count: int) -> None:
        """Returns the tokens of requests that did not run."""
        shares = self._shares_of(slot_of(key), self._clock.monotonic())
        bucket = shares.buckets.get(key)
        if bucket is not None:
            bucket.tokens += count
            bucket.refill(shares.accrued_s, shares.leased_fraction())

    def tick(self) -> None:
        """Accrues the leased shares, and removes idle full buckets, as new ones start as full."""
        now = self._clock.monotonic()
        for shares in self._shares.values():
            shares.accrue(now)
            leased_fraction = shares.leased_fraction()
            for key, bucket in list(shares.buckets.items()):
                if now - bucket.last_used_at < _IDLE_TIMEOUT_S:
                    continue
                bucket.refill(shares.accrued_s, leased_fraction)
                if bucket.is_full(leased_fraction):
                    del shares.buckets[key]

    def _shares_of(self, slot: Slot, now: float) -> _Shares:
        shares = self._shares.get(slot)
        if shares is None:
            shares = self._shares[slot] = _Shares(now)
        return shares


def slot_of(key: LimitKey) -> Slot:
    """The hash slot of a limit, the same at all entries."""
    return Slot(zlib.crc32(key.name.encode()) % SLOT_COUNT, key.region)


def _wait_s(bucket: _Bucket, rate_per_s: float, now: float, reserved: float) -> float:
    """Seconds until a token should be available; rejected requests retry one after the other.

    :param reserved: tokens that are left to others; requests that need one beyond these do not
        queue behind other requests.
    """
    if rate_per_s <= 0:
        return defaults.QUOTA_TIMEOUT_S
    first_token_at = now + max(0.0, 1.0 + reserved - bucket.tokens) / rate_per_s
    if reserved:
        return min(first_token_at - now, _MAX_RETRY_AFTER_S)
    bucket.next_token_at = min(
        max(bucket.next_token_at + 1 / rate_per_s, first_token_at), now + _MAX_RETRY_AFTER_S
    )
    return bucket.next_token_at - now
