"""Reachability: whether this entry can open connections to the targets of each service.

A service is suspected once a target of it could not be connected and none has been connected since.
The suspicion is checked by probes to other targets of the service and, if these fail as well, by
indirect probes: other entries are asked whether they reach the same targets, as in SWIM. If they
do, the entry is cut off from the service, and what it fails to reach is no evidence about the
targets; if they do not, the targets are down. An entry that is cut off returns to its own
connections once probes have succeeded for a time that grows with each relapse.
"""

import enum
import random
import typing as t

from .. import defaults
from ..process import log

if t.TYPE_CHECKING:
    from ..ids import EntryId, ServiceId, TargetId
    from ..process.clock import Clock
    from .targets import TargetRegistry, TargetState

#: Targets of a service that can't be connected from which on the service counts as unreached; it
#: is also the number of targets that a check probes.
_PROBED_TARGETS = 3
#: Most targets that other entries are asked about.
_MAX_ASKED_TARGETS = 4


class Path(enum.Enum):
    """How the targets of a service are reached."""

    DIRECT = "direct"
    #: Others reach targets that this entry does not.
    CUT_OFF = "cut-off"


class Witness(t.NamedTuple):
    """Another entry that reaches targets which this one does not."""

    entry_id: "EntryId"
    #: Targets that it was asked about and does not reach either.
    unreached_ids: "t.FrozenSet[TargetId]"


class ServiceContact:
    """Contact of this entry with the targets of one service."""

    def __init__(self) -> None:
        self.path = Path.DIRECT
        #: Times of the last failure by target, since the last success with any of them.
        self.failed_at_by_id: t.Dict["TargetId", float] = {}
        #: Monotonic time of the last success with any target.
        self.connected_at = -float("inf")
        #: Whether the service was logged as unreached.
        self.unreached = False
        #: Monotonic time before which no check is made, and checks in a row in which neither this
        #: entry nor another reached a target.
        self.next_check_at = -float("inf")
        self.checks_in_vain = 0
        #: While cut off: time since which probes succeed, and the seconds for which they have to.
        self.sound_since: t.Optional[float] = None
        self.hold_s = defaults.REACH_HOLD_S
        #: Monotonic time at which the entry last returned to its own connections.
        self.returned_at = -float("inf")


class Reachability:
    """Contact of this entry with the targets of all services.

    :param targets: known targets.
    :param clock: time source.
    """

    def __init__(self, targets: "TargetRegistry", clock: "Clock") -> None:
        self._targets = targets
        self._clock = clock
        self._contacts: t.Dict["ServiceId", ServiceContact] = {}
        #: Called when the set of services that this entry is cut off from has changed.
        self.on_change: t.Callable[[], None] = lambda: None

    def record_success(self, service: "ServiceId", target_id: "TargetId") -> None:
        """Records that a connection to a target of a service was established."""
        now = self._clock.monotonic()
        contact = self._contact_of(service)
        contact.connected_at = now
        contact.failed_at_by_id.clear()
        contact.checks_in_vain = 0
        state = self._targets.by_id.get(target_id)
        if state is not None:
            state.connected_at = now
        if contact.unreached and contact.path is Path.DIRECT:
            self._log_reached(service, contact)

    def record_failure(self, service: "ServiceId", target_id: "TargetId", refused: bool) -> None:
        """Records that a target could not be connected.

        :param refused: whether the address answered that nothing listens there.
        """
        now = self._clock.monotonic()
        contact = self._contact_of(service)
        contact.failed_at_by_id[target_id] = now
        if contact.unreached or not self._is_evidence_enough(service, contact):
            return
        contact.unreached = True
        log.warning(
            "service.unreached",
            service=service,
            targets=len(contact.failed_at_by_id),
            known=len(self._targets.of_service(service)),
            refused=refused,
            connected_s=round(min(now - contact.connected_at, 9999.0), 2),
        )

    def unreached_services(self) -> t.List["ServiceId"]:
        """Returns the services none of whose targets this entry could connect to lately."""
        return [service for service, contact in self._contacts.items() if contact.unreached]

    def cut_off_services(self) -> "t.Tuple[ServiceId, ...]":
        """Returns the services that this entry is cut off from, sorted."""
        cut = [s for s, contact in self._contacts.items() if contact.path is Path.CUT_OFF]
        return tuple(sorted(cut))

    def is_cut_off(self, service: "ServiceId") -> bool:
        """Whether other entries reach targets of the service, and this one does not."""
        contact = self._contacts.get(service)
        return contact is not None and contact.path is Path.CUT_OFF

    def reaches(self, service: "ServiceId") -> bool:
        """Whether a failed connection to one target is evidence about that target."""
        contact = self._contact_of(service)
        return contact.path is Path.DIRECT and not contact.unreached

    # Checks

    def may_check(self, service: "ServiceId") -> bool:
        """Whether a suspicion of a service may be checked now."""
        contact = self._contact_of(service)
        is_due = self._clock.monotonic() >= contact.next_check_at
        return is_due and contact.path is Path.DIRECT

    def has_connected_since(self, service: "ServiceId", since: float) -> bool:
        """Whether a connection to any target of the service was established since a time."""
        return self._contact_of(service).connected_at >= since

    def targets_to_probe(self, service: "ServiceId", rng: random.Random) -> t.List["TargetState"]:
        """Returns targets that show whether the service is reached; those not tried lately first.

        There are none while failures at several targets, or at all of them, show it already.
        """
        contact = self._contact_of(service)
        if self._is_evidence_enough(service, contact) and contact.path is Path.DIRECT:
            return []
        states = list(self._targets.of_service(service))
        rng.shuffle(states)
        states.sort(key=lambda state: state.target.target_id in contact.failed_at_by_id)
        return states[:_PROBED_TARGETS]

    def targets_to_ask_about(self, service: "ServiceId") -> "t.List[TargetId]":
        """Returns the targets that other entries are asked about: the latest that failed."""
        failed_at_by_id = self._contact_of(service).failed_at_by_id
        latest = sorted(failed_at_by_id, key=lambda target_id: -failed_at_by_id[target_id])
        return latest[:_MAX_ASKED_TARGETS]

    def failing_s(self, service: "ServiceId") -> float:
        """Returns the seconds since the first failure after the last success."""
        failed_at = self._contact_of(service).failed_at_by_id.values()
        now = self._clock.monotonic()
        return now - min(failed_at, default=now)

    def entries_to_ask(self, service: "ServiceId") -> int:
        """Returns how many entries to ask; more after each check in vain, as these may be cut."""
        in_vain = min(self._contact_of(service).checks_in_vain, 8)
        return min(defaults.REACH_ASKED_ENTRIES << in_vain, defaults.MAX_REACH_ASKED_ENTRIES)

    def conclude_reached(self, service: "ServiceId") -> None:
        """Ends a check in which this entry connected to a target."""
        contact = self._contact_of(service)
        contact.next_check_at = self._clock.monotonic() + defaults.REACH_CHECK_INTERVAL_S

    def conclude_down(self, service: "ServiceId") -> None:
        """Ends a check in which no entry reached a target; the next one asks more of them."""
        contact = self._contact_of(service)
        delay_s = defaults.REACH_RECHECK_S * 2.0 ** min(contact.checks_in_vain, 8)
        contact.checks_in_vain += 1
        contact.next_check_at = self._clock.monotonic() + min(delay_s, defaults.MAX_REACH_RECHECK_S)
        if contact.path is Path.CUT_OFF:
            self._return(service, contact, "nobody")

    def conclude_cut_off(self, service: "ServiceId", witness: Witness) -> None:
        """Ends a check in which another entry reached targets that this one does not.

        Failures to connect since the last success are no evidence about the targets any more, but
        for those that the witness does not reach either.
        """
        contact = self._contact_of(service)
        contact.checks_in_vain = 0
        if contact.path is Path.CUT_OFF:
            return
        now = self._clock.monotonic()
        contact.path = Path.CUT_OFF
        contact.unreached = True
        contact.sound_since = None
        is_relapse = now - contact.returned_at < defaults.REACH_RELAPSE_S
        hold_s = contact.hold_s * 2 if is_relapse else defaults.REACH_HOLD_S
        contact.hold_s = min(hold_s, defaults.MAX_REACH_HOLD_S)
        log.warning(
            "service.cut-off",
            service=service,
            witness=witness.entry_id,
            targets=len(contact.failed_at_by_id),
            connected_s=round(min(now - contact.connected_at, 9999.0), 2),
        )
        for state in self._targets.of_service(service):
            if state.target.target_id not in witness.unreached_ids:
                state.forget_failures(contact.connected_at)
        self.on_change()

    def record_probes(self, service: "ServiceId", succeeded: bool) -> None:
        """Records a round of probes while cut off; returns to own connections after enough."""
        contact = self._contact_of(service)
        now = self._clock.monotonic()
        if not succeeded:
            contact.sound_since = None
            return
        if contact.sound_since is None:
            contact.sound_since = now
        if now - contact.sound_since >= contact.hold_s:
            self._return(service, contact, "probes")

    def _return(self, service: "ServiceId", contact: ServiceContact, evidence: str) -> None:
        contact.path = Path.DIRECT
        contact.returned_at = self._clock.monotonic()
        log.info("service.direct", service=service, evidence=evidence)
        if evidence == "probes":
            self._log_reached(service, contact)
        self.on_change()

    def _log_reached(self, service: "ServiceId", contact: ServiceContact) -> None:
        contact.unreached = False
        log.info("service.reached", service=service)

    def _is_evidence_enough(self, service: "ServiceId", contact: ServiceContact) -> bool:
        known = len(self._targets.of_service(service))
        return len(contact.failed_at_by_id) >= min(_PROBED_TARGETS, max(1, known))

    def _contact_of(self, service: "ServiceId") -> ServiceContact:
        return self._contacts.setdefault(service, ServiceContact())
