"""Part pacer: a token bucket for parts of messages that a parser has to handle one by one.

A peer that sends fields or chunks of a few bytes costs far more time for each byte than others do.
"""

from .. import defaults


class PartPacer:
    """Paces the parsing of messages that share it."""

    def __init__(self) -> None:
        self._paid_at = 0.0

    def pause_s(self, now: float, parts: int) -> float:
        """Returns the seconds that the receiver of a message has to wait after parsing some.

        :param now: monotonic time.
        :param parts: number of parts parsed at once.
        """
        excess = parts - defaults.FREE_PARTS
        if excess <= 0:
            return 0.0
        self._paid_at = max(now, self._paid_at) + excess / defaults.MAX_PARTS_PER_S
        return self._paid_at - now
