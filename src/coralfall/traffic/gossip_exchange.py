"""Builds gossip messages from what this entry knows, and merges those of other entries.

Gossip carries membership, rows of the store, suspected requests, targets' limits and departures.
Checksums and positions tell two entries whether they differ; only then is the full data sent.
"""

import typing as t

from .. import defaults
from .messages import GossipMessage

if t.TYPE_CHECKING:
    from ..ids import Position
    from ..placement.lifetime import Lifetime
    from ..placement.quarantine import Quarantine, Suspect
    from ..placement.target_limits import ReportedLimit
    from ..placement.target_reports import TargetReports
    from ..process.clock import Clock
    from .carried_rows import CarriedRow
    from .delta import Delta
    from .members import Members
    from .replica import Replica
    from .state_view import StateView

#: The delay before all members are requested grows by its base value for each this many entries.
_MEMBERS_PER_DELAY = 20


class GossipExchange:
    """Builds outgoing gossip messages and merges incoming ones.

    :param members: the entries of the fleet.
    :param state_view: the rows of the store.
    :param quarantine: requests that crash targets.
    :param reports: what targets report about themselves.
    :param clock: tells the time.
    """

    def __init__(
        self,
        members: "Members",
        state_view: "StateView",
        quarantine: "Quarantine",
        reports: "TargetReports",
        clock: "Clock",
    ) -> None:
        self._members = members
        #: The rows of the store.
        self.state_view = state_view
        #: Requests that crash targets.
        self.quarantine = quarantine
        #: What targets report about themselves.
        self.reports = reports
        self._clock = clock
        #: Time since which this entry's membership checksum has differed from those of others.
        self._mismatch_since: t.Optional[float] = None
        members.on_pause = self._request_all_members
        members.registered_ids = state_view.registered_ids

    def build_update(
        self,
        state_since: "t.Optional[Position]" = None,
        targets_since: "t.Optional[Position]" = None,
        all_members: bool = False,
        address: str = "",
        wants_rows: bool = True,
        suspects: "t.Optional[t.Tuple[Suspect, ...]]" = None,
        limits: "t.Optional[t.Tuple[ReportedLimit, ...]]" = None,
        departures: "t.Optional[t.Tuple[Lifetime, ...]]" = None,
        entries_since: "t.Optional[Position]" = None,
        carried: "t.Tuple[CarriedRow, ...]" = (),
    ) -> GossipMessage:
        """Returns a message with recent updates and the rows changed after the given positions.

        :param all_members: whether to include all entries rather than recent updates only.
        :param address: address of the receiver, which is told if it is suspected itself.
        :param suspects: suspected requests to include instead of the recent ones.
        :param limits: targets' limits to include instead of the recent ones.
        :param departures: lifetimes of departing targets to include instead of the recent ones.
        :param carried: rows to include that the store has lost.
        :param wants_rows: whether the receiver is to reply with rows that this entry lacks.
        """
        now = self._clock.monotonic()
        state_view = self.state_view
        members = self._members
        suspicions = members.all_suspicions() if all_members else members.recent_suspicions()
        return GossipMessage(
            records=members.all_records() if all_members else members.recent_records(),
            suspicions=suspicions + members.suspicions_of(address),
            members_sum=members.checksum(),
            wants_all=self._wants_all(now),
            wants_rows=wants_rows,
            state_revision=state_view.state_rows.position.revision,
            targets_revision=state_view.target_rows.position.revision,
            state_read_s=state_view.state_rows.read_s,
            targets_read_s=state_view.target_rows.read_s,
            store_s=state_view.store_clock.latest_s(),
            state=_delta(state_view.state_rows, state_since),
            targets=_delta(state_view.target_rows, targets_since),
            suspects=self.quarantine.recent_updates() if suspects is None else suspects,
            suspects_sum=self.quarantine.checksum(),
            limits=self.reports.limits.recent_updates() if limits is None else limits,
            limits_sum=self.reports.limits.checksum(),
            departures=(
                self.reports.departures.recent_updates() if departures is None else departures
            ),
            departures_sum=self.reports.departures.checksum(),
            entries_revision=state_view.entry_rows.position.revision,
            entries_read_s=state_view.entry_rows.read_s,
            entries=_delta(state_view.entry_rows, entries_since),
            state_era=state_view.state_rows.position.era,
            targets_era=state_view.target_rows.position.era,
            entries_era=state_view.entry_rows.position.era,
            era_age_s=state_view.era_age_s(),
            carried=carried,
            carried_sum=state_view.carried_checksum(),
        )

    def build_reply(self, message: GossipMessage) -> GossipMessage:
        """Returns what the sender of ``message`` lacks."""
        address = message.records[0].peer_address if message.records else ""
        reports = self.reports
        known: t.Dict[str, t.Any] = {"all_members": message.wants_all, "address": address}
        if message.suspects_sum != self.quarantine.checksum():
            known["suspects"] = self.quarantine.snapshot()
        if message.limits_sum != reports.limits.checksum():
            known["limits"] = reports.limits.snapshot()
        if message.departures_sum != reports.departures.checksum():
            known["departures"] = reports.departures.snapshot()
        if not message.wants_rows:
            return self.build_update(**known)
        if message.carried_sum != self.state_view.carried_checksum():
            known["carried"] = self.state_view.carried_rows()
        return self.build_update(
            message.state_position,
            message.targets_position,
            entries_since=message.entries_position,
            **known,
        )

    def merge(self, message: GossipMessage, asked_at: t.Optional[float] = None) -> bool:
        """Merges a message and returns whether its sender still has newer rows.

        :param asked_at: monotonic time at which the request was sent, if this is its reply.
        """
        state_view = self.state_view
        self._merge_members(message)
        self.quarantine.merge(message.suspects)
        self.reports.limits.merge(message.limits)
        self.reports.departures.merge(message.departures)
        if asked_at is not None and message.store_s is not None:
            state_view.store_clock.observe(asked_at, message.store_s)
        era = max(message.state_era, message.targets_era)
        state_view.observe_era(era, message.era_age_s)
        keys = _apply(state_view.state_rows, message.state, message.state_read_s)
        state_view.apply_state_changes(keys)
        if message.targets is not None:
            state_view.note_outage(state_view.targets_age_s())
        keys = _apply(state_view.target_rows, message.targets, message.targets_read_s)
        state_view.apply_target_changes(keys)
        state_view.state_rows.confirm(message.state_position, message.state_read_s)
        state_view.target_rows.confirm(message.targets_position, message.targets_read_s)
        state_view.merge_carried(message)
        _apply(state_view.entry_rows, message.entries, message.entries_read_s)
        state_view.entry_rows.confirm(message.entries_position, message.entries_read_s)
        # The first reply after a start lists all live entries that the sender knows. The others are
        # known by their rows.
        self._members.has_discovered_peers |= (
            asked_at is not None
            and any(record.ready for record in message.records[:1])
            and state_view.entry_rows.is_loaded
        )
        return (
            message.state_position > state_view.state_rows.position
            or message.targets_position > state_view.target_rows.position
        )

    def _merge_members(self, message: GossipMessage) -> None:
        members = self._members
        members.merge_records(message.records)
        members.merge_suspicions(message.suspicions)
        if message.members_sum == members.checksum():
            self._mismatch_since = None
        elif self._mismatch_since is None:
            self._mismatch_since = self._clock.monotonic()

    def _request_all_members(self) -> None:
        self._mismatch_since = -float("inf")

    def _wants_all(self, now: float) -> bool:
        """Whether to request all members: at a start, or after a lasting checksum mismatch.

        A mismatch counts once it has lasted for longer than updates take to spread.
        """
        if not self._members.alive_records():
            return True
        delay_s = defaults.GOSSIP_FULL_SYNC_DELAY_S * (
            1 + self._members.fleet_size() / _MEMBERS_PER_DELAY
        )
        if self._mismatch_since is None or now - self._mismatch_since < delay_s:
            return False
        self._mismatch_since = now
        return True


def _delta(replica: "Replica[t.Any]", since: "t.Optional[Position]") -> "t.Optional[Delta]":
    if since is None or since >= replica.position:
        return None
    return replica.delta(since)


def _apply(replica: "Replica[t.Any]", delta: "t.Optional[Delta]", read_s: float) -> t.Set[str]:
    if delta is None or delta.position <= replica.position or not replica.can_apply(delta):
        return set()
    return replica.apply_delta(delta, read_s)
