"""Line limiter: bounds how many lines a second are logged of things that happen by the thousand."""

import collections
import typing as t

if t.TYPE_CHECKING:
    from .clock import Clock

KeyT = t.TypeVar("KeyT", bound=t.Hashable)


class _Lines:
    """Lines of one key in the current second."""

    __slots__ = ("left_out", "second", "written")

    def __init__(self) -> None:
        self.second = 0
        self.written = 0
        self.left_out = 0


class LineLimiter(t.Generic[KeyT]):
    """Decides which lines are written, and counts those that are left out.

    :param clock: monotonic time.
    :param lines_per_s: most lines of one key in a second.
    """

    def __init__(self, clock: "Clock", lines_per_s: int) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._lines_by_key: t.Dict[KeyT, _Lines] = collections.defaultdict(_Lines)

    def take(self, key: KeyT) -> t.Optional[int]:
        """Returns how many lines were left out since the last, or ``None`` for no line now."""
        lines = self._lines_by_key[key]
        second = int(self._clock.monotonic())
        if second != lines.second:
            lines.second = second
            lines.written = 0
        if lines.written >= self._lines_per_s:
            lines.left_out += 1
            return None
        lines.written += 1
        left_out = lines.left_out
        lines.left_out = 0
        return left_out
