"""Settings of ``coralfall steer``, the process of an entry on the users' platform."""

import typing as t

import msgspec

from .. import defaults
from ..ids import EntryId, RegionId, ZoneId
from ..settings import LogSettings, MetricsSettings, Settings

#: A bound or a limit. The platform gives any of them as a fraction and in any order of size, counts
#: too, so none is held to be whole: whoever needs a whole number rounds down, to the side that
#: sends, opens or waits less.
Amount = t.Annotated[float, msgspec.Meta(ge=0.0)]


class StoreSettings(Settings, frozen=True):
    """Where the platform's store answers, and how long it is waited for."""

    #: ``ip:port``.
    address: str
    #: Seconds that a call may take, beside the time that it was asked to wait.
    timeout_s: float = defaults.STORE_TIMEOUT_S


class BoundSettings(Settings, frozen=True):
    """What the users hold the system to; times in seconds."""

    #: Second sends in a window, of all entries together, as a share of a service's requests.
    budget_ratio: Amount = 0.2
    #: Seconds of that window.
    budget_window_s: Amount = 10.0
    #: Second sends that are allowed on top of the share.
    budget_slack: Amount = 64.0
    #: What a cold target may get in a second, as a multiple of what its service's rules say.
    cold_overage: Amount = 1.5
    #: Requests that a cold target may get in a second on top of that.
    cold_slack: Amount = 5.0
    #: Longest time for which callers may keep an answer to a look-up.
    max_ttl_s: Amount = 5.0
    #: From being told to stop until being killed.
    grace_s: Amount = 6.0
    #: From the store's word that a target leaves until nothing reaches it any more.
    drain_s: Amount = 2.0
    #: From the store's word on a desired state until it is in force.
    config_s: Amount = 2.0
    #: From the store's word on an evacuation until nothing reaches the zone any more.
    evacuation_s: Amount = 5.0
    #: Part of a region's requests that may change the region they run in within two seconds.
    max_shift: Amount = 0.15
    #: Seconds in which a tenant's requests are counted together.
    quota_window_s: Amount = 5.0
    #: Part by which all entries together may go beyond a tenant's limit in such a time.
    quota_overage: Amount = 0.1
    #: Requests by which they may go beyond it on top of that.
    quota_slack: Amount = 20.0
    #: Between two writes of a target's row.
    target_beat_s: Amount = 1.5

    def state_deadline_s(self) -> float:
        """Seconds within which what the operator writes must be in force."""
        return min(self.config_s, self.evacuation_s)

    def target_visibility_s(self) -> float:
        """Seconds from a target's start until its row tells of it here."""
        return self.target_beat_s + self.drain_s

    def shutdown_accept_s(self) -> float:
        """Seconds for which a stopping entry still takes what callers send to it."""
        return min(defaults.SHUTDOWN_ACCEPT_S, self.grace_s * defaults.SHUTDOWN_ACCEPT_FRACTION)

    def lookup_ttl_s(self) -> float:
        """Seconds for which callers may keep an answer to a look-up; a stop waits for them."""
        kept_s = self.shutdown_accept_s() / defaults.LOOKUP_TTL_OVERRUN_FACTOR
        return min(defaults.STEER_LOOKUP_TTL_S, self.max_ttl_s, kept_s)

    def home_shift_per_s(self) -> float:
        """Part of a region's objects that may change its home region in a second."""
        return self.max_shift * defaults.SHIFT_BUDGET_FRACTION / defaults.SHIFT_WINDOW_S


class SteerSettings(Settings, frozen=True, kw_only=True):
    """Settings of ``coralfall steer``."""

    #: Name of the entry, unlike that of any other entry.
    entry_id: EntryId
    #: Zone that the VM is in.
    zone: ZoneId
    #: Region that the VM is in.
    region: RegionId
    #: Region of each zone.
    regions_by_zone: t.Dict[ZoneId, RegionId]
    #: ``ip:port`` to listen on for callers.
    caller_address: str
    #: ``ip:port`` to listen on for look-ups.
    lookup_address: str
    #: ``ip:port`` to listen on for the platform's own checks.
    readiness_address: str
    #: ``ip:port`` to listen on for other entries.
    peer_address: str
    #: ``ip:port`` that other entries are told to use, if the one above is not what they reach.
    announced_peer_address: t.Optional[str] = None
    #: Rate of the VM's own link in Mbit/s. Entries with wider links read the store for all and hand
    #: on what they read before others do.
    link_mbps: Amount = 0.0
    #: Files and connections that the process may have open at a time.
    max_files: Amount = defaults.MAX_FILES
    #: ``ip:port`` to serve metrics on; without it none are served.
    metrics_address: t.Optional[str] = None
    #: Name that all entries of the installation share, and those of no other; without it the
    #: store's address. It has to be given where entries reach the store by different addresses:
    #: entries with different names do not talk with each other.
    fleet: str = ""
    #: The platform's store.
    store: StoreSettings
    #: What the users hold the system to.
    bounds: BoundSettings = BoundSettings()
    #: ``peer_address`` of a few other entries, which tell one that starts what they know.
    seeds: t.Tuple[str, ...] = ()
    #: Whether the whole installation starts for the first time, so that no caller waits yet.
    first_start: bool = False
    #: Seconds for which a request that ended the targets that ran it is refused, counted from when
    #: it came last; 0 to refuse none. All that is refused is let go of as this changes to 0.
    quarantine_s: Amount = defaults.QUARANTINE_S
    #: What is logged.
    log: LogSettings = LogSettings()
    #: Where statsd metrics go.
    metrics: MetricsSettings = MetricsSettings()

    def first_start_wait_s(self) -> float:
        """Seconds for which a start waits for the rows that seeds read; 0 for a seed itself."""
        if not self.first_start or not self.seeds or self.peer_address in self.seeds:
            return 0.0
        return defaults.FIRST_START_SEED_WAIT_S

    def max_caller_connections(self) -> int:
        """How many connections of callers are kept open, so that some are left for targets."""
        free = (self.max_files - defaults.RESERVED_FILES) * defaults.CALLER_FILES_FRACTION
        most = int(min(defaults.MAX_CALLER_CONNECTIONS, free))
        return max(defaults.MIN_CALLER_CONNECTIONS, most)

    def cold_limit_per_s(self, warmup_per_s: float) -> float:
        """Requests in a second that a cold target may get, of all entries together."""
        return warmup_per_s * self.bounds.cold_overage + self.bounds.cold_slack
