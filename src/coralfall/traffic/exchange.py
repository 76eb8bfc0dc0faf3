"""Exchange: what an entry tells another one, and what it does with what it is told."""

import typing as t

from .. import defaults
from .messages import GossipMessage

if t.TYPE_CHECKING:
    from ..ids import Revision
    from ..placement.lifetime import Lifetime
    from ..placement.quarantine import Quarantine, Suspect
    from ..placement.target_limits import ReportedLimit
    from ..placement.target_reports import TargetReports
    from ..process.clock import Clock
    from .delta import Delta
    from .members import Members
    from .replica import Replica
    from .state_view import StateView

#: Entries for which one more time of patience passes before all of them are asked for.
_MEMBERS_PER_PATIENCE = 20


class Exchange:
    """What an entry tells others, and what it does with what they tell.

    :param members: the entries.
    :param belief: the rows.
    :param quarantine: requests that targets end of.
    :param reports: what targets say of themselves.
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
        #: The rows.
        self.state_view = state_view
        #: Requests that targets end of.
        self.quarantine = quarantine
        #: What targets say of themselves.
        self.reports = reports
        self._clock = clock
        #: Since when what is known of the entries differs from what others know.
        self._differs_since: t.Optional[float] = None
        members.on_pause = self._ask_for_all

    def news(
        self,
        state_since: "t.Optional[Revision]" = None,
        targets_since: "t.Optional[Revision]" = None,
        all_members: bool = False,
        address: str = "",
        wants_rows: bool = True,
        suspects: "t.Optional[t.Tuple[Suspect, ...]]" = None,
        limits: "t.Optional[t.Tuple[ReportedLimit, ...]]" = None,
        departures: "t.Optional[t.Tuple[Lifetime, ...]]" = None,
    ) -> GossipMessage:
        """What is known here, with what came after the revisions given.

        :param all_members: whether to tell of all entries, and not only what is news.
        :param address: of the entry that this is for; it is told if it is suspected.
        :param suspects: the suspected requests to tell of, in place of those that are news.
        :param limits: the targets' limits to tell of, in place of those that are news.
        :param departures: the lifetimes that leave to tell of, in place of those that are news.
        :param wants_rows: whether it is to answer with the rows that are not known here.
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
            state_revision=state_view.state_rows.revision,
            targets_revision=state_view.target_rows.revision,
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
        )

    def answer(self, news: GossipMessage) -> GossipMessage:
        """What the sender of ``news`` does not know."""
        address = news.records[0].peer_address if news.records else ""
        reports = self.reports
        known: t.Dict[str, t.Any] = {"all_members": news.wants_all, "address": address}
        if news.suspects_sum != self.quarantine.checksum():
            known["suspects"] = self.quarantine.snapshot()
        if news.limits_sum != reports.limits.checksum():
            known["limits"] = reports.limits.snapshot()
        if news.departures_sum != reports.departures.checksum():
            known["departures"] = reports.departures.snapshot()
        if not news.wants_rows:
            return self.news(**known)
        return self.news(news.state_revision, news.targets_revision, **known)

    def take(self, news: GossipMessage, asked_at: t.Optional[float] = None) -> bool:
        """Take in news; whether the sender knows more still.

        :param asked_at: monotonic time at which the question was sent, if this is an answer.
        """
        state_view = self.state_view
        self._take_members(news, asked_at is not None)
        self.quarantine.merge(news.suspects)
        self.reports.limits.merge(news.limits)
        self.reports.departures.merge(news.departures)
        if asked_at is not None and news.store_s is not None:
            state_view.store_clock.observe(asked_at, news.store_s)
        keys = _apply(state_view.state_rows, news.state, news.state_read_s)
        state_view.apply_state_changes(keys)
        if news.targets is not None:
            state_view.note_outage(state_view.targets_age_s())
        keys = _apply(state_view.target_rows, news.targets, news.targets_read_s)
        state_view.apply_target_changes(keys)
        state_view.state_rows.confirm(news.state_revision, news.state_read_s)
        state_view.target_rows.confirm(news.targets_revision, news.targets_read_s)
        return (
            news.state_revision > state_view.state_rows.revision
            or news.targets_revision > state_view.target_rows.revision
        )

    def _take_members(self, news: GossipMessage, answered: bool) -> None:
        members = self._members
        members.merge_records(news.records)
        # The first answer after a start names all entries that the other one knows.
        members.has_discovered_peers |= answered and any(
            record.ready for record in news.records[:1]
        )
        members.merge_suspicions(news.suspicions)
        if news.members_sum == members.checksum():
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = self._clock.monotonic()

    def _ask_for_all(self) -> None:
        self._differs_since = -float("inf")

    def _wants_all(self, now: float) -> bool:
        """Whether others know more entries, as at a start, or have gone on knowing other things.

        The latter counts once it has lasted for longer than news take to spread.
        """
        if not self._members.alive_records():
            return True
        patience = defaults.GOSSIP_FULL_SYNC_DELAY_S * (
            1 + self._members.fleet_size() / _MEMBERS_PER_PATIENCE
        )
        if self._differs_since is None or now - self._differs_since < patience:
            return False
        self._differs_since = now
        return True


def _delta(replica: "Replica[t.Any]", since: "t.Optional[Revision]") -> "t.Optional[Delta]":
    if since is None or since >= replica.revision:
        return None
    return replica.delta(since)


def _apply(replica: "Replica[t.Any]", delta: "t.Optional[Delta]", read_s: float) -> t.Set[str]:
    if delta is None or delta.revision <= replica.revision or not replica.can_apply(delta):
        return set()
    return replica.apply_delta(delta, read_s)
