"""Settings of each process, read from TOML and checked whole before anything starts."""

import pathlib
import tomllib
import typing as t

import msgspec

from . import defaults
from .exceptions import Fault, SettingsError
from .ids import EntryId, KeyId, PartnerId, RegionId, SiteId, VmId, ZoneId
from .validation import collect_faults


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all settings: immutable, and unknown keys are refused."""


class LogSettings(Settings, frozen=True):
    """What is logged."""

    #: One of ``debug``, ``info``, ``warning``, ``error``.
    level: t.Literal["debug", "info", "warning", "error"] = "info"


class MetricsSettings(Settings, frozen=True):
    """Where metrics go; without ``host`` none are sent."""

    host: t.Optional[str] = None
    port: int = 8125
    prefix: str = "coralfall"


class PlatformSettings(Settings, frozen=True):
    """Where the platform's services answer."""

    #: Base address, such as ``http://10.0.0.2:7000``.
    url: str
    timeout_s: float = defaults.PLATFORM_TIMEOUT_S


class PartnerSettings(Settings, frozen=True):
    """Which keys may sign a partner's bundles and ask its operators' interface."""

    #: Ed25519 public keys in base64, by key id.
    keys: t.Dict[KeyId, str]


class LeaseSettings(Settings, frozen=True):
    """Times of the lease on a place in the roster."""

    ttl_s: float = defaults.LEASE_TTL_S
    renew_s: float = defaults.LEASE_RENEW_S
    poll_s: float = defaults.POLL_S


class PeerSettings(Settings, frozen=True):
    """How entries find and trust each other."""

    #: File with the fleet's key: 32 bytes in base64, readable by its owner only.
    fleet_key_file: str
    #: Addresses to ask when the table can't be read, as ``ip:port``.
    seeds: t.Tuple[str, ...] = ()
    heartbeat_s: float = defaults.HEARTBEAT_S


class ClaimSettings(Settings, frozen=True):
    """Times of the claims on idempotency keys, in seconds."""

    #: Longest time a command waits for its claim.
    wait_s: float = defaults.CLAIM_WAIT_S
    #: Least time between two transactions of one entry.
    interval_s: float = defaults.CLAIM_INTERVAL_S
    #: Longest time an answer waits for company before it is written.
    settle_s: float = defaults.CLAIM_SETTLE_S


class HttpSettings(Settings, frozen=True):
    """Bounds of an HTTP server; times in seconds."""

    #: A head must have come within this time, and have no more bytes than that.
    header_timeout_s: float = defaults.HEADER_TIMEOUT_S
    max_header_bytes: int = defaults.MAX_HEADER_BYTES
    #: An idle connection is closed after this time, or sooner once the server stops.
    idle_timeout_s: float = defaults.IDLE_CALLER_S
    idle_stop_s: float = defaults.IDLE_STOP_S
    max_connections: int = defaults.MAX_CONNECTIONS
    max_idle_connections: int = defaults.MAX_IDLE_CONNECTIONS
    #: Requests of one connection that wait behind the one being answered.
    max_pipelined: int = defaults.MAX_PIPELINED


class RestartSettings(Settings, frozen=True):
    """How often and how soon a supervisor restarts a child that fails."""

    max_failures: int = defaults.MAX_FAILURES
    window_s: float = defaults.FAILURE_WINDOW_S
    backoff_s: float = defaults.RESTART_BACKOFF_S
    max_backoff_s: float = defaults.MAX_RESTART_BACKOFF_S


class EntrySettings(Settings, frozen=True):
    """Settings of ``coralfall entry``."""

    entry_id: EntryId
    vm_id: VmId
    region: RegionId
    zone: ZoneId
    site: SiteId
    #: ``ip:port`` to listen on for callers, peers and operators; port 0 takes a free one.
    caller_address: str
    peer_address: str
    operator_address: str
    platform: PlatformSettings
    partners: t.Dict[PartnerId, PartnerSettings]
    peers: PeerSettings
    lease: LeaseSettings = LeaseSettings()
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    grace_s: float = defaults.GRACE_S
    #: Seconds for which callers may use an answer to a look-up.
    lookup_ttl_s: float = defaults.LOOKUP_TTL_S
    claims: ClaimSettings = ClaimSettings()


class PlatformStandinSettings(Settings, frozen=True):
    """Settings of ``coralfall standin platform``."""

    address: str
    #: Seconds by which the VM list lags behind what it was told.
    vm_list_lag_s: float = 0.0
    log: LogSettings = LogSettings()


class TargetStandinSettings(Settings, frozen=True):
    """Settings of ``coralfall standin target``."""

    address: str
    slots: int = 6
    #: Mean time that one request takes, in milliseconds.
    service_ms: float = 5.0
    #: Seconds after the start during which requests take longer, and by what factor.
    cold_s: float = 0.0
    cold_factor: float = 5.0
    log: LogSettings = LogSettings()


SettingsT = t.TypeVar("SettingsT", bound=Settings)


def load_settings(path: pathlib.Path, model: t.Type[SettingsT]) -> SettingsT:
    """Settings from a TOML file.

    :param path: the file.
    :param model: which process's settings to expect.
    :raises SettingsError: with every fault found, the file's name in its message.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        fault = Fault("", "unreadable", error.strerror or str(error))
        raise SettingsError(f"{path}: can't be read: {fault.message}", [fault]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        fault = Fault("", "syntax", str(error))
        raise SettingsError(f"{path}: is not TOML: {error}", [fault]) from error
    return parse_settings(raw, model, str(path))


def parse_settings(raw: t.Dict[str, t.Any], model: t.Type[SettingsT], name: str) -> SettingsT:
    """Settings from a parsed TOML document; ``name`` is what messages call it."""
    faults = collect_faults(raw, model)
    if faults:
        listed = "; ".join(f"{fault.path}: {fault.message}" for fault in faults)
        raise SettingsError(f"{name}: {listed}", faults)
    return msgspec.convert(raw, model)


def split_address(address: str) -> t.Tuple[str, int]:
    """Host and port of ``ip:port`` or ``[ip]:port``.

    :raises ValueError: if it is neither.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{address!r} is not ip:port")
    return host.strip("[]"), int(port)
