"""Which bundle an entry serves under, as heads and bundles become known."""

import typing as t
import unittest

from parameterized import parameterized

from coralfall.bundles.bundle import Bundle, Head, VersionRef
from coralfall.bundles.rollout import PartnerRollout
from coralfall.ids import BundleVersion, Digest, Revision, TargetId
from tests import operators

TARGET = TargetId("catalogo-01")


def ref(version: int) -> VersionRef:
    return VersionRef(version=BundleVersion(version), digest=Digest(f"{version:064x}"))


def head(accepted: int, staged: int = 0) -> Head:
    return Head(
        partner=operators.COSECHA,
        accepted=ref(accepted) if accepted else None,
        staged=ref(staged) if staged else None,
    )


def bundle(version: int) -> Bundle:
    return operators.make_bundle(version, slots=10 - version)


def holding(*heads: t.Tuple[Head, int]) -> PartnerRollout:
    """A rollout that has read these heads at these revisions and holds all they name."""
    rollout = PartnerRollout(operators.COSECHA)
    for found, revision in heads:
        rollout.learn_from_table(found, Revision(revision))
        for missing in rollout.missing():
            rollout.hold(missing, bundle(missing.version))
    return rollout


class TestHeads(unittest.TestCase):
    @parameterized.expand(
        [
            ("older_accepted", head(2), head(1), 2, 2),
            ("same", head(2), head(2), 2, 2),
            ("newer_accepted", head(1, 2), head(2), 2, 2),
            ("newer_staged", head(1), head(1, 2), 1, 2),
            ("older_staged", head(1, 3), head(1, 2), 1, 3),
            ("staged_unknown_to_the_peer", head(1, 2), head(1), 1, 2),
            ("far_ahead", head(1, 2), head(3, 4), 3, 4),
        ]
    )
    def test_peers_only_bring_newer_heads(
        self, _: str, known: Head, told: Head, accepted: int, staged: int
    ) -> None:
        rollout = holding((known, 5))
        changed = rollout.learn_from_peer(told)
        for missing in rollout.missing():
            rollout.hold(missing, bundle(missing.version))
        self.assertEqual(rollout.in_force_version(), accepted)
        self.assertEqual(rollout.staged_version(), staged)
        self.assertEqual(changed, (accepted, staged) != (known.accepted.version, staged_of(known)))

    @parameterized.expand(
        [
            ("later_row", head(1, 2), 5, head(1), 6, 1),
            ("overtaken_row", head(1, 2), 5, head(1), 4, 2),
            ("row_behind_what_peers_know", head(3), 0, head(2), 6, 3),
        ]
    )
    def test_table_is_final_but_accepted_never_falls(
        self, _: str, known: Head, revision: int, read: Head, read_revision: int, staged: int
    ) -> None:
        rollout = holding((known, revision)) if revision else PartnerRollout(operators.COSECHA)
        rollout.learn_from_peer(known)
        rollout.learn_from_table(read, Revision(read_revision))
        for missing in rollout.missing():
            rollout.hold(missing, bundle(missing.version))
        self.assertEqual(rollout.staged_version(), staged)

    def test_a_head_that_the_table_lost_stays_and_its_row_may_be_written(self) -> None:
        rollout = holding((head(2), 5))
        self.assertFalse(rollout.learn_from_table(head(1), Revision(9)))
        self.assertEqual((head(2), 9), (rollout.head, rollout.revision))


class TestEffective(unittest.TestCase):
    @parameterized.expand(
        [
            ("nothing_known", (), None),
            ("staged_only", ((head(0, 1), 1),), None),
            ("accepted", ((head(1), 1),), 9),
            ("stricter_of_both", ((head(1, 2), 1),), 8),
            ("accepted_after_staged", ((head(1, 2), 1), (head(2), 2)), 8),
        ]
    )
    def test_serves_under(
        self, _: str, heads: t.Tuple[t.Tuple[Head, int], ...], slots: t.Optional[int]
    ) -> None:
        effective = holding(*heads).effective()
        if slots is None:
            self.assertIsNone(effective)
            return
        assert effective is not None
        self.assertEqual(effective.targets[TARGET].slots, slots)

    def test_accepted_that_is_not_held_serves_nothing(self) -> None:
        rollout = holding((head(1), 1))
        rollout.learn_from_peer(head(2))
        self.assertIsNone(rollout.effective())
        self.assertEqual([missing.version for missing in rollout.missing()], [2])


class TestRefused(unittest.TestCase):
    @parameterized.expand(
        [
            ("by_the_table", ((head(1, 2), 1),), head(9), 1, 2),
            ("told_by_a_peer", ((head(1, 2), 1),), head(9), None, 2),
            ("after_a_rise", ((head(1, 2), 1), (head(2), 2)), head(9, 10), 3, 2),
            ("nothing_before", (), head(9), 1, 0),
        ]
    )
    def test_head_without_a_signed_bundle_is_dropped(
        self,
        _: str,
        before: t.Tuple[t.Tuple[Head, int], ...],
        told: Head,
        revision: t.Optional[int],
        staged: int,
    ) -> None:
        rollout = holding(*before)
        known = rollout.head
        for _again in range(2):
            if revision is None:
                rollout.learn_from_peer(told)
            else:
                rollout.learn_from_table(told, Revision(revision + 10))
            for missing in rollout.missing():
                rollout.refuse(missing)
            self.assertEqual(rollout.head, known)
            self.assertEqual(rollout.staged_version(), staged)
            self.assertEqual(rollout.holds_accepted(), bool(before))
        rollout.learn_from_table(head(3), Revision(30))
        rollout.hold(ref(3), bundle(3))
        self.assertEqual((rollout.in_force_version(), rollout.holds_accepted()), (3, True))

    def test_staged_without_signatures_is_not_served(self) -> None:
        rollout = holding((head(1), 1))
        rollout.learn_from_table(head(1, 2), Revision(2))
        self.assertFalse(rollout.refuse(ref(2)))
        self.assertEqual((rollout.in_force_version(), rollout.staged_version()), (1, 1))


def staged_of(known: Head) -> int:
    newest = known.staged or known.accepted
    return newest.version if newest is not None else 0
