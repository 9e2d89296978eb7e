"""Applies the values of tenants and request classes to a running relay.

They come from the relay's file at SIGHUP, or from the configuration that it follows. Whether a value is valid is
decided in lanelead/configuration/value_types.py.
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
# The field of a class in a configuration, by its name in the file: those that may change while the relay runs.
CLASS_VALUE_FIELDS = {"aimMs": "aim_ms", "deadlineMs": "deadline_ms", "credit": "credit", "lateWorth": "late_worth"}
MAX_DOCUMENT_BYTES = 1 << 40  # no limit in effect: the file's size is limited when it is read


def entries_of_settings(settings: Mapping[str, Any]) -> list[tuple[str, bytes]]:
    """Returns the tenants and classes in a file's settings as keys and JSON values of a configuration."""
    entries = list[tuple[str, bytes]]()
    for row in settings.get(TENANTS_SETTING) or ():
        value = {"quota_per_s": row.get("quotaPerS") or 0.0, "share": row.get("share") or 0.0}
        entries.append((f"tenant/{row.get('name', '-')}", msgspec.json.encode(value)))
    for row in settings.get(CLASSES_SETTING) or ():
        values = {name: row[field] for field, name in CLASS_VALUE_FIELDS.items() if row.get(field) is not None}
        entries.append((f"class/{row.get('name', '-')}", msgspec.json.encode(values)))
    return entries


def classes_without_values(settings: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Returns the classes in a file's settings without the fields that may change while the relay runs."""
    rows = settings.get(CLASSES_SETTING) or ()
    return [{field: value for field, value in row.items() if field not in CLASS_VALUE_FIELDS} for row in rows]


def changed_entries(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[list[str], Mapping[str, EntryValue], list[InvalidValueError]]:
    """Compares the tenants and classes of two settings.

    Returns the keys whose values differ, without those of invalid new entries; all valid new values by key; and the
    errors of the invalid entries.
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
    """Applies values to the relay's tables of tenants and request classes, which are changed in place.

    Both tables are by name. `on_total_quota` is called with the sum of all tenants' quotas, in requests per second.
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
        """Applies the values of `keys`, and returns the keys of classes that the settings do not have.

        A tenant without a value is removed. A request in flight keeps the deadline that it was received with.
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
