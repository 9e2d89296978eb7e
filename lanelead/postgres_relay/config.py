"""The relay's configuration file: JSON at the path that the environment variable NODE_CONFIG gives.

The structs have the file's field names, unless `name=` maps a field. The section `settings` is read by path with
ParameterReader.
"""

from __future__ import annotations

import os
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from lanelead.postgres_relay.settings_checks import check_settings
from lanelead.protocols.feeds import MessageError, decode
from lanelead.protocols.platform import EndpointList, StageMessage, parse_address
from lanelead.runtime.parameter_reader import ParameterReader, flatten_pairs

MAX_MEMORY_MB = 1_000_000_000.0
MAX_FILE_BYTES = 16 << 20  # large, since the file contains the last endpoint list


class ProcessLimits(msgspec.Struct, frozen=True):
    """The resource limits of the process; `sockets` is the number of file descriptors, a megabyte 10^6 bytes."""

    sockets: Annotated[int, Meta(ge=16)] = 1024
    cores: float = 1.0
    memory_mb: float = 128.0


class PlatformConfig(msgspec.Struct, frozen=True):
    """The rollout platform's address, and the stage of the rollout when the file was written."""

    address: str
    rollout: StageMessage = msgspec.field(name="news")


class ConfigurationSource(msgspec.Struct, frozen=True):
    """A replica from which the configuration can be followed."""

    address: str
    zone: Annotated[str, Meta(max_length=64)] = ""
    region: Annotated[str, Meta(max_length=64)] = ""


class ConfigurationSources(msgspec.Struct, frozen=True):
    """The section `configuration` of a relay's file: which replicas to follow, and the limits.

    `zone` and `region` are the relay's own. `most_entries` and `most_bytes` limit the size of the configuration, and
    `catch_up_bytes_per_s` the rate of repairs. Without this section the relay does not follow a configuration.
    """

    sources: Annotated[list[ConfigurationSource], Meta(min_length=1, max_length=64)]
    zone: Annotated[str, Meta(max_length=64)] = ""
    region: Annotated[str, Meta(max_length=64)] = ""
    catch_up_bytes_per_s: Annotated[float, Meta(ge=1024, le=1e9)] = 65536.0
    most_entries: Annotated[int, Meta(ge=1, le=10_000_000)] = 200_000
    most_bytes: Annotated[int, Meta(ge=1024, le=1 << 33)] = 64 << 20


class RelayConfig(msgspec.Struct, frozen=True):
    """The whole file.

    `seed` is a hexadecimal number, and `known` the last endpoint list when the file was written. `peer_listen` is the
    address for gossip (none if empty), and `peers` are the gossip addresses of all relays by number. `peers_all` is not
    used.
    """

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
        """Returns a reader of the settings. Raises RecursionError if they are nested too deeply."""
        return ParameterReader([*flatten_pairs(self.settings)])


def load(path: str) -> RelayConfig:
    """Reads and checks a configuration file.

    Raises MessageError, which names the invalid field and what is expected; no part of an invalid file is used.
    """
    try:
        with open(path, "rb") as file:
            config = decode(file.read(MAX_FILE_BYTES + 1), RelayConfig, MAX_FILE_BYTES)
    except OSError as error:
        raise MessageError(f"cannot read {path}: {error.strerror}") from None
    _check_addresses(config)
    if not 0 < config.limits.memory_mb <= MAX_MEMORY_MB:
        raise MessageError(f"limits.memory_mb: {config.limits.memory_mb}; expected over 0 and at most {MAX_MEMORY_MB}")
    try:
        int(config.seed, 16)
    except ValueError:
        raise MessageError(f"seed: {config.seed[:40]!r}; expected a hexadecimal number") from None
    try:
        parameters = config.parameters
    except RecursionError:
        raise MessageError("settings: nested too deeply") from None
    check_settings(parameters)
    stages = max(1, len(parameters.numbers("familyInfo.shares")))
    if config.platform.rollout.stage >= stages:
        raise MessageError(
            f"platform.news.stage: {config.platform.rollout.stage}; the settings have {stages} stages, numbered from 0"
        )
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
        raise MessageError(f"{name}: {text[:80]!r}; expected host:port") from None


def path_from_environment() -> str:
    """Returns the path of the configuration file. Raises MessageError if NODE_CONFIG is not set."""
    path = os.environ.get("NODE_CONFIG", "")
    if not path:
        raise MessageError("NODE_CONFIG is not set; expected the path of the relay's configuration file")
    return path
