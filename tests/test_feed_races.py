"""Races on the feeds between endpoint lists, rollout stages, votes and reloads, and checks of the settings.

docs/crossings.md has the table of cases.
"""

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
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import SETTINGS, STAGE, Platform, platform, stage_notification, vote_response
from tests.scripted_endpoints import ScriptedEndpoint

CANARY_STAGE = {"build": 2, "stage": 0, "phase": "testing", "cap": 0.2, "age_ms": 10}


def endpoint_status(env: Platform, name: str) -> str:
    """Returns the status of an endpoint in the relay's registry."""
    return env.relay.driver.registry.by_name[name].status.value


def rollout_state(env: Platform) -> tuple[int, float]:
    """Returns the rollout's build and the exposure limit that the decisions use."""
    rollout = env.relay.driver.decisions._exposure_budget.rollout  # type: ignore[attr-defined]
    return rollout.build, rollout.exposure_limit


class StartWithoutList(unittest.TestCase):
    @run_on_uvloop
    async def test_without_a_list_it_listens_and_rejects_requests(self) -> None:
        with mock.patch.object(services, "FIRST_LIST_TIMEOUT_SECONDS", 0.05):
            async with platform(ScriptedEndpoint("u0"), known=False, silent=True) as env:
                client = await env.client()
                self.assertEqual((await client.request("1a", "file"))["C"], b"53300")
                self.assertEqual(env.logged("no endpoint list yet"), 1)
                # The relay listens without waiting until more calls to discovery have timed out.
                self.assertLessEqual(len(env.list_requests), 2)
                env.discovery_responds.set()
                await env.until(lambda: env.relay.state()["endpoints"] == 1)
                self.assertIn("D", await client.request("2a", "file"))

    @run_on_uvloop
    async def test_sigterm_before_the_first_list_stops_it_without_listening(self) -> None:
        with mock.patch.object(services, "FIRST_LIST_TIMEOUT_SECONDS", 60):
            async with platform(ScriptedEndpoint("u0"), known=False, silent=True, listening=False) as env:
                env.relay.stop()
                await env.run
                self.assertEqual((env.logged("listening"), env.logged("stopped")), (0, 1))


class Watches(unittest.TestCase):
    @run_on_uvloop
    async def test_a_watch_that_times_out_is_followed_by_a_snapshot(self) -> None:
        with mock.patch.multiple(discovery_client, WATCH_HOLD_SECONDS=0.1, RESPONSE_GRACE_SECONDS=0.2):
            async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
                await env.until(lambda: env.relay.state()["discovery_connected"])
                env.discovery_responds.clear()
                env.change_state(env.endpoints[1], "leaving")  # no watch reports this change
                await env.until(lambda: env.logged("feed down") == 1)
                env.discovery_responds.set()
                await env.until(lambda: endpoint_status(env, "u1") == "draining")

    @run_on_uvloop
    async def test_an_outdated_list_does_not_make_a_draining_endpoint_ready(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
            await env.until(lambda: env.relay.state()["discovery_connected"])
            env.change_state(env.endpoints[1], "leaving")
            await env.until(lambda: endpoint_status(env, "u1") == "draining")
            env.states["u1"], env.version = "active", 1
            old = [
                serialization.response(200, (), env.list_of(env.endpoints, bool(full)), keep=False)
                for full in (0, 1, 1)
            ]
            env.states["u1"], env.version = "leaving", 2
            env.next_responses = list(old)
            with mock.patch.object(
                env.relay.driver, "endpoints_listed", wraps=env.relay.driver.endpoints_listed
            ) as endpoints_listed:
                await env.until(lambda: not env.next_responses)
                await env.until(lambda: env.relay.state()["discovery_connected"] and endpoints_listed.call_count > 0)
            self.assertEqual({call.args[0].version for call in endpoints_listed.call_args_list}, {2})
            self.assertEqual(endpoint_status(env, "u1"), "draining")

    @run_on_uvloop
    async def test_restarted_versions_are_accepted_after_the_reset_time(self) -> None:
        with mock.patch.object(discovery_client, "VERSION_RESET_SECONDS", 0.3):
            async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
                env.change_state(env.endpoints[0], "active")
                await env.until(lambda: env.relay._list_state.version == 2)
                env.states["u1"], env.version = "leaving", 1
                env.next_responses = [b"noise\r\n\r\n"]  # leads to a snapshot, whose version is older
                await env.until(lambda: endpoint_status(env, "u1") == "draining")
                self.assertEqual(env.logged("discovery restarted its versions"), 1)

    @run_on_uvloop
    async def test_an_indented_list_received_in_small_pieces_is_read(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
            await env.until(lambda: env.relay.state()["discovery_connected"])
            env.states["u1"], env.version = "leaving", 10
            body = json.dumps(json.loads(env.list_of(env.endpoints)), indent=2).encode()
            env.states["u1"], env.version = "active", 1
            env.next_responses = [serialization.response(200, (), body, keep=False)]
            with mock.patch("lanelead.http.client.BUFFER_BYTES", 7):
                env.change_state(env.endpoints[0], "active")
                await env.until(lambda: endpoint_status(env, "u1") == "draining")

    @run_on_uvloop
    async def test_a_list_of_more_than_a_mebibyte_is_read(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
            await env.until(lambda: env.relay.state()["discovery_connected"])
            env.states["u1"], env.version = "leaving", 10
            body = env.list_of(env.endpoints).replace(b'"north"', b'"%s"' % (b"z" * 1_100_000))
            env.states["u1"], env.version = "active", 1
            env.next_responses = [serialization.response(200, (), body, keep=False)]
            env.change_state(env.endpoints[0], "active")
            await env.until(lambda: endpoint_status(env, "u1") == "draining")

    @run_on_uvloop
    async def test_a_truncated_body_changes_nothing(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
            await env.until(lambda: env.relay.state()["discovery_connected"])
            env.states["u1"] = "leaving"
            text = serialization.response(200, (), env.list_of(env.endpoints), keep=False)
            env.states["u1"] = "active"
            env.next_responses = [text[:-40]]
            env.change_state(env.endpoints[0], "active")
            await env.until(lambda: env.logged("feed down") == 1)
            await env.until(lambda: env.relay.state()["discovery_connected"])
            self.assertEqual(endpoint_status(env, "u1"), "ready")


class Reloads(unittest.TestCase):
    @run_on_uvloop
    async def test_the_earlier_discovery_is_followed_until_the_new_one_responds(self) -> None:
        async with (
            platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as old,
            platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as new,
        ):
            await old.until(lambda: old.relay.state()["discovery_connected"])
            new.discovery_responds.clear()
            old.write(new.ports())
            old.relay.reload()
            await new.until(lambda: len(new.list_requests) >= 3)  # the new discovery gets calls, and does not respond
            old.change_state(old.endpoints[1], "leaving")  # only the earlier discovery reports this
            await old.until(lambda: endpoint_status(old, "u1") == "draining")
            new.version, new.states["u1"] = 5, "leaving"
            new.discovery_responds.set()
            await old.until(lambda: old.relay._list_state.version == 5)
            calls_before = len(old.list_requests)
            old.change_state(old.endpoints[0], "leaving")  # not seen: the earlier client has been stopped
            await old.until(lambda: old.relay.state()["discovery_connected"])
            self.assertEqual((len(old.list_requests), endpoint_status(old, "u0")), (calls_before, "ready"))

    @run_on_uvloop
    async def test_the_earlier_rollout_platform_is_followed_until_the_new_one_sends_a_stage(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as old, platform(ScriptedEndpoint("u0")) as new:
            await old.until(lambda: old.relay.state()["rollout_connected"])
            new.sends_stage = False
            old.write(new.ports())
            old.relay.reload()
            await old.until(lambda: len(new.rollout_writers) == 2)
            old.rollout_writers[0].write(stage_notification(CANARY_STAGE))
            await old.until(lambda: rollout_state(old) == (2, 0.2))
            withdrawn = {**CANARY_STAGE, "phase": "recalled", "cap": 0.0}
            with mock.patch.object(
                old.relay.driver, "rollout_read", wraps=old.relay.driver.rollout_read
            ) as rollout_read:
                # In the same turn of the loop, the new platform sends a stage and the earlier one an outdated one.
                earlier, newest = list(old.relay._rollout_handover._running)
                newest._handle_message(decode(stage_notification(withdrawn), RpcMessage))
                self.assertEqual(rollout_state(old), (2, 0.0))
                old.rollout_writers[0].write(stage_notification(CANARY_STAGE))
                await old.until(lambda: earlier._sock is None)
                self.assertEqual([call.args[0].phase for call in rollout_read.call_args_list], ["withdrawn"])

    @run_on_uvloop
    async def test_a_vote_pending_at_a_move_times_out(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as old, platform(ScriptedEndpoint("u0")) as new:
            await old.until(lambda: old.relay.state()["rollout_connected"])
            old.respond_to_vote = lambda call: None
            with mock.patch.object(
                old.relay.driver, "rollout_read", wraps=old.relay.driver.rollout_read
            ) as rollout_read:
                old.relay.cast_vote(CastVote(1, 1, Verdict.ROLL_BACK))
                await old.until(lambda: any("params" in call for call in old.rollout_calls))
                old.write(new.ports())
                old.relay.reload()
                await old.until(
                    lambda: (None, True, AttemptOutcome.TIMED_OUT) in [c.args for c in rollout_read.call_args_list]
                )
                await old.until(lambda: old.relay.state()["rollout_connected"])
                new.respond_to_vote = lambda call: vote_response(call["id"], STAGE)
                old.relay.cast_vote(CastVote(1, 1, Verdict.ROLL_BACK))
                await old.until(
                    lambda: any(c.args[1:] == (True, AttemptOutcome.SUCCEEDED) for c in rollout_read.call_args_list)
                )

    @run_on_uvloop
    async def test_after_many_reloads_one_feed_of_each_kind_runs(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            for _ in range(12):
                env.relay.reload()
            await env.until(lambda: env.relay.state()["rollout_connected"] and env.relay.state()["discovery_connected"])
            relay = env.relay
            await env.until(
                lambda: (len(relay._rollout_handover._running), len(relay._discovery_handover._running)) == (1, 1)
            )
            await env.until(lambda: len(relay._background_tasks) <= 3)  # two feeds and the sweep task

    @run_on_uvloop
    async def test_a_reload_while_draining_is_applied_and_one_after_the_end_is_not(self) -> None:
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

    @run_on_uvloop
    async def test_changes_that_need_a_restart_are_logged_and_ignored(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            path = env.folder / "config.json"
            config = json.loads(path.read_text())
            config["limits"]["sockets"] = 99
            config["settings"]["allowed"] = {**config["settings"]["allowed"], "attemptsCap": 1}
            path.write_text(json.dumps(config))
            env.relay.reload()
            reload_lines = [c.kwargs for c in env.log.calls if c.kwargs.get("event") == "configuration reloaded"]
            self.assertEqual(reload_lines[0]["ignored_until_restart"], ["limits", "settings.allowed"])

    @run_on_uvloop
    async def test_a_missing_or_invalid_file_changes_nothing(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            path = env.folder / "config.json"
            whole = path.read_text()
            feeds_before = env.relay._rollout_handover.newest, env.relay._discovery_handover.newest
            for text in (None, whole[: len(whole) // 2], whole.replace('"openCap": 1000', '"openCap": 0')):
                path.unlink() if text is None else path.write_text(text)
                env.relay.reload()
            self.assertEqual(env.logged("configuration not reloaded: the old one stays in force"), 3)
            self.assertEqual((env.relay._rollout_handover.newest, env.relay._discovery_handover.newest), feeds_before)
            self.assertIn("D", await (await env.client()).request("1a"))


class InvalidMessages(unittest.TestCase):
    @run_on_uvloop
    async def test_a_canary_stage_that_the_settings_do_not_have_is_rejected(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            await env.until(lambda: env.relay.state()["rollout_connected"])
            env.rollout_writers[0].write(stage_notification({**CANARY_STAGE, "stage": 7}))
            await env.until(lambda: env.logged("feed down") == 1)
            self.assertEqual(rollout_state(env)[0], 1)
            await env.until(lambda: env.relay.state()["rollout_connected"])


class Settings(unittest.TestCase):
    def _load(self, **changes: Any) -> None:
        settings = json.loads(json.dumps(SETTINGS))
        for path, value in changes.items():
            *groups, last = path.split("__")
            env = settings
            for group in groups:
                env = env[int(group)] if isinstance(env, list) else env[group]
            if value is None:
                del env[last]
            else:
                env[last] = value
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

    def test_an_error_names_the_missing_or_invalid_field(self) -> None:
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

    def test_optional_fields_have_defaults(self) -> None:
        for path in ("allowed__connIdleMs", "accounts", "loadReport", "zone", "contract__coldFrom", "tickMs"):
            self._load(**{path: None})
