"""Which bundle of a partner an entry serves under, as heads and bundles become known."""

import typing as t

from ..balancing.capacity import stricter_bundle
from ..ids import BundleVersion, Digest, PartnerId, Revision
from .bundle import Bundle, Head, VersionRef


class PartnerRollout:
    """One partner's line as this entry knows it; versions only rise.

    An entry that holds a staged bundle does not know at every moment whether it has been
    accepted, so it serves under the stricter of the staged and the accepted one until a
    head settles it.

    A head counts only with a bundle that two operators signed. One whose accepted bundle
    turns out not to be signed is dropped, and the head before it counts again.

    :param partner: whose line.
    """

    def __init__(self, partner: PartnerId) -> None:
        self.partner = partner
        self.head = Head(partner=partner)
        #: Revision of the head row as last read from the table; 0 if only peers told of it.
        self.revision = Revision(0)
        #: The last head whose accepted bundle was held.
        self._before = self.head
        #: Accepted bundle of the head that was dropped last.
        self._refused: t.Optional[Digest] = None
        self._held_by_digest: t.Dict[Digest, Bundle] = {}
        self._effective: t.Optional[Bundle] = None

    def learn_from_table(self, head: Head, revision: Revision) -> bool:
        """Take in the head row as the table has it.

        The table's word is final: a staged bundle that it no longer names was withdrawn. A head
        that the table has lost stays in force, but what is written next replaces the table's row.

        :return: whether anything changed.
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        if _accepted_version(head) < _accepted_version(self.head):
            return False
        return not self._is_refused(head) and self._replace(head)

    def learn_from_peer(self, head: Head) -> bool:
        """Take in a head that a peer knows; one that is not newer changes nothing."""
        if _order(head) <= _order(self.head) or self._is_refused(head):
            return False
        return self._replace(head)

    def refuse(self, ref: VersionRef) -> bool:
        """Take in that the bundle which :meth:`missing` named is no signed bundle at all.

        :return: whether the head was dropped for it.
        """
        if ref != self.head.accepted:
            return False
        self._refused = ref.digest
        return self._replace(self._before)

    def holds_accepted(self) -> bool:
        """Whether all that is known to be accepted is held."""
        if self.head.accepted is None:
            return self._refused is None
        return self.accepted() is not None

    def missing(self) -> t.List[VersionRef]:
        """Bundles that the head names and that are not held yet, the accepted one first."""
        missing = []
        for ref in (self.head.accepted, self.head.staged):
            if ref is not None and ref.digest not in self._held_by_digest:
                missing.append(ref)
        return missing

    def hold(self, ref: VersionRef, bundle: Bundle) -> None:
        """Keep a verified bundle that :meth:`missing` named."""
        self._held_by_digest[ref.digest] = bundle
        self._effective = None

    def accepted(self) -> t.Optional[Bundle]:
        """The accepted bundle, if it is known and held."""
        return self._held(self.head.accepted)

    def staged(self) -> t.Optional[Bundle]:
        """The staged bundle, if there is one and it is held."""
        return self._held(self.head.staged)

    def effective(self) -> t.Optional[Bundle]:
        """The bundle to serve under; ``None`` while the accepted one is unknown or not held."""
        if self._effective is not None:
            return self._effective
        accepted = self.accepted()
        if accepted is None:
            return None
        staged = self.staged()
        self._effective = accepted if staged is None else stricter_bundle(accepted, staged)
        return self._effective

    def in_force_version(self) -> BundleVersion:
        """Version of the accepted bundle that is held; 0 if none is."""
        accepted = self.accepted()
        return BundleVersion(0) if accepted is None else accepted.version

    def staged_version(self) -> BundleVersion:
        """Newest version that is held and would be served under once accepted."""
        staged = self.staged()
        return self.in_force_version() if staged is None else staged.version

    def _held(self, ref: t.Optional[VersionRef]) -> t.Optional[Bundle]:
        if ref is None:
            return None
        return self._held_by_digest.get(ref.digest)

    def _is_refused(self, head: Head) -> bool:
        return head.accepted is not None and head.accepted.digest == self._refused

    def _replace(self, head: Head) -> bool:
        if head == self.head:
            return False
        if self.accepted() is not None:
            self._before = self.head
        self.head = head
        self._effective = None
        refs = (head.accepted, head.staged, self._before.accepted, self._before.staged)
        named = {ref.digest for ref in refs if ref is not None}
        for digest in list(self._held_by_digest):
            if digest not in named:
                del self._held_by_digest[digest]
        return True


def _accepted_version(head: Head) -> int:
    return 0 if head.accepted is None else head.accepted.version


def _order(head: Head) -> t.Tuple[int, int]:
    accepted = _accepted_version(head)
    staged = 0 if head.staged is None else head.staged.version
    return accepted, max(accepted, staged)
