"""The settings of a replica: a JSON file that is the same for all replicas but for `machine` and `store`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Meta

from lanelead.configuration.errors import ConfigurationError
from lanelead.protocols.feeds import MessageError
from lanelead.protocols.platform import parse_address
from lanelead.settings.service_settings import Address

MAX_FILE_BYTES = 1 << 20
ReplicaNumber = Annotated[int, Meta(ge=0, le=63)]
LocationName = Annotated[str, Meta(max_length=64)]
NonEmptyText = Annotated[str, Meta(min_length=1, max_length=1024)]


class InvalidSettingsError(ConfigurationError):
    """The settings file is invalid and not used; `errors` has a message for each field that is wrong."""

    def __init__(self, file: str, errors: list[str]) -> None:
        super().__init__("\n".join(f"{file}: {error}" for error in errors))
        self.errors = errors


class ReplicaSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One replica: its number, its address (HOST:PORT), its location, and whether it votes."""

    number: ReplicaNumber
    address: NonEmptyText
    zone: LocationName = ""
    region: LocationName = ""
    voter: bool = True


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one replica.

    `connections` may be open at a time, each with at most `request_bytes` of a request body and `unsent_bytes` of
    responses waiting to be sent. The document has at most `entries` and `document_bytes`, the log keeps `log_changes`.
    """

    connections: Annotated[int, Meta(ge=16, le=100_000)] = 2048
    request_bytes: Annotated[int, Meta(ge=1 << 19, le=16 << 20)] = 1 << 20
    unsent_bytes: Annotated[int, Meta(ge=1 << 19, le=64 << 20)] = 2 << 20
    entries: Annotated[int, Meta(ge=1, le=2_000_000)] = 200_000
    document_bytes: Annotated[int, Meta(ge=1024, le=128 << 20)] = 64 << 20
    log_changes: Annotated[int, Meta(ge=1, le=1_000_000)] = 20_000


class Settings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"replica": "machine", "replicas": "machines"}
):
    """All settings of a replica; `listen` is its own listening address, if the other replicas call another one."""

    replica: ReplicaNumber
    store: NonEmptyText
    replicas: Annotated[list[ReplicaSettings], Meta(min_length=1, max_length=64)]
    listen: str = ""
    bounds: Bounds = Bounds()
    log: Literal["json", "console"] = "json"

    @property
    def voters(self) -> list[int]:
        """The numbers of the replicas that vote."""
        return [row.number for row in self.replicas if row.voter]

    @property
    def own(self) -> ReplicaSettings:
        """The row of this replica itself."""
        return next(row for row in self.replicas if row.number == self.replica)


def read_settings(file: str | Path) -> Settings:
    """Reads and checks a settings file. Raises InvalidSettingsError, which lists every error found."""
    name = str(file)
    try:
        text = Path(file).read_bytes()
    except OSError as error:
        raise InvalidSettingsError(name, [f"cannot be read: {error.strerror}"]) from None
    if len(text) > MAX_FILE_BYTES:
        raise InvalidSettingsError(name, [f"{len(text)} bytes; expected {MAX_FILE_BYTES} at most"])
    try:
        found = msgspec.json.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidSettingsError(name, [f"not valid JSON: {str(error)[:200]}"]) from None
    errors = list[str]()
    _field_errors(found, Settings, "", errors)
    if errors:
        raise InvalidSettingsError(name, errors)
    settings = msgspec.convert(found, Settings)
    if errors := _consistency_errors(settings):
        raise InvalidSettingsError(name, errors)
    return settings


def _field_errors(found: Any, kind: Any, path: str, errors: list[str]) -> None:
    """Checks field by field, since a decoder of the whole file reports only the first error."""
    plain_type = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    item_type = get_args(plain_type)[0] if get_origin(plain_type) is list else None
    if isinstance(found, dict) and isinstance(plain_type, type) and issubclass(plain_type, msgspec.Struct):
        hints = get_type_hints(plain_type, include_extras=True)
        fields = msgspec.structs.fields(plain_type)
        for field in fields:
            name = field.encode_name
            field_path = f"{path}.{name}" if path else name
            if name in found:
                _field_errors(found[name], hints[field.name], field_path, errors)
            elif field.required:
                errors.append(f"{field_path}: missing")
        known = {field.encode_name for field in fields}
        errors += [f"{path}.{key}".lstrip(".")[:200] + ": unknown field" for key in found if key not in known]
    elif (
        isinstance(found, list) and item_type is not None and issubclass(item_type, msgspec.Struct) and len(found) <= 64
    ):
        for index, row in enumerate(found):
            _field_errors(row, item_type, f"{path}[{index}]", errors)
        if not found:
            errors.append(f"{path}: empty; expected at least one")
    else:
        try:
            msgspec.convert(found, kind)
        except msgspec.ValidationError as error:
            errors.append(f"{path or 'the file'}: {error}")


def _consistency_errors(settings: Settings) -> list[str]:
    """Checks that involve several fields or the file system."""
    errors = list[str]()
    rows = settings.replicas
    for index, row in enumerate(rows):
        if row.number in [other.number for other in rows[:index]]:
            errors.append(f"machines[{index}].number: {row.number} is used twice; expected unique numbers")
        if row.address in [other.address for other in rows[:index]]:
            errors.append(f"machines[{index}].address: {row.address} is used twice; expected unique addresses")
        errors += _address_errors(f"machines[{index}].address", row.address)
    if settings.listen:
        errors += _address_errors("listen", settings.listen)
    if settings.replica not in [row.number for row in rows]:
        errors.append(f"machine: {settings.replica}; expected the number of one of the machines")
    if not settings.voters:
        errors.append("machines: no voters; expected three, five or seven")
    elif len(settings.voters) % 2 == 0:
        errors.append(
            f"machines: {len(settings.voters)} voters; expected an odd number: an even one tolerates no more failures"
        )
    if not Path(settings.store).resolve().parent.is_dir():
        errors.append(f"store: {settings.store}: no such folder for the store file")
    return errors


def _address_errors(name: str, text: str) -> list[str]:
    try:
        parse_address(text)
    except MessageError:
        return [f"{name}: {text[:80]!r}; expected HOST:PORT"]
    return []


def address_of(text: str) -> Address:
    """Parses HOST:PORT. Raises MessageError if the text has another form."""
    return Address(*parse_address(text))
