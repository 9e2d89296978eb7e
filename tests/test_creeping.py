"""When a build is sent back because the whole fleet has grown slower."""

from __future__ import annotations

import unittest

from lanelead.decisions.build_scoring import Fault
from lanelead.decisions.endpoint_state import state_of
from lanelead.decisions.interface import SECOND, AttemptOutcome, RolloutPhase, RolloutState
from tests.fake_decisions_host import IDEMPOTENT_CLASS, FakeHost


class Creeping(unittest.TestCase):
    def test_what_slows_the_earlier_units_alone_is_not_the_builds_doing(self) -> None:
        # roll+mass 3403, 30 relays: 103 of 265 slow at the earlier build's units, none of 112 at its own.
        for old, new, creeps in ((60, 0, False), (60, 60, True), (60, 20, True), (5, 5, False)):
            host = FakeHost(now=20 * SECOND)
            built = host.list_endpoint(2, started_at=1)
            for stage in range(3):
                for unit in (*host.endpoints, built):
                    host.balancer._scoring.record(state_of(unit), IDEMPOTENT_CLASS, {}, host.balancer.now, 100)
                host.balancer._rollout.baseline_rate = 1000.0
                host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
                host.advance(20 * SECOND)
            host.balancer._rollout.baseline_rate = 1000.0
            for unit in (*host.endpoints, built):
                slow = new if unit is built else old
                host.balancer._scoring.record(
                    state_of(unit), IDEMPOTENT_CLASS, {Fault.LATE: slow}, host.balancer.now, 100
                )
            told = RolloutState(2, 2, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
            found = host.balancer._rollout.is_fleet_slowing(told, host.balancer.now)
            self.assertEqual(found, creeps, (old, new))

    def test_units_too_new_to_be_scored_speak_for_no_build(self) -> None:
        # calm+mass 652807931537, 200 relays: a build that slowed all reached all units, back 4.5 s later.
        host = FakeHost(now=20 * SECOND)
        for stage in range(3):
            for unit in host.endpoints:
                host.balancer._scoring.record(state_of(unit), IDEMPOTENT_CLASS, {}, host.balancer.now, 100)
            host.update_rollout(2, stage, RolloutPhase.CANARY, 0.1)
            host.advance(20 * SECOND)
        host.balancer._rollout.baseline_rate = 1000.0
        fresh = host.list_endpoint(2, started_at=host.balancer.now)
        host.advance(2 * SECOND)
        for unit in (*host.endpoints, fresh):
            host.balancer._scoring.record(state_of(unit), IDEMPOTENT_CLASS, {Fault.LATE: 60}, host.balancer.now, 100)
        host.balancer._rollout.baseline_rate = 1000.0
        told = RolloutState(2, 2, RolloutPhase.CANARY, 0.1, 0, False, AttemptOutcome.SUCCEEDED)
        self.assertTrue(host.balancer._rollout.is_fleet_slowing(told, host.balancer.now))
