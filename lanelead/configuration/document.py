"""The document: all entries in force at one version, with a digest by which two holders compare theirs.

Rules:
1. A document changes only by the change that follows its version, or by whole buckets during a repair.
2. A change is applied whole or not at all. It is refused where the result would have another digest than the one
   that the change names.
3. The digest depends on keys and values alone, not on how they came about, so a relay that starts with an old file
   fetches only the buckets that differ.

A bucket's digest is the sum of its entries' hashes modulo 2^64, so the cost of a change depends on its own size only
(an incremental hash of a set: Bellare and Micciancio, EUROCRYPT 1997). The document's digest is the hash of all
bucket digests. It detects loss and mistakes; it does not protect against forged entries.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from hashlib import blake2b
from struct import Struct
from struct import error as struct_error

import msgspec

from lanelead.configuration.errors import ConfigurationError
from lanelead.protocols.configuration import BUCKET_COUNT, MAX_CHANGE_BYTES, MAX_VALUE_BYTES, Change, DigestTree, Entry

REMOVED_VALUE = b"null"  # the value that removes a key
MODULUS = 1 << 64
BUCKET_DIGESTS = Struct(f">{BUCKET_COUNT}Q")


class DocumentError(ConfigurationError):
    """A change or a bucket was not applied; the document is unchanged."""


class OutOfOrderError(DocumentError):
    """The change does not follow this document's version: fetch the changes between."""


class DigestMismatchError(DocumentError):
    """The digest differs from the one that the sender names: compare the buckets."""


class DocumentTooLargeError(DocumentError):
    """A limit on a value, a change or the document would be exceeded.

    The document's limits are in the settings; removing entries makes room too.
    """


class UnreadableValueError(DocumentError):
    """A value is not valid JSON: correct it where it was written."""


def bucket_of(key: str) -> int:
    """The number of the bucket that holds a key."""
    return int.from_bytes(blake2b(key.encode(), digest_size=2).digest(), "big") % BUCKET_COUNT


def _entry_hash(key: str, value: bytes) -> int:
    text = key.encode() + b"\0" + value
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def canonical(value: msgspec.Raw | bytes) -> bytes:
    """Canonical JSON: equal values give equal bytes, whatever their spacing and order of fields.

    Raises UnreadableValueError.
    """
    try:
        return msgspec.json.encode(msgspec.json.decode(bytes(value)), order="sorted")
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise UnreadableValueError(f"the value is not valid JSON: {str(error)[:100]}") from None


class Document:
    """The entries of one version, with digests.

    It holds at most `max_entries` entries, and `max_bytes` bytes of keys and values.
    """

    def __init__(self, max_entries: int = 200_000, max_bytes: int = 64 << 20) -> None:
        self.version = 0
        self.entries: dict[str, bytes] = {}
        self.changed: dict[str, int] = {}  # the version that last changed a key, where known
        self.size = 0  # bytes of keys and values
        self._max_entries, self._max_bytes = max_entries, max_bytes
        self._bucket_digests = [0] * BUCKET_COUNT
        self._bucket_keys: list[dict[str, None]] = [{} for _ in range(BUCKET_COUNT)]

    @property
    def digest(self) -> str:
        """The digest of all entries, 32 hexadecimal digits."""
        return _document_digest(self._bucket_digests)

    def get(self, key: str) -> bytes | None:
        """The value of a key as canonical JSON, or None."""
        return self.entries.get(key)

    def copy(self) -> Document:
        """An independent copy with the same bounds."""
        other = Document(self._max_entries, self._max_bytes)
        other.version, other.size = self.version, self.size
        other.entries, other.changed = self.entries.copy(), self.changed.copy()
        other._bucket_digests, other._bucket_keys = (
            self._bucket_digests.copy(),
            [keys.copy() for keys in self._bucket_keys],
        )
        return other

    def digest_after(self, entries: Sequence[Entry]) -> str:
        """The digest that the document would have with these entries.

        Raises DocumentTooLargeError and UnreadableValueError.
        """
        new_values = _canonical_entries(entries)
        self._check_bounds(new_values)
        if (size := sum(len(key) + len(value) for key, value in new_values.items())) > MAX_CHANGE_BYTES:
            raise DocumentTooLargeError(f"the change has {size} bytes; the maximum is {MAX_CHANGE_BYTES}")
        digests = dict[int, int]()
        for key, value in new_values.items():
            bucket_number = bucket_of(key)
            digests[bucket_number] = (
                digests.get(bucket_number, self._bucket_digests[bucket_number]) + self._digest_delta(key, value)
            ) % MODULUS
        all_digests = self._bucket_digests.copy()
        for bucket_number, total in digests.items():
            all_digests[bucket_number] = total
        return _document_digest(all_digests)

    def apply(self, change: Change) -> None:
        """Applies the next version's change. Raises OutOfOrderError, DigestMismatchError and DocumentTooLargeError."""
        if change.version != self.version + 1:
            raise OutOfOrderError(f"version {change.version} does not follow version {self.version}")
        if self.digest_after(change.entries) != change.digest:
            raise DigestMismatchError(f"version {change.version} would not have the digest that the change names")
        for key, value in _canonical_entries(change.entries).items():
            self._set(key, value)
            self.changed[key] = change.version
        self.version = change.version

    def load(self, entries: Iterable[tuple[str, bytes]]) -> None:
        """Sets entries without changing the version, as for a file at start.

        Raises DocumentTooLargeError and UnreadableValueError.
        """
        new_values = {key: canonical(value) for key, value in entries}
        self._check_bounds(new_values)
        for key, value in new_values.items():
            self._set(key, value)

    # Repair

    def digest_tree(self, history: str) -> DigestTree:
        """The digests of all buckets at this version."""
        digests = BUCKET_DIGESTS.pack(*self._bucket_digests).hex()
        return DigestTree(history, self.version, self.digest, digests)

    def differing_buckets(self, tree: DigestTree) -> list[int]:
        """The numbers of the buckets whose digests differ from those of a digest tree. Raises DigestMismatchError."""
        theirs = bucket_digests_of(tree)
        return [
            bucket_number
            for bucket_number in range(BUCKET_COUNT)
            if self._bucket_digests[bucket_number] != theirs[bucket_number]
        ]

    def bucket(self, bucket_number: int) -> list[Entry]:
        """The entries of one bucket, by its number."""
        return [Entry(key, msgspec.Raw(self.entries[key])) for key in self._bucket_keys[bucket_number]]

    def replace_bucket(self, bucket_number: int, entries: Sequence[Entry], digest: int) -> None:
        """Replaces a whole bucket with that of another version, which has the given digest.

        Raises DigestMismatchError, DocumentTooLargeError and UnreadableValueError.
        """
        new_values = _canonical_entries(entries)
        total = sum(_entry_hash(key, value) for key, value in new_values.items()) % MODULUS
        if total != digest or any(bucket_of(key) != bucket_number for key in new_values):
            raise DigestMismatchError(f"bucket {bucket_number} does not have the digest that the digest tree names")
        removed = {key: REMOVED_VALUE for key in self._bucket_keys[bucket_number] if key not in new_values}
        self._check_bounds(new_values | removed)
        for key, value in (removed | new_values).items():
            self._set(key, value)

    def finish_repair(self, tree: DigestTree) -> None:
        """Takes on the version of a digest tree once all buckets match it. Raises DigestMismatchError."""
        if self.digest != tree.digest:
            raise DigestMismatchError(f"the buckets do not match version {tree.version} yet")
        self.version = tree.version

    def __iter__(self) -> Iterator[tuple[str, bytes]]:
        return iter(self.entries.items())

    def _digest_delta(self, key: str, value: bytes) -> int:
        old = self.entries.get(key)
        return (_entry_hash(key, value) if value != REMOVED_VALUE else 0) - (
            _entry_hash(key, old) if old is not None else 0
        )

    def _set(self, key: str, value: bytes) -> None:
        bucket_number, old = bucket_of(key), self.entries.get(key)
        self._bucket_digests[bucket_number] = (
            self._bucket_digests[bucket_number] + self._digest_delta(key, value)
        ) % MODULUS
        self.size += _entry_bytes(key, value) - (_entry_bytes(key, old) if old is not None else 0)
        if value != REMOVED_VALUE:
            self.entries[key] = value
            self._bucket_keys[bucket_number][key] = None
        else:
            self.entries.pop(key, None)
            self._bucket_keys[bucket_number].pop(key, None)
            self.changed.pop(key, None)

    def _check_bounds(self, new_values: Mapping[str, bytes]) -> None:
        """Keeps the document within the memory of its holders; a document over a limit may still shrink."""
        for key, value in new_values.items():
            if len(value) > MAX_VALUE_BYTES:
                raise DocumentTooLargeError(
                    f"{key[:80]}: the value has {len(value)} bytes; the maximum is {MAX_VALUE_BYTES}"
                )
        held = self.entries
        count = len(held) + sum((value != REMOVED_VALUE) - (key in held) for key, value in new_values.items())
        size = self.size + sum(
            _entry_bytes(key, value) - (_entry_bytes(key, held[key]) if key in held else 0)
            for key, value in new_values.items()
        )
        if (count > self._max_entries and count > len(held)) or (size > self._max_bytes and size > self.size):
            raise DocumentTooLargeError(
                f"{count} entries of {size} bytes exceed the maximum of {self._max_entries} and {self._max_bytes}"
            )


def bucket_digests_of(tree: DigestTree) -> tuple[int, ...]:
    """The bucket digests of a digest tree. Raises DigestMismatchError where it is malformed or inconsistent."""
    try:
        digests = BUCKET_DIGESTS.unpack(bytes.fromhex(tree.bucket_digests))
    except (ValueError, struct_error) as error:
        raise DigestMismatchError(f"malformed digest tree: {str(error)[:100]}") from None
    if _document_digest(digests) != tree.digest:
        raise DigestMismatchError("the digest of the digest tree does not match its buckets")
    return digests


def _canonical_entries(entries: Sequence[Entry]) -> dict[str, bytes]:
    return {entry.key: canonical(entry.value) for entry in entries}


def _entry_bytes(key: str, value: bytes) -> int:
    return len(key.encode()) + len(value) if value != REMOVED_VALUE else 0


def _document_digest(digests: Sequence[int]) -> str:
    return blake2b(BUCKET_DIGESTS.pack(*digests), digest_size=16).hexdigest()
