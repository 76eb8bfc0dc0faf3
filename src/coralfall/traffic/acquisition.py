"""Requests that wait for a token of a limit, and the owners' replies to them."""

import asyncio
import typing as t

import msgspec

if t.TYPE_CHECKING:
    from ..ids import EntryId
    from ..placement.buckets import Grant, Limit, LimitKey


class OwnerReply(t.NamedTuple):
    """An owner's grant or refusal, and when it was received."""

    grant: "Grant"
    owner_id: "EntryId"
    received_at: float


class Acquisition:
    """One request's wait for a token, for which one or several owners are asked.

    :param key: key of the limit.
    :param limit: the limit as this entry knows it.
    :param spare_only: whether the reserved part of the bucket is left to others.
    """

    __slots__ = (
        "_changed",
        "closed",
        "granted",
        "key",
        "limit",
        "pending",
        "refusals",
        "spare_only",
    )

    def __init__(self, key: "LimitKey", limit: "Limit", spare_only: bool = False) -> None:
        self.key = key
        self.limit = limit
        self.spare_only = spare_only
        #: Number of owners that were asked and have not replied yet.
        self.pending = 0
        self.granted: t.Optional[OwnerReply] = None
        self.refusals: t.List[OwnerReply] = []
        #: Whether the wait is over, so that further replies come too late.
        self.closed = False
        self._changed = asyncio.Event()

    def refused_share(self) -> float:
        """Returns the fraction of all shares that the refusing owners hold."""
        return sum([reply.grant.part for reply in self.refusals])

    def soonest_refusal(self) -> t.Optional[OwnerReply]:
        """Returns the refusal with the shortest wait for a token."""
        return min(self.refusals, key=lambda reply: reply.grant.wait_s, default=None)

    def add_reply(self, reply: t.Optional[OwnerReply]) -> bool:
        """Records a reply, or that none will come; returns whether its token is used."""
        self._changed.set()
        if reply is None:
            return False
        if not reply.grant.count:
            self.refusals.append(reply)
            return False
        if self.closed or self.granted is not None:
            return False
        self.granted = reply
        return True

    async def wait(self, seconds: float) -> None:
        """Waits until a token is granted, all owners have replied, or the time is over."""
        try:
            async with asyncio.timeout(seconds):
                while self.pending and self.granted is None:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return


def distribute_grant(acquisitions: t.Sequence[Acquisition], reply: OwnerReply) -> int:
    """Assigns granted tokens in arrival order and returns the number of unused ones."""
    remaining = reply.grant.count
    unused = 0
    for acquisition in acquisitions:
        acquisition.pending -= 1
        count = 1 if remaining else 0
        remaining -= count
        grant = msgspec.structs.replace(reply.grant, count=count)
        if not acquisition.add_reply(reply._replace(grant=grant)):
            unused += count
    return remaining + unused
