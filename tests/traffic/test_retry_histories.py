"""The users' rule on retries over histories of a fleet whose entries start again."""

import unittest

from parameterized import parameterized

from tests.traffic.retry_fleet import RetryFleet


class RestartTest(unittest.TestCase):
    @parameterized.expand(
        [
            # name, entries, requests a second of the fleet, seconds between kills of all entries
            ("few requests", 12, 36, 1.5),
            ("many requests", 12, 400, 0.5),
            ("three entries", 3, 36, 1.5),
            ("hundreds of entries", 530, 400, 1.5),
        ]
    )
    def test_starts_do_not_renew_the_retry_budget(
        self, _name: str, entries: int, per_s: int, gap_s: float
    ) -> None:
        fleet = RetryFleet(entries)
        ids = list(fleet.budgets_by_id)
        killed_at = fleet.clock.now
        for number in range(per_s * 30):
            fleet.clock.advance(1 / per_s)
            if fleet.clock.now - killed_at >= gap_s:
                killed_at = fleet.clock.now
                for entry_id in ids:
                    fleet.start(entry_id)
            fleet.request(ids[number % entries])
        self.assertIsNone(fleet.excess())
