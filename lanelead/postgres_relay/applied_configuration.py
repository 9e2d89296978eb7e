"""Tenants' and classes' figures put in force at a running relay: as its file says at SIGHUP, or as the
configuration that it follows does. Nothing here decides."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from lanelead.configuration.document import Document
from lanelead.configuration.value_types import AppliedValues as Values
from lanelead.configuration.value_types import ClassValue, EntryValue, InvalidValueError, TenantValue, split_key
from lanelead.decisions.interface import RequestClass, Tenant

TENANTS, CLASSES = "accounts", "requestClasses"  # where a file has them
FIGURES = {"aimMs": "aim_ms", "deadlineMs": "deadline_ms", "credit": "credit", "lateWorth": "late_worth"}


def entries(settings: Mapping[str, Any]) -> list[tuple[str, bytes]]:
    """What a file's settings say, as entries of a configuration."""
    found = list[tuple[str, bytes]]()
    for row in settings.get(TENANTS) or ():
        value = {"quota_per_s": row.get("quotaPerS") or 0.0, "share": row.get("share") or 0.0}
        found.append((f"tenant/{row.get('name', '-')}", msgspec.json.encode(value)))
    for row in settings.get(CLASSES) or ():
        figures = {name: row[field] for field, name in FIGURES.items() if row.get(field) is not None}
        found.append((f"class/{row.get('name', '-')}", msgspec.json.encode(figures)))
    return found


def without_figures(settings: Mapping[str, Any]) -> list[dict[str, Any]]:
    """The classes, but for what may change without a restart."""
    return [
        {field: value for field, value in row.items() if field not in FIGURES} for row in settings.get(CLASSES) or ()
    ]


def changed(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[list[str], Mapping[str, EntryValue], list[InvalidValueError]]:
    """The keys that a file says otherwise now, the values of all, and what is unfit, not among the keys."""
    before, now = dict(entries(old)), dict(entries(new))
    document, values = Document(len(now) + 1, 1 << 40), Values()
    document.load(now.items())
    _, faults = values.apply(document, list(now))
    unfit = {fault.key: None for fault in faults}
    keys = [key for key in {**before, **now} if before.get(key) != now.get(key) and key not in unfit]
    return keys, values.values, faults


class InForce:
    """`members` and `lanes` are the relay's own tables, by name; `retold` hears the sum of all quotas."""

    def __init__(
        self, tenants: dict[str, Tenant], request_classes: Mapping[str, RequestClass], retold: Callable[[float], None]
    ) -> None:
        self._members, self._lanes, self._retold = tenants, request_classes, retold

    def put(self, keys: Iterable[str], values: Mapping[str, EntryValue]) -> list[str]:
        """Puts these keys' values in force; gives those that name no class of the settings. A lookup under
        way keeps the time limit that it was taken with."""
        unknown = list[str]()
        for key in keys:
            kind, name = split_key(key)
            value = values.get(key)
            if kind == "tenant":
                self._tenant(name, value)
            elif kind == "class" and name not in self._lanes:
                unknown.append(key)
            elif isinstance(value, ClassValue):
                request_class = self._lanes[name]
                request_class.latency_objective, request_class.timeout = (
                    int(value.aim_ms * 10),
                    int(value.deadline_ms * 10),
                )
                request_class.value, request_class.late_value = value.credit, value.late_worth
        self._retold(sum(tenant.quota for tenant in self._members.values()))
        return unknown

    def _tenant(self, name: str, value: EntryValue | None) -> None:
        if not isinstance(value, TenantValue):
            self._members.pop(name, None)
        elif (tenant := self._members.get(name)) is not None:
            tenant.quota, tenant.share = value.quota_per_s, value.share
        else:
            self._members[name] = Tenant(name, value.quota_per_s, value.share)
