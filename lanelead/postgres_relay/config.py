"""What the platform tells a relay: NODE_CONFIG, a JSON file, whose settings are read by path."""

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

LONGEST = 16 << 20  # bytes of the file, which holds the last list of units


class Limits(msgspec.Struct, frozen=True):
    sockets: Annotated[int, Meta(ge=16)] = 1024
    cores: float = 1.0
    memory_mb: float = 128.0


class Platform(msgspec.Struct, frozen=True):
    address: str
    news: StageMessage


class SourceAt(msgspec.Struct, frozen=True):
    address: str
    zone: Annotated[str, Meta(max_length=64)] = ""
    region: Annotated[str, Meta(max_length=64)] = ""


class Following(msgspec.Struct, frozen=True):
    """The section `configuration` of a relay's file; without it nothing is followed."""

    sources: Annotated[list[SourceAt], Meta(min_length=1, max_length=64)]
    zone: Annotated[str, Meta(max_length=64)] = ""
    region: Annotated[str, Meta(max_length=64)] = ""
    catch_up_bytes_per_s: Annotated[float, Meta(ge=1024, le=1e9)] = 65536.0
    most_entries: Annotated[int, Meta(ge=1, le=10_000_000)] = 200_000
    most_bytes: Annotated[int, Meta(ge=1024, le=1 << 33)] = 64 << 20


class Config(msgspec.Struct, frozen=True):
    name: str
    listen: str
    discovery: str
    seed: str
    platform: Platform
    settings: dict[str, Any]
    limits: Limits = Limits()
    known: EndpointList = EndpointList(0, True, [])
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""
    configuration: Following | None = None

    @property
    def opening(self) -> ParameterReader:
        return ParameterReader([*flatten_pairs(self.settings)])


def load(path: str) -> Config:
    """Raises Malformed, with what is wrong and what to do; no part of a bad file is used."""
    try:
        config = decode(Path(path).read_bytes(), Config, LONGEST)
    except OSError as fault:
        raise MessageError(f"cannot read {path}: {fault.strerror}") from None
    for name, text in (("listen", config.listen), ("discovery", config.discovery)):
        _address(name, text)
    _address("platform.address", config.platform.address)
    if config.peer_listen:
        _address("peer_listen", config.peer_listen)
    for number, text in enumerate(config.peers):
        _address(f"peers.{number}", text)
    for number, source in enumerate(config.configuration.sources if config.configuration else ()):
        _address(f"configuration.sources.{number}.address", source.address)
    try:
        int(config.seed, 16)
    except ValueError:
        raise MessageError(f"seed: {config.seed[:40]!r}; must be a hexadecimal number") from None
    try:
        opening = config.opening
    except RecursionError:
        raise MessageError("settings: nested too deep") from None
    check(opening)
    stages = max(1, len(opening.numbers("familyInfo.shares")))
    if config.platform.news.stage >= stages:
        raise MessageError(f"platform.news.stage: {config.platform.news.stage}, of {stages} in the settings")
    return config


def _address(name: str, text: str) -> None:
    try:
        parse_address(text)
    except MessageError:
        raise MessageError(f"{name}: {text[:80]!r}; must be an address and a port") from None


def path() -> str:
    if not (found := os.environ.get("NODE_CONFIG", "")):
        raise MessageError("NODE_CONFIG is not set")
    return found
