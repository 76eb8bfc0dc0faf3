"""A lease: how an entry knows, by its own clock alone, that it may still use its slots.

Why a lease is safe
    A slot changes its owner only by a change of the roster.  ``renewed`` is told when the
    round was *sent* that wrote the lease row and then read, and applied, the roster's
    changes.  Whatever change the entry does not know of was therefore made after that moment,
    and the slot's new owner, who learns of it later still, rests for ``ttl_s`` and the
    service's timeout.  The old owner's last dispatch is sent before ``ttl_s`` has passed, and
    ends within the timeout.  Counting from the receipt of the answer would add the answer's
    delay, which nothing bounds.  A pause changes nothing: the clock goes on meanwhile.

    While the platform is out of reach nothing can be renewed, and stopping would turn each of
    its outages into one of ours.  So a lapsed lease may go on as ``FROZEN``.  This is safe for
    two reasons that lie elsewhere: an entry that joins uses no slot of a member that has not
    acknowledged the new roster (see :mod:`coralfall.balancing.handover`), and a member is removed
    only on
    evidence that its VM is gone (see :mod:`coralfall.bundles.removal`).  The peer exchange that a
    frozen lease needs makes a removal known early.

What is left
    A VM that runs, reaches neither the platform nor a peer that knows of the removal, and yet
    is called gone by the platform's VM list, goes on with slots that others take over once
    their rest is over.  The same holds for a VM suspended between the check and the system call
    that sends the request, if the VM list calls it gone meanwhile, unless the target refuses what
    comes after the time that the request states (``deadline-at-ms``).
"""

import enum
import typing as t

if t.TYPE_CHECKING:
    from ..process.clock import Clock
    from ..settings import LeaseSettings

#: A failed renewal says that the platform is unreachable for this many ``ttl_s``.
_FAILURE_TTLS = 2.0
#: Time between two calls, in ``ttl_s``, above which the process is taken to have been paused.
_PAUSE_TTLS = 0.5


class LeaseState(enum.Enum):
    """Whether an entry may dispatch into its own slots, and on what ground."""

    #: Renewed within its time.
    HELD = "held"
    #: Not renewed, and nothing else to stand on: dispatch nothing.
    LAPSED = "lapsed"
    #: Not renewed, but the platform is unreachable and peers know of no newer roster.
    FROZEN = "frozen"


class Lease:
    """The lease of an entry on its place in the roster.

    All times are monotonic seconds of the entry's own clock.

    :param settings: ``ttl_s`` is how long each piece of evidence counts.
    :param clock: the entry's clock, which goes on while the process is paused.
    """

    def __init__(self, settings: "LeaseSettings", clock: "Clock") -> None:
        self._ttl_s = settings.ttl_s
        self._clock = clock
        self._renewed_at = -float("inf")
        self._failed_at = -float("inf")
        self._confirmed_at = -float("inf")
        self._alone = False
        self._removed = False
        self._called_at = clock.monotonic()
        #: When the process last came back from a pause.
        self._woke_at = -float("inf")

    def begin(self) -> None:
        """Start over for a further life in the roster; what counted for the last is gone."""
        self._renewed_at = -float("inf")
        self._failed_at = -float("inf")
        self._confirmed_at = -float("inf")
        self._removed = False

    def renewed(self, sent_at: float) -> None:
        """Take in a whole round: lease row written, roster changes read *and applied*.

        :param sent_at: when the first call of the round was sent.
        """
        self._renewed_at = max(self._renewed_at, sent_at)

    def platform_failed(self, sent_at: float) -> None:
        """Take in a round that ended as unavailable or unknown.

        :param sent_at: when the failed call was sent; after a pause a call sent before it
            says nothing of the platform now.
        """
        self._notice_pause()
        self._failed_at = max(self._failed_at, sent_at)

    def peer_confirmed(self, exchanged_at: float) -> None:
        """Take in an exchange after which the entry's roster is as new as the peer's.

        Call it only if the entry is a member by that roster, and a newer one was applied.

        :param exchanged_at: when the exchange was begun.
        """
        self._notice_pause()
        self._confirmed_at = max(self._confirmed_at, exchanged_at)

    def set_alone(self, alone: bool) -> None:
        """Say whether the roster has no other member, so that no peer can confirm."""
        self._alone = alone

    def removed(self) -> None:
        """Take in that the entry is out of the roster: nothing counts until it joins anew."""
        self._removed = True

    def state(self) -> LeaseState:
        """Where the lease stands now."""
        now = self._notice_pause()
        if now < self._held_until():
            return LeaseState.HELD
        if now < self._frozen_until():
            return LeaseState.FROZEN
        return LeaseState.LAPSED

    def may_dispatch(self) -> bool:
        """Whether the entry may dispatch into its own slots, or lend them, now."""
        return self.remaining_s() > 0

    def remaining_s(self) -> float:
        """Seconds for which the lease counts if nothing further is heard; 0 if it lapsed."""
        now = self._notice_pause()
        return max(0.0, max(self._held_until(), self._frozen_until()) - now)

    def _notice_pause(self) -> float:
        """The time now.

        A VM that was suspended may have been called gone and removed meanwhile.  So once it is
        back it has to try the platform anew before it may go on as frozen.
        """
        now = self._clock.monotonic()
        if now - self._called_at > _PAUSE_TTLS * self._ttl_s:
            self._woke_at = now
        self._called_at = now
        return now

    def _held_until(self) -> float:
        if self._removed:
            return -float("inf")
        return self._renewed_at + self._ttl_s

    def _frozen_until(self) -> float:
        never_renewed = self._renewed_at == -float("inf")
        if self._removed or never_renewed or self._failed_at <= self._renewed_at:
            return -float("inf")
        if self._failed_at < self._woke_at:
            return -float("inf")
        unreachable_until = self._failed_at + _FAILURE_TTLS * self._ttl_s
        if self._alone:
            return unreachable_until
        return min(unreachable_until, self._confirmed_at + self._ttl_s)
