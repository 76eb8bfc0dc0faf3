"""Score: what callers got, by the users' measures.

Worth counts from a caller's first attempt: all of it within the aim, a part of it later. What was
never served costs by how long its caller was kept, without steps, and more if it came back in vain.
"""

import typing as t

import msgspec

#: Weights of the whole, the worst region, the part that is served at all, the worst seconds and the
#: worst kind, as the users weigh a day.
_WEIGHTS = (0.42, 0.3, 0.14, 0.084, 0.056)
#: Seconds of a window, how many of the worst count, and the part of its time for which a caller may
#: be kept in vain at no price.
_WINDOW_S = 2.0
_WORST_WINDOWS = 2
_FREE_HOLD = 0.125
#: Part of its worth that a request costs which came back and was not served either.
_REFUSED_AGAIN = 0.3


class Result(msgspec.Struct, frozen=True):
    """What became of one request of a caller.

    :ivar asked_s: when it was first sent.
    :ivar seconds: from then until its end.
    :ivar outcome: ``aim``, ``late``, ``refused`` or ``failed``.
    :ivar returned: whether its caller came back after a refusal.
    """

    kind: str
    region: str
    asked_s: float
    seconds: float
    outcome: str
    returned: bool
    worth: float
    earned: float
    limit_s: float


class Share:
    """What was earned of what was owed."""

    def __init__(self) -> None:
        self.owed = 0.0
        self.earned = 0.0
        self.count_by_outcome: t.Dict[str, int] = {}

    def add(self, result: Result) -> None:
        """Count a result."""
        self.owed += result.worth
        self.earned += result.earned
        count = self.count_by_outcome.get(result.outcome, 0)
        self.count_by_outcome[result.outcome] = count + 1

    @property
    def part(self) -> float:
        """Earned by owed; 1 if nothing was owed."""
        return self.earned / self.owed if self.owed else 1.0


class Score:
    """All results of a run."""

    def __init__(self) -> None:
        self.results: t.List[Result] = []
        self.whole = Share()
        self.by_region: t.Dict[str, Share] = {}
        self.by_kind: t.Dict[str, Share] = {}
        self.by_window: t.Dict[int, Share] = {}
        self.price = 0.0

    def add(self, result: Result) -> None:
        """Count a result."""
        self.results.append(result)
        self.whole.add(result)
        self.by_region.setdefault(result.region, Share()).add(result)
        self.by_kind.setdefault(result.kind, Share()).add(result)
        window = int(result.asked_s / _WINDOW_S)
        self.by_window.setdefault(window, Share()).add(result)
        self.price += _price(result)

    @property
    def worth(self) -> float:
        """One figure, from 0 to 1: the users' weights, less what was held or refused in vain."""
        if not self.results:
            return 0.0
        served = sum(result.outcome in ("aim", "late") for result in self.results)
        parts = (
            self.whole.part,
            min([share.part for share in self.by_region.values()]),
            served / len(self.results),
            self._worst_windows(),
            min([share.part for share in self.by_kind.values()]),
        )
        weighed = sum(weight * part for weight, part in zip(_WEIGHTS, parts, strict=True))
        return weighed - self.price / self.whole.owed

    def _worst_windows(self) -> float:
        parts = sorted([share.part for share in self.by_window.values()])
        worst = parts[:_WORST_WINDOWS]
        return sum(worst) / len(worst)


def _price(result: Result) -> float:
    if result.outcome in ("aim", "late"):
        return 0.0
    held = max(0.0, result.seconds / result.limit_s - _FREE_HOLD) if not result.returned else 0.0
    again = _REFUSED_AGAIN if result.returned else 0.0
    return result.worth * (min(1.0, held) + again)
