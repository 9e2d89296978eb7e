"""The document: all entries in force at one version, with a digest that two holders compare.

Rules:
1. A document changes only by the change that follows its version, or by whole buckets while it is repaired.
2. A change is taken whole or not at all; what would come out with another digest than the change names is not
   taken.
3. The digest is of keys and values alone, not of how they came about: a relay that starts with yesterday's
   file lacks only the buckets that differ.

A bucket's digest is the sum of its entries' hashes modulo 2^64, so that a change costs by its own size (an
incremental hash of a set: Bellare and Micciancio, EUROCRYPT 1997); the document's is the hash of all of them.
It guards against loss and mistakes, not against somebody who forges entries.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from hashlib import blake2b
from struct import Struct, error

import msgspec

from lanelead.configuration.errors import ConfigurationError
from lanelead.protocols.configuration import BUCKET_COUNT, MAX_CHANGE_BYTES, MAX_VALUE_BYTES, Change, DigestTree, Entry

REMOVED_VALUE = b"null"
MODULUS = 1 << 64
BUCKET_DIGESTS = Struct(f">{BUCKET_COUNT}Q")


class DocumentError(ConfigurationError):
    """A change or a bucket that was not taken; the document is as it was."""


class OutOfOrderError(DocumentError):
    """It does not follow the version held: ask for the changes between."""


class DigestMismatchError(DocumentError):
    """The digest would come out otherwise than the other end says: compare the buckets."""


class DocumentTooLargeError(DocumentError):
    """Over the document's bounds: raise them in the settings, or remove entries first."""


class UnreadableValueError(DocumentError):
    """A value that can't be read: mend it where it was written."""


def bucket_of(key: str) -> int:
    """The number of the bucket that holds a key."""
    return int.from_bytes(blake2b(key.encode(), digest_size=2).digest(), "big") % BUCKET_COUNT


def _entry_hash(key: str, value: bytes) -> int:
    text = key.encode() + b"\0" + value
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def canonical(value: msgspec.Raw | bytes) -> bytes:
    """The same value as the same bytes, whatever spaces and order of fields it had. Raises UnreadableValueError."""
    try:
        return msgspec.json.encode(msgspec.json.decode(bytes(value)), order="sorted")
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as fault:
        raise UnreadableValueError(f"a value that is no JSON: {str(fault)[:100]}") from None


class Document:
    """`most`, `most_bytes`: entries, and bytes of keys and values, that it may hold."""

    def __init__(self, most: int = 200_000, most_bytes: int = 64 << 20) -> None:
        self.version = 0
        self.entries: dict[str, bytes] = {}
        self.changed: dict[str, int] = {}  # the version at which a key last changed, as far as it is known
        self.size = 0  # bytes of keys and values
        self._max_entries, self._max_bytes = most, most_bytes
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
        """The digest if these were set. Raises DocumentTooLargeError."""
        wanted = _canonical_entries(entries)
        self._check_bounds(wanted)
        if (size := sum(len(key) + len(value) for key, value in wanted.items())) > MAX_CHANGE_BYTES:
            raise DocumentTooLargeError(f"a change of {size} bytes, of {MAX_CHANGE_BYTES} at most")
        sums = dict[int, int]()
        for key, value in wanted.items():
            place = bucket_of(key)
            sums[place] = (sums.get(place, self._bucket_digests[place]) + self._digest_delta(key, value)) % MODULUS
        every = self._bucket_digests.copy()
        for place, total in sums.items():
            every[place] = total
        return _document_digest(every)

    def apply(self, change: Change) -> None:
        """Applies the next version's change. Raises OutOfOrderError, DigestMismatchError and DocumentTooLargeError."""
        if change.version != self.version + 1:
            raise OutOfOrderError(f"version {change.version}, where {self.version} is held")
        if self.digest_after(change.entries) != change.digest:
            raise DigestMismatchError(f"version {change.version} would come out otherwise than its digest says")
        for key, value in _canonical_entries(change.entries).items():
            self._set(key, value)
            self.changed[key] = change.version
        self.version = change.version

    def load(self, entries: Iterable[tuple[str, bytes]]) -> None:
        """Sets entries beside any version: what stands in a file at start. Raises DocumentTooLargeError."""
        wanted = {key: canonical(value) for key, value in entries}
        self._check_bounds(wanted)
        for key, value in wanted.items():
            self._set(key, value)

    # Repair

    def digest_tree(self, history: str) -> DigestTree:
        """The digests of all buckets at this version."""
        sums = BUCKET_DIGESTS.pack(*self._bucket_digests).hex()
        return DigestTree(history, self.version, self.digest, sums)

    def differing_buckets(self, outline: DigestTree) -> list[int]:
        """The buckets that are not as the outline has them."""
        theirs = bucket_digests_of(outline)
        return [place for place in range(BUCKET_COUNT) if self._bucket_digests[place] != theirs[place]]

    def bucket(self, place: int) -> list[Entry]:
        """The entries of one bucket, by its number."""
        return [Entry(key, msgspec.Raw(self.entries[key])) for key in self._bucket_keys[place]]

    def replace_bucket(self, place: int, entries: Sequence[Entry], digest: int) -> None:
        """A whole bucket of another version. Raises DigestMismatchError and DocumentTooLargeError."""
        wanted = _canonical_entries(entries)
        total = sum(_entry_hash(key, value) for key, value in wanted.items()) % MODULUS
        if total != digest or any(bucket_of(key) != place for key in wanted):
            raise DigestMismatchError(f"bucket {place} does not have the digest that its outline names")
        gone = {key: REMOVED_VALUE for key in self._bucket_keys[place] if key not in wanted}
        self._check_bounds(wanted | gone)
        for key, value in (gone | wanted).items():
            self._set(key, value)

    def finish_repair(self, outline: DigestTree) -> None:
        """All buckets are as the outline has them: this is that version now. Raises DigestMismatchError."""
        if self.digest != outline.digest:
            raise DigestMismatchError(f"not yet version {outline.version}")
        self.version = outline.version

    def __iter__(self) -> Iterator[tuple[str, bytes]]:
        return iter(self.entries.items())

    def _digest_delta(self, key: str, value: bytes) -> int:
        old = self.entries.get(key)
        return (_entry_hash(key, value) if value != REMOVED_VALUE else 0) - (
            _entry_hash(key, old) if old is not None else 0
        )

    def _set(self, key: str, value: bytes) -> None:
        place, old = bucket_of(key), self.entries.get(key)
        self._bucket_digests[place] = (self._bucket_digests[place] + self._digest_delta(key, value)) % MODULUS
        self.size += _entry_bytes(key, value) - (_entry_bytes(key, old) if old is not None else 0)
        if value != REMOVED_VALUE:
            self.entries[key] = value
            self._bucket_keys[place][key] = None
        else:
            self.entries.pop(key, None)
            self._bucket_keys[place].pop(key, None)
            self.changed.pop(key, None)

    def _check_bounds(self, wanted: Mapping[str, bytes]) -> None:
        """Guards against a document that outgrows the memory of those who hold it."""
        for key, value in wanted.items():
            if len(value) > MAX_VALUE_BYTES:
                raise DocumentTooLargeError(f"{key[:80]}: {len(value)} bytes, of {MAX_VALUE_BYTES} at most")
        held = self.entries
        many = len(held) + sum((value != REMOVED_VALUE) - (key in held) for key, value in wanted.items())
        size = self.size + sum(
            _entry_bytes(key, value) - (_entry_bytes(key, held[key]) if key in held else 0)
            for key, value in wanted.items()
        )
        if (many > self._max_entries and many > len(held)) or (size > self._max_bytes and size > self.size):
            raise DocumentTooLargeError(
                f"{many} entries of {size} bytes, of {self._max_entries} and {self._max_bytes} at most"
            )


def bucket_digests_of(outline: DigestTree) -> tuple[int, ...]:
    """Raises DigestMismatchError where it is not of this form."""
    try:
        sums = BUCKET_DIGESTS.unpack(bytes.fromhex(outline.bucket_digests))
    except (ValueError, error) as fault:
        raise DigestMismatchError(f"not an outline: {str(fault)[:100]}") from None
    if _document_digest(sums) != outline.digest:
        raise DigestMismatchError("an outline whose digest is not that of its buckets")
    return sums


def _canonical_entries(entries: Sequence[Entry]) -> dict[str, bytes]:
    return {entry.key: canonical(entry.value) for entry in entries}


def _entry_bytes(key: str, value: bytes) -> int:
    return len(key.encode()) + len(value) if value != REMOVED_VALUE else 0


def _document_digest(sums: Sequence[int]) -> str:
    return blake2b(BUCKET_DIGESTS.pack(*sums), digest_size=16).hexdigest()
