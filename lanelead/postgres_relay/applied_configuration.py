"""Puts the values of tenants and request classes in force at a running relay: those of its file at SIGHUP, or
those of the configuration that it follows. Nothing is decided here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from lanelead.configuration.document import Document
from lanelead.configuration.value_types import (
    AppliedValues,
    ClassValue,
    EntryValue,
    InvalidValueError,
    TenantValue,
    split_key,
)
from lanelead.decisions.interface import RequestClass, Tenant

# Names in a relay's file.
TENANTS_SETTING = "accounts"
CLASSES_SETTING = "requestClasses"
CLASS_VALUE_FIELDS = {"aimMs": "aim_ms", "deadlineMs": "deadline_ms", "credit": "credit", "lateWorth": "late_worth"}
MAX_DOCUMENT_BYTES = 1 << 40  # the file's size is bounded where it is read


def entries_of_settings(settings: Mapping[str, Any]) -> list[tuple[str, bytes]]:
    """The tenants and classes of a file's settings, as keys and JSON values of a configuration."""
    entries = list[tuple[str, bytes]]()
    for row in settings.get(TENANTS_SETTING) or ():
        value = {"quota_per_s": row.get("quotaPerS") or 0.0, "share": row.get("share") or 0.0}
        entries.append((f"tenant/{row.get('name', '-')}", msgspec.json.encode(value)))
    for row in settings.get(CLASSES_SETTING) or ():
        values = {name: row[field] for field, name in CLASS_VALUE_FIELDS.items() if row.get(field) is not None}
        entries.append((f"class/{row.get('name', '-')}", msgspec.json.encode(values)))
    return entries


def classes_without_values(settings: Mapping[str, Any]) -> list[dict[str, Any]]:
    """The classes, without the fields that may change while the relay runs."""
    rows = settings.get(CLASSES_SETTING) or ()
    return [{field: value for field, value in row.items() if field not in CLASS_VALUE_FIELDS} for row in rows]


def changed_entries(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[list[str], Mapping[str, EntryValue], list[InvalidValueError]]:
    """The keys whose values differ between two settings, all new values, and the errors of invalid entries,
    whose keys are not among the first.
    """
    before = dict(entries_of_settings(old))
    after = dict(entries_of_settings(new))
    document = Document(len(after) + 1, MAX_DOCUMENT_BYTES)
    document.load(after.items())
    values = AppliedValues()
    _, errors = values.apply(document, list(after))
    invalid = {error.key: None for error in errors}
    keys = [key for key in {**before, **after} if before.get(key) != after.get(key) and key not in invalid]
    return keys, values.values, errors


class AppliedConfiguration:
    """`tenants` and `request_classes` are the relay's own tables by name, which are changed in place;
    `on_total_quota` is called with the sum of all quotas, in requests per second.
    """

    def __init__(
        self,
        tenants: dict[str, Tenant],
        request_classes: Mapping[str, RequestClass],
        on_total_quota: Callable[[float], None],
    ) -> None:
        self._tenants = tenants
        self._request_classes = request_classes
        self._on_total_quota = on_total_quota

    def apply(self, keys: Iterable[str], values: Mapping[str, EntryValue]) -> list[str]:
        """Puts these keys' values in force; returns the keys of classes that the settings do not have. A request
        in flight keeps the deadline that it was received with.
        """
        unknown = list[str]()
        for key in keys:
            kind, name = split_key(key)
            value = values.get(key)
            if kind == "tenant":
                self._apply_tenant(name, value)
            elif kind == "class" and name not in self._request_classes:
                unknown.append(key)
            elif isinstance(value, ClassValue):
                request_class = self._request_classes[name]
                request_class.latency_objective = int(value.aim_ms * 10)
                request_class.timeout = int(value.deadline_ms * 10)
                request_class.value = value.credit
                request_class.late_value = value.late_worth
        self._on_total_quota(sum(tenant.quota for tenant in self._tenants.values()))
        return unknown

    def _apply_tenant(self, name: str, value: EntryValue | None) -> None:
        if not isinstance(value, TenantValue):
            self._tenants.pop(name, None)
            return
        tenant = self._tenants.get(name)
        if tenant is None:
            self._tenants[name] = Tenant(name, value.quota_per_s, value.share)
        else:
            tenant.quota = value.quota_per_s
            tenant.share = value.share
