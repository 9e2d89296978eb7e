"""What a machine keeps, in one SQLite file: its votes, the changes decided, and the document they come to.

 votes    promised, accepted and from which version it may vote: on disk before they are said
 changes  the log of late, the document's entries and the idents made move on together, in one transaction
 bounds   the log by number and age, idents by number, the document by its own bounds

WAL and synchronous FULL: what was answered is on disk. The file is one process's alone. A copy of yesterday
put in its place would forget votes: never restore one; a machine that starts with no file takes all from the
others.
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

MAX_COMPLETED_PROPOSALS = 10_000  # of changes made last, kept to make none twice
LOG, LOG_SECONDS = 20_000, 86_400.0
LOG_PAGE_BYTES = 1 << 20  # of changes in one answer, about
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
    """What was to be kept was not, and nothing of it counts. `remedy`: what an operator can do."""

    remedy = "look at the disk; the machine goes on when it can write again"


class DiskFullError(StoreError):
    """The disk has no room."""

    remedy = "make room on the disk; the machine goes on when it can write again"


class ReadOnlyStoreError(StoreError):
    """The file or its folder cannot be written."""

    remedy = "make the file and its folder writable for the process, or mount the disk so"


class CorruptStoreError(StoreError):
    """The file's rows cannot be read or contradict each other."""

    remedy = (
        "move the file and those named as it with -wal and -shm away and start again: the machine then takes"
        " all from the others, and votes again two changes later; never put an older copy in its place"
    )


class StoreInUseError(StoreError):
    """Another process has the file open."""

    remedy = "end the other process that has the file open; two machines never share one"


class NewerFormatError(StoreError):
    """The file has another format than this program writes."""

    remedy = "start the later version of the program, which wrote the file"


class StoreIOError(StoreError):
    """An input or output error, or a folder that is not there."""


def store_error(fault: Exception, doing: str) -> StoreError:
    """The StoreError that stands for an error of SQLite or the operating system."""
    code = getattr(fault, "sqlite_errorcode", None)
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
    return kind(f"{doing}: {fault}")


@dataclass
class StoredState:
    """What was on disk at the start. `entries`: key to value and the version of its change, where known;
    the value of a key that is gone is empty."""

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
    """Every call that changes something raises StoreError, and nothing was changed then. `at` is called at
    named points, in and around the transactions: tests cause their faults there."""

    def __init__(self, file: str | Path, clock: Callable[[], float] = time.time, log: int = LOG) -> None:
        self._clock, self._max_log_changes = clock, log
        self.on_step: Callable[[str], None] = lambda point: None
        self.completed: OrderedDict[str, CompletedProposal] = OrderedDict()
        self.committed_version = 0
        try:
            self._db = self._connect(file)
        except sqlite3.Error as fault:
            raise store_error(fault, f"opening {file}") from None
        try:
            self.loaded = self._load()
        except (sqlite3.Error, OSError) as fault:
            self._db.close()
            raise store_error(fault, f"opening {file}") from None
        except StoreError:
            self._db.close()
            raise

    def _connect(self, file: str | Path) -> sqlite3.Connection:
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
        db.execute("BEGIN EXCLUSIVE")  # guards against a disk that takes no writing, and a second process
        db.execute("UPDATE one SET ready = ready")
        db.execute("COMMIT")
        # Guards against a file that was torn: a wrong vote is worse than none.
        if (found := db.execute("PRAGMA quick_check(1)").fetchone()[0]) != "ok":
            raise CorruptStoreError(f"the file does not hold together: {str(found)[:200]}")
        row = db.execute("SELECT form, history, head, digest, floor, ready, votes_from FROM one").fetchone()
        if row is None:
            if any(db.execute(f"SELECT 1 FROM {name} LIMIT 1").fetchone() for name in ("log", "entry", "vote")):
                raise CorruptStoreError("the file has changes or votes, but not how far they go")
            return StoredState()
        if row[0] != FILE_FORMAT:
            raise NewerFormatError(f"a file of form {row[0]}, where this program knows {FILE_FORMAT}")
        held = StoredState(row[1], row[2], row[3], row[4], bool(row[5]), row[6])
        self.committed_version = held.committed_version
        try:
            self._load_vote(held)
            for key, value, changed in db.execute("SELECT key, value, changed FROM entry"):
                held.entries[key] = (bytes(value), changed)
            for ident, version, mark in db.execute("SELECT ident, version, mark FROM made ORDER BY version"):
                self.completed[ident] = CompletedProposal(ident, version, mark)
        except (msgspec.MsgspecError, TypeError, ValueError) as fault:
            raise CorruptStoreError(f"a row that can't be read: {fault}") from None
        last = db.execute("SELECT MAX(version), MIN(version), COUNT(*) FROM log").fetchone()
        if last[2] and (last[0] != held.committed_version or last[0] - last[1] + 1 != last[2]):
            raise CorruptStoreError(
                f"the log has {last[2]} changes up to {last[0]}, where the head is {held.committed_version}"
            )
        return held

    def _load_vote(self, held: StoredState) -> None:
        row = self._db.execute(
            "SELECT version, promised, promised_by, accepted, accepted_by, change FROM vote"
        ).fetchone()
        if row is None or row[0] <= held.committed_version:
            return  # of a version that has been decided since
        if row[0] != held.committed_version + 1:
            raise CorruptStoreError(f"a vote for version {row[0]}, where the head is {held.committed_version}")
        held.promised = Ballot(row[1], row[2])
        if row[3] is not None:
            held.accepted = Ballot(row[3], row[4])
            held.change = msgspec.json.decode(row[5], type=Change)

    @contextmanager
    def _transaction(self, point: str) -> Iterator[sqlite3.Connection]:
        """All of what is inside, or nothing."""
        try:
            self.on_step(f"{point}.before")
            self._db.execute("BEGIN IMMEDIATE")
            try:
                self._db.execute("INSERT OR IGNORE INTO one VALUES (1, ?, '', 0, '', 0, 0, NULL)", (FILE_FORMAT,))
                yield self._db
                self.on_step(f"{point}.commit")
                self._db.execute("COMMIT")
            except BaseException:
                if self._db.in_transaction:
                    self._db.execute("ROLLBACK")
                raise
            self.on_step(f"{point}.after")
        except (sqlite3.Error, OSError) as fault:
            raise store_error(fault, point) from None

    # Votes

    def save_vote(self, version: int, promised: Ballot, accepted: Ballot | None, change: Change | None) -> None:
        """Guards against a vote that is said and then forgotten."""
        if version != self.committed_version + 1:
            raise CorruptStoreError(f"a vote for version {version}, where the head is {self.committed_version}")
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
        """Stores readiness and the first version to vote on. Raises StoreError."""
        with self._transaction("stand") as db:
            db.execute("UPDATE one SET ready = ?, votes_from = ?", (ready, votes_from))

    # Changes

    def append(self, history: str, change: Change, entries: list[tuple[str, bytes | None]], mark: str) -> None:
        """The change after the head. `entries` as the document keeps them; none: the key is gone."""
        if change.version != self.committed_version + 1:
            raise CorruptStoreError(f"version {change.version}, where the head is {self.committed_version}")
        with self._transaction("decide") as db:
            db.execute("UPDATE one SET history = ?, head = ?, digest = ?", (history, change.version, change.digest))
            now = self._clock()
            body = msgspec.json.encode(change)
            # A commit that was told as failed may be on disk all the same: the same change once more.
            db.execute("INSERT OR REPLACE INTO log VALUES (?, ?, ?)", (change.version, now, body))
            db.executemany(
                "INSERT OR REPLACE INTO entry VALUES (?, ?, ?)",
                [(key, value or b"", change.version) for key, value in entries],
            )
            db.execute("INSERT OR REPLACE INTO made VALUES (?, ?, ?)", (change.ident, change.version, mark))
            self._trim(db, now)
        self.committed_version = change.version
        self.completed.pop(change.ident, None)
        self.completed[change.ident] = CompletedProposal(change.ident, change.version, mark)
        while len(self.completed) > MAX_COMPLETED_PROPOSALS:
            self.completed.popitem(last=False)

    def _trim(self, db: sqlite3.Connection, now: float) -> None:
        """The log keeps the last changes or those of a day, whichever are fewer, and one at least."""
        db.execute("DELETE FROM log WHERE version <= (SELECT MAX(version) FROM log) - ?", (self._max_log_changes,))
        db.execute(
            "DELETE FROM log WHERE version < (SELECT MAX(version) FROM log) AND version <= "
            "(SELECT COALESCE(MAX(version), 0) FROM log WHERE at < ?)",
            (now - LOG_SECONDS,),
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
        floor: int,
        entries: dict[str, tuple[bytes, int | None]],
        made: list[CompletedProposal],
    ) -> None:
        """The whole document as another machine has it, in place of an older one."""
        if version <= self.committed_version:
            raise CorruptStoreError(f"a snapshot of version {version}, where the head is {self.committed_version}")
        with self._transaction("replace") as db:
            db.execute(
                "UPDATE one SET history = ?, head = ?, digest = ?, floor = ?",
                (history, version, digest, floor),
            )
            for table in ("log", "entry", "made"):
                db.execute(f"DELETE FROM {table}")
            rows = [(key, value, changed) for key, (value, changed) in entries.items()]
            db.executemany("INSERT INTO entry VALUES (?, ?, ?)", rows)
            db.executemany(
                "INSERT OR REPLACE INTO made VALUES (?, ?, ?)",
                [(row.ident, row.version, row.entries_hash) for row in made],
            )
        self.committed_version = version
        self.completed = OrderedDict((row.ident, row) for row in made)

    def prune_removed(self, version: int) -> None:
        """Keys that are gone since this version or longer are forgotten."""
        with self._transaction("prune") as db:
            db.execute("DELETE FROM entry WHERE value = X'' AND changed <= ?", (version,))
            db.execute("UPDATE one SET floor = MAX(floor, ?)", (version,))

    @property
    def first_log_version(self) -> int:
        """The earliest version of the log; the one after the head where it is empty."""
        try:
            found = self._db.execute("SELECT MIN(version) FROM log").fetchone()[0]
        except sqlite3.Error as fault:
            raise store_error(fault, "reading the log") from None
        return self.committed_version + 1 if found is None else int(found)

    def read_log(self, since: int, most: int = 1000, size: int = LOG_PAGE_BYTES) -> tuple[list[Change], bool]:
        """Changes from version `since` on, in order, and whether that one is not kept any more."""
        if since > self.committed_version:
            return [], False
        found, total = list[Change](), 0
        try:
            rows = self._db.execute(
                "SELECT version, change FROM log WHERE version >= ? ORDER BY version LIMIT ?", (since, most)
            )
            for version, body in rows:
                if version != since + len(found):
                    return [], True
                total += len(body)
                if found and total > size:
                    break
                found.append(msgspec.json.decode(body, type=Change))
        except sqlite3.Error as fault:
            raise store_error(fault, "reading the log") from None
        except msgspec.MsgspecError as fault:
            raise CorruptStoreError(f"a change in the log that can't be read: {fault}") from None
        return found, not found
