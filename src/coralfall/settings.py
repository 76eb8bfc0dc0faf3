"""Settings of each process, read from TOML and checked whole before anything starts."""

import pathlib
import typing as t

import msgspec

from . import defaults
from .exceptions import Fault, InputError, SettingsError
from .ids import EntryId, KeyId, PartnerId, RegionId, SiteId, VmId, ZoneId
from .tomlfile import read_toml
from .validation import collect_faults


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all settings: immutable, and unknown keys are refused."""


class LogSettings(Settings, frozen=True):
    """What is logged."""

    #: Least level of the events that are logged.
    level: t.Literal["debug", "info", "warning", "error"] = "info"


class MetricsSettings(Settings, frozen=True):
    """Where metrics go; without ``host`` none are sent."""

    #: IP number or name of the statsd server; without it no metrics are sent.
    host: t.Optional[str] = None
    #: UDP port of the statsd server.
    port: int = 8125
    #: First part of every metric's name.
    prefix: str = "coralfall"


class PlatformSettings(Settings, frozen=True):
    """Where the platform's services answer."""

    #: Base address, such as ``http://10.0.0.2:7000``.
    url: str
    #: Seconds that a call to the platform may take.
    timeout_s: float = defaults.PLATFORM_TIMEOUT_S


class PartnerSettings(Settings, frozen=True):
    """Which keys may sign a partner's bundles and ask its operators' interface."""

    #: Ed25519 public keys in base64, by key id.
    keys: t.Dict[KeyId, str]


class LeaseSettings(Settings, frozen=True):
    """Times of the lease on a place in the roster."""

    #: Seconds for which the lease counts after its renewal was sent; the same on all entries.
    ttl_s: float = defaults.LEASE_TTL_S
    #: Seconds between renewals of the lease.
    renew_s: float = defaults.LEASE_RENEW_INTERVAL_S
    #: Seconds between two reads of what changed in the platform's table.
    poll_s: float = defaults.TABLE_POLL_INTERVAL_S
    #: Seconds between two reads of the platform's VM list by the coordinator.
    vm_list_s: float = defaults.VM_LIST_POLL_INTERVAL_S


class PeerSettings(Settings, frozen=True):
    """How entries find and trust each other."""

    #: File with the fleet's key: 32 bytes in base64, readable by its owner only.
    fleet_key_file: str
    #: Addresses to ask when the table can't be read, as ``ip:port``.
    seeds: t.Tuple[str, ...] = ()
    #: Seconds between two rounds of heartbeats.
    heartbeat_s: float = defaults.HEARTBEAT_INTERVAL_S


class ClaimSettings(Settings, frozen=True):
    """Times of the claims on idempotency keys, in seconds."""

    #: Most seconds that a command waits for its claim; then it is refused.
    wait_s: float = defaults.CLAIM_TIMEOUT_S
    #: Least seconds between two transactions of one entry.
    interval_s: float = defaults.CLAIM_MIN_INTERVAL_S
    #: Most seconds that an answer waits for others before it is written.
    settle_s: float = defaults.CLAIM_BATCH_DELAY_S


class HttpSettings(Settings, frozen=True):
    """Bounds of an HTTP server; times in seconds."""

    #: A head must have come within this time, and have no more bytes than that.
    header_timeout_s: float = defaults.HEADER_TIMEOUT_S
    max_header_bytes: int = defaults.MAX_HEADER_BYTES
    #: An idle connection is closed after this time, or sooner once the server stops.
    idle_timeout_s: float = defaults.CALLER_IDLE_TIMEOUT_S
    idle_stop_s: float = defaults.SHUTDOWN_IDLE_TIMEOUT_S
    max_connections: int = defaults.MAX_CONNECTIONS
    max_idle_connections: int = defaults.MAX_IDLE_CONNECTIONS
    #: Requests of one connection that wait behind the one being answered.
    max_pipelined: int = defaults.MAX_PIPELINED


class RestartSettings(Settings, frozen=True):
    """How often and how soon a supervisor restarts a child that fails."""

    #: Failures of a child within ``window_s`` seconds; with one more its supervisor ends.
    max_failures: int = defaults.MAX_CHILD_FAILURES
    window_s: float = defaults.CHILD_FAILURE_WINDOW_S
    #: Most seconds before the first restart; doubled for each further one, up to the longest.
    backoff_s: float = defaults.RESTART_BACKOFF_S
    max_backoff_s: float = defaults.MAX_RESTART_BACKOFF_S


class EntrySettings(Settings, frozen=True):
    """Settings of ``coralfall entry``."""

    #: Name of the entry, unlike that of any other entry.
    entry_id: EntryId
    #: Name of its VM, as the platform's VM list has it.
    vm_id: VmId
    #: Region that the VM is in.
    region: RegionId
    #: Availability zone that the VM is in.
    zone: ZoneId
    #: Site that the VM is at.
    site: SiteId
    #: ``ip:port`` to listen on for callers; port 0 takes a free one.
    caller_address: str
    #: ``ip:port`` to listen on for other entries.
    peer_address: str
    #: ``ip:port`` to listen on for operators.
    operator_address: str
    #: Where the platform's services answer.
    platform: PlatformSettings
    #: Partners whose bundles are served, by name.
    partners: t.Dict[PartnerId, PartnerSettings]
    #: How entries find and trust each other.
    peers: PeerSettings
    #: Times of the lease on a place in the roster.
    lease: LeaseSettings = LeaseSettings()
    #: What is logged.
    log: LogSettings = LogSettings()
    #: Where metrics go.
    metrics: MetricsSettings = MetricsSettings()
    #: Seconds for which requests may still run once the entry is told to stop.
    grace_s: float = defaults.GRACE_S
    #: Seconds for which callers may use an answer to a look-up.
    lookup_ttl_s: float = defaults.LOOKUP_TTL_S
    #: Times of the claims on idempotency keys.
    claims: ClaimSettings = ClaimSettings()


class PlatformStandinSettings(Settings, frozen=True):
    """Settings of ``coralfall standin platform``."""

    #: ``ip:port`` to listen on.
    address: str
    #: Seconds by which the VM list lags behind what it was told.
    vm_list_lag_s: float = 0.0
    #: What is logged.
    log: LogSettings = LogSettings()


class TargetStandinSettings(Settings, frozen=True):
    """Settings of ``coralfall standin target``."""

    #: ``ip:port`` to listen on.
    address: str
    #: Most requests at a time; more are shed.
    slots: int = 6
    #: Mean time that one request takes, in milliseconds.
    service_ms: float = 5.0
    #: Seconds after the start during which requests take longer.
    cold_s: float = 0.0
    #: How many times longer.
    cold_factor: float = 5.0
    #: What is logged.
    log: LogSettings = LogSettings()


SettingsT = t.TypeVar("SettingsT", bound=Settings)


def load_settings(path: pathlib.Path, model: t.Type[SettingsT]) -> SettingsT:
    """Settings from a TOML file.

    :param path: the file.
    :param model: which process's settings to expect.
    :raises SettingsError: with every fault found, the file's name in its message.
    """
    try:
        raw = read_toml(path)
    except InputError as error:
        raise SettingsError(error.message, error.faults) from error
    return parse_settings(raw, model, str(path))


def parse_settings(raw: t.Dict[str, t.Any], model: t.Type[SettingsT], name: str) -> SettingsT:
    """Settings from a parsed TOML document.

    :param model: which process's settings to expect.
    :param name: what messages call the document.
    :raises SettingsError: with every fault found.
    """
    faults = collect_faults(raw, model)
    if faults:
        raise settings_error(name, faults)
    return msgspec.convert(raw, model)


def settings_error(name: str, faults: t.Sequence[Fault]) -> SettingsError:
    """The error for a document that messages call ``name``; its message states all faults."""
    listed = "; ".join(f"{fault.path}: {fault.message}" for fault in faults)
    return SettingsError(f"{name}: {listed}", faults)


def split_address(address: str) -> t.Tuple[str, int]:
    """Host and port of ``ip:port`` or ``[ip]:port``.

    :raises ValueError: if it is neither.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{address!r} is not ip:port")
    return host.strip("[]"), int(port)
