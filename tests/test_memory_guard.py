"""The bound of what clients may hold follows what the process takes."""

from __future__ import annotations

import unittest
from unittest import mock

from lanelead.runtime.buffer_budget import BufferBudget
from lanelead.runtime.memory_guard import CHECKS_BETWEEN_RELEASES, MemoryGuard, return_free_memory
from lanelead.runtime.process_memory import MIN_BUFFERED_BYTES

MB = 1_000_000


class Guard(unittest.TestCase):
    def setUp(self) -> None:
        self.resident = 50 * MB
        self.log, self.release = mock.Mock(), mock.Mock()
        self.budget = BufferBudget(20 * MB)
        self.guard = MemoryGuard(self.budget, 100 * MB, self.log, lambda: self.resident, self.release)

    def test_below_the_high_water_mark_the_plan_is_in_force(self) -> None:
        self.guard.check()
        self.assertEqual((self.budget.max_bytes, self.release.call_count), (20 * MB, 0))

    def test_beyond_it_clients_may_hold_as_much_less(self) -> None:
        self.resident = 95 * MB
        self.guard.check()
        self.assertEqual(self.budget.max_bytes, 15 * MB)
        self.resident = 200 * MB
        self.guard.check()
        self.assertEqual(self.budget.max_bytes, MIN_BUFFERED_BYTES)
        self.resident = 60 * MB
        self.guard.check()
        self.assertEqual((self.budget.max_bytes, self.guard.peak_bytes), (20 * MB, 200 * MB))
        self.log.warning.assert_called_once()
        self.log.info.assert_called_once()

    def test_free_memory_is_returned_first_and_not_at_each_check(self) -> None:
        def release() -> None:
            self.resident = 60 * MB

        self.release.side_effect = release
        self.resident = 95 * MB
        self.guard.check()
        self.assertEqual(self.budget.max_bytes, 20 * MB)
        for _ in range(CHECKS_BETWEEN_RELEASES):
            self.resident = 95 * MB
            self.guard.check()
        self.assertEqual((self.release.call_count, self.budget.max_bytes), (1, 15 * MB))
        self.guard.check()
        self.assertEqual(self.release.call_count, 2)

    def test_the_c_library_of_this_machine_can_be_asked(self) -> None:
        return_free_memory()


if __name__ == "__main__":
    unittest.main()
