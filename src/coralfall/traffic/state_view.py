"""Belief: the desired state, evacuations and targets as this entry knows them, and their age."""

import random
import typing as t

from .. import defaults
from ..ids import TargetId
from ..placement.weighted_split import WeightedSplit
from ..process import log
from .model import DesiredState
from .replica import Replica
from .routes import RouteTable
from .row_codec import Evacuation, StateRow
from .store_clock import StoreClock
from .tenants import TenantTable

if t.TYPE_CHECKING:
    from ..placement.affinity import AffinitySteering
    from ..placement.targets import TargetRegistry
    from ..process.clock import Clock
    from .model import Target
    from .row_codec import RowCodec

#: Age in seconds of what was never known.
_NEVER_S = 1e6


class StateView:
    """What an entry steers by.

    :param translator: reads the platform's rows.
    :param steering: told of each desired state.
    :param targets: told of targets and evacuations.
    :param clock: tells the time.
    :param rng: where the split of traffic starts.
    """

    def __init__(
        self,
        row_codec: "RowCodec",
        steering: "AffinitySteering",
        targets: "TargetRegistry",
        clock: "Clock",
        rng: random.Random,
    ) -> None:
        self._steering = steering
        self._targets = targets
        self._clock = clock
        #: Tells how old the rows are.
        self.store_clock = StoreClock(clock)
        self.state_rows: Replica[StateRow] = Replica("state", row_codec.decode_state_row)
        self.target_rows: Replica["Target"] = Replica(
            "targets", row_codec.decode_target_row, drops_unreadable=True
        )
        self._target_prefix = row_codec.target_prefix
        self.state: t.Optional[DesiredState] = None
        self.routes: t.Optional[RouteTable] = None
        self.tenants = TenantTable(None)
        self.split = WeightedSplit(rng)
        #: Called with each new desired state, and after anything else was learnt.
        self.on_state: t.Callable[[DesiredState], None] = lambda state: None
        self.on_update: t.Callable[[], None] = lambda: None
        self._lingering: t.Dict[TargetId, "Target"] = {}
        self._linger_until = -float("inf")

    @property
    def version(self) -> int:
        """Version of the desired state in force, 0 if there is none."""
        return self.state.version if self.state is not None else 0

    @property
    def is_complete(self) -> bool:
        """Whether enough is known to serve callers."""
        return self.state is not None and self.target_rows.is_loaded

    @property
    def has_rows(self) -> bool:
        """Whether the rows were learnt once, so that from now on only what changed is needed."""
        return self.state_rows.is_loaded and self.target_rows.is_loaded

    def state_age_s(self) -> float:
        """Seconds since the desired state was known to be the newest, at the most."""
        return min(self.store_clock.age_s(self.state_rows.read_s), _NEVER_S)

    def targets_age_s(self) -> float:
        """Seconds since the targets were known to be as they are here, at the most."""
        return min(self.store_clock.age_s(self.target_rows.read_s), _NEVER_S)

    def note_outage(self, age_s: float) -> None:
        """Before rows are taken in: how long nothing was heard of them.

        Targets that could not reach the store meanwhile lose their rows, and write them again
        soon after; those that are missing are used for a little longer.
        """
        if age_s < defaults.STORE_OUTAGE_S or not self.target_rows.is_loaded:
            return
        self._linger_until = self._clock.monotonic() + defaults.MISSING_TARGET_GRACE_S

    def apply_state_changes(self, keys: t.Set[str]) -> None:
        """Act on state rows that changed."""
        if not keys:
            return
        zones = set()
        newest = self.state
        for row in self.state_rows.values().values():
            if isinstance(row, Evacuation):
                zones.add(row.zone)
            elif isinstance(row, DesiredState) and (newest is None or row.version > newest.version):
                newest = row
        if newest is not None and newest is not self.state:
            self._enforce(newest)
        self._targets.evacuate(frozenset(zones))
        self.on_update()

    def _enforce(self, state: DesiredState) -> None:
        previous = self.version
        self.state = state
        self.routes = RouteTable(state)
        self.tenants = TenantTable(state.tenants)
        self._steering.set_state(state)
        log.info(
            "state.in-force",
            version=state.version,
            previous=previous,
            routes=len(state.routes),
            services=len(state.services),
            tenants="none" if state.tenants is None else len(state.tenants),
            revision=self.state_rows.revision,
        )
        self.on_state(state)

    def apply_target_changes(self, keys: t.Set[str]) -> None:
        """Act on target rows that changed."""
        if not keys:
            return
        now = self._clock.monotonic()
        present = {target.target_id: target for target in self.target_rows.values().values()}
        if now < self._linger_until:
            self._linger(present)
        self._drop_decided(present)
        self._targets.update({**self._lingering, **present})
        self.on_update()

    def tick(self) -> None:
        """Let go of targets that did not come back."""
        if not self._lingering or self._clock.monotonic() < self._linger_until:
            return
        log.info("targets.not-returned", targets=",".join(sorted(self._lingering)))
        self._lingering.clear()
        present = {target.target_id: target for target in self.target_rows.values().values()}
        self._targets.update(present)

    def _linger(self, present: "t.Mapping[TargetId, Target]") -> None:
        for target_id, state in self._targets.by_id.items():
            if target_id not in present and not state.leaving:
                self._lingering[target_id] = state.target

    def _drop_decided(self, present: "t.Mapping[TargetId, Target]") -> None:
        """Wait no longer for targets that are back, or whose rows name none that can be used."""
        for target_id in list(self._lingering):
            unreadable = self._target_prefix + target_id in self.target_rows.unreadable_keys
            if target_id in present or unreadable:
                del self._lingering[target_id]
