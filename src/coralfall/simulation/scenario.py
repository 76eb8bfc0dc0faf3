"""Scenario: a load and its troubles, as an operator writes them in TOML.

Figures are of one region unless said otherwise; times in seconds from the start of traffic. What is
measured on real targets goes in: work with and without a known object, slots, queue, memory.
"""

import enum
import pathlib
import typing as t

import msgspec

from ..exceptions import Fault
from ..settings import Settings, load_settings, settings_error

Positive = t.Annotated[float, msgspec.Meta(gt=0)]
Share = t.Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = t.Annotated[int, msgspec.Meta(ge=1)]


class Trouble(enum.Enum):
    """What may befall targets, callers or entries."""

    #: Targets take ``times`` as long.
    SLOW = "slow"
    #: Targets turn away a share of what comes, whatever their load.
    SHED = "shed"
    #: Targets neither answer nor end; they come back knowing nothing.
    SILENT = "silent"
    #: Targets refuse connections, and come back cold and knowing nothing under their ids.
    RESTART = "restart"
    #: Targets take ``times`` requests a second from all entries together, and say so.
    LIMIT = "limit"
    #: Targets reject all that comes, and ask for ``times`` seconds without requests.
    COOLDOWN = "cooldown"
    #: Targets are taken away for good.
    LEAVE = "leave"
    #: Callers ask ``times`` as often.
    BURST = "burst"
    #: All entries forget what they learnt.
    ENTRIES = "entries"
    #: Entries lose their links to all targets, which the other entries reach.
    CUT = "cut"


class RegionSettings(Settings, frozen=True):
    """A region and how many entries it has."""

    name: str
    entries: Count = 2
    #: Where in the wave of its callers it starts, as a part of the period.
    phase: Share = 0.0


class ServiceSettings(Settings, frozen=True):
    """A service and its targets."""

    name: str
    targets_by_region: t.Dict[str, t.Annotated[int, msgspec.Meta(ge=0)]]
    slots: Count
    #: Requests that wait at a target whose slots are taken; more are turned away.
    queue: t.Annotated[int, msgspec.Meta(ge=0)]
    #: Objects that a target knows; it forgets the one that it met least recently.
    memory: Count
    #: Seconds of work for an object that a target does not know, and the part of them for one that
    #: it does.
    work_s: Positive
    known_part: Share = 0.3
    #: Standard deviation of the work, as a part of it.
    spread: Share = 0.15
    #: What a cold target bears in a second, and for how long it is cold.
    warmup_per_s: Positive = 10.0
    warmup_s: float = 3.0


class KindSettings(Settings, frozen=True):
    """A kind of request."""

    name: str
    service: str
    #: Requests in a second from the callers of one region, and the objects that they concern.
    per_s: Positive
    objects: Count
    #: Seconds within which an answer is worth most, which the caller waits, and which the route
    #: allows.
    aim_s: Positive
    limit_s: Positive
    timeout_s: Positive
    worth: float = 1.0
    late_worth: float = 0.2
    #: Whether it may run more than once.
    safe: bool = False
    #: How often a caller comes back after a refusal.
    returns: int = 1
    #: 0 is the most urgent.
    priority: int = 1
    #: Most targets that one attempt is sent to.
    max_attempts: Count = 2


class EventSettings(Settings, frozen=True):
    """One trouble."""

    kind: Trouble
    at: float
    for_s: float = 5.0
    service: t.Optional[str] = None
    region: t.Optional[str] = None
    #: Part of the targets, or entries, of the service and region if these are named.
    share: Share = 1.0
    #: How strong: see :class:`Trouble`.
    times: Positive = 1.0


class Scenario(Settings, frozen=True):
    """A load, and where it runs."""

    name: str
    regions: t.Tuple[RegionSettings, ...]
    services: t.Tuple[ServiceSettings, ...]
    kinds: t.Tuple[KindSettings, ...]
    events: t.Tuple[EventSettings, ...] = ()
    #: Seconds of traffic.
    seconds: Positive = 30.0
    #: Seconds one way: between an entry and its region's targets, to another region, to callers.
    near_s: float = 0.001
    far_s: float = 0.02
    caller_s: float = 0.008
    #: Traffic rises and falls by this part of its mean, within this many seconds.
    swing: Share = 0.0
    period_s: Positive = 36.0
    #: Whether entries open connections to distant targets ahead of requests.
    opens_ahead: bool = True


def load_scenario(path: pathlib.Path) -> Scenario:
    """Read and check a scenario.

    :raises SettingsError: with one fault a field.
    """
    scenario = load_settings(path, Scenario)
    faults = list(_faults(scenario))
    if faults:
        raise settings_error(str(path), faults)
    return scenario


def _faults(scenario: Scenario) -> t.Iterator[Fault]:
    regions = {region.name for region in scenario.regions}
    services = {service.name for service in scenario.services}
    for number, service in enumerate(scenario.services):
        for region in service.targets_by_region:
            if region not in regions:
                where = f"services[{number}].targets_by_region"
                yield Fault(where, "unknown", f"no region is named {region!r}; add it to regions")
    for number, kind in enumerate(scenario.kinds):
        if kind.service not in services:
            message = f"no service is named {kind.service!r}; add it to services"
            yield Fault(f"kinds[{number}].service", "unknown", message)
    for number, event in enumerate(scenario.events):
        if event.service is not None and event.service not in services:
            message = f"no service is named {event.service!r}; leave it out for all"
            yield Fault(f"events[{number}].service", "unknown", message)
        if event.region is not None and event.region not in regions:
            message = f"no region is named {event.region!r}; leave it out for all"
            yield Fault(f"events[{number}].region", "unknown", message)
