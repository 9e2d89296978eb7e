"""A relay's readiness of builds by the migration log: as a module, in the driver, and over sockets."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from lanelead.decisions.interface import Attempt, AttemptOutcome, CastVote, Request, Verdict
from lanelead.migrations.readiness import Readiness
from lanelead.migrations.runner import Goal
from lanelead.protocols.feeds import MessageError, RolloutMessage
from lanelead.protocols.migrations import AppendRequest, LeaseRequest, LogEntry, LoggedEntry, MigrationLogPage
from lanelead.settings.migration_settings import BuildRequirements, MigrationPlan, StageNeed
from lanelead.store.migration_store import MigrationStore
from lanelead.testbed.emulators.migration_store import FaultyMigrationStoreServer
from tests.http_relay_environment import (
    Client,
    ScriptedEndpoint,
    relay_environment,
    respond_with,
    run_on_uvloop,
    state_of,
)
from tests.test_driver import REQUEST_CLASSES, RESPONSE, SECOND, DriverHarness
from tests.test_migration_runner import done_entries, plan, step

PLAN: MigrationPlan = plan(
    step("a"),
    step("b", "a"),
    step("end", "b", kind="contract"),
    builds=(
        BuildRequirements(1, [], ["end"], ""),
        BuildRequirements(2, [StageNeed("a", 0), StageNeed("b", 1)], [], ""),
    ),
)
PLAN_ENTRY = LogEntry("plan", text=Goal(PLAN).plan_json)


def page(*entries: LogEntry, since: int = 0) -> MigrationLogPage:
    logged = [LoggedEntry(since + n, 1, "r", 0.0, entry) for n, entry in enumerate(entries, 1)]
    return MigrationLogPage(logged, since + len(logged))


class ReadinessRules(unittest.TestCase):
    def readiness(self, *entries: LogEntry) -> Readiness:
        found = Readiness(SECOND, 0)
        found.page_received(page(PLAN_ENTRY, *entries))
        return found

    def attempt(self, sent: int = 0) -> Attempt:
        request = Request(REQUEST_CLASSES[0], None, None, sent, sent + 2 * SECOND)
        return Attempt(request, None, 0, sent, 2 * SECOND)  # type: ignore[arg-type]

    def test_before_the_log_is_received_only_the_earliest_listed_build_has_traffic(self) -> None:
        readiness = Readiness(SECOND, 0)
        readiness.builds_listed([2, 1, 2])
        self.assertEqual((readiness.accepts_traffic(1), readiness.accepts_traffic(2)), (True, False))
        readiness.page_received(MigrationLogPage([], 0))
        self.assertTrue(readiness.accepts_traffic(2))

    def test_until_the_whole_log_is_received_only_the_earliest_listed_build_has_traffic(self) -> None:
        # Guards against a build whose table is missing, used until a long log was read after a restart (review/9).
        whole = page(PLAN_ENTRY, *done_entries("a", "b"))
        readiness = Readiness(SECOND, 0)
        readiness.builds_listed([1, 2])
        for entries in (whole.entries[:0], whole.entries[:3], whole.entries[3:]):
            self.assertEqual([readiness.accepts_traffic(build) for build in (1, 2)], [True, False])
            self.assertFalse(readiness.allows_promotion(2, 0))
            readiness.page_received(MigrationLogPage(entries, whole.last_seq))
        self.assertEqual([readiness.accepts_traffic(build) for build in (1, 2)], [True, True])

    def test_traffic_waits_for_the_needs_of_the_stage_and_a_promotion_for_those_of_the_next(self) -> None:
        readiness = self.readiness(*done_entries("a"))
        readiness.rollout_changed(2, 0, True)
        self.assertEqual((readiness.accepts_traffic(2), readiness.allows_promotion(2, 0)), (True, False))
        readiness.rollout_changed(2, 1, True)
        self.assertFalse(readiness.accepts_traffic(2))
        readiness.page_received(page(*done_entries("b"), since=3))
        self.assertEqual((readiness.accepts_traffic(2), readiness.allows_promotion(2, 0)), (True, True))

    def test_a_barrier_is_acknowledged_when_no_attempt_is_in_flight_to_builds_without_traffic(self) -> None:
        readiness = self.readiness(*done_entries("a", "b"))
        forbidden, allowed = self.attempt(), self.attempt()
        readiness.attempt_sent(1, forbidden)
        readiness.attempt_sent(2, allowed)
        self.assertEqual(readiness.acknowledgement_due(0), 0)
        readiness.page_received(page(LogEntry("closing", "end"), since=5))
        self.assertEqual((readiness.accepts_traffic(1), readiness.acknowledgement_due(0)), (False, 0))
        readiness.attempt_ended(forbidden, True)
        self.assertEqual(readiness.acknowledgement_due(0), 6)
        readiness.acknowledged_seq = 6
        self.assertEqual(readiness.acknowledgement_due(0), 0)

    def test_an_attempt_with_an_unknown_end_may_still_run_until_its_timeout_and_the_grace(self) -> None:
        readiness = self.readiness(*done_entries("a", "b"), LogEntry("closing", "end"))
        unknown_end = self.attempt(100)
        readiness.attempt_sent(1, unknown_end)
        readiness.attempt_ended(unknown_end, False)
        self.assertEqual(readiness.acknowledgement_due(100 + 3 * SECOND - 1), 0)
        self.assertEqual(readiness.acknowledgement_due(100 + 3 * SECOND), 6)

    def test_a_relay_that_has_just_started_does_not_acknowledge_for_its_earlier_process(self) -> None:
        readiness = Readiness(SECOND, 5 * SECOND)
        readiness.page_received(page(PLAN_ENTRY, *done_entries("a", "b"), LogEntry("closing", "end")))
        self.assertEqual(
            (readiness.acknowledgement_due(5 * SECOND - 1), readiness.acknowledgement_due(5 * SECOND)), (0, 6)
        )

    def test_an_entry_that_breaks_a_rule_is_rejected_and_earlier_entries_are_kept(self) -> None:
        readiness = self.readiness(*done_entries("a"))
        with self.assertRaises(MessageError):
            readiness.page_received(page(LogEntry("done", "b"), since=3))
        self.assertTrue(readiness.accepts_traffic(2))
        readiness.page_received(page(PLAN_ENTRY, *done_entries("a")))  # a reopened stream repeats entries
        self.assertEqual(readiness.log.last_seq, 3)


class ReadinessInTheDriver(unittest.TestCase):
    def setUp(self) -> None:
        self.stage = DriverHarness(readiness=Readiness(SECOND, 0))
        self.driver = self.stage.driver
        self.driver.migrations_read(page(PLAN_ENTRY))
        self.stage.listed("full", *(self.stage.row(n, build=1 + n % 2) for n in range(4)))
        self.driver.rollout_read(RolloutMessage(2, 0, "trial", 1.0, 0.0), False, AttemptOutcome.SUCCEEDED)

    def builds(self, count: int = 40) -> set[int]:
        """Sends `count` requests, and returns the builds to which attempts went."""
        before = len(self.stage.recording_host.sent)
        for _ in range(count):
            self.stage.recording_host.now += SECOND // 10
            self.driver.tick()
            self.stage.ask()
            for _, attempt in self.stage.recording_host.sent[before:]:
                if attempt.outcome is None:
                    self.driver.attempt_ended(attempt, AttemptOutcome.SUCCEEDED, RESPONSE)
        return {
            self.driver.destinations[attempt.endpoint].build for _, attempt in self.stage.recording_host.sent[before:]
        }

    def test_a_build_receives_no_attempt_until_its_step_is_done(self) -> None:
        self.assertEqual(self.builds(), {1})
        self.driver.migrations_read(page(*done_entries("a"), since=1))
        self.stage.run(30 * SECOND)  # until the recent outcomes of the earlier build no longer count
        self.assertIn(2, self.builds())

    def test_a_log_that_became_shorter_is_rejected_and_the_known_log_is_kept(self) -> None:
        self.driver.migrations_read(page(*done_entries("a"), since=1))
        with self.assertRaisesRegex(MessageError, "1 entries, of which 3 were read"):
            self.driver.migrations_read(page(PLAN_ENTRY))
        self.stage.run(30 * SECOND)
        self.assertIn(2, self.builds())

    def test_an_attempt_that_was_chosen_before_a_barrier_is_not_written_after_it(self) -> None:
        self.stage.ask()
        attempt = self.stage.recording_host.sent[-1][1]
        self.assertIsNotNone(self.driver.destination_of(attempt))
        self.driver.migrations_read(page(*done_entries("a", "b"), LogEntry("closing", "end"), since=1))
        self.assertIsNone(self.driver.destination_of(attempt))

    def test_a_vote_to_promote_waits_for_the_next_stage_and_one_to_roll_back_does_not(self) -> None:
        self.driver.migrations_read(page(*done_entries("a"), since=1))
        self.driver.decisions.actions += [CastVote(2, 0, Verdict.PROMOTE), CastVote(2, 0, Verdict.ROLL_BACK)]
        self.driver._run_actions()
        self.assertEqual([vote.verdict for vote in self.stage.recording_host.votes], [Verdict.ROLL_BACK])
        self.assertEqual(self.driver.counters.withheld_votes, 1)
        self.driver.migrations_read(page(*done_entries("b"), since=3))
        self.driver.decisions.actions.append(CastVote(2, 0, Verdict.PROMOTE))
        self.driver._run_actions()
        self.assertEqual(self.stage.recording_host.votes[-1].verdict, Verdict.PROMOTE)

    def test_a_draining_endpoint_stays_draining_when_its_build_becomes_ready(self) -> None:
        self.stage.listed("changes", *(self.stage.row(n, build=2, condition="draining") for n in (1, 3)))
        self.driver.migrations_read(page(*done_entries("a"), since=1))
        self.stage.run(30 * SECOND)
        self.assertEqual(self.builds(), {1})


class ReadinessOverSockets(unittest.TestCase):
    @run_on_uvloop
    async def test_a_relay_withholds_traffic_releases_it_and_acknowledges_a_barrier(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            server = FaultyMigrationStoreServer(MigrationStore(Path(directory, "store.db")))
            port = await server.start(0)
            token = server.store.acquire_lease(LeaseRequest("test", 60_000))

            def write(*entries: LogEntry) -> int:
                for entry in entries:
                    server.entry_written(server.store.append(AppendRequest(token, server.store.last_seq(), entry)))
                return server.store.last_seq()

            write(PLAN_ENTRY)
            old, new = ScriptedEndpoint("old", respond_with(b"old")), ScriptedEndpoint("new", respond_with(b"new"))
            feed = f"steps: {{address: port: {port}, least_wait_ms: 20}}"
            async with relay_environment(old, new, top=feed) as place:
                place.list_(new, "ready", "south", 2)
                place.desk.offer(2)
                client = await Client.to(place)

                async def bodies(count: int) -> set[bytes]:
                    return {(await client.ask("GET", "/x"))[2] for _ in range(count)}

                await asyncio.sleep(0.3)
                self.assertEqual(await bodies(30), {b"old"})
                last = write(*done_entries("a", "b"), LogEntry("closing", "end"))
                place.desk._change(2, 1, "released")
                while b"new" not in (seen := await bodies(5)):
                    await asyncio.sleep(0.05)
                while b"old" in (seen := await bodies(5)):
                    await asyncio.sleep(0.05)
                self.assertEqual(seen, {b"new"})
                while server.store.unacknowledged_relays(last):
                    await asyncio.sleep(0.05)
                server.close()  # the relay goes on with the log that it has
                await asyncio.sleep(0.2)
                self.assertEqual(await bodies(10), {b"new"})
                self.assertFalse(state_of(place)["feeds"]["migrations"])


if __name__ == "__main__":
    unittest.main()
