"""How a relay divides its memory."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lanelead.runtime.process_memory import (
    CONNECTION_BYTES,
    MIN_BUFFERED_BYTES,
    MIN_QUEUE_BYTES,
    QUEUE_OVERHEAD_FACTOR,
    plan_memory,
    resident_bytes,
)

MB = 1_000_000


class Plan(unittest.TestCase):
    @given(limit_mb=st.integers(32, 192), used_mb=st.integers(10, 40), connections=st.integers(100, 1000))
    def test_a_sufficient_limit_is_never_exceeded_by_the_sum_of_the_parts(
        self, limit_mb: int, used_mb: int, connections: int
    ) -> None:
        plan = plan_memory(limit_mb * MB, used_mb * MB, connections)
        queues = plan.receive_queue_bytes + plan.send_queue_bytes
        at_minimum = queues == 2 * MIN_QUEUE_BYTES
        total = used_mb * MB + connections * CONNECTION_BYTES + plan.buffered_bytes + plan.response_bytes
        if not at_minimum:
            total += QUEUE_OVERHEAD_FACTOR * connections * (queues - 2 * MIN_QUEUE_BYTES)
        if plan.is_sufficient:
            self.assertLessEqual(total, limit_mb * MB)

    def test_more_memory_never_gives_a_part_less(self) -> None:
        plans = [plan_memory(limit * MB, 24 * MB, 1000) for limit in range(32, 193)]
        for smaller, larger in itertools.pairwise(plans):
            self.assertLessEqual(smaller.buffered_bytes, larger.buffered_bytes)
            self.assertLessEqual(smaller.receive_queue_bytes, larger.receive_queue_bytes)

    def test_a_limit_below_what_the_process_takes_leaves_the_least_and_says_so(self) -> None:
        plan = plan_memory(16 * MB, 24 * MB, 1000)
        self.assertEqual((plan.buffered_bytes, plan.receive_queue_bytes), (MIN_BUFFERED_BYTES, MIN_QUEUE_BYTES))
        self.assertFalse(plan.is_sufficient)

    def test_a_read_that_empties_a_full_queue_counts_as_one_that_may_have_left_some(self) -> None:
        for limit in (32, 64, 128):
            plan = plan_memory(limit * MB, 24 * MB, 1000)
            self.assertLess(plan.full_queue_bytes, plan.receive_queue_bytes)
            self.assertFalse(plan.is_ample)
        self.assertTrue(plan_memory(192 * MB, 24 * MB, 1000).is_ample)

    def test_this_process_takes_some_memory(self) -> None:
        self.assertGreater(resident_bytes(), 8 * MB)


if __name__ == "__main__":
    unittest.main()
