"""Settings of ``coralfall steer``, the process of an entry on the platform."""

import typing as t

import msgspec

from .. import defaults
from ..dispatch_settings import DispatchSettings
from ..ids import EntryId, RegionId, ZoneId
from ..settings import LogSettings, MetricsSettings, Settings

#: A bound or a limit. The platform may give any of them, counts included, as a fraction and of any
#: magnitude, so none is restricted to whole numbers. Code that needs a whole number rounds down,
#: which sends, opens or waits less.
NonNegative = t.Annotated[float, msgspec.Meta(ge=0.0)]


class StoreSettings(Settings, frozen=True):
    """Address and time-out of the platform's store."""

    #: ``ip:port``.
    address: str
    #: Seconds that a call may take, in addition to the time that it asks the store to wait.
    timeout_s: float = defaults.STORE_TIMEOUT_S


class BoundSettings(Settings, frozen=True):
    """Guarantees that the system has to keep; times in seconds."""

    #: Repeated sends of requests (retries and hedges) in a window, by all entries together, as a
    #: share of a service's requests.
    budget_ratio: NonNegative = 0.2
    #: Length of that window in seconds.
    budget_window_s: NonNegative = 10.0
    #: Repeated sends that are allowed in addition to the share.
    budget_slack: NonNegative = 64.0
    #: Requests a second that a cold target may get, as a multiple of its service's warm-up rate.
    cold_overage: NonNegative = 1.5
    #: Requests a second that a cold target may get in addition to that.
    cold_slack: NonNegative = 5.0
    #: Longest time for which callers may cache an answer to a look-up.
    max_ttl_s: NonNegative = 5.0
    #: Time from the signal to stop until the process is killed.
    grace_s: NonNegative = 6.0
    #: Time from the store's row that a target is leaving until no more requests reach it.
    drain_s: NonNegative = 2.0
    #: Time from the store's row of a desired state until it is in force.
    config_s: NonNegative = 2.0
    #: Time from the store's row of an evacuation until no more requests reach the zone.
    evacuation_s: NonNegative = 5.0
    #: Share of a region's requests that may move to another region within two seconds.
    max_shift: NonNegative = 0.15
    #: Length of the window in which a tenant's requests are counted, in seconds.
    quota_window_s: NonNegative = 5.0
    #: Share by which all entries together may exceed a tenant's limit in such a window.
    quota_overage: NonNegative = 0.1
    #: Requests by which they may exceed it in addition to that.
    quota_slack: NonNegative = 20.0
    #: Time between two writes of a target's row.
    target_beat_s: NonNegative = 1.5

    def state_deadline_s(self) -> float:
        """Returns the seconds within which the operators' rows must be in force."""
        return min(self.config_s, self.evacuation_s)

    def target_visibility_s(self) -> float:
        """Returns the seconds from a target's start until its row has reached this entry."""
        return self.target_beat_s + self.drain_s

    def shutdown_accept_s(self) -> float:
        """Returns the seconds for which a stopping entry still accepts requests."""
        return min(defaults.SHUTDOWN_ACCEPT_S, self.grace_s * defaults.SHUTDOWN_ACCEPT_FRACTION)

    def lookup_ttl_s(self) -> float:
        """Returns the seconds for which callers may cache an answer to a look-up.

        It is so short that answers expire while a stopping entry still accepts requests.
        """
        kept_s = self.shutdown_accept_s() / defaults.LOOKUP_TTL_OVERRUN_FACTOR
        return min(defaults.STEER_LOOKUP_TTL_S, self.max_ttl_s, kept_s)

    def retry_span_s(self) -> float:
        """Returns the seconds after which a retry is in no window any more with those sent now."""
        return self.budget_window_s + defaults.RETRY_DELAY_S

    def share_settle_s(self) -> float:
        """Returns the seconds after which an entry has its share of what the fleet may spend.

        By then all entries have counted it for a whole window.
        """
        return defaults.ENTRIES_KNOWN_S + self.retry_span_s()

    def home_shift_per_s(self) -> float:
        """Returns the share of a region's objects that may change their home region in a second."""
        return self.max_shift * defaults.SHIFT_BUDGET_FRACTION / defaults.SHIFT_WINDOW_S

    def spill_fraction(self) -> float:
        """Returns the share of a contended service's requests that may spill to another region."""
        return self.max_shift * defaults.SPILL_BUDGET_FRACTION


class SteerSettings(Settings, frozen=True, kw_only=True):
    """Settings of ``coralfall steer``."""

    #: Unique name of the entry.
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
    #: ``ip:port`` that is announced to other entries, if they can't reach the one above.
    announced_peer_address: t.Optional[str] = None
    #: Rate of the VM's network link in Mbit/s. Entries with wider links are preferred for reading
    #: the store on behalf of all, and for relaying what was read.
    link_mbps: NonNegative = 0.0
    #: Most files and connections that the process may have open at a time.
    max_files: NonNegative = defaults.MAX_FILES
    #: Most memory that the process may use, in MB.
    memory_mb: NonNegative = defaults.MEMORY_MB
    #: ``ip:port`` to serve metrics on; they are not served if it is not given.
    metrics_address: t.Optional[str] = None
    #: Name of the installation, the same for all its entries and different from that of any other
    #: installation; the store's address if it is not given. Entries with different names can't
    #: exchange messages, so it must be given if they reach the store by different addresses.
    fleet: str = ""
    #: The platform's store.
    store: StoreSettings
    #: Guarantees that the system has to keep.
    bounds: BoundSettings = BoundSettings()
    #: Assignment of targets' slots by dispatchers.
    dispatch: DispatchSettings = DispatchSettings()
    #: ``peer_address`` of a few other entries, which an entry contacts when it starts.
    seeds: t.Tuple[str, ...] = ()
    #: Whether the whole installation starts for the first time, so that no caller is waiting.
    first_start: bool = False
    #: Seconds for which a request that crashed the targets that ran it is quarantined, counted from
    #: its last arrival; 0 for no quarantine. Changing it to 0 releases all quarantined requests.
    quarantine_s: NonNegative = defaults.QUARANTINE_S
    #: Logging.
    log: LogSettings = LogSettings()
    #: Destination of statsd metrics.
    metrics: MetricsSettings = MetricsSettings()

    def as_contended(self) -> "SteerSettings":
        """Returns the same settings for a contended installation."""
        dispatch = msgspec.structs.replace(self.dispatch, contended=True)
        return msgspec.structs.replace(self, dispatch=dispatch)

    def first_start_wait_s(self) -> float:
        """Returns the seconds for which a first start waits for rows from the seeds.

        It is 0 for any other start, and for a seed, which reads the store itself.
        """
        if not self.first_start or not self.seeds or self.peer_address in self.seeds:
            return 0.0
        return defaults.FIRST_START_SEED_WAIT_S

    def max_caller_connections(self) -> int:
        """Returns the most connections of callers; it leaves some files for those to targets."""
        free = (self.max_files - defaults.RESERVED_FILES) * defaults.CALLER_FILES_FRACTION
        limit = int(min(defaults.MAX_CALLER_CONNECTIONS, free))
        return max(defaults.MIN_CALLER_CONNECTIONS, limit)

    def max_received_bytes(self) -> int:
        """Returns the most bytes of answers that are being received from targets at a time."""
        limit = int(self.memory_mb * 1024 * 1024 * defaults.RECEIVED_MEMORY_FRACTION)
        return max(defaults.MIN_RECEIVED_BYTES, limit)

    def cold_limit_per_s(self, warmup_per_s: float) -> float:
        """Returns the requests a second that a cold target may get from all entries together."""
        return warmup_per_s * self.bounds.cold_overage + self.bounds.cold_slack
