"""Tenants' and classes' figures that come into force at a running relay: by SIGHUP, and by entries."""

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
from tests.postgres_platform import SETTINGS, Platform, platform
from tests.scripted_endpoints import ScriptedEndpoint
from tests.town import live


def rewrite_settings(place: Platform, **settings: Any) -> None:
    file = place.folder / "config.json"
    config = json.loads(file.read_text())
    config["settings"] = {**config["settings"], **settings}
    file.write_text(json.dumps(config))


class Entries(unittest.TestCase):
    def test_a_file_says_the_same_as_its_entries(self) -> None:
        found = dict(entries_of_settings(SETTINGS))
        self.assertEqual({"tenant/m", "class/read", "class/file"}, set(found))
        self.assertEqual({"quota_per_s": 100.0, "share": 1.0}, json.loads(found["tenant/m"]))
        self.assertEqual([], entries_of_settings({}))
        self.assertNotIn("aimMs", classes_without_values(SETTINGS)[0])

    def test_tenants_come_change_and_go_and_the_sum_is_told(self) -> None:
        old, sums = Tenant("a", 5.0, 0.1), list[float]()
        tenants, request_classes = {"a": old}, dict[str, RequestClass]()
        here = AppliedConfiguration(tenants, request_classes, sums.append)
        self.assertEqual([], here.apply(["tenant/b"], {"tenant/b": TenantValue(7.0, 0.2)}))
        here.apply(["tenant/a"], {"tenant/a": TenantValue(6.0, 0.3)})
        self.assertIs(tenants["a"], old)  # lookups under way hold it
        self.assertEqual((6.0, 0.3, 12.0, 13.0), (old.quota, old.share, *sums))
        here.apply(["tenant/a", "tenant/none"], {})
        self.assertEqual((["b"], 7.0), (list(tenants), sums[-1]))

    def test_a_class_takes_its_figures_and_one_that_nobody_named_is_given_back(self) -> None:
        request_class = RequestClass(
            "read", 8000, 15000, 1.0, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
        )
        here = AppliedConfiguration({}, {"read": request_class}, lambda _: None)
        figures = ClassValue(400.0, 900.0, 2.0, 0.5)
        self.assertEqual(
            ["class/x"], here.apply(["class/read", "class/x"], {"class/read": figures, "class/x": figures})
        )
        self.assertEqual(
            (4000, 9000, 2.0, 0.5),
            (request_class.latency_objective, request_class.timeout, request_class.value, request_class.late_value),
        )


class Reload(unittest.TestCase):
    @live
    async def test_tenants_and_figures_of_the_file_are_in_force_without_a_restart(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            relay = place.relay
            accounts = [
                {"name": "m", "quotaPerS": 40.0, "share": 1.0},
                {"name": "n", "quotaPerS": 8.0, "share": 0.1},
            ]
            classes = json.loads(json.dumps(SETTINGS["requestClasses"]))
            classes[0] |= {"aimMs": 300.0, "deadlineMs": 700.0}
            rewrite_settings(place, accounts=accounts, requestClasses=classes, instances=5)
            relay.reload()
            self.assertEqual(["m", "n"], list(relay.listener.tenants))
            figures = relay.driver.decisions.parameters
            self.assertEqual(
                (48.0, 24.0, 3000, 8000),
                (figures.total_quota, figures.relay_quota, figures.shortest_objective, figures.longest_objective),
            )
            (told,) = [
                call.kwargs for call in place.log.calls if call.args and "configuration reloaded" in str(call.args[0])
            ] or [call.kwargs for call in place.log.calls if call.kwargs.get("event") == "configuration reloaded"]
            self.assertEqual(["settings.instances"], told["ignored_until_restart"])
            client = await place.client()
            self.assertTrue((await client.request("1a"))["D"].endswith(b"value of 1a"))
            relay.reload()  # the same once more changes nothing
            self.assertEqual(1, place.logged("configuration in force"))

    @live
    async def test_an_unfit_figure_is_refused_and_the_last_good_one_stays(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            rewrite_settings(place, accounts=[{"name": "m", "quotaPerS": 30.0, "share": 7.0}])
            place.relay.reload()
            self.assertEqual(100.0, place.relay.driver.decisions.parameters.total_quota)


class Sweeps(unittest.TestCase):
    @live
    async def test_a_sweep_that_fails_once_is_not_the_last(self) -> None:
        with mock.patch.object(services, "SWEEP_INTERVAL_SECONDS", 0.01):
            async with platform(ScriptedEndpoint("u0")) as place:
                sweep, seen = place.relay.listener.sweep, list[int]()

                def once() -> None:
                    seen.append(1)
                    if len(seen) == 1:
                        raise ZeroDivisionError
                    sweep()

                place.relay.listener.sweep = once  # type: ignore[method-assign]
                await place.until(lambda: len(seen) > 3)
                self.assertEqual(1, place.logged("a sweep failed"))
                self.assertIn("overdue_requests", place.relay.state())
