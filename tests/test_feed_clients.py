"""Discovery, the rollout platform and gossip as the relay receives them."""

from __future__ import annotations

import socket
import unittest
from unittest import mock

from lanelead.decisions.interface import AttemptOutcome, CastVote, Verdict
from lanelead.protocols import datagrams
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import STAGE, platform, stage_notification, vote_error, vote_response
from tests.scripted_endpoints import ScriptedEndpoint


class Feeds(unittest.TestCase):
    @run_on_uvloop
    async def test_invalid_responses_of_discovery_lead_to_a_snapshot(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
            await env.until(lambda: len(env.list_requests) == 2)
            env.next_responses = [b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{"version', b"noise\r\n\r\n"]
            env.change_state(env.endpoints[1], "leaving")  # reported while the responses are invalid
            await env.until(lambda: not env.next_responses and len(env.list_requests) > 4)
            self.assertEqual(env.list_requests[0], b"/v1/endpoints")
            self.assertIn(b"/v1/endpoints", env.list_requests[2:])
            client = await env.client()
            for number in range(6):
                self.assertIn("D", await client.request(str(number)))
            self.assertEqual(env.endpoints[1].queries, [])

    @run_on_uvloop
    async def test_outcomes_of_votes(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            await env.until(lambda: env.relay.state()["rollout_connected"])
            outcomes: list[tuple[bool, AttemptOutcome]] = []
            decisions = env.relay.driver.decisions
            for answer, outcome in (
                (lambda call: vote_response(call["id"], STAGE), AttemptOutcome.SUCCEEDED),
                (lambda call: vote_error(call["id"], "too_many_calls"), AttemptOutcome.REJECTED),
                (lambda call: vote_error(call["id"], "out_of_date"), AttemptOutcome.NOT_SENT),
                (lambda call: vote_error(call["id"], "unavailable"), AttemptOutcome.ERROR),
                (lambda call: None, AttemptOutcome.TIMED_OUT),
                (lambda call: b'{"jsonrpc":"2.0","id":\xff noise\n', AttemptOutcome.TIMED_OUT),
            ):
                with mock.patch.object(
                    decisions, "rollout_updated", lambda state: outcomes.append((state.answers_vote, state.outcome))
                ):
                    env.respond_to_vote = answer
                    await env.until(lambda: env.relay.state()["rollout_connected"])
                    env.relay.cast_vote(CastVote(1, 1, Verdict.ROLL_BACK))
                    await env.until(lambda: any(answer for answer, _ in outcomes))
                self.assertIn((True, outcome), outcomes)
                outcomes.clear()
            await env.until(lambda: len(env.rollout_writers) == 2)  # the invalid line ended the first connection
            self.assertEqual({call["params"]["verdict"] for call in env.rollout_calls if "params" in call}, {"abort"})

    @run_on_uvloop
    async def test_stage_notifications_apply_at_once(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            await env.until(lambda: env.relay.state()["rollout_connected"])
            stage = {**STAGE, "build": 2, "stage": 0, "phase": "testing", "cap": 0.2}
            env.rollout_writers[0].write(stage_notification(stage))
            exposure = env.relay.driver.decisions._exposure_budget  # type: ignore[attr-defined]
            await env.until(lambda: exposure.rollout.build == 2)
            env.rollout_writers[0].write(stage_notification({**stage, "phase": "recalling", "cap": 0.0}))
            await env.until(lambda: exposure.rollout.exposure_limit == 0.0)

    @run_on_uvloop
    async def test_an_internal_error_on_one_message_ends_no_feed(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
            await env.until(lambda: env.relay.state()["rollout_connected"])
            driver, faults = env.relay.driver, [ValueError("ours")] * 2
            with (
                mock.patch.object(driver, "rollout_read", mock.Mock(side_effect=faults.pop())),
                mock.patch.object(driver, "endpoints_listed", mock.Mock(side_effect=faults.pop())),
            ):
                env.rollout_writers[0].write(stage_notification(STAGE))
                env.change_state(env.endpoints[1], "leaving")
                await env.until(lambda: env.logged("the rollout connection failed") > 0)
                await env.until(lambda: env.logged("an endpoint list could not be applied") > 0)
            await env.until(lambda: env.relay.state()["rollout_connected"] and env.relay.state()["discovery_connected"])
            await env.until(lambda: driver.registry.by_name["u1"].status.value == "draining")

    @run_on_uvloop
    async def test_datagrams_keep_their_length_and_unknown_senders_are_dropped(self) -> None:
        for size in range(255):
            data = datagrams.encode_plain(bytes(size))
            self.assertEqual((datagrams.decode_plain(data), len(data) <= 256), (bytes(size), True))
            self.assertIsNone(datagrams.decode_plain(data[:-1] + bytes([data[-1] ^ 1])))
        with self.assertRaises(ValueError):
            datagrams.encode_plain(bytes(255))
        async with platform(ScriptedEndpoint("u0")) as env:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.sendto(datagrams.encode_plain(b""), ("127.0.0.1", env.gossip_port))
                await env.until(lambda: env.relay.state()["dropped_datagrams"] == 1)
