"""The store of a replica, one SQLite file: its votes, the decided changes, and the document that they make.

- Promised and accepted ballots, and the version from which the replica may vote, are on disk before any reply.
- The log, the document's entries and the idents of completed proposals change together, in one transaction.
- The log is bounded by number and age, checked when a change is appended; the idents by number; the document by its
  own limits.

WAL mode with synchronous=FULL: what was answered is on disk. One process has the file open at a time.

Never restore an older copy of the file: it would lack votes that the replica has given. A replica that starts
without a file gets everything from its peers.
"""

from __future__ import annotations

import sqlite3
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from lanelead.configuration.errors import ConfigurationError
from lanelead.protocols.configuration import Ballot, Change
from lanelead.protocols.configuration_replicas import CompletedProposal

MAX_COMPLETED_PROPOSALS = 10_000  # kept by ident: a retry of one of them gets its earlier result
# The log keeps the changes that are within both bounds, and at least the newest one.
MAX_LOG_CHANGES, MAX_LOG_AGE_SECONDS = 20_000, 86_400.0
LOG_PAGE_BYTES = 1 << 20  # encoded changes in one reply; a single larger change is sent alone
# Table and column names belong to the file format. `one` has the replica's state: `form` is the file format, `head` the
# committed version and `floor` the pruned version. `made` has the completed proposals, with `mark` the entries' hash.
SCHEMA = """
CREATE TABLE IF NOT EXISTS one (one INTEGER PRIMARY KEY CHECK (one = 1), form INTEGER NOT NULL,
    history TEXT NOT NULL, head INTEGER NOT NULL, digest TEXT NOT NULL, floor INTEGER NOT NULL,
    ready INTEGER NOT NULL, votes_from INTEGER);
CREATE TABLE IF NOT EXISTS vote (one INTEGER PRIMARY KEY CHECK (one = 1), version INTEGER NOT NULL,
    promised INTEGER NOT NULL, promised_by INTEGER NOT NULL, accepted INTEGER, accepted_by INTEGER,
    change BLOB);
CREATE TABLE IF NOT EXISTS log (version INTEGER PRIMARY KEY, at REAL NOT NULL, change BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS entry (key TEXT PRIMARY KEY, value BLOB NOT NULL, changed INTEGER) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS made (ident TEXT PRIMARY KEY, version INTEGER NOT NULL, mark TEXT NOT NULL);
CREATE INDEX IF NOT EXISTS made_version ON made (version);
"""
FILE_FORMAT = 1


class StoreError(ConfigurationError):
    """The store could not be read or written; a write that failed does not count (see Store).

    `remedy` tells the operator what to do.
    """

    remedy = "check the disk; a running replica continues once it can use it again"


class DiskFullError(StoreError):
    """The disk is full."""

    remedy = "free space on the disk; a running replica continues once it can write again"


class ReadOnlyStoreError(StoreError):
    """The file or its directory is not writable."""

    remedy = "make the file and its directory writable for the process, or remount the disk as writable"


class CorruptStoreError(StoreError):
    """The file's rows cannot be read or contradict each other, or a write does not follow its committed version."""

    remedy = (
        "move the file and its -wal and -shm files away and restart: the replica then gets everything from its"
        " peers, and votes again two changes later; never restore an older copy of the file"
    )


class StoreInUseError(StoreError):
    """Another process has the file open."""

    remedy = "stop the other process that has the file open; two replicas never share a file"


class NewerFormatError(StoreError):
    """The file has another format than this program's; there is no older format than this one, so it is newer."""

    remedy = "start the newer version of the program that wrote the file"


class StoreIOError(StoreError):
    """Any other error of SQLite or the operating system, such as an I/O error or a missing directory."""


def store_error(error: Exception, action: str) -> StoreError:
    """The StoreError for an error of SQLite or the operating system; `action` says what was being done."""
    code = getattr(error, "sqlite_errorcode", None)
    kind: type[StoreError] = StoreIOError
    match (code or 0) & 0xFF:
        case sqlite3.SQLITE_FULL:
            kind = DiskFullError
        case sqlite3.SQLITE_READONLY | sqlite3.SQLITE_PERM:
            kind = ReadOnlyStoreError
        case sqlite3.SQLITE_CORRUPT | sqlite3.SQLITE_NOTADB:
            kind = CorruptStoreError
        case sqlite3.SQLITE_BUSY | sqlite3.SQLITE_LOCKED:
            kind = StoreInUseError
    return kind(f"{action}: {error}")


@dataclass
class StoredState:
    """What was on disk at the start.

    `entries` maps each key to its value and the version that last changed it, where that is known. The value of a
    removed key is empty. `change` is the change that was accepted at the ballot `accepted`. `votes_from` is the first
    version to vote on, None where the voter may not vote yet.
    """

    history: str = ""
    committed_version: int = 0
    digest: str = ""
    pruned_version: int = 0
    ready: bool = False
    votes_from: int | None = None
    promised: Ballot = field(default_factory=Ballot)
    accepted: Ballot | None = None
    change: Change | None = None
    entries: dict[str, tuple[bytes, int | None]] = field(default_factory=dict)


class Store:
    """The store of a replica. Each method that writes raises StoreError where it fails.

    A failed write does not count: the state in memory stays as it was, and the caller may retry. Only where the commit
    itself failed may the rows be on disk nevertheless.

    `on_step` is called at named points in and around the transactions, where tests inject faults. `log` is the
    number of changes that the log keeps at most. `loaded` has what was on disk at the start; ReplicaState empties
    its entries.
    """

    def __init__(self, file: str | Path, clock: Callable[[], float] = time.time, log: int = MAX_LOG_CHANGES) -> None:
        self._clock, self._max_log_changes = clock, log
        self.on_step: Callable[[str], None] = lambda name: None
        self.completed: OrderedDict[str, CompletedProposal] = OrderedDict()
        self.committed_version = 0
        try:
            self._db = self._connect(file)
        except sqlite3.Error as error:
            raise store_error(error, f"opening {file}") from None
        try:
            self.loaded = self._load()
        except (sqlite3.Error, OSError) as error:
            self._db.close()
            raise store_error(error, f"opening {file}") from None
        except StoreError:
            self._db.close()
            raise

    def _connect(self, file: str | Path) -> sqlite3.Connection:
        """Opens the database; tests override it."""
        return sqlite3.connect(file, isolation_level=None, timeout=0.5)

    def close(self) -> None:
        """Closes the file."""
        self._db.close()

    def _load(self) -> StoredState:
        db = self._db
        db.execute("PRAGMA locking_mode=EXCLUSIVE")
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.executescript(SCHEMA)
        db.execute("BEGIN EXCLUSIVE")  # fails early where the disk is not writable, or another process has the file
        db.execute("UPDATE one SET ready = ready")
        db.execute("COMMIT")
        # Refuses a damaged file, since a wrong vote is worse than none.
        if (found := db.execute("PRAGMA quick_check(1)").fetchone()[0]) != "ok":
            raise CorruptStoreError(f"the integrity check failed: {str(found)[:200]}")
        row = db.execute("SELECT form, history, head, digest, floor, ready, votes_from FROM one").fetchone()
        if row is None:
            if any(db.execute(f"SELECT 1 FROM {name} LIMIT 1").fetchone() for name in ("log", "entry", "vote")):
                raise CorruptStoreError("the file has changes or votes, but no row with the committed version")
            return StoredState()
        if row[0] != FILE_FORMAT:
            raise NewerFormatError(f"the file has format {row[0]}; this program supports format {FILE_FORMAT}")
        state = StoredState(row[1], row[2], row[3], row[4], bool(row[5]), row[6])
        self.committed_version = state.committed_version
        try:
            self._load_vote(state)
            for key, value, changed in db.execute("SELECT key, value, changed FROM entry"):
                state.entries[key] = (bytes(value), changed)
            for ident, version, entries_hash in db.execute("SELECT ident, version, mark FROM made ORDER BY version"):
                self.completed[ident] = CompletedProposal(ident, version, entries_hash)
        except (msgspec.MsgspecError, TypeError, ValueError) as error:
            raise CorruptStoreError(f"a row cannot be decoded: {error}") from None
        last = db.execute("SELECT MAX(version), MIN(version), COUNT(*) FROM log").fetchone()
        if last[2] and (last[0] != state.committed_version or last[0] - last[1] + 1 != last[2]):
            raise CorruptStoreError(
                f"the log has {last[2]} changes up to {last[0]}; the committed version is {state.committed_version}"
            )
        return state

    def _load_vote(self, state: StoredState) -> None:
        row = self._db.execute(
            "SELECT version, promised, promised_by, accepted, accepted_by, change FROM vote"
        ).fetchone()
        if row is None or row[0] <= state.committed_version:
            return  # no vote, or one on a version that was decided since
        if row[0] != state.committed_version + 1:
            raise CorruptStoreError(
                f"a vote for version {row[0]} does not follow the committed version {state.committed_version}"
            )
        state.promised = Ballot(row[1], row[2])
        if row[3] is not None:
            state.accepted = Ballot(row[3], row[4])
            state.change = msgspec.json.decode(row[5], type=Change)

    @contextmanager
    def _transaction(self, name: str) -> Iterator[sqlite3.Connection]:
        """Runs a transaction, with the row of table `one` inserted if missing; an exception rolls it back.

        `name` appears in errors and in the steps of `on_step`.
        """
        try:
            self.on_step(f"{name}.before")
            self._db.execute("BEGIN IMMEDIATE")
            try:
                self._db.execute("INSERT OR IGNORE INTO one VALUES (1, ?, '', 0, '', 0, 0, NULL)", (FILE_FORMAT,))
                yield self._db
                self.on_step(f"{name}.commit")
                self._db.execute("COMMIT")
            except BaseException:
                if self._db.in_transaction:
                    self._db.execute("ROLLBACK")
                raise
            self.on_step(f"{name}.after")
        except (sqlite3.Error, OSError) as error:
            raise store_error(error, name) from None

    # Votes

    def save_vote(self, version: int, promised: Ballot, accepted: Ballot | None, change: Change | None) -> None:
        """Stores a vote on the next version, before the reply is sent. Raises StoreError."""
        if version != self.committed_version + 1:
            raise CorruptStoreError(
                f"a vote for version {version} does not follow the committed version {self.committed_version}"
            )
        row = (
            version,
            promised.number,
            promised.replica,
            accepted and accepted.number,
            accepted and accepted.replica,
            None if change is None else msgspec.json.encode(change),
        )
        with self._transaction("vote") as db:
            db.execute("INSERT OR REPLACE INTO vote VALUES (1, ?, ?, ?, ?, ?, ?)", row)

    def save_voting(self, ready: bool, votes_from: int | None) -> None:
        """Stores whether the voter is ready, and the first version that it votes on. Raises StoreError."""
        with self._transaction("stand") as db:
            db.execute("UPDATE one SET ready = ?, votes_from = ?", (ready, votes_from))

    # Changes

    def append(self, history: str, change: Change, entries: list[tuple[str, bytes | None]], entries_hash: str) -> None:
        """Stores the change that follows the committed version. Raises StoreError.

        `entries` has the canonical values of the keys that it sets, and None for those that it removes.
        """
        if change.version != self.committed_version + 1:
            raise CorruptStoreError(
                f"version {change.version} does not follow the committed version {self.committed_version}"
            )
        with self._transaction("decide") as db:
            db.execute("UPDATE one SET history = ?, head = ?, digest = ?", (history, change.version, change.digest))
            now = self._clock()
            encoded_change = msgspec.json.encode(change)
            # REPLACE, since a commit that raised an error may be on disk all the same; the retry has the same change.
            db.execute("INSERT OR REPLACE INTO log VALUES (?, ?, ?)", (change.version, now, encoded_change))
            db.executemany(
                "INSERT OR REPLACE INTO entry VALUES (?, ?, ?)",
                [(key, value or b"", change.version) for key, value in entries],
            )
            db.execute("INSERT OR REPLACE INTO made VALUES (?, ?, ?)", (change.ident, change.version, entries_hash))
            self._trim(db, now)
        self.committed_version = change.version
        self.completed.pop(change.ident, None)
        self.completed[change.ident] = CompletedProposal(change.ident, change.version, entries_hash)
        while len(self.completed) > MAX_COMPLETED_PROPOSALS:
            self.completed.popitem(last=False)

    def _trim(self, db: sqlite3.Connection, now: float) -> None:
        """Trims the idents of completed proposals by number, and the log by number and age.

        The log keeps the latest changes or those of a day, whichever are fewer, but at least one.
        """
        db.execute("DELETE FROM log WHERE version <= (SELECT MAX(version) FROM log) - ?", (self._max_log_changes,))
        db.execute(
            "DELETE FROM log WHERE version < (SELECT MAX(version) FROM log) AND version <= "
            "(SELECT COALESCE(MAX(version), 0) FROM log WHERE at < ?)",
            (now - MAX_LOG_AGE_SECONDS,),
        )
        db.execute(
            "DELETE FROM made WHERE version <= (SELECT COALESCE(MIN(version), 0) FROM "
            "(SELECT version FROM made ORDER BY version DESC LIMIT 1 OFFSET ?))",
            (MAX_COMPLETED_PROPOSALS,),
        )

    def install_snapshot(
        self,
        history: str,
        version: int,
        digest: str,
        pruned_version: int,
        entries: dict[str, tuple[bytes, int | None]],
        completed: list[CompletedProposal],
    ) -> None:
        """Replaces the document, completed proposals and pruned version by another replica's; empties the log.

        The version must be newer. Raises StoreError.
        """
        if version <= self.committed_version:
            raise CorruptStoreError(
                f"a snapshot of version {version} is not newer than the committed version {self.committed_version}"
            )
        with self._transaction("replace") as db:
            db.execute(
                "UPDATE one SET history = ?, head = ?, digest = ?, floor = ?",
                (history, version, digest, pruned_version),
            )
            for table in ("log", "entry", "made"):
                db.execute(f"DELETE FROM {table}")
            rows = [(key, value, changed) for key, (value, changed) in entries.items()]
            db.executemany("INSERT INTO entry VALUES (?, ?, ?)", rows)
            db.executemany(
                "INSERT OR REPLACE INTO made VALUES (?, ?, ?)",
                [(row.ident, row.version, row.entries_hash) for row in completed],
            )
        self.committed_version = version
        self.completed = OrderedDict((row.ident, row) for row in completed)

    def prune_removed(self, version: int) -> None:
        """Forgets keys removed at this version or earlier; raises the pruned version to it. Raises StoreError."""
        with self._transaction("prune") as db:
            db.execute("DELETE FROM entry WHERE value = X'' AND changed <= ?", (version,))
            db.execute("UPDATE one SET floor = MAX(floor, ?)", (version,))

    @property
    def first_log_version(self) -> int:
        """The earliest version in the log, or the next version where the log is empty. Raises StoreError."""
        try:
            found = self._db.execute("SELECT MIN(version) FROM log").fetchone()[0]
        except sqlite3.Error as error:
            raise store_error(error, "reading the log") from None
        return self.committed_version + 1 if found is None else int(found)

    def read_log(
        self, since: int, max_changes: int = 1000, max_bytes: int = LOG_PAGE_BYTES
    ) -> tuple[list[Change], bool]:
        """Changes from version `since` on, in order, and whether the log no longer has that version.

        Returns at most `max_changes`, and at least one even if it exceeds `max_bytes`. Raises StoreError.
        """
        if since > self.committed_version:
            return [], False
        found, total = list[Change](), 0
        try:
            rows = self._db.execute(
                "SELECT version, change FROM log WHERE version >= ? ORDER BY version LIMIT ?", (since, max_changes)
            )
            for version, encoded_change in rows:
                if version != since + len(found):
                    return [], True
                total += len(encoded_change)
                if found and total > max_bytes:
                    break
                found.append(msgspec.json.decode(encoded_change, type=Change))
        except sqlite3.Error as error:
            raise store_error(error, "reading the log") from None
        except msgspec.MsgspecError as error:
            raise CorruptStoreError(f"a change in the log cannot be decoded: {error}") from None
        return found, not found
