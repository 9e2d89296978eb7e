"""What an entry's value must be, by the kind that its key names, and what is in force of a document.

A value that is unfit is refused alone: of its key the last good value stays in force. A kind that this
program does not know is kept in the document and not in force: relays of two versions follow one document.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

from lanelead.configuration.document import Document
from lanelead.configuration.errors import ConfigurationError

MAX_NAMED_KEYS = 100  # refused keys that are kept by name


class InvalidValueError(ConfigurationError):
    """The text names the field, and what to do."""

    def __init__(self, key: str, what: str) -> None:
        super().__init__(f"{key[:80]}: {what}; publish the key anew with a value that fits")
        self.key = key


class TenantValue(msgspec.Struct, frozen=True):
    """Lookups a second that are the tenant's own, and its share of the fleet's."""

    quota_per_s: Annotated[float, Meta(ge=0, le=1e9)] = 0.0
    share: Annotated[float, Meta(ge=0, le=1)] = 0.0


class ClassValue(msgspec.Struct, frozen=True):
    """Of a class that the settings name: what may change while requests of it are under way."""

    aim_ms: Annotated[float, Meta(gt=0, le=1e7)]
    deadline_ms: Annotated[float, Meta(gt=0, le=1e7)]
    credit: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1e9)] = 0.0


EntryValue = TenantValue | ClassValue
VALUE_TYPES: dict[str, type[TenantValue] | type[ClassValue]] = {"tenant": TenantValue, "class": ClassValue}


def split_key(key: str) -> tuple[str, str]:
    """Splits `kind/name` into its kind and its name."""
    kind, _, name = key.partition("/")
    return kind, name


def decode_value(key: str, value: bytes) -> EntryValue | None:
    """None: a kind that is not known here. Raises InvalidValueError."""
    kind, _ = split_key(key)
    if kind not in VALUE_TYPES:
        return None
    try:
        found: EntryValue = msgspec.json.decode(value, type=VALUE_TYPES[kind])
    except (msgspec.MsgspecError, RecursionError) as fault:
        raise InvalidValueError(key, str(fault)[:200]) from None
    if isinstance(found, ClassValue) and found.deadline_ms < found.aim_ms:
        raise InvalidValueError(key, f"deadline_ms {found.deadline_ms:g} is under aim_ms {found.aim_ms:g}")
    return found


class AppliedValues:
    """The values in force, by key: the document's, but for keys whose newest value is unfit."""

    def __init__(self) -> None:
        self.values: dict[str, EntryValue] = {}
        self.rejected: dict[str, str] = {}  # keys whose newest value is unfit, with why; bounded
        self.rejections = 0
        self.unknown_kinds: dict[str, int] = {}  # entries by kinds that are not known here

    def apply(self, document: Document, keys: Iterable[str]) -> tuple[list[str], list[InvalidValueError]]:
        """The keys that have changed in force, and what was refused."""
        changed, faults = list[str](), list[InvalidValueError]()
        for key in keys:
            value = document.get(key)
            try:
                found = decode_value(key, value) if value is not None else None
            except InvalidValueError as fault:
                faults.append(fault)
                self.rejections += 1
                if len(self.rejected) < MAX_NAMED_KEYS:
                    self.rejected[key] = str(fault)
                continue
            self.rejected.pop(key, None)
            if found is None and value is not None:
                kind, _ = split_key(key)
                if kind in self.unknown_kinds or len(self.unknown_kinds) < MAX_NAMED_KEYS:
                    self.unknown_kinds[kind] = self.unknown_kinds.get(kind, 0) + 1
            elif found != self.values.get(key):
                if found is None:
                    del self.values[key]
                else:
                    self.values[key] = found
                changed.append(key)
        return changed, faults
