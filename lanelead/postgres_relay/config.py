"""The relay's file, whose path is in NODE_CONFIG: JSON, whose settings are read by path.

Field names are those of the file, but where `name=` maps them.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from lanelead.postgres_relay.settings_checks import check
from lanelead.protocols.feeds import MessageError, decode
from lanelead.protocols.platform import EndpointList, StageMessage, parse_address
from lanelead.runtime.parameter_reader import ParameterReader, flatten_pairs

MAX_FILE_BYTES = 16 << 20  # the file holds the last endpoint list


class ProcessLimits(msgspec.Struct, frozen=True):
    """What the process may use; `sockets` is the number of descriptors."""

    sockets: Annotated[int, Meta(ge=16)] = 1024
    cores: float = 1.0
    memory_mb: float = 128.0


class PlatformConfig(msgspec.Struct, frozen=True):
    """The rollout platform's address, and the rollout's stage when the file was written."""

    address: str
    rollout: StageMessage = msgspec.field(name="news")


class ConfigurationSource(msgspec.Struct, frozen=True):
    """A replica from which the configuration can be followed."""

    address: str
    zone: Annotated[str, Meta(max_length=64)] = ""
    region: Annotated[str, Meta(max_length=64)] = ""


class ConfigurationSources(msgspec.Struct, frozen=True):
    """The section `configuration` of a relay's file; without it nothing is followed."""

    sources: Annotated[list[ConfigurationSource], Meta(min_length=1, max_length=64)]
    zone: Annotated[str, Meta(max_length=64)] = ""
    region: Annotated[str, Meta(max_length=64)] = ""
    catch_up_bytes_per_s: Annotated[float, Meta(ge=1024, le=1e9)] = 65536.0
    most_entries: Annotated[int, Meta(ge=1, le=10_000_000)] = 200_000
    most_bytes: Annotated[int, Meta(ge=1024, le=1 << 33)] = 64 << 20


class RelayConfig(msgspec.Struct, frozen=True):
    """The whole file. `seed` is a hexadecimal number; `known` the last endpoint list."""

    name: str
    listen: str
    discovery: str
    seed: str
    platform: PlatformConfig
    settings: dict[str, Any]
    limits: ProcessLimits = ProcessLimits()
    known: EndpointList = EndpointList(0, True, [])
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""
    configuration: ConfigurationSources | None = None

    @property
    def parameters(self) -> ParameterReader:
        """A reader of the settings; raises RecursionError where they are nested too deep."""
        return ParameterReader([*flatten_pairs(self.settings)])


def load(path: str) -> RelayConfig:
    """Reads and checks a file. Raises MessageError, which says what is wrong and what to do: no part of a bad
    file is used.
    """
    try:
        config = decode(Path(path).read_bytes(), RelayConfig, MAX_FILE_BYTES)
    except OSError as error:
        raise MessageError(f"cannot read {path}: {error.strerror}") from None
    _check_addresses(config)
    try:
        int(config.seed, 16)
    except ValueError:
        raise MessageError(f"seed: {config.seed[:40]!r}; must be a hexadecimal number") from None
    try:
        parameters = config.parameters
    except RecursionError:
        raise MessageError("settings: nested too deep") from None
    check(parameters)
    stages = max(1, len(parameters.numbers("familyInfo.shares")))
    if config.platform.rollout.stage >= stages:
        raise MessageError(f"platform.news.stage: {config.platform.rollout.stage}, of {stages} in the settings")
    return config


def _check_addresses(config: RelayConfig) -> None:
    _check_address("listen", config.listen)
    _check_address("discovery", config.discovery)
    _check_address("platform.address", config.platform.address)
    if config.peer_listen:
        _check_address("peer_listen", config.peer_listen)
    for number, text in enumerate(config.peers):
        _check_address(f"peers.{number}", text)
    for number, source in enumerate(config.configuration.sources if config.configuration else ()):
        _check_address(f"configuration.sources.{number}.address", source.address)


def _check_address(name: str, text: str) -> None:
    try:
        parse_address(text)
    except MessageError:
        raise MessageError(f"{name}: {text[:80]!r}; must be an address and a port") from None


def path_from_environment() -> str:
    """The file's path; raises MessageError where NODE_CONFIG is not set."""
    path = os.environ.get("NODE_CONFIG", "")
    if not path:
        raise MessageError("NODE_CONFIG is not set")
    return path
