"""Messages between relays as UDP datagrams: a head with the sender's number, the payload, a CRC-32 of both.

The payload is at most 256 bytes, as on the bench. A datagram that is too short or too long, of another
version or another circle, or with a checksum that fails, is dropped: `open_` says why, for counting.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from struct import Struct

from lanelead.runtime.endpoint_registry import MAX_MESSAGE_BYTES

HEAD = Struct(">4sHHI")  # magic with version, sender, length of the payload, count of the sender's datagrams
GOSSIP_MAGIC = b"LLP1"
MEMBERSHIP_MAGIC = b"LLM1"  # what members of a circle write to each other
TAIL = Struct(">I")
SHORT = Struct(">H")
LARGEST = HEAD.size + MAX_MESSAGE_BYTES + TAIL.size


@dataclass(slots=True, frozen=True)
class Datagram:
    sender: int
    count: int
    payload: bytes
    circle: bool = False


def encode_datagram(sender: int, count: int, payload: bytes, magic: bytes = GOSSIP_MAGIC) -> bytes:
    if len(payload) > MAX_MESSAGE_BYTES:
        raise ValueError(f"{len(payload)} bytes, of {MAX_MESSAGE_BYTES} at most")
    body = HEAD.pack(magic, sender, len(payload), count & 0xFFFFFFFF) + payload
    return body + TAIL.pack(zlib.crc32(body))


def decode_datagram(data: bytes, relays: int) -> Datagram | str:
    """The letter, or why it is none."""
    if not HEAD.size + TAIL.size <= len(data) <= LARGEST:
        return "length"
    magic, sender, size, count = HEAD.unpack_from(data)
    if magic not in (GOSSIP_MAGIC, MEMBERSHIP_MAGIC):
        return "version"
    if size != len(data) - HEAD.size - TAIL.size:
        return "length"
    if TAIL.unpack(data[-TAIL.size :])[0] != zlib.crc32(data[: -TAIL.size]):
        return "checksum"
    if sender >= relays and magic == GOSSIP_MAGIC:
        return "sender"
    return Datagram(sender, count, data[HEAD.size : -TAIL.size], magic == MEMBERSHIP_MAGIC)


def encode_plain(payload: bytes) -> bytes:
    """For networks that know the sender by its address, and where 256 bytes bound a datagram with all that
    is in it: the payload and half of its CRC-32."""
    data = payload + SHORT.pack(zlib.crc32(payload) & 0xFFFF)
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"{len(data)} bytes, of {MAX_MESSAGE_BYTES} at most")
    return data


def decode_plain(data: bytes) -> bytes | None:
    """The payload, or None where the datagram is not whole."""
    if not SHORT.size <= len(data) <= MAX_MESSAGE_BYTES:
        return None
    payload = data[: -SHORT.size]
    return payload if SHORT.unpack(data[-SHORT.size :])[0] == zlib.crc32(payload) & 0xFFFF else None
