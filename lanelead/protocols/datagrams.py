"""Messages between relays as UDP datagrams.

Two formats:

- A datagram has a header with the sender's number, a payload of at most 256 bytes, and a CRC-32 of both.
- A plain datagram has a payload and the lower half of its CRC-32, together at most 256 bytes. It is for networks in
  which a sender is identified by its address.

A datagram of a wrong length, another version or a wrong checksum is dropped; `DatagramFault` is the reason, by which
dropped datagrams are counted.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import StrEnum
from struct import Struct

GOSSIP_MAGIC = b"LLP1"
MEMBERSHIP_MAGIC = b"LLM1"
HEADER = Struct(">4sHHI")  # magic number with the version, sender, payload length, sequence number
CHECKSUM = Struct(">I")
SHORT_CHECKSUM = Struct(">H")
MAX_MESSAGE_BYTES = 256  # maximum size of a datagram's payload, and of a plain datagram with its checksum
MAX_DATAGRAM_BYTES = HEADER.size + MAX_MESSAGE_BYTES + CHECKSUM.size


class DatagramFault(StrEnum):
    """The reason why a datagram is dropped."""

    LENGTH = "length"
    VERSION = "version"
    CHECKSUM = "checksum"
    SENDER = "sender"


@dataclass(slots=True, frozen=True)
class Datagram:
    """A decoded datagram. `membership`: whether its payload is a membership message; if not, it is gossip."""

    sender: int
    sequence_number: int
    payload: bytes
    membership: bool = False


def encode_datagram(sender: int, sequence_number: int, payload: bytes, magic: bytes = GOSSIP_MAGIC) -> bytes:
    """Encodes a datagram. Raises ValueError if the payload is longer than MAX_MESSAGE_BYTES."""
    if len(payload) > MAX_MESSAGE_BYTES:
        raise ValueError(f"payload of {len(payload)} bytes; expected {MAX_MESSAGE_BYTES} or less")
    body = HEADER.pack(magic, sender, len(payload), sequence_number & 0xFFFFFFFF) + payload
    return body + CHECKSUM.pack(zlib.crc32(body))


def decode_datagram(data: bytes, relays: int) -> Datagram | DatagramFault:
    """Decodes a datagram; returns a DatagramFault if it has to be dropped.

    Gossip is accepted only from senders whose number is below `relays`.
    """
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
    """Encodes a plain datagram. Raises ValueError if it is longer than MAX_MESSAGE_BYTES."""
    data = payload + SHORT_CHECKSUM.pack(zlib.crc32(payload) & 0xFFFF)
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"datagram of {len(data)} bytes; expected {MAX_MESSAGE_BYTES} or less")
    return data


def decode_plain(data: bytes) -> bytes | None:
    """Returns the payload of a plain datagram, or None if its length or checksum is wrong."""
    if not SHORT_CHECKSUM.size <= len(data) <= MAX_MESSAGE_BYTES:
        return None
    payload = data[: -SHORT_CHECKSUM.size]
    expected = SHORT_CHECKSUM.unpack(data[-SHORT_CHECKSUM.size :])[0]
    return payload if expected == zlib.crc32(payload) & 0xFFFF else None
