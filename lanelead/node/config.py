"""What the platform tells a relay: NODE_CONFIG, a JSON file, whose settings are read by path."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from lanelead.hosting.opening import Malformed as Unread
from lanelead.hosting.opening import Opening, pairs_of
from lanelead.protocols.platform import Endpoints, State, address
from lanelead.protocols.records import Malformed, decode


class Limits(msgspec.Struct, frozen=True):
    sockets: Annotated[int, Meta(ge=16)] = 1024
    cores: float = 1.0
    memory_mb: float = 128.0


class Platform(msgspec.Struct, frozen=True):
    address: str
    news: State


class Config(msgspec.Struct, frozen=True):
    name: str
    listen: str
    discovery: str
    seed: str
    platform: Platform
    settings: dict[str, Any]
    limits: Limits = Limits()
    known: Endpoints = Endpoints(0, True, [])
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""

    @property
    def opening(self) -> Opening:
        return Opening([*pairs_of(self.settings)])


def load(path: str) -> Config:
    """Raises Malformed, with what is wrong; no part of a bad file is used."""
    try:
        config = decode(Path(path).read_bytes(), Config)
    except OSError as fault:
        raise Malformed(f"cannot read {path}: {fault.strerror}") from None
    for text in (config.listen, config.discovery, config.platform.address, *config.peers):
        address(text)
    try:
        int(config.seed, 16)
        if not config.opening.lanes():
            raise Unread("settings without a class")
    except (ValueError, Unread) as fault:
        raise Malformed(str(fault)) from None
    return config


def path() -> str:
    if not (found := os.environ.get("NODE_CONFIG", "")):
        raise Malformed("NODE_CONFIG is not set")
    return found
