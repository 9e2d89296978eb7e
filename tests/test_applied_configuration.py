"""Values of tenants and classes applied to a running relay: from its file at SIGHUP, and from entries."""

from __future__ import annotations

import json
import unittest
from typing import Any
from unittest import mock

from lanelead.configuration.value_types import ClassValue, TenantValue
from lanelead.decisions.interface import DeduplicationScope, Idempotency, RequestClass, Tenant
from lanelead.postgres_relay import service as services
from lanelead.postgres_relay.applied_configuration import (
    AppliedConfiguration,
    classes_without_values,
    entries_of_settings,
)
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import SETTINGS, Platform, platform
from tests.scripted_endpoints import ScriptedEndpoint


def rewrite_settings(env: Platform, **settings: Any) -> None:
    """Replaces settings in the relay's configuration file, without a reload."""
    file = env.folder / "config.json"
    config = json.loads(file.read_text())
    config["settings"] = {**config["settings"], **settings}
    file.write_text(json.dumps(config))


class Entries(unittest.TestCase):
    def test_settings_are_converted_to_entries(self) -> None:
        found = dict(entries_of_settings(SETTINGS))
        self.assertEqual({"tenant/m", "class/read", "class/file"}, set(found))
        self.assertEqual({"quota_per_s": 100.0, "share": 1.0}, json.loads(found["tenant/m"]))
        self.assertEqual([], entries_of_settings({}))
        self.assertNotIn("aimMs", classes_without_values(SETTINGS)[0])

    def test_tenants_are_added_changed_and_removed_and_the_total_quota_reported(self) -> None:
        old, sums = Tenant("a", 5.0, 0.1), list[float]()
        tenants, request_classes = {"a": old}, dict[str, RequestClass]()
        applied = AppliedConfiguration(tenants, request_classes, sums.append)
        self.assertEqual([], applied.apply(["tenant/b"], {"tenant/b": TenantValue(7.0, 0.2)}))
        applied.apply(["tenant/a"], {"tenant/a": TenantValue(6.0, 0.3)})
        self.assertIs(tenants["a"], old)  # pending requests refer to this object
        self.assertEqual((6.0, 0.3, 12.0, 13.0), (old.quota, old.share, *sums))
        applied.apply(["tenant/a", "tenant/none"], {})
        self.assertEqual((["b"], 7.0), (list(tenants), sums[-1]))

    def test_class_values_are_applied_and_unknown_classes_returned(self) -> None:
        request_class = RequestClass(
            "read", 8000, 15000, 1.0, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
        )
        applied = AppliedConfiguration({}, {"read": request_class}, lambda _: None)
        values = ClassValue(400.0, 900.0, 2.0, 0.5)
        self.assertEqual(
            ["class/x"], applied.apply(["class/read", "class/x"], {"class/read": values, "class/x": values})
        )
        self.assertEqual(
            (4000, 9000, 2.0, 0.5),
            (request_class.latency_objective, request_class.timeout, request_class.value, request_class.late_value),
        )


class Reload(unittest.TestCase):
    @run_on_uvloop
    async def test_tenants_and_class_values_of_the_file_apply_without_a_restart(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            relay = env.relay
            accounts = [
                {"name": "m", "quotaPerS": 40.0, "share": 1.0},
                {"name": "n", "quotaPerS": 8.0, "share": 0.1},
            ]
            classes = json.loads(json.dumps(SETTINGS["requestClasses"]))
            classes[0] |= {"aimMs": 300.0, "deadlineMs": 700.0}
            rewrite_settings(env, accounts=accounts, requestClasses=classes, instances=5)
            relay.reload()
            self.assertEqual(["m", "n"], list(relay.listener.tenants))
            parameters = relay.driver.decisions.parameters
            self.assertEqual(
                (48.0, 24.0, 3000, 8000),
                (
                    parameters.total_quota,
                    parameters.relay_quota,
                    parameters.shortest_objective,
                    parameters.longest_objective,
                ),
            )
            (reloaded,) = [
                call.kwargs for call in env.log.calls if call.args and "configuration reloaded" in str(call.args[0])
            ] or [call.kwargs for call in env.log.calls if call.kwargs.get("event") == "configuration reloaded"]
            self.assertEqual(["settings.instances"], reloaded["ignored_until_restart"])
            client = await env.client()
            self.assertTrue((await client.request("1a"))["D"].endswith(b"value of 1a"))
            relay.reload()  # an unchanged file applies nothing
            self.assertEqual(1, env.logged("tenant and class values changed"))

    @run_on_uvloop
    async def test_an_invalid_value_is_rejected_and_the_last_good_one_stays(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            rewrite_settings(env, accounts=[{"name": "m", "quotaPerS": 30.0, "share": 7.0}])
            env.relay.reload()
            self.assertEqual(100.0, env.relay.driver.decisions.parameters.total_quota)


class Sweeps(unittest.TestCase):
    @run_on_uvloop
    async def test_sweeps_go_on_after_one_fails(self) -> None:
        with mock.patch.object(services, "SWEEP_INTERVAL_SECONDS", 0.01):
            async with platform(ScriptedEndpoint("u0")) as env:
                sweep, seen = env.relay.listener.sweep, list[int]()

                def fail_first() -> None:
                    seen.append(1)
                    if len(seen) == 1:
                        raise ZeroDivisionError
                    sweep()

                env.relay.listener.sweep = fail_first  # type: ignore[method-assign]
                await env.until(lambda: len(seen) > 3)
                self.assertEqual(1, env.logged("a sweep failed"))
                self.assertIn("overdue_requests", env.relay.state())
