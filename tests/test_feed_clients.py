"""Discovery, the rollout platform and gossip as the relay receives them."""

from __future__ import annotations

import socket
import unittest
from unittest import mock

from lanelead.decisions.interface import AttemptOutcome, CastVote, Verdict
from lanelead.protocols import datagrams
from tests.postgres_platform import STAGE, platform, stage_notification, vote_error, vote_response
from tests.scripted_endpoints import ScriptedEndpoint
from tests.town import live


class Feeds(unittest.TestCase):
    @live
    async def test_what_discovery_spoils_leads_to_a_whole_list(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as place:
            await place.until(lambda: len(place.list_requests) == 2)
            place.next_responses = [b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{"version', b"noise\r\n\r\n"]
            place.change_state(place.endpoints[1], "leaving")  # told while nothing could be read
            await place.until(lambda: not place.next_responses and len(place.list_requests) > 4)
            self.assertEqual(place.list_requests[0], b"/v1/endpoints")
            self.assertIn(b"/v1/endpoints", place.list_requests[2:])
            client = await place.client()
            for number in range(6):
                self.assertIn("D", await client.request(str(number)))
            self.assertEqual(place.endpoints[1].queries, [])

    @live
    async def test_what_came_of_a_vote(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            await place.until(lambda: place.relay.state()["rollout_connected"])
            heard: list[tuple[bool, AttemptOutcome]] = []
            decisions = place.relay.driver.decisions
            for answer, outcome in (
                (lambda call: vote_response(call["id"], STAGE), AttemptOutcome.SUCCEEDED),
                (lambda call: vote_error(call["id"], "too_many_calls"), AttemptOutcome.REJECTED),
                (lambda call: vote_error(call["id"], "out_of_date"), AttemptOutcome.NOT_SENT),
                (lambda call: vote_error(call["id"], "unavailable"), AttemptOutcome.ERROR),
                (lambda call: None, AttemptOutcome.TIMED_OUT),
                (lambda call: b'{"jsonrpc":"2.0","id":\xff noise\n', AttemptOutcome.TIMED_OUT),
            ):
                with mock.patch.object(
                    decisions, "rollout_updated", lambda news: heard.append((news.answers_vote, news.outcome))
                ):
                    place.answer_vote = answer
                    await place.until(lambda: place.relay.state()["rollout_connected"])
                    place.relay.cast_vote(CastVote(1, 1, Verdict.ROLL_BACK))
                    await place.until(lambda: any(answer for answer, _ in heard))
                self.assertIn((True, outcome), heard)
                heard.clear()
            await place.until(lambda: len(place.rollout_writers) == 2)  # the spoilt connection was left
            self.assertEqual({call["params"]["verdict"] for call in place.rollout_calls if "params" in call}, {"abort"})

    @live
    async def test_news_counts_as_soon_as_it_comes(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            await place.until(lambda: place.relay.state()["rollout_connected"])
            news = {**STAGE, "build": 2, "stage": 0, "phase": "testing", "cap": 0.2}
            place.rollout_writers[0].write(stage_notification(news))
            exposure = place.relay.driver.decisions._exposure_budget  # type: ignore[attr-defined]
            await place.until(lambda: exposure.rollout.build == 2)
            place.rollout_writers[0].write(stage_notification({**news, "phase": "recalling", "cap": 0.0}))
            await place.until(lambda: exposure.rollout.exposure_limit == 0.0)

    @live
    async def test_a_fault_of_ours_on_one_line_or_list_ends_no_feed(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as place:
            await place.until(lambda: place.relay.state()["rollout_connected"])
            driver, faults = place.relay.driver, [ValueError("ours")] * 2
            with (
                mock.patch.object(driver, "rollout_read", mock.Mock(side_effect=faults.pop())),
                mock.patch.object(driver, "endpoints_listed", mock.Mock(side_effect=faults.pop())),
            ):
                place.rollout_writers[0].write(stage_notification(STAGE))
                place.change_state(place.endpoints[1], "leaving")
                await place.until(lambda: place.logged("the rollout connection failed") > 0)
                await place.until(lambda: place.logged("an endpoint list could not be applied") > 0)
            await place.until(
                lambda: place.relay.state()["rollout_connected"] and place.relay.state()["discovery_connected"]
            )
            await place.until(lambda: driver.registry.by_name["u1"].status.value == "draining")

    @live
    async def test_letters_keep_their_length_and_strangers_are_dropped(self) -> None:
        for size in range(255):
            data = datagrams.encode_plain(bytes(size))
            self.assertEqual((datagrams.decode_plain(data), len(data) <= 256), (bytes(size), True))
            self.assertIsNone(datagrams.decode_plain(data[:-1] + bytes([data[-1] ^ 1])))
        with self.assertRaises(ValueError):
            datagrams.encode_plain(bytes(255))
        async with platform(ScriptedEndpoint("u0")) as place:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.sendto(datagrams.encode_plain(b""), ("127.0.0.1", place.gossip_port))
                await place.until(lambda: place.relay.state()["dropped_datagrams"] == 1)
