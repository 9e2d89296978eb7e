"""What crosses on the feeds: lists, news, votes and a new configuration: docs/crossings.md has the table."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from lanelead.decisions.interface import AttemptOutcome, CastVote, Verdict
from lanelead.http import serialization
from lanelead.postgres_relay import discovery_client
from lanelead.postgres_relay import service as services
from lanelead.postgres_relay.config import load
from lanelead.protocols.feeds import MessageError, decode
from lanelead.protocols.platform import RpcMessage
from tests.postgres_platform import SETTINGS, STAGE, Platform, platform, stage_notification, vote_response
from tests.scripted_endpoints import ScriptedEndpoint
from tests.town import live

TRIAL = {"build": 2, "stage": 0, "phase": "testing", "cap": 0.2, "age_ms": 10}


def condition(place: Platform, name: str) -> str:
    return place.relay.driver.registry.by_name[name].status.value


def rollout_state(place: Platform) -> tuple[int, float]:
    """The build and the cap that the decisions go by."""
    news = place.relay.driver.decisions._exposure_budget.rollout  # type: ignore[attr-defined]
    return news.build, news.exposure_limit


class Starting(unittest.TestCase):
    @live
    async def test_without_a_list_it_listens_and_refuses_harmlessly(self) -> None:
        with mock.patch.object(services, "FIRST_LIST_TIMEOUT_SECONDS", 0.05):
            async with platform(ScriptedEndpoint("u0"), known=False, silent=True) as place:
                client = await place.client()
                self.assertEqual((await client.request("1a", "file"))["C"], b"53300")
                self.assertEqual(place.logged("no endpoint list yet"), 1)
                self.assertLessEqual(len(place.list_requests), 2)  # it did not wait for calls to go by
                place.discovery_responds.set()
                await place.until(lambda: place.relay.state()["endpoints"] == 1)
                self.assertIn("D", await client.request("2a", "file"))

    @live
    async def test_sigterm_before_the_first_list_ends_it_unheard(self) -> None:
        with mock.patch.object(services, "FIRST_LIST_TIMEOUT_SECONDS", 60):
            async with platform(ScriptedEndpoint("u0"), known=False, silent=True, listening=False) as place:
                place.relay.stop()
                await place.run
                self.assertEqual((place.logged("listening"), place.logged("stopped")), (0, 1))


class Watches(unittest.TestCase):
    @live
    async def test_a_silent_watch_is_given_up_and_the_whole_list_is_asked_for(self) -> None:
        with mock.patch.multiple(discovery_client, WATCH_HOLD_SECONDS=0.1, RESPONSE_GRACE_SECONDS=0.2):
            async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as place:
                await place.until(lambda: place.relay.state()["discovery_connected"])
                place.discovery_responds.clear()
                place.change_state(place.endpoints[1], "leaving")  # told on no watch
                await place.until(lambda: place.logged("feed down") == 1)
                place.discovery_responds.set()
                await place.until(lambda: condition(place, "u1") == "draining")

    @live
    async def test_an_old_copy_turns_no_unit_back(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as place:
            await place.until(lambda: place.relay.state()["discovery_connected"])
            place.change_state(place.endpoints[1], "leaving")
            await place.until(lambda: condition(place, "u1") == "draining")
            place.states["u1"], place.version = "active", 1
            old = [
                serialization.response(200, (), place.list_of(place.endpoints, bool(full)), keep=False)
                for full in (0, 1, 1)
            ]
            place.states["u1"], place.version = "leaving", 2
            place.next_responses = list(old)
            with mock.patch.object(
                place.relay.driver, "endpoints_listed", wraps=place.relay.driver.endpoints_listed
            ) as taken:
                await place.until(lambda: not place.next_responses)
                await place.until(lambda: place.relay.state()["discovery_connected"] and taken.call_count > 0)
            self.assertEqual({call.args[0].version for call in taken.call_args_list}, {2})
            self.assertEqual(condition(place, "u1"), "draining")

    @live
    async def test_a_discovery_that_counts_anew_is_believed_after_a_while(self) -> None:
        with mock.patch.object(discovery_client, "VERSION_RESET_SECONDS", 0.3):
            async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as place:
                place.change_state(place.endpoints[0], "active")
                await place.until(lambda: place.relay._list_state.version == 2)
                place.states["u1"], place.version = "leaving", 1
                place.next_responses = [b"noise\r\n\r\n"]  # its next answer is a whole list, of an older version
                await place.until(lambda: condition(place, "u1") == "draining")
                self.assertEqual(place.logged("discovery restarted its versions"), 1)

    @live
    async def test_a_list_may_be_indented_and_come_in_pieces(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as place:
            await place.until(lambda: place.relay.state()["discovery_connected"])
            place.states["u1"], place.version = "leaving", 10
            body = json.dumps(json.loads(place.list_of(place.endpoints)), indent=2).encode()
            place.states["u1"], place.version = "active", 1
            place.next_responses = [serialization.response(200, (), body, keep=False)]
            with mock.patch("lanelead.http.client.BUFFER", 7):
                place.change_state(place.endpoints[0], "active")
                await place.until(lambda: condition(place, "u1") == "draining")

    @live
    async def test_a_list_of_some_mebibytes_is_read(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as place:
            await place.until(lambda: place.relay.state()["discovery_connected"])
            place.states["u1"], place.version = "leaving", 10
            body = place.list_of(place.endpoints).replace(b'"north"', b'"%s"' % (b"z" * 1_100_000))
            place.states["u1"], place.version = "active", 1
            place.next_responses = [serialization.response(200, (), body, keep=False)]
            place.change_state(place.endpoints[0], "active")
            await place.until(lambda: condition(place, "u1") == "draining")

    @live
    async def test_half_a_body_changes_nothing(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as place:
            await place.until(lambda: place.relay.state()["discovery_connected"])
            place.states["u1"] = "leaving"
            text = serialization.response(200, (), place.list_of(place.endpoints), keep=False)
            place.states["u1"] = "active"
            place.next_responses = [text[:-40]]
            place.change_state(place.endpoints[0], "active")
            await place.until(lambda: place.logged("feed down") == 1)
            await place.until(lambda: place.relay.state()["discovery_connected"])
            self.assertEqual(condition(place, "u1"), "ready")


class Reloads(unittest.TestCase):
    @live
    async def test_the_earlier_discovery_counts_until_the_new_one_has_spoken(self) -> None:
        async with (
            platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as old,
            platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as new,
        ):
            await old.until(lambda: old.relay.state()["discovery_connected"])
            new.discovery_responds.clear()
            old.write(new.ports())
            old.relay.reload()
            await new.until(lambda: len(new.list_requests) >= 3)  # it was asked, and says nothing
            old.change_state(old.endpoints[1], "leaving")  # told by the earlier one alone
            await old.until(lambda: condition(old, "u1") == "draining")
            new.version, new.states["u1"] = 5, "leaving"
            new.discovery_responds.set()
            await old.until(lambda: old.relay._list_state.version == 5)
            asked = len(old.list_requests)
            old.change_state(old.endpoints[0], "leaving")  # the earlier one's watch ended
            await old.until(lambda: old.relay.state()["discovery_connected"])
            self.assertEqual((len(old.list_requests), condition(old, "u0")), (asked, "ready"))

    @live
    async def test_the_earlier_desk_counts_until_the_new_one_has_spoken_and_not_after(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as old, platform(ScriptedEndpoint("u0")) as new:
            await old.until(lambda: old.relay.state()["rollout_connected"])
            new.sends_stage = False
            old.write(new.ports())
            old.relay.reload()
            await old.until(lambda: len(new.rollout_writers) == 2)
            old.rollout_writers[0].write(stage_notification(TRIAL))
            await old.until(lambda: rollout_state(old) == (2, 0.2))
            gone = {**TRIAL, "phase": "recalled", "cap": 0.0}
            with mock.patch.object(old.relay.driver, "rollout_read", wraps=old.relay.driver.rollout_read) as news:
                # In one breath: the new desk has spoken, and the earlier one says what was so before.
                earlier, newest = list(old.relay._rollout_handover._running)
                newest._handle_message(decode(stage_notification(gone), RpcMessage))
                self.assertEqual(rollout_state(old), (2, 0.0))
                old.rollout_writers[0].write(stage_notification(TRIAL))
                await old.until(lambda: earlier._sock is None)
                self.assertEqual([call.args[0].phase for call in news.call_args_list], ["withdrawn"])

    @live
    async def test_a_vote_under_way_at_the_move_gets_its_end(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as old, platform(ScriptedEndpoint("u0")) as new:
            await old.until(lambda: old.relay.state()["rollout_connected"])
            old.answer_vote = lambda call: None
            with mock.patch.object(old.relay.driver, "rollout_read", wraps=old.relay.driver.rollout_read) as news:
                old.relay.cast_vote(CastVote(1, 1, Verdict.ROLL_BACK))
                await old.until(lambda: any("params" in call for call in old.rollout_calls))
                old.write(new.ports())
                old.relay.reload()
                await old.until(lambda: (None, True, AttemptOutcome.TIMED_OUT) in [c.args for c in news.call_args_list])
                await old.until(lambda: old.relay.state()["rollout_connected"])
                new.answer_vote = lambda call: vote_response(call["id"], STAGE)
                old.relay.cast_vote(CastVote(1, 1, Verdict.ROLL_BACK))
                await old.until(
                    lambda: any(c.args[1:] == (True, AttemptOutcome.SUCCEEDED) for c in news.call_args_list)
                )

    @live
    async def test_many_moves_leave_one_feed_of_each_kind(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            for _ in range(12):
                place.relay.reload()
            await place.until(
                lambda: place.relay.state()["rollout_connected"] and place.relay.state()["discovery_connected"]
            )
            relay = place.relay
            await place.until(
                lambda: (len(relay._rollout_handover._running), len(relay._discovery_handover._running)) == (1, 1)
            )
            await place.until(lambda: len(relay._background_tasks) <= 3)  # two feeds, and the sweep

    @live
    async def test_a_move_while_it_stops_is_followed_and_one_after_that_is_not(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as old, platform(ScriptedEndpoint("u0")) as new:
            await old.until(lambda: old.relay.state()["rollout_connected"])
            old.write(new.ports())
            old.relay.stop()
            await old.until(lambda: old.logged("draining") == 1)
            old.relay.reload()
            await old.until(lambda: len(new.rollout_writers) == 2)
            await old.run
            old.relay.reload()
            self.assertEqual(len(old.relay._background_tasks), 0)
            self.assertEqual(old.logged("configuration reloaded"), 1)

    @live
    async def test_what_else_has_changed_in_the_file_is_said_and_left(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            path = place.folder / "config.json"
            config = json.loads(path.read_text())
            config["limits"]["sockets"] = 99
            config["settings"]["allowed"] = {**config["settings"]["allowed"], "attemptsCap": 1}
            path.write_text(json.dumps(config))
            place.relay.reload()
            said = [c.kwargs for c in place.log.calls if c.kwargs.get("event") == "configuration reloaded"]
            self.assertEqual(said[0]["ignored_until_restart"], ["limits", "settings.allowed"])

    @live
    async def test_a_file_that_is_gone_or_half_written_leaves_all_as_it_was(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            path = place.folder / "config.json"
            whole = path.read_text()
            feeds_before = place.relay._rollout_handover.newest, place.relay._discovery_handover.newest
            for text in (None, whole[: len(whole) // 2], whole.replace('"openCap": 1000', '"openCap": 0')):
                path.unlink() if text is None else path.write_text(text)
                place.relay.reload()
            self.assertEqual(place.logged("configuration not reloaded: the old one stays in force"), 3)
            self.assertEqual(
                (place.relay._rollout_handover.newest, place.relay._discovery_handover.newest), feeds_before
            )
            self.assertIn("D", await (await place.client()).request("1a"))


class InvalidMessages(unittest.TestCase):
    @live
    async def test_news_of_a_stage_that_the_settings_do_not_have_is_dropped(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            await place.until(lambda: place.relay.state()["rollout_connected"])
            place.rollout_writers[0].write(stage_notification({**TRIAL, "stage": 7}))
            await place.until(lambda: place.logged("feed down") == 1)
            self.assertEqual(rollout_state(place)[0], 1)
            await place.until(lambda: place.relay.state()["rollout_connected"])


class Settings(unittest.TestCase):
    def _load(self, **changes: Any) -> None:
        settings = json.loads(json.dumps(SETTINGS))
        for path, value in changes.items():
            *groups, last = path.split("__")
            place = settings
            for group in groups:
                place = place[int(group)] if isinstance(place, list) else place[group]
            if value is None:
                del place[last]
            else:
                place[last] = value
        config = {
            "name": "n",
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "seed": "7f",
            "platform": {"address": "127.0.0.1:3", "news": STAGE},
            "settings": settings,
        }
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "c.json"
            file.write_text(json.dumps(config))
            load(str(file))

    def test_what_is_missing_or_out_of_range_is_refused_by_its_name(self) -> None:
        self._load()
        for path, value in (
            ("allowed__connectTimeoutMs", None),
            ("allowed__connectTimeoutMs", 0),
            ("allowed__openCap", None),
            ("allowed__attemptsCap", 0),
            ("familyInfo__apiTimeoutMs", None),
            ("familyInfo__voteTtlMs", -1),
            ("familyInfo__mostShares", [0.2]),
            ("familyInfo__shares", [0.1, 7]),
            ("requestClasses", []),
            ("requestClasses__0__aimMs", None),
            ("requestClasses__1__deadlineMs", 0),
            ("requestClasses__1__repeat", "sometimes"),
            ("requestClasses__1__name", "read"),
            ("requestClasses__0__aimMs", "soon"),
            ("accounts__0__quotaPerS", -5),
            ("me", 2),
            ("instances", 0),
            ("familyInfo__shares", ["few"]),
            ("contract__coldMs", -1),
            ("contract__fallMultiple", 0),
        ):
            with self.assertRaises(MessageError) as caught:
                self._load(**{path: value})
            last = path.rpartition("__")[2]
            named = {"repeat": "sometimes", "shares": "mostShares"}.get(last, last)
            named = "few" if value == ["few"] else named
            self.assertIn(named, str(caught.exception), (path, value))

    def test_what_may_be_missing_has_a_default(self) -> None:
        for path in ("allowed__connIdleMs", "accounts", "loadReport", "zone", "contract__coldFrom", "tickMs"):
            self._load(**{path: None})
