"""Receive budget: bounds what answers that are being received cost together, in memory and time.

Memory is bounded by cutting off the largest answer of the server that sends most (a per-source
fair share under overload), so that servers with small answers notice nothing. Time is bounded by
the pacer that all answers share.
"""

import typing as t

from ..http.part_pacer import PartPacer


class ReceivedBytes:
    """The bytes of one answer that is being received.

    :param budget: that they count toward.
    :param source: address of the server.
    :param cut_off: ends the answer.
    """

    def __init__(self, budget: "ReceiveBudget", source: str, cut_off: t.Callable[[], None]) -> None:
        self._budget = budget
        self.source = source
        self.cut_off = cut_off
        self.count = 0

    def grow_to(self, count: int) -> None:
        """Counts all bytes that were received so far."""
        self._budget.add(self, count - self.count)

    def release(self) -> None:
        """Gives back all bytes, as the answer has ended."""
        self._budget.remove(self)


class ReceiveBudget:
    """Bytes and parts of all answers that are being received.

    :param limit: most bytes at a time.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self._counted: t.Set[ReceivedBytes] = set()
        self.pacer = PartPacer()

    def add(self, received: ReceivedBytes, count: int) -> None:
        """Counts bytes of an answer, and cuts answers off while there are too many."""
        received.count += count
        self.held += count
        self._counted.add(received)
        while self.held > self.limit:
            largest = self._largest_of_heaviest_source()
            self.remove(largest)
            largest.cut_off()

    def remove(self, received: ReceivedBytes) -> None:
        """Forgets an answer."""
        self._counted.discard(received)
        self.held -= received.count
        received.count = 0

    def _largest_of_heaviest_source(self) -> ReceivedBytes:
        held_by_source: t.Dict[str, int] = {}
        for one in self._counted:
            held_by_source[one.source] = held_by_source.get(one.source, 0) + one.count
        heaviest = max(held_by_source, key=lambda source: held_by_source[source])
        return max(
            [one for one in self._counted if one.source == heaviest], key=lambda one: one.count
        )
