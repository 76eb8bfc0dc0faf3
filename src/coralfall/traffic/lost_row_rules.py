"""Rules for rows that the store has lost: what orders them, and how long they are carried."""

import typing as t

from .. import defaults
from .carried_rows import RowOrder, RowRules, RowVersion
from .model import DesiredState
from .row_codec import Evacuation, StateRow

if t.TYPE_CHECKING:
    from .model import Target
    from .row_codec import RowCodec
    from .settings import BoundSettings


class StateRowRules(RowRules[StateRow]):
    """Rules for desired states, which are ordered by their versions, and for evacuations.

    An evacuation that was lifted is in force again if the operators do not lift it again soon:
    they may also have ordered it once more, which looks the same.

    :param bounds: how soon an evacuation has to be in force.
    """

    def __init__(self, bounds: "BoundSettings") -> None:
        self.bounds = bounds

    def order(self, version: RowVersion[StateRow]) -> RowOrder:
        if isinstance(version.value, DesiredState):
            return (version.value.version,)
        return ()

    def hold_s(self, lost: RowVersion[StateRow], found: t.Optional[RowVersion[StateRow]]) -> float:
        if lost.deleted:
            if found is None or not isinstance(found.value, Evacuation):
                return 0.0
            return self.bounds.evacuation_s * defaults.LIFTED_EVACUATION_FRACTION
        if isinstance(lost.value, Evacuation):
            return defaults.CARRIED_EVACUATION_S
        return 0.0 if lost.value is None else defaults.CARRIED_ROW_S

    def identity(self, version: RowVersion[StateRow]) -> str:
        return str(self.order(version))


class TargetRowRules(RowRules["Target"]):
    """Rules for targets' rows, which are ordered by lifetime and heartbeat.

    :param row_codec: reads that order.
    :param bounds: how often targets write their rows.
    """

    def __init__(self, row_codec: "RowCodec", bounds: "BoundSettings") -> None:
        self._row_codec = row_codec
        self.bounds = bounds

    def order(self, version: RowVersion["Target"]) -> RowOrder:
        return self._row_codec.target_order(version.data) if version.data else ()

    def hold_s(self, lost: RowVersion["Target"], found: t.Optional[RowVersion["Target"]]) -> float:
        if found is None and lost.value is not None and not lost.value.leaving:
            return defaults.MISSING_TARGET_GRACE_S
        if lost.deleted:
            # The platform deletes rows that are not written for three beats.
            return self.bounds.target_beat_s * defaults.DELETED_TARGET_BEATS
        return defaults.CARRIED_ROW_S

    def identity(self, version: RowVersion["Target"]) -> str:
        target = version.value
        return "" if target is None else f"{target.born} {target.leaving}"
