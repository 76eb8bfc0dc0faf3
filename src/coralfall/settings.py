"""Settings of each process, read from a TOML file and validated before anything starts."""

import pathlib
import typing as t

import msgspec

from . import defaults
from .exceptions import Fault, InputError, SettingsError
from .ids import EntryId, KeyId, PartnerId, RegionId, SiteId, VmId, ZoneId
from .tomlfile import read_toml
from .validation import collect_faults


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of all settings: immutable; unknown keys are rejected."""


class LogSettings(Settings, frozen=True):
    """Logging."""

    #: Minimum level of the events that are logged.
    level: t.Literal["debug", "info", "warning", "error"] = "info"


class MetricsSettings(Settings, frozen=True):
    """Statsd server that metrics are sent to; without ``host`` none are sent."""

    #: IP address or host name of the statsd server; without it no metrics are sent.
    host: t.Optional[str] = None
    #: UDP port of the statsd server.
    port: int = 8125
    #: Prefix of every metric's name.
    prefix: str = "coralfall"


class PlatformSettings(Settings, frozen=True):
    """How the platform's services are reached."""

    #: Base URL, such as ``http://10.0.0.2:7000``.
    url: str
    #: Timeout of a call to the platform, in seconds.
    timeout_s: float = defaults.PLATFORM_TIMEOUT_S


class PartnerSettings(Settings, frozen=True):
    """Keys that may sign a partner's bundles and its requests to the operators' interface."""

    #: Ed25519 public keys in base64, by key id.
    keys: t.Dict[KeyId, str]


class LeaseSettings(Settings, frozen=True):
    """Timing of the lease that an entry holds on its place in the roster."""

    #: Lifetime of the lease in seconds, counted from when its renewal was sent; must be the same on
    #: all entries.
    ttl_s: float = defaults.LEASE_TTL_S
    #: Seconds between renewals of the lease.
    renew_s: float = defaults.LEASE_RENEW_INTERVAL_S
    #: Seconds between two reads of the changes of the platform's table.
    poll_s: float = defaults.TABLE_POLL_INTERVAL_S
    #: Seconds between two reads of the platform's VM list by the coordinator.
    vm_list_s: float = defaults.VM_LIST_POLL_INTERVAL_S


class PeerSettings(Settings, frozen=True):
    """How entries find and authenticate each other."""

    #: File with the fleet's key: 32 bytes in base64. It must be readable by its owner only.
    fleet_key_file: str
    #: Peer addresses of entries to ask when the table can't be read, as ``ip:port``.
    seeds: t.Tuple[str, ...] = ()
    #: Seconds between two rounds of heartbeats.
    heartbeat_s: float = defaults.HEARTBEAT_INTERVAL_S


class ClaimSettings(Settings, frozen=True):
    """Timing of the claims on idempotency keys, in seconds."""

    #: Maximum time in seconds that a command waits for its claim; then it is rejected.
    wait_s: float = defaults.CLAIM_TIMEOUT_S
    #: Minimum time in seconds between two transactions of one entry.
    interval_s: float = defaults.CLAIM_MIN_INTERVAL_S
    #: Maximum time in seconds that an answer waits to be written in a batch with others.
    settle_s: float = defaults.CLAIM_BATCH_DELAY_S


class HttpSettings(Settings, frozen=True):
    """Limits of an HTTP server; times in seconds."""

    #: Maximum time until the head of a request is complete, and its maximum size in bytes.
    header_timeout_s: float = defaults.HEADER_TIMEOUT_S
    max_header_bytes: int = defaults.MAX_HEADER_BYTES
    #: Time in seconds after which an idle connection is closed, in operation and once the server
    #: stops.
    idle_timeout_s: float = defaults.CALLER_IDLE_TIMEOUT_S
    idle_stop_s: float = defaults.SHUTDOWN_IDLE_TIMEOUT_S
    max_connections: int = defaults.MAX_CONNECTIONS
    max_idle_connections: int = defaults.MAX_IDLE_CONNECTIONS
    #: Maximum number of pipelined requests that wait behind the one being answered.
    max_pipelined: int = defaults.MAX_PIPELINED


class RestartSettings(Settings, frozen=True):
    """How a supervisor restarts children that fail."""

    #: Maximum number of failures of a child within ``window_s`` seconds; with one more its
    #: supervisor ends.
    max_failures: int = defaults.MAX_CHILD_FAILURES
    window_s: float = defaults.CHILD_FAILURE_WINDOW_S
    #: Maximum time in seconds before the first restart; doubled for each further one, up to
    #: ``max_backoff_s``.
    backoff_s: float = defaults.RESTART_BACKOFF_S
    max_backoff_s: float = defaults.MAX_RESTART_BACKOFF_S


class EntrySettings(Settings, frozen=True):
    """Settings of ``coralfall entry``."""

    #: Name of the entry; must be unique among all entries.
    entry_id: EntryId
    #: Id of the entry's VM, as in the platform's VM list.
    vm_id: VmId
    #: Region of the VM.
    region: RegionId
    #: Availability zone of the VM.
    zone: ZoneId
    #: Site of the VM.
    site: SiteId
    #: ``ip:port`` to listen on for callers; with port 0 a free port is used.
    caller_address: str
    #: ``ip:port`` to listen on for other entries.
    peer_address: str
    #: ``ip:port`` to listen on for operators.
    operator_address: str
    #: How the platform's services are reached.
    platform: PlatformSettings
    #: Partners whose bundles are served, by partner id.
    partners: t.Dict[PartnerId, PartnerSettings]
    #: How entries find and authenticate each other.
    peers: PeerSettings
    #: Timing of the lease that the entry holds on its place in the roster.
    lease: LeaseSettings = LeaseSettings()
    #: Logging.
    log: LogSettings = LogSettings()
    #: Statsd server that metrics are sent to.
    metrics: MetricsSettings = MetricsSettings()
    #: Time from the signal to stop until the process is killed.
    grace_s: float = defaults.GRACE_S
    #: Seconds for which callers may cache an answer to a look-up.
    lookup_ttl_s: float = defaults.LOOKUP_TTL_S
    #: Timing of the claims on idempotency keys.
    claims: ClaimSettings = ClaimSettings()
    #: Whether targets are told by which slot, lease, roster and loan each request was sent.
    trace_slots: bool = False


class PlatformStandinSettings(Settings, frozen=True):
    """Settings of ``coralfall standin platform``."""

    #: ``ip:port`` to listen on.
    address: str
    #: Seconds after which a change appears in the VM list.
    vm_list_lag_s: float = 0.0
    #: Logging.
    log: LogSettings = LogSettings()


class TargetStandinSettings(Settings, frozen=True):
    """Settings of ``coralfall standin target``."""

    #: ``ip:port`` to listen on.
    address: str
    #: Maximum number of concurrent requests; more are shed.
    slots: int = 6
    #: Concurrent requests beyond which it records what is in flight; 0 for never.
    limit: int = 0
    #: Mean service time of a request, in milliseconds.
    service_ms: float = 5.0
    #: Seconds after the start during which the target is cold and requests take longer.
    cold_s: float = 0.0
    #: Factor by which requests take longer while the target is cold.
    cold_factor: float = 5.0
    #: Logging.
    log: LogSettings = LogSettings()


SettingsT = t.TypeVar("SettingsT", bound=Settings)


def load_settings(path: pathlib.Path, model: t.Type[SettingsT]) -> SettingsT:
    """Loads settings from a TOML file.

    :param path: settings file.
    :param model: settings class of the process.
    :raises SettingsError: with every fault found; its message names the file.
    """
    try:
        raw = read_toml(path)
    except InputError as error:
        raise SettingsError(error.message, error.faults) from error
    return parse_settings(raw, model, str(path))


def parse_settings(raw: t.Dict[str, t.Any], model: t.Type[SettingsT], name: str) -> SettingsT:
    """Converts a parsed TOML document to settings.

    :param model: settings class of the process.
    :param name: name of the document in messages.
    :raises SettingsError: with every fault found.
    """
    faults = collect_faults(raw, model)
    if faults:
        raise settings_error(name, faults)
    return msgspec.convert(raw, model)


def settings_error(name: str, faults: t.Sequence[Fault]) -> SettingsError:
    """Returns the error for the document ``name``; its message lists all faults."""
    listed = "; ".join(f"{fault.path}: {fault.message}" for fault in faults)
    return SettingsError(f"{name}: {listed}", faults)


def split_address(address: str) -> t.Tuple[str, int]:
    """Splits ``ip:port`` or ``[ip]:port`` into host and port.

    :raises ValueError: if ``address`` has neither form.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{address!r} is not ip:port")
    return host.strip("[]"), int(port)
