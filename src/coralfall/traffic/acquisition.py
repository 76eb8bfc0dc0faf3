"""Acquisitions: requests that wait for a token of a limit, and the owners' answers to them."""

import asyncio
import typing as t

import msgspec

if t.TYPE_CHECKING:
    from ..ids import EntryId
    from ..placement.buckets import Grant, Limit, LimitKey


class Answer(t.NamedTuple):
    """What an owner granted, and when that came."""

    grant: "Grant"
    owner_id: "EntryId"
    at: float


class Acquisition:
    """One request's wait for a token, asked of one owner or of several.

    :param key: names the limit.
    :param limit: the limit as it is known here.
    :param spare_only: whether the reserved part of the bucket stays for others.
    """

    __slots__ = (
        "_changed",
        "closed",
        "granted",
        "key",
        "limit",
        "open",
        "refusals",
        "spare_only",
    )

    def __init__(self, key: "LimitKey", limit: "Limit", spare_only: bool = False) -> None:
        self.key = key
        self.limit = limit
        self.spare_only = spare_only
        #: Owners that were asked and have not replied.
        self.open = 0
        self.granted: t.Optional[Answer] = None
        self.refusals: t.List[Answer] = []
        #: Whether a reply comes too late.
        self.closed = False
        self._changed = asyncio.Event()

    def known_part(self) -> float:
        """Part of all shares that those who refused have."""
        return sum([answer.grant.part for answer in self.refusals])

    def first_refusal(self) -> t.Optional[Answer]:
        """The refusal that promises a token the soonest."""
        return min(self.refusals, key=lambda answer: answer.grant.wait_s, default=None)

    def take(self, answer: t.Optional[Answer]) -> bool:
        """Take in a reply, or that none will come; whether a token is of use."""
        self._changed.set()
        if answer is None:
            return False
        if not answer.grant.count:
            self.refusals.append(answer)
            return False
        if self.closed or self.granted is not None:
            return False
        self.granted = answer
        return True

    async def wait(self, seconds: float) -> None:
        """Wait until there is a token, all have replied, or the time is over."""
        try:
            async with asyncio.timeout(seconds):
                while self.open and self.granted is None:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return


def deal(waiting: t.Sequence[Acquisition], answer: Answer) -> int:
    """Assigns granted tokens in arrival order; how many of them are of no use."""
    left = answer.grant.count
    unused = 0
    for acquisition in waiting:
        acquisition.open -= 1
        count = 1 if left else 0
        left -= count
        grant = msgspec.structs.replace(answer.grant, count=count)
        if not acquisition.take(answer._replace(grant=grant)):
            unused += count
    return left + unused
