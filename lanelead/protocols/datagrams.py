"""Messages between relays as UDP datagrams.

- A datagram: a header with the sender's number, the payload of at most 256 bytes, a CRC-32 of both.
- A plain datagram, for networks that know the sender by its address: the payload and half of its CRC-32, at most 256
  bytes together.

One that is too short or too long, of another version, or with a wrong checksum is dropped; `DatagramFault` says why,
for counting.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import StrEnum
from struct import Struct

GOSSIP_MAGIC = b"LLP1"
MEMBERSHIP_MAGIC = b"LLM1"
HEADER = Struct(">4sHHI")  # magic with version, sender, length of the payload, sequence number
CHECKSUM = Struct(">I")
SHORT_CHECKSUM = Struct(">H")
MAX_MESSAGE_BYTES = 256  # of one message between relays, with its checksum
MAX_DATAGRAM_BYTES = HEADER.size + MAX_MESSAGE_BYTES + CHECKSUM.size


class DatagramFault(StrEnum):
    """Why a datagram is dropped."""

    LENGTH = "length"
    VERSION = "version"
    CHECKSUM = "checksum"
    SENDER = "sender"


@dataclass(slots=True, frozen=True)
class Datagram:
    """A datagram as it was sent. `membership`: its payload is a membership message, else gossip."""

    sender: int
    sequence_number: int
    payload: bytes
    membership: bool = False


def encode_datagram(sender: int, sequence_number: int, payload: bytes, magic: bytes = GOSSIP_MAGIC) -> bytes:
    """Returns a datagram's bytes. Raises ValueError if the payload is too long."""
    if len(payload) > MAX_MESSAGE_BYTES:
        raise ValueError(f"{len(payload)} bytes, of {MAX_MESSAGE_BYTES} at most")
    body = HEADER.pack(magic, sender, len(payload), sequence_number & 0xFFFFFFFF) + payload
    return body + CHECKSUM.pack(zlib.crc32(body))


def decode_datagram(data: bytes, relays: int) -> Datagram | DatagramFault:
    """Returns the datagram, or why it is dropped. Gossip is taken from senders numbered below `relays` only."""
    if not HEADER.size + CHECKSUM.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return DatagramFault.LENGTH
    magic, sender, size, sequence_number = HEADER.unpack_from(data)
    if magic not in (GOSSIP_MAGIC, MEMBERSHIP_MAGIC):
        return DatagramFault.VERSION
    if size != len(data) - HEADER.size - CHECKSUM.size:
        return DatagramFault.LENGTH
    if CHECKSUM.unpack(data[-CHECKSUM.size :])[0] != zlib.crc32(data[: -CHECKSUM.size]):
        return DatagramFault.CHECKSUM
    if sender >= relays and magic == GOSSIP_MAGIC:
        return DatagramFault.SENDER
    return Datagram(sender, sequence_number, data[HEADER.size : -CHECKSUM.size], magic == MEMBERSHIP_MAGIC)


def encode_plain(payload: bytes) -> bytes:
    """Returns a plain datagram's bytes. Raises ValueError if it gets too long."""
    data = payload + SHORT_CHECKSUM.pack(zlib.crc32(payload) & 0xFFFF)
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"{len(data)} bytes, of {MAX_MESSAGE_BYTES} at most")
    return data


def decode_plain(data: bytes) -> bytes | None:
    """Returns the payload, or None if the plain datagram is not whole."""
    if not SHORT_CHECKSUM.size <= len(data) <= MAX_MESSAGE_BYTES:
        return None
    payload = data[: -SHORT_CHECKSUM.size]
    expected = SHORT_CHECKSUM.unpack(data[-SHORT_CHECKSUM.size :])[0]
    return payload if expected == zlib.crc32(payload) & 0xFFFF else None
