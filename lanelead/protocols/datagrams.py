"""Messages between relays as UDP datagrams: a head with the sender's number, the payload, a CRC-32 of both.

The payload is at most 256 bytes, as on the bench. A datagram that is too short or too long, of another
version or another circle, or with a checksum that fails, is dropped: `open_` says why, for counting.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from struct import Struct

from lanelead.runtime.gossip_codec import MAX_MESSAGE_BYTES

HEADER = Struct(">4sHHI")  # magic with version, sender, length of the payload, count of the sender's datagrams
GOSSIP_MAGIC = b"LLP1"
MEMBERSHIP_MAGIC = b"LLM1"  # what members of a circle write to each other
CHECKSUM = Struct(">I")
SHORT_CHECKSUM = Struct(">H")
MAX_DATAGRAM_BYTES = HEADER.size + MAX_MESSAGE_BYTES + CHECKSUM.size


@dataclass(slots=True, frozen=True)
class Datagram:
    sender: int
    count: int
    payload: bytes
    membership: bool = False


def encode_datagram(sender: int, count: int, payload: bytes, magic: bytes = GOSSIP_MAGIC) -> bytes:
    if len(payload) > MAX_MESSAGE_BYTES:
        raise ValueError(f"{len(payload)} bytes, of {MAX_MESSAGE_BYTES} at most")
    body = HEADER.pack(magic, sender, len(payload), count & 0xFFFFFFFF) + payload
    return body + CHECKSUM.pack(zlib.crc32(body))


def decode_datagram(data: bytes, relays: int) -> Datagram | str:
    """The letter, or why it is none."""
    if not HEADER.size + CHECKSUM.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return "length"
    magic, sender, size, count = HEADER.unpack_from(data)
    if magic not in (GOSSIP_MAGIC, MEMBERSHIP_MAGIC):
        return "version"
    if size != len(data) - HEADER.size - CHECKSUM.size:
        return "length"
    if CHECKSUM.unpack(data[-CHECKSUM.size :])[0] != zlib.crc32(data[: -CHECKSUM.size]):
        return "checksum"
    if sender >= relays and magic == GOSSIP_MAGIC:
        return "sender"
    return Datagram(sender, count, data[HEADER.size : -CHECKSUM.size], magic == MEMBERSHIP_MAGIC)


def encode_plain(payload: bytes) -> bytes:
    """For networks that know the sender by its address, and where 256 bytes bound a datagram with all that
    is in it: the payload and half of its CRC-32."""
    data = payload + SHORT_CHECKSUM.pack(zlib.crc32(payload) & 0xFFFF)
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"{len(data)} bytes, of {MAX_MESSAGE_BYTES} at most")
    return data


def decode_plain(data: bytes) -> bytes | None:
    """The payload, or None where the datagram is not whole."""
    if not SHORT_CHECKSUM.size <= len(data) <= MAX_MESSAGE_BYTES:
        return None
    payload = data[: -SHORT_CHECKSUM.size]
    return payload if SHORT_CHECKSUM.unpack(data[-SHORT_CHECKSUM.size :])[0] == zlib.crc32(payload) & 0xFFFF else None
