"""What one turn of the event loop spends on clients, and the end of requests whose clients have gone."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from lanelead.decisions.interface import Attempt, AttemptOutcome, Endpoint, Request
from lanelead.postgres_relay import request_intake
from lanelead.runtime import abandoned_requests
from lanelead.runtime.abandoned_requests import AbandonedRequests
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.fair_work_queue import IDLE_CREDIT_SECONDS, MAX_TURN_SECONDS, FairWorkQueue, WorkShare
from lanelead.runtime.pending_requests import PendingRequest
from tests.abuse.measurement import measure_relay
from tests.abuse.requests import RelayKind
from tests.fake_decisions_host import IDEMPOTENT_CLASS, SECOND
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import platform, statement
from tests.scripted_endpoints import ScriptedEndpoint
from tests.test_driver import DriverHarness

PIECE_SECONDS = 0.002


class ManualClock:
    """A clock that moves only when work is done."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class Worker:
    """A connection that works for a while each time, and whose work items are counted."""

    def __init__(self, name: str, clock: ManualClock, done: list[str], seconds: float = PIECE_SECONDS) -> None:
        self.name, self.share = name, WorkShare()
        self._clock, self._done, self._seconds = clock, done, seconds

    def work(self) -> None:
        self._clock.now += self._seconds
        self._done.append(self.name)


class Queue(unittest.TestCase):
    @run_on_uvloop
    async def test_a_turn_ends_after_its_time_and_all_work_is_done_in_later_turns(self) -> None:
        # Guards against hundreds of connections that are handled in one turn of the event loop.
        clock, done = ManualClock(), list[str]()
        queue = FairWorkQueue(asyncio.get_running_loop(), clock, clock)
        workers = [Worker(str(number), clock, done) for number in range(100)]
        for worker in workers:
            queue.run(worker.share, worker.work)
        per_turn = []
        while len(done) < 100:
            before = len(done)
            await asyncio.sleep(0)
            per_turn.append(len(done) - before)
        self.assertLessEqual(max(per_turn) * PIECE_SECONDS, MAX_TURN_SECONDS + PIECE_SECONDS)
        self.assertEqual(done, [worker.name for worker in workers])

    @run_on_uvloop
    async def test_a_connection_that_has_used_little_goes_before_those_at_full_speed(self) -> None:
        # Guards against regular clients that wait for all work of clients at full speed.
        clock, done = ManualClock(), list[str]()
        queue = FairWorkQueue(asyncio.get_running_loop(), clock, clock)
        heavy = [Worker("heavy", clock, done) for _ in range(50)]
        for _ in range(60):
            for worker in heavy:
                queue.run(worker.share, worker.work)
            await asyncio.sleep(0)
        regular = Worker("regular", clock, done)
        queue.run(regular.share, regular.work)
        before = len(done)
        while "regular" not in done:
            await asyncio.sleep(0)
        self.assertLess(done.index("regular") - before, 10)

    @run_on_uvloop
    async def test_new_connections_do_not_starve_an_old_one(self) -> None:
        # Guards against a virtual time that does not advance while each new connection brings work.
        clock, done = ManualClock(), list[str]()
        queue = FairWorkQueue(asyncio.get_running_loop(), clock, clock)
        old = Worker("old", clock, done, seconds=0.02)
        queue.run(old.share, old.work)
        await asyncio.sleep(0)
        queue.run(Worker("new", clock, done).share, lambda: None)
        for _ in range(1000):
            while len(queue) < 50:  # a new connection for each that is done
                worker = Worker("new", clock, done)
                queue.run(worker.share, worker.work)
            queue.run(old.share, old.work)
            await asyncio.sleep(0)
        self.assertGreater(done.count("old"), 3)

    @run_on_uvloop
    async def test_time_in_which_other_processes_run_counts_for_no_connection(self) -> None:
        # Guards against regular clients that wait for seconds since the relay lost the processor in their work.
        done = list[str]()

        def use_processor(seconds: float = PIECE_SECONDS / 2) -> None:
            ends_at = time.thread_time() + seconds
            while time.thread_time() < ends_at:
                pass
            done.append("new")

        def lose_processor() -> None:
            time.sleep(0.03)
            done.append("interrupted")

        queue = FairWorkQueue(asyncio.get_running_loop())
        queue.run(WorkShare(), lambda: use_processor(2 * IDLE_CREDIT_SECONDS))
        interrupted = WorkShare()
        for times, work in ((1, lose_processor), (2, lambda: done.append("interrupted"))):
            queue.run(interrupted, work)
            others = done.count("new")
            while done.count("interrupted") < times and done.count("new") < others + 200:
                while len(queue) < 50:  # a new connection for each that is done
                    queue.run(WorkShare(), use_processor)
                await asyncio.sleep(0)
        self.assertEqual(done.count("interrupted"), 2)

    @run_on_uvloop
    async def test_work_that_fails_holds_up_no_other(self) -> None:
        clock, done = ManualClock(), list[str]()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        queue = FairWorkQueue(loop, clock, clock)
        workers = [Worker(str(number), clock, done) for number in range(10)]

        def fail() -> None:
            clock.now += 1.0
            raise ValueError

        for number, worker in enumerate(workers):
            queue.run(worker.share, fail if number == 5 else worker.work)
        while len(done) < 9:
            await asyncio.sleep(0)


class Abandoned(unittest.TestCase):
    @run_on_uvloop
    async def test_many_requests_are_forbidden_further_attempts_at_once_and_ended_in_several_turns(self) -> None:
        # Guards against one turn that cancels thousands of attempts when many clients leave together.
        ended: list[PendingRequest] = []
        turns: list[int] = []
        turn = 0

        def end(pending: PendingRequest) -> None:
            finish = time.monotonic() + MAX_TURN_SECONDS / 2
            while time.monotonic() < finish:
                pass
            ended.append(pending)
            turns.append(turn)

        abandoned = AbandonedRequests(asyncio.get_running_loop(), end, lambda: None)
        requests = [PendingRequest(str(number), None, lambda *_: None) for number in range(50)]
        for pending in requests:
            pending.request = Request(IDEMPOTENT_CLASS, None, None, 0, SECOND)
            pending.request.attempts.append(Attempt(pending.request, Endpoint(1), 0, 0, SECOND))
        abandoned.add(requests)
        self.assertFalse(any(pending.accepts_attempts for pending in requests))
        while len(ended) < 50:
            turn += 1
            await asyncio.sleep(0)
        self.assertEqual(ended, requests)
        self.assertLessEqual(max(turns.count(number) for number in turns), 3)

    @run_on_uvloop
    async def test_the_end_of_one_attempt_takes_no_time_for_requests_whose_clients_have_left(self) -> None:
        # Guards against attempts that are started for them one after another, and never sent: 119 in one turn.
        harness = DriverHarness()
        harness.ask()
        requests = [harness.ask() for _ in range(100)]
        abandoned = AbandonedRequests(asyncio.get_running_loop(), harness.driver.client_left, lambda: None)
        with mock.patch.object(abandoned_requests, "MAX_TURN_SECONDS", 0.0):
            abandoned.add(requests)
            harness.end(harness.recording_host.sent[0][1], AttemptOutcome.SUCCEEDED)
        self.assertEqual(harness.driver.counters.outcomes, {AttemptOutcome.SUCCEEDED: 1})


class LeavingClients(unittest.TestCase):
    @run_on_uvloop
    async def test_a_request_whose_client_has_closed_already_is_not_sent(self) -> None:
        # Guards against requests that are read only after their client has gone.
        async with platform(ScriptedEndpoint("u0")) as env:
            for number in range(5):
                env.raw_client(statement(f"{number}a"), statement(f"{number}b")).close()
            regular = await env.client()
            self.assertIn("D", await regular.request("ff"))
            self.assertEqual([query for query in env.endpoints[0].queries if b"id=ff" not in query], [])

    @run_on_uvloop
    async def test_no_command_is_handled_before_the_end_of_what_has_arrived_is_read(self) -> None:
        # Guards against commands whose client has gone, while its close is not visible yet.
        with (
            mock.patch.object(request_intake, "READ_BUFFER_BYTES", 100),
            mock.patch.object(request_intake, "peer_has_closed", return_value=False),
        ):
            async with platform(ScriptedEndpoint("u0")) as env:
                env.raw_client(*(statement(f"{number:x}") for number in range(60))).close()
                await env.until(lambda: env.logged("listening") == 1 and env.relay.listener._sock is not None)
                await asyncio.sleep(0.2)
                self.assertEqual((env.relay.listener.clients, env.relay.driver.counters.received), ({}, 0))

    @run_on_uvloop
    async def test_no_attempt_of_a_request_begins_once_its_client_has_gone(self) -> None:
        # Guards against attempts that were started before the close and wait for a connection.
        endpoint = ScriptedEndpoint("u0")
        endpoint.accepts.clear()
        async with platform(endpoint) as env:
            client = await env.client()
            client.send("1a")
            await env.until(lambda: bool(env.relay.upstream._in_flight))
            attempt: Attempt = next(iter(env.relay.upstream._in_flight))
            env.relay.driver.pending[attempt.request].accepts_attempts = False
            self.assertIsNone(env.relay.driver.destination_of(attempt))
            endpoint.accepts.set()
            self.assertEqual((await client.response())["C"], b"53300")
            self.assertEqual(endpoint.queries, [])

    @run_on_uvloop
    async def test_clients_that_leave_at_full_speed_have_nothing_sent_afterwards(self) -> None:
        # Guards against a close that is noticed only once everything before it was handled.
        measured = await measure_relay(RelayKind.POSTGRES, "leaves after 0.3 s, medium requests", 3.0)
        self.assertEqual(measured.faults(), [], measured.line())


class Timers(unittest.TestCase):
    def test_timers_that_are_due_together_are_handled_in_several_calls(self) -> None:
        # Guards against one turn for the timeouts of thousands of requests.
        now = 0
        decisions = mock.Mock(actions=[], now=0)

        def use_two_milliseconds(target: object) -> None:
            nonlocal now
            now += 20

        decisions.timer_fired.side_effect = use_two_milliseconds
        driver = DecisionDriver(
            decisions=decisions,
            host=mock.Mock(),
            clock=lambda: now,
            request_classes=[],
            limits=mock.Mock(),
            max_pending=1,
            max_retry_after=0,
        )
        for _ in range(100):
            driver._timers.add(0, None)
        calls = 0
        while driver.next_timer() is not None:
            before = decisions.timer_fired.call_count
            driver.tick()
            self.assertLessEqual(decisions.timer_fired.call_count - before, 3)
            calls += 1
        self.assertEqual((decisions.timer_fired.call_count, calls > 30), (100, True))
