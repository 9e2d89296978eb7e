"""The types of entry values, chosen by the kind in the entry's key, and the values of a document in force.

An invalid value is rejected on its own: the last good value of its key stays in force. Entries of an unknown kind
stay in the document but are not in force, so that relays of different program versions can follow one document.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

from lanelead.configuration.document import Document
from lanelead.configuration.errors import ConfigurationError

MAX_NAMED_KEYS = 100  # limit of the rejected keys, and of the unknown kinds, that are recorded by name


class InvalidValueError(ConfigurationError):
    """A value of an entry is invalid; the text names the field and what to do, `key` the entry."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key[:80]}: {reason}; publish the key anew with a valid value")
        self.key = key


class TenantValue(msgspec.Struct, frozen=True):
    """A tenant's own quota, in requests per second over all relays, and its share (0 to 1) of the fleet's requests."""

    quota_per_s: Annotated[float, Meta(ge=0, le=1e9)] = 0.0
    share: Annotated[float, Meta(ge=0, le=1)] = 0.0


class ClassValue(msgspec.Struct, frozen=True):
    """The values of a request class that may change while its requests are in flight.

    `aim_ms` is the latency objective and `deadline_ms` the timeout, both in milliseconds; `credit` is the value of a
    response within the objective, and `late_worth` the part of it that a later response is worth.
    """

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
    """Decodes and checks a value; None if the kind of the key is unknown. Raises InvalidValueError."""
    kind, _ = split_key(key)
    if kind not in VALUE_TYPES:
        return None
    try:
        decoded: EntryValue = msgspec.json.decode(value, type=VALUE_TYPES[kind])
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidValueError(key, str(error)[:200]) from None
    if isinstance(decoded, ClassValue) and decoded.deadline_ms < decoded.aim_ms:
        raise InvalidValueError(key, f"deadline_ms {decoded.deadline_ms:g} is less than aim_ms {decoded.aim_ms:g}")
    return decoded


class AppliedValues:
    """The values in force by key: the document's, except that an invalid value leaves the previous one in force."""

    def __init__(self) -> None:
        self.values: dict[str, EntryValue] = {}
        self.rejected: dict[str, str] = {}  # keys whose newest value is invalid, and the reasons; bounded
        self.rejections = 0  # invalid values since the start
        self.unknown_kinds: dict[str, int] = {}  # number of entries applied, by unknown kind; bounded

    def apply(self, document: Document, keys: Iterable[str]) -> tuple[list[str], list[InvalidValueError]]:
        """Applies keys of a document; returns those whose value in force changed, and the errors of invalid values."""
        changed, errors = list[str](), list[InvalidValueError]()
        for key in keys:
            value = document.get(key)
            try:
                decoded = decode_value(key, value) if value is not None else None
            except InvalidValueError as error:
                errors.append(error)
                self.rejections += 1
                if len(self.rejected) < MAX_NAMED_KEYS:
                    self.rejected[key] = str(error)
                continue
            self.rejected.pop(key, None)
            if decoded is None and value is not None:
                kind, _ = split_key(key)
                if kind in self.unknown_kinds or len(self.unknown_kinds) < MAX_NAMED_KEYS:
                    self.unknown_kinds[kind] = self.unknown_kinds.get(kind, 0) + 1
            elif decoded != self.values.get(key):
                if decoded is None:
                    del self.values[key]
                else:
                    self.values[key] = decoded
                changed.append(key)
        return changed, errors
