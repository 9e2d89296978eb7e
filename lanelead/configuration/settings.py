"""The settings of a machine: a JSON file, the same on all machines but for `machine` and `store`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Meta

from lanelead.configuration.errors import ConfigurationError
from lanelead.protocols.feeds import MessageError
from lanelead.protocols.platform import parse_address
from lanelead.settings.service_settings import Address

MAX_FILE_BYTES = 1 << 20  # bytes of the file
ReplicaNumber = Annotated[int, Meta(ge=0, le=63)]
LocationName = Annotated[str, Meta(max_length=64)]
NonEmptyText = Annotated[str, Meta(min_length=1, max_length=1024)]


class InvalidSettingsError(ConfigurationError):
    """Nothing of the file is used; `faults` names each field that is wrong, and what is expected of it."""

    def __init__(self, file: str, faults: list[str]) -> None:
        super().__init__("\n".join(f"{file}: {fault}" for fault in faults))
        self.errors = faults


class ReplicaSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One replica: its number, its address (HOST:PORT), its location, and whether it votes."""

    number: ReplicaNumber
    address: NonEmptyText
    zone: LocationName = ""
    region: LocationName = ""
    voter: bool = True


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`connections` at a time, each with at most `request_bytes` coming in and `unsent_bytes` going out."""

    connections: Annotated[int, Meta(ge=16, le=100_000)] = 2048
    request_bytes: Annotated[int, Meta(ge=1 << 19, le=16 << 20)] = 1 << 20
    unsent_bytes: Annotated[int, Meta(ge=1 << 19, le=64 << 20)] = 2 << 20
    entries: Annotated[int, Meta(ge=1, le=2_000_000)] = 200_000
    document_bytes: Annotated[int, Meta(ge=1024, le=128 << 20)] = 64 << 20
    log_changes: Annotated[int, Meta(ge=1, le=1_000_000)] = 20_000


class Settings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"replica": "machine", "replicas": "machines"}
):
    """`listen`: where this machine listens, if not at the address that the others call."""

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
    """Raises InvalidSettingsError, with all that is wrong."""
    name = str(file)
    try:
        text = Path(file).read_bytes()
    except OSError as fault:
        raise InvalidSettingsError(name, [f"cannot be read: {fault.strerror}"]) from None
    if len(text) > MAX_FILE_BYTES:
        raise InvalidSettingsError(name, [f"{len(text)} bytes; expected {MAX_FILE_BYTES} at most"])
    try:
        found = msgspec.json.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
        raise InvalidSettingsError(name, [f"no JSON: {str(fault)[:200]}"]) from None
    faults = list[str]()
    _field_errors(found, Settings, "", faults)
    if faults:
        raise InvalidSettingsError(name, faults)
    settings = msgspec.convert(found, Settings)
    if faults := _consistency_errors(settings):
        raise InvalidSettingsError(name, faults)
    return settings


def _field_errors(found: Any, kind: Any, at: str, faults: list[str]) -> None:
    """Field by field: a decoder of the whole names but the first that is wrong."""
    bare = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    of = get_args(bare)[0] if get_origin(bare) is list else None
    if isinstance(found, dict) and isinstance(bare, type) and issubclass(bare, msgspec.Struct):
        hints = get_type_hints(bare, include_extras=True)
        fields = msgspec.structs.fields(bare)
        for field in fields:
            name = field.encode_name
            path = f"{at}.{name}" if at else name
            if name in found:
                _field_errors(found[name], hints[field.name], path, faults)
            elif field.required:
                faults.append(f"{path}: missing")
        known = {field.encode_name for field in fields}
        faults += [f"{at}.{key}".lstrip(".")[:200] + ": no such field" for key in found if key not in known]
    elif isinstance(found, list) and of is not None and issubclass(of, msgspec.Struct) and len(found) <= 64:
        for index, row in enumerate(found):
            _field_errors(row, of, f"{at}[{index}]", faults)
        if not found:
            faults.append(f"{at}: empty; expected one at least")
    else:
        try:
            msgspec.convert(found, kind)
        except msgspec.ValidationError as fault:
            faults.append(f"{at or 'the file'}: {fault}")


def _consistency_errors(settings: Settings) -> list[str]:
    """What no field can say alone."""
    faults = list[str]()
    rows = settings.replicas
    for index, row in enumerate(rows):
        if row.number in [other.number for other in rows[:index]]:
            faults.append(f"machines[{index}].number: {row.number} again; expected a number used once")
        if row.address in [other.address for other in rows[:index]]:
            faults.append(f"machines[{index}].address: {row.address} again; expected one used once")
        faults += _address_errors(f"machines[{index}].address", row.address)
    if settings.listen:
        faults += _address_errors("listen", settings.listen)
    if settings.replica not in [row.number for row in rows]:
        faults.append(f"machine: {settings.replica}; expected the number of one of the machines")
    if not settings.voters:
        faults.append("machines: no voter; expected three, five or seven")
    elif len(settings.voters) % 2 == 0:
        faults.append(
            f"machines: {len(settings.voters)} voters; expected an odd number, as one more bears no loss more"
        )
    if not Path(settings.store).resolve().parent.is_dir():
        faults.append(f"store: {settings.store}: no such folder")
    return faults


def _address_errors(name: str, text: str) -> list[str]:
    try:
        parse_address(text)
    except MessageError:
        return [f"{name}: {text[:80]!r}; expected HOST:PORT"]
    return []


def address_of(text: str) -> Address:
    """Parses HOST:PORT. Raises MessageError."""
    return Address(*parse_address(text))
